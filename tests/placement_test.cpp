#include "marigoldstep.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace marigoldstep;

namespace {

std::vector<server_info> make_servers(std::uint32_t n) {
  std::vector<server_info> out(n);
  for (std::uint32_t i = 0; i < n; ++i) {
    out[i].node_id = "server-" + std::to_string(i);
    out[i].service = "pool";
  }
  return out;
}

std::string home_of(const std::vector<server_info>& servers, const placement_key& key) {
  const auto table = make_placement_table(servers, "pool");
  return table.servers[find_candidates(table, key, 1).index[0]].node_id;
}

} // namespace

// Guards against chats that move although their server neither came nor went.
TEST_CASE("a join or a leave moves only the chats of that server") {
  CHECK(rc::check([] {
    auto servers = make_servers(*rc::gen::inRange(3U, 40U));
    const auto spread = *rc::gen::inRange(0U, 6U);
    const auto changed = *rc::gen::inRange<std::size_t>(0, servers.size());
    const auto weight = *rc::gen::inRange(1U, 1000U);
    auto fewer = servers;
    fewer[changed].state = server_state::suspect;
    auto lighter = servers;
    lighter[changed].weight_milli = weight;
    // The grouping by spread depends on there being more servers than groups.
    RC_PRE(spread + 1 < servers.size());
    for (int i = 0; i < 50; ++i) {
      const auto key = make_placement_key("w", std::to_string(i), spread);
      const auto home = home_of(servers, key);
      const auto& id = servers[changed].node_id;
      RC_ASSERT(home == id || home_of(fewer, key) == home);
      RC_ASSERT(home == id || home_of(lighter, key) == home);
    }
  }));
}

// Guards against a weight or hash that sends a server more or less than its share.
TEST_CASE("chats follow the weights") {
  auto servers = make_servers(10);
  servers[0].weight_milli = 500;
  const auto table = make_placement_table(servers, "pool");
  constexpr int chats = 38'000;
  std::vector<int> counts(servers.size());
  for (int i = 0; i < chats; ++i) {
    const auto key = make_placement_key("w", std::to_string(i), 0);
    ++counts[find_candidates(table, key, 1).index[0]];
  }
  // Expected 2,000 and 4,000; five standard deviations either way.
  CHECK(std::abs(counts[0] - 2000) < 220);
  for (std::size_t i = 1; i < counts.size(); ++i) {
    CHECK(std::abs(counts[i] - 4000) < 300);
  }
}

// Guards against small workspaces that scatter their system prompt, and against a
// higher spread that moves more chats than the new groups take.
TEST_CASE("a workspace stays within its spread") {
  const auto servers = make_servers(100);
  std::set<std::string> used;
  int moved = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto before = home_of(servers, make_placement_key("w", std::to_string(i), 4));
    const auto after = home_of(servers, make_placement_key("w", std::to_string(i), 5));
    used.insert(before);
    moved += before != after ? 1 : 0;
  }
  CHECK(used.size() <= 4);
  CHECK(moved < 1000 / 5 * 1.3);
}

// Guards against a plan that skips a usable candidate or repeats a condition.
TEST_CASE("a plan asks for the cached prefix first and ends without conditions") {
  const auto servers = make_servers(20);
  const auto table = make_placement_table(servers, "pool");
  std::vector<server_observation> seen(servers.size());
  const auto found = find_candidates(table, make_placement_key("w", "c", 0), 4);
  seen[found.index[0]].circuit_open = true;
  const auto plan = plan_attempts(found, seen, true, 1, {});
  REQUIRE(plan.count == 9);
  CHECK(plan.steps[0].condition.only_if_cached);
  CHECK_FALSE(plan.steps[3].condition.only_if_cached);
  CHECK(plan.steps[8].condition == attempt_condition{});
  for (std::size_t i = 0; i < plan.count; ++i) {
    CHECK(plan.steps[i].server != found.index[0]);
  }
  CHECK(meets_condition({true, 110}, true, 10, 10'000));
  CHECK_FALSE(meets_condition({true, 110}, false, 0, 10'000));
  CHECK_FALSE(meets_condition({false, 100}, true, 10, 10'000));
}
