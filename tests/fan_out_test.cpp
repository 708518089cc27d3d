#include "marigoldstep/fan_out.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>
#include <set>

using namespace marigoldstep;

TEST_CASE("a small message is sent directly to each of a few receivers") {
  const auto plan = plan_fan_out(20, 1000, 30'000);
  REQUIRE(plan.size() == 20);
  CHECK(std::all_of(plan.begin(), plan.end(),
                    [](const auto& it) { return it.forward.empty(); }));
}

TEST_CASE("a message for many is sent to about the square root of their number") {
  const auto plan = plan_fan_out(295, 14'000, 30'000);
  CHECK(plan.size() == 18);
  for (const auto& it : plan) {
    CHECK(it.forward.size() <= 17);
  }
}

TEST_CASE("every receiver gets a message exactly once") {
  CHECK(rc::check([] {
    const auto n = *rc::gen::inRange<std::size_t>(0, 400);
    const auto bytes = *rc::gen::inRange<std::size_t>(1, 5000);
    std::vector<std::size_t> seen;
    for (const auto& it : plan_fan_out(n, bytes, 30'000)) {
      seen.push_back(it.receiver);
      seen.insert(seen.end(), it.forward.begin(), it.forward.end());
    }
    std::sort(seen.begin(), seen.end());
    std::vector<std::size_t> all(n);
    std::iota(all.begin(), all.end(), 0);
    RC_ASSERT(seen == all);
  }));
}

TEST_CASE("a message within availability zones reaches every receiver exactly once") {
  CHECK(rc::check("once each", [] {
    const auto n = *rc::gen::inRange<std::size_t>(0, 300);
    const auto zone_count = *rc::gen::inRange<std::size_t>(1, 8);
    const auto bytes = *rc::gen::inRange<std::size_t>(1, 5000);
    const auto round = *rc::gen::arbitrary<std::uint64_t>();
    constexpr std::size_t max_forward_bytes = 20'000;
    std::vector<std::string> zones;
    for (std::size_t i = 0; i < n; ++i) {
      zones.push_back("z" +
                      std::to_string(*rc::gen::inRange<std::size_t>(0, zone_count)));
    }
    std::vector<std::size_t> seen;
    for (const auto& it : plan_zone_fan_out(zones, bytes, max_forward_bytes, round)) {
      seen.push_back(it.receiver);
      seen.insert(seen.end(), it.forward.begin(), it.forward.end());
      RC_ASSERT(it.forward.size() * bytes <= max_forward_bytes);
      for (const auto i : it.forward) {
        RC_ASSERT(zones[i] == zones[it.receiver]);
      }
    }
    std::sort(seen.begin(), seen.end());
    std::vector<std::size_t> all(n);
    std::iota(all.begin(), all.end(), 0);
    RC_ASSERT(seen == all);
  }));
}

// A forwarder that stopped would otherwise keep its whole zone without messages.
TEST_CASE("successive messages are forwarded by other receivers") {
  const std::vector<std::string> zones(11, "z");
  std::set<std::size_t> forwarders;
  for (std::uint64_t round = 0; round < 11; ++round) {
    const auto plan = plan_zone_fan_out(zones, 1000, 64'000, round);
    REQUIRE(plan.size() == 1);
    forwarders.insert(plan[0].receiver);
  }
  CHECK(forwarders.size() == 11);
}
