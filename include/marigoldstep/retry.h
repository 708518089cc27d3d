#pragma once

#include "marigoldstep/types.h"

#include <random>

namespace marigoldstep {

// Token bucket that ties retries to first attempts, so that retries cannot
// multiply the load on a fleet that refuses work.
struct retry_budget {
  double tokens = 10.0;
  time_point refilled_at{};
};

// Adds percent hundredths of a retry.
void record_first_attempt(retry_budget& budget, std::uint32_t percent);

// Takes one retry; false when there is none left.
bool take_retry(retry_budget& budget, time_point now);

// Delay before round n (0 for the first) of asking all candidates again:
// uniform between 0 and an exponentially growing bound ("full jitter").
duration backoff_delay(unsigned round, std::mt19937_64& engine);

enum class circuit_state { closed, open, half_open };

// Keeps load from one server that fails. A server that fails at once looks idle
// and would otherwise draw every request.
struct circuit_breaker {
  std::uint32_t recent_results = 0; // newest result in the lowest bit, 1 is a failure
  unsigned consecutive_failures = 0;
  unsigned times_opened = 0; // since the last success
  time_point open_until{};
  time_point probe_until{}; // while a probe runs no other request is let through
};

circuit_state state(const circuit_breaker& breaker, time_point now);

// Whether a request may be sent now.
bool allows(const circuit_breaker& breaker, time_point now);

// A request was sent; in the half-open state it is the probe.
void record_start(circuit_breaker& breaker, time_point now);
void record_success(circuit_breaker& breaker);
void record_failure(circuit_breaker& breaker, time_point now);

} // namespace marigoldstep
