#include "marigoldstep/server_directory.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace marigoldstep;

namespace {

const time_point start{duration(100'000)};

announced_server server(std::string id, incarnation started, std::uint64_t sequence,
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

announced_server at(announced_server it, std::string host) {
  it.host = std::move(host);
  return it;
}

directory_change see(server_directory& directory, const announced_server& it,
                     duration silent = duration(0)) {
  return apply_report(directory, it, silent, start);
}

announced_state state_of(const server_directory& directory, const std::string& id) {
  return directory.entries.at(id).server.state;
}

} // namespace

TEST_CASE("a first report is a change, the next ones are not") {
  server_directory directory;
  CHECK(see(directory, server("a", 1, 1)) == directory_change::changed);
  CHECK(see(directory, server("a", 1, 2)) == directory_change::refreshed);
  CHECK(see(directory, server("a", 1, 3, announced_state::draining)) ==
        directory_change::changed);
}

TEST_CASE("a late report of the same start changes nothing") {
  server_directory directory;
  see(directory, server("a", 1, 5, announced_state::draining));
  CHECK(see(directory, server("a", 1, 4)) == directory_change::stale);
  CHECK(state_of(directory, "a") == announced_state::draining);
}

TEST_CASE("a server that left stays gone until it starts anew") {
  server_directory directory;
  see(directory, server("a", 1, 5));
  CHECK(see(directory, server("a", 1, 0, announced_state::gone)) ==
        directory_change::changed);
  CHECK(see(directory, server("a", 1, 9)) == directory_change::stale);
  CHECK(state_of(directory, "a") == announced_state::gone);
  CHECK(see(directory, server("a", 2, 1)) == directory_change::changed);
  CHECK(state_of(directory, "a") == announced_state::ready);
}

TEST_CASE("a departure that names no start means the one that is known") {
  server_directory directory;
  see(directory, server("a", 7, 5));
  announced_server departure;
  departure.id = "a";
  departure.state = announced_state::gone;
  CHECK(see(directory, departure) == directory_change::changed);
  CHECK(state_of(directory, "a") == announced_state::gone);
  CHECK(directory.entries.at("a").server.host == "10.0.0.1");
  CHECK(see(directory, server("a", 7, 6)) == directory_change::stale);
}

TEST_CASE("a departure of an earlier start doesn't take a newer one away") {
  server_directory directory;
  see(directory, server("a", 7, 1));
  CHECK(see(directory, server("a", 6, 9, announced_state::gone)) ==
        directory_change::stale);
  CHECK(state_of(directory, "a") == announced_state::ready);
}

TEST_CASE("the server that started later has the address") {
  server_directory directory;
  see(directory, server("old", 1, 9));
  CHECK(see(directory, server("new", 2, 1)) == directory_change::changed);
  CHECK_FALSE(directory.entries.contains("old"));
  // A report of the old one that was held up in the network.
  CHECK(see(directory, server("old", 1, 10)) == directory_change::stale);
  CHECK_FALSE(directory.entries.contains("old"));
}

TEST_CASE("two servers at two addresses leave each other alone") {
  server_directory directory;
  see(directory, at(server("a", 1, 1), "10.0.0.1"));
  see(directory, at(server("b", 2, 1), "10.0.0.2"));
  CHECK(directory.entries.size() == 2);
}

TEST_CASE("silent servers aren't usable, and are forgotten later") {
  server_directory directory;
  see(directory, server("a", 1, 1), duration(500));
  const auto& entry = directory.entries.at("a");
  CHECK(is_usable(entry, duration(600), start));
  CHECK_FALSE(is_usable(entry, duration(400), start));
  raise_last_seen(directory, "a", start + duration(1000));
  CHECK(is_usable(entry, duration(400), start + duration(1200)));
  CHECK(remove_silent(directory, duration(5000), start + duration(5000)).empty());
  CHECK(remove_silent(directory, duration(5000), start + duration(6001)) ==
        std::vector<std::string>{"a"});
}

TEST_CASE("copies that saw the same reports in any order agree") {
  rc::prop("the newest report wins", [] {
    std::vector<announced_server> reports;
    const auto n = *rc::gen::inRange(1, 12);
    for (int i = 0; i < n; ++i) {
      const auto id = *rc::gen::element<std::string>("a", "b");
      const auto state = *rc::gen::element(
          announced_state::ready, announced_state::draining, announced_state::gone);
      // Within one start a sequence number is used once.
      reports.push_back(at(
          server(id, *rc::gen::inRange(1, 3), static_cast<std::uint64_t>(i), state), id));
    }
    auto shuffled = reports;
    const auto swaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, n));
    for (const auto i : swaps) {
      std::swap(shuffled.front(), shuffled[static_cast<std::size_t>(i)]);
    }
    server_directory left;
    server_directory right;
    for (const auto& it : reports) {
      see(left, it);
    }
    for (const auto& it : shuffled) {
      see(right, it);
    }
    RC_ASSERT(left.entries.size() == right.entries.size());
    for (const auto& [id, entry] : left.entries) {
      RC_ASSERT(right.entries.at(id).server.started == entry.server.started);
      RC_ASSERT(right.entries.at(id).server.state == entry.server.state);
    }
  });
}
