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

std::string preferred_server(const std::vector<server_info>& servers,
                             const placement_key& key) {
  const auto table = make_placement_table(servers, "pool");
  return table.servers[find_candidates(table, key, 1).index[0]].node_id;
}

} // namespace

// Guards against chats that move although their own server neither joined nor left nor
// changed its weight.
TEST_CASE("a change of one server moves only chats from or to that server") {
  CHECK(rc::check([] {
    auto servers = make_servers(*rc::gen::inRange(3U, 40U));
    const auto spread = *rc::gen::inRange(0U, 6U);
    const auto changed = *rc::gen::inRange<std::size_t>(0, servers.size());
    const auto weight = *rc::gen::inRange(1U, 1000U);
    auto one_suspect = servers;
    one_suspect[changed].state = server_state::suspect;
    auto reweighted = servers;
    reweighted[changed].weight_milli = weight;
    // The spread forms groups only when there are more servers than groups; the change
    // of one server must not end that.
    RC_PRE(spread + 1 < servers.size());
    for (int i = 0; i < 50; ++i) {
      const auto key = make_placement_key("w", std::to_string(i), spread);
      const auto preferred = preferred_server(servers, key);
      const auto& id = servers[changed].node_id;
      RC_ASSERT(preferred == id || preferred_server(one_suspect, key) == preferred);
      RC_ASSERT(preferred == id || preferred_server(reweighted, key) == preferred);
    }
  }));
}

// Guards against a hash or weighting that gives a server more or fewer chats than
// its share.
TEST_CASE("chats are distributed in proportion to the weights") {
  auto servers = make_servers(10);
  servers[0].weight_milli = 500;
  const auto table = make_placement_table(servers, "pool");
  constexpr int chats = 38'000;
  std::vector<int> counts(servers.size());
  for (int i = 0; i < chats; ++i) {
    const auto key = make_placement_key("w", std::to_string(i), 0);
    ++counts[find_candidates(table, key, 1).index[0]];
  }
  // Expected counts are 2,000 and 4,000; the tolerance is five standard deviations
  // either way.
  CHECK(std::abs(counts[0] - 2000) < 220);
  for (std::size_t i = 1; i < counts.size(); ++i) {
    CHECK(std::abs(counts[i] - 4000) < 300);
  }
}

// Guards against a small workspace whose system prompt is cached on too many servers,
// and against a higher spread that moves more chats than the new groups receive.
TEST_CASE("a workspace uses no more servers than its spread") {
  const auto servers = make_servers(100);
  std::set<std::string> used;
  int moved = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto before =
        preferred_server(servers, make_placement_key("w", std::to_string(i), 4));
    const auto after =
        preferred_server(servers, make_placement_key("w", std::to_string(i), 5));
    used.insert(before);
    moved += before != after ? 1 : 0;
  }
  CHECK(used.size() <= 4);
  CHECK(moved < 1000 / 5 * 1.3);
}

// Guards against a plan that omits a usable candidate or repeats a condition.
TEST_CASE("a plan requires a cached prefix first and no condition last") {
  const auto servers = make_servers(20);
  const auto table = make_placement_table(servers, "pool");
  std::vector<server_observation> observations(servers.size());
  const auto candidates = find_candidates(table, make_placement_key("w", "c", 0), 4);
  observations[candidates.index[0]].circuit_open = true;
  const auto plan = plan_attempts(candidates, observations, true, 1, {});
  REQUIRE(plan.count == 9);
  CHECK(plan.steps[0].condition.only_if_cached);
  CHECK_FALSE(plan.steps[3].condition.only_if_cached);
  CHECK(plan.steps[8].condition == attempt_condition{});
  for (std::size_t i = 0; i < plan.count; ++i) {
    CHECK(plan.steps[i].server != candidates.index[0]);
  }
  CHECK(meets_condition({true, 110}, true, 10, 10'000));
  CHECK_FALSE(meets_condition({true, 110}, false, 0, 10'000));
  CHECK_FALSE(meets_condition({false, 100}, true, 10, 10'000));
}
