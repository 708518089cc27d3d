#include "marigoldstep.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;
using std::chrono::milliseconds;

// Guards against retries that multiply the load on a fleet that refuses work.
TEST_CASE("retries stay within their share of first attempts") {
  retry_budget budget;
  time_point now{};
  int retries = 0;
  constexpr int requests = 10'000;
  for (int i = 0; i < requests; ++i) {
    record_first_attempt(budget, 20);
    now += milliseconds(1);
    // Every request would like to be sent four more times.
    for (int n = 0; n < 4; ++n) {
      retries += take_retry(budget, now) ? 1 : 0;
    }
  }
  // 20% of the first attempts, the initial 10, and 1 per second for 10 s.
  CHECK(retries <= requests / 5 + 10 + 10);
  CHECK(retries >= requests / 5);
}

// Guards against a broken server that fails at once and so looks idle.
TEST_CASE("a failing server gets probes only") {
  circuit_breaker breaker;
  time_point now{};
  int sent = 0;
  for (int i = 0; i < 60'000; ++i) {
    now += milliseconds(1);
    if (allows(breaker, now)) {
      record_start(breaker, now);
      record_failure(breaker, now);
      ++sent;
    }
  }
  // 3 failures open it; then probes after 0.5, 1, 2, 4, 8, 8 ... s.
  CHECK(sent <= 3 + 12);

  SECTION("one probe at a time, and success closes it") {
    now = breaker.open_until;
    REQUIRE(allows(breaker, now));
    record_start(breaker, now);
    CHECK_FALSE(allows(breaker, now));
    record_success(breaker);
    CHECK(allows(breaker, now));
    CHECK(state(breaker, now) == circuit_state::closed);
  }
  SECTION("a probe without an end does not block it for ever") {
    now = breaker.open_until;
    record_start(breaker, now);
    CHECK(allows(breaker, now + milliseconds(5000)));
  }
}

// Guards against an answer that half of the calls fail and no circuit opens,
// because successes between the failures reset a plain count.
TEST_CASE("a server that fails every other call is left out too") {
  circuit_breaker breaker;
  const time_point now{};
  for (int i = 0; i < 16 && allows(breaker, now); ++i) {
    if (i % 2 == 0) {
      record_failure(breaker, now);
    } else {
      record_success(breaker);
    }
  }
  CHECK_FALSE(allows(breaker, now));
}

// Guards against routers that all come back at the same moment.
TEST_CASE("backoff is spread over its whole range") {
  std::mt19937_64 engine(1);
  duration low{1000};
  duration high{0};
  for (int i = 0; i < 1000; ++i) {
    const auto delay = backoff_delay(3, engine);
    low = std::min(low, delay);
    high = std::max(high, delay);
  }
  CHECK(low < duration(10));
  CHECK(high > duration(190));
  CHECK(high <= duration(200));
  CHECK(backoff_delay(60, engine) <= duration(1000));
}
