#include "marigoldstep/departures.h"
#include "marigoldstep/fleet_state.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;

namespace {

announced_server make_departed(const std::string& id, announced_state state,
                               incarnation started, std::uint64_t sequence) {
  announced_server out;
  out.id = id;
  out.started = started;
  out.sequence = sequence;
  out.service = "s";
  out.zone = "z";
  out.host = "10.0.0.1";
  out.port = 80;
  out.slots = 4;
  out.state = state;
  out.version = "v1";
  return out;
}

} // namespace

// Guards against a departure that is confirmed although an older one is recorded.
TEST_CASE("a departure is recorded only by one that is as new") {
  departure_table table;
  record_departure(table, make_departed("a", announced_state::draining, 5, 3), 100);
  CHECK(is_recorded(table, make_departed("a", announced_state::draining, 5, 3)));
  CHECK(is_recorded(table, make_departed("a", announced_state::gone, 4, 9)));
  CHECK_FALSE(is_recorded(table, make_departed("a", announced_state::draining, 5, 4)));
  CHECK_FALSE(is_recorded(table, make_departed("a", announced_state::gone, 5, 3)));
  CHECK_FALSE(is_recorded(table, make_departed("b", announced_state::gone, 5, 3)));
  record_departure(table, make_departed("a", announced_state::gone, 5, 0), 100);
  CHECK(is_recorded(table, make_departed("a", announced_state::draining, 5, 9)));
  record_departure(table, make_departed("a", announced_state::draining, 4, 9), 100);
  CHECK(table.number == 2);
  CHECK(departures_after(table, 1).size() == 1);
  CHECK(departures_after(table, 2).empty());
}

// Guards against state that grows with the age of the fleet.
TEST_CASE("departures are bounded in age and number") {
  departure_table table;
  record_departure(table, make_departed("old", announced_state::gone, 1, 1), 100);
  record_departure(table, make_departed("new", announced_state::gone, 1, 1),
                   100 + departure_retention_s);
  CHECK(table.by_id.contains("old"));
  record_departure(table, make_departed("newer", announced_state::gone, 1, 1),
                   101 + departure_retention_s);
  CHECK_FALSE(table.by_id.contains("old"));
  for (std::size_t i = 0; i < max_departures; ++i) {
    record_departure(table, make_departed(std::to_string(i), announced_state::gone, 1, 1),
                     101 + departure_retention_s);
  }
  CHECK(table.by_id.size() == max_departures);
  CHECK_FALSE(table.by_id.contains("new"));
  CHECK(table.by_id.contains("0"));
}

// Guards against departures that a process lacks which starts from a snapshot.
TEST_CASE("departures pass through the log and a snapshot unchanged") {
  fleet_state state;
  wire::StoreDeparturesT request;
  request.departures.push_back(
      to_wire(make_departed("a", announced_state::draining, 5, 3)));
  request.departures.push_back(to_wire(make_departed("b", announced_state::gone, 6, 4)));
  apply_command(state, encode_command(wire::control_frame(std::move(request), 0), 100));
  REQUIRE(state.departures.by_id.size() == 2);
  CHECK(state.departures.by_id.at("a").server ==
        make_departed("a", announced_state::draining, 5, 3));
  std::error_code ec;
  CHECK(decode_snapshot(encode_snapshot(state), ec).departures == state.departures);
  CHECK_FALSE(ec);
}

// Guards against a commit for each report of a server that goes on saying that it leaves,
// and against one too few when it had stayed in between.
TEST_CASE("a departure is required from the first report that says so") {
  server_directory directory;
  const time_point now{milliseconds(1000)};
  const auto report = [&](announced_state state, std::uint64_t sequence) {
    const auto server = make_departed("a", state, 5, sequence);
    apply_report(directory, server, milliseconds(0), now);
    return required_departure(directory, server);
  };
  report(announced_state::ready, 1);
  CHECK(report(announced_state::draining, 2).sequence == 2);
  CHECK(report(announced_state::draining, 3).sequence == 2);
  report(announced_state::ready, 4);
  CHECK(report(announced_state::draining, 5).sequence == 5);
  CHECK(report(announced_state::gone, 6).state == announced_state::gone);
}
