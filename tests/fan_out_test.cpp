#include "marigoldstep/fan_out.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>

using namespace marigoldstep;

TEST_CASE("few receivers get a small message directly") {
  const auto plan = plan_fan_out(20, 1000, 30'000);
  REQUIRE(plan.size() == 20);
  CHECK(std::all_of(plan.begin(), plan.end(),
                    [](const auto& it) { return it.forward.empty(); }));
}

TEST_CASE("a message for many goes out about as often as the root of their number") {
  const auto plan = plan_fan_out(295, 14'000, 30'000);
  CHECK(plan.size() == 18);
  for (const auto& it : plan) {
    CHECK(it.forward.size() <= 17);
  }
}

TEST_CASE("every receiver gets a message exactly once") {
  rc::check([] {
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
  });
}
