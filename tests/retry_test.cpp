#include "marigoldstep.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;
using std::chrono::milliseconds;

// Guards against retries that multiply the load on an overloaded fleet.
TEST_CASE("retries stay within the configured percentage of first attempts") {
  retry_budget budget;
  time_point now{};
  int retries = 0;
  constexpr int requests = 10'000;
  for (int i = 0; i < requests; ++i) {
    record_first_attempt(budget, 20);
    now += milliseconds(1);
    // Every request asks for four retries.
    for (int n = 0; n < 4; ++n) {
      retries += take_retry(budget, now) ? 1 : 0;
    }
  }
  // 20% of the first attempts, the initial 10, and 1 per second for 10 s.
  CHECK(retries <= requests / 5 + 10 + 10);
  CHECK(retries >= requests / 5);
}

// Guards against a server that fails immediately, so that it looks idle and attracts
// requests.
TEST_CASE("a failing server receives only probes") {
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
  // 3 failures open the circuit; probes follow after 0.5, 1, 2, 4, 8, 8 ... s.
  CHECK(sent <= 3 + 12);

  SECTION("only one probe runs at a time, and its success closes the circuit") {
    now = breaker.open_until;
    REQUIRE(allows(breaker, now));
    record_start(breaker, now);
    CHECK_FALSE(allows(breaker, now));
    record_success(breaker);
    CHECK(allows(breaker, now));
    CHECK(state(breaker, now) == circuit_state::closed);
  }
  SECTION("a probe without a result stops blocking requests after its timeout") {
    now = breaker.open_until;
    record_start(breaker, now);
    CHECK(allows(breaker, now + milliseconds(5000)));
  }
}

// Guards against a server on which half of the calls fail without the circuit opening,
// because each success resets the count of consecutive failures.
TEST_CASE("the circuit opens for a server that fails every other call") {
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

// Guards against routers that all retry at the same moment.
TEST_CASE("backoff delays are spread over their whole range") {
  std::mt19937_64 engine(1);
  milliseconds min_delay{1000};
  milliseconds max_delay{0};
  for (int i = 0; i < 1000; ++i) {
    const auto delay = backoff_delay(3, engine);
    min_delay = std::min(min_delay, delay);
    max_delay = std::max(max_delay, delay);
  }
  CHECK(min_delay < milliseconds(10));
  CHECK(max_delay > milliseconds(190));
  CHECK(max_delay <= milliseconds(200));
  CHECK(backoff_delay(60, engine) <= milliseconds(1000));
}
