#pragma once

#include "marigoldstep/types.h"

#include <random>

namespace marigoldstep {

// Token bucket that limits retries to a fraction of first attempts, so that retries
// cannot multiply the load on an overloaded fleet.
struct retry_budget {
  double tokens = 10.0;
  time_point refilled_at{};
};

// Adds percent / 100 of a retry.
void record_first_attempt(retry_budget& budget, std::uint32_t percent);

// Consumes one retry. Returns false if none is left.
bool take_retry(retry_budget& budget, time_point now);

// Delay before the given round (0 for the first) of trying all candidates again:
// uniformly distributed between 0 and an exponentially growing bound ("full jitter").
milliseconds backoff_delay(unsigned round, std::mt19937_64& engine);

enum class circuit_state { closed, open, half_open };

// Circuit breaker of one server. Without it, a server that fails immediately looks idle
// and attracts every request.
struct circuit_breaker {
  std::uint32_t recent_results = 0; // bit set, newest in bit 0; 1 is a failure
  unsigned consecutive_failures = 0;
  unsigned times_opened = 0; // since the last success
  time_point open_until{};
  time_point probe_until{}; // until then, a probe blocks all other requests
};

circuit_state state(const circuit_breaker& breaker, time_point now);

// Whether a request may be sent now.
bool allows(const circuit_breaker& breaker, time_point now);

// Records that a request was sent; in the half-open state it is the probe.
void record_start(circuit_breaker& breaker, time_point now);
void record_success(circuit_breaker& breaker);
void record_failure(circuit_breaker& breaker, time_point now);

} // namespace marigoldstep
