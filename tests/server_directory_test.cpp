#include "marigoldstep/server_directory.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace marigoldstep;

namespace {

const time_point start{milliseconds(100'000)};

announced_server make_server(std::string id, incarnation started, std::uint64_t sequence,
                             announced_state state = announced_state::ready) {
  announced_server out;
  out.id = std::move(id);
  out.started = started;
  out.sequence = sequence;
  out.service = "s";
  out.host = "10.0.0.1";
  out.port = 80;
  out.slots = 4;
  out.state = state;
  return out;
}

announced_server with_host(announced_server it, std::string host) {
  it.host = std::move(host);
  return it;
}

directory_change report(server_directory& directory, const announced_server& it,
                        milliseconds silent = milliseconds(0)) {
  return apply_report(directory, it, silent, start);
}

announced_state state_of(const server_directory& directory, const std::string& id) {
  return directory.entries.at(id).server.state;
}

} // namespace

TEST_CASE("a first report is a change, an unchanged later report is not") {
  server_directory directory;
  CHECK(report(directory, make_server("a", 1, 1)) == directory_change::changed);
  CHECK(report(directory, make_server("a", 1, 2)) == directory_change::refreshed);
  CHECK(report(directory, make_server("a", 1, 3, announced_state::draining)) ==
        directory_change::changed);
}

TEST_CASE("a delayed report of the same start changes nothing") {
  server_directory directory;
  report(directory, make_server("a", 1, 5, announced_state::draining));
  CHECK(report(directory, make_server("a", 1, 4)) == directory_change::stale);
  CHECK(state_of(directory, "a") == announced_state::draining);
}

TEST_CASE("a report without a version doesn't make the version of a start unknown") {
  server_directory directory;
  auto server = make_server("a", 1, 1);
  server.version = "v1";
  report(directory, server);
  report(directory, make_server("a", 1, 2));
  CHECK(directory.entries.at("a").server.version == "v1");
  report(directory, make_server("a", 1, 3, announced_state::gone));
  CHECK(directory.entries.at("a").server.version == "v1");
  report(directory, make_server("a", 2, 1));
  CHECK(directory.entries.at("a").server.version.empty());
}

TEST_CASE("a start with another version is a change") {
  server_directory directory;
  report(directory, make_server("a", 1, 1));
  auto server = make_server("a", 1, 2);
  server.version = "v1";
  CHECK(report(directory, server) == directory_change::changed);
  server.sequence = 3;
  CHECK(report(directory, server) == directory_change::refreshed);
}

TEST_CASE("a deregistered server stays gone until it restarts") {
  server_directory directory;
  report(directory, make_server("a", 1, 5));
  CHECK(report(directory, make_server("a", 1, 0, announced_state::gone)) ==
        directory_change::changed);
  CHECK(report(directory, make_server("a", 1, 9)) == directory_change::stale);
  CHECK(state_of(directory, "a") == announced_state::gone);
  CHECK(report(directory, make_server("a", 2, 1)) == directory_change::changed);
  CHECK(state_of(directory, "a") == announced_state::ready);
}

TEST_CASE("a deregistration without a start time applies to the known start") {
  server_directory directory;
  report(directory, make_server("a", 7, 5));
  announced_server deregistration;
  deregistration.id = "a";
  deregistration.state = announced_state::gone;
  CHECK(report(directory, deregistration) == directory_change::changed);
  CHECK(state_of(directory, "a") == announced_state::gone);
  CHECK(directory.entries.at("a").server.host == "10.0.0.1");
  CHECK(report(directory, make_server("a", 7, 6)) == directory_change::stale);
}

TEST_CASE("a deregistration of an earlier start does not remove a later one") {
  server_directory directory;
  report(directory, make_server("a", 7, 1));
  CHECK(report(directory, make_server("a", 6, 9, announced_state::gone)) ==
        directory_change::stale);
  CHECK(state_of(directory, "a") == announced_state::ready);
}

TEST_CASE("of two servers at one address the one that started later is kept") {
  server_directory directory;
  report(directory, make_server("old", 1, 9));
  CHECK(report(directory, make_server("new", 2, 1)) == directory_change::changed);
  CHECK_FALSE(directory.entries.contains("old"));
  // A report of the old server that was delayed in the network.
  CHECK(report(directory, make_server("old", 1, 10)) == directory_change::stale);
  CHECK_FALSE(directory.entries.contains("old"));
}

TEST_CASE("servers at different addresses are both kept") {
  server_directory directory;
  report(directory, with_host(make_server("a", 1, 1), "10.0.0.1"));
  report(directory, with_host(make_server("b", 2, 1), "10.0.0.2"));
  CHECK(directory.entries.size() == 2);
}

TEST_CASE("silent servers are not usable and are removed later") {
  server_directory directory;
  report(directory, make_server("a", 1, 1), milliseconds(500));
  const auto& entry = directory.entries.at("a");
  CHECK(is_usable(entry, milliseconds(600), start));
  CHECK_FALSE(is_usable(entry, milliseconds(400), start));
  raise_last_seen(directory, "a", start + milliseconds(1000));
  CHECK(is_usable(entry, milliseconds(400), start + milliseconds(1200)));
  CHECK(remove_silent(directory, milliseconds(5000), start + milliseconds(5000)).empty());
  CHECK(remove_silent(directory, milliseconds(5000), start + milliseconds(6001)) ==
        std::vector<std::string>{"a"});
}

TEST_CASE("directories that got the same reports in any order agree") {
  rc::prop("the newest report is kept", [] {
    std::vector<announced_server> reports;
    const auto n = *rc::gen::inRange(1, 12);
    for (int i = 0; i < n; ++i) {
      const auto id = *rc::gen::element<std::string>("a", "b");
      const auto state = *rc::gen::element(
          announced_state::ready, announced_state::draining, announced_state::gone);
      // Within one start a sequence number is used once.
      reports.push_back(with_host(
          make_server(id, *rc::gen::inRange(1, 3), static_cast<std::uint64_t>(i), state),
          id));
    }
    auto shuffled = reports;
    const auto swaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, n));
    for (const auto i : swaps) {
      std::swap(shuffled.front(), shuffled[static_cast<std::size_t>(i)]);
    }
    server_directory in_order;
    server_directory reordered;
    for (const auto& it : reports) {
      report(in_order, it);
    }
    for (const auto& it : shuffled) {
      report(reordered, it);
    }
    RC_ASSERT(in_order.entries.size() == reordered.entries.size());
    for (const auto& [id, entry] : in_order.entries) {
      RC_ASSERT(reordered.entries.at(id).server.started == entry.server.started);
      RC_ASSERT(reordered.entries.at(id).server.state == entry.server.state);
    }
  });
}
