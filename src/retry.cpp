#include "marigoldstep/retry.h"

#include <algorithm>
#include <bit>

namespace marigoldstep {

namespace {

constexpr double max_budget_tokens = 100.0;
// Allows occasional retries in a fleet with little traffic.
constexpr double refill_tokens_per_second = 1.0;
constexpr double max_refilled_tokens = 10.0;

constexpr auto initial_backoff = milliseconds(25);
constexpr auto max_backoff = milliseconds(1000);

constexpr unsigned consecutive_failures_to_open = 3;
constexpr std::uint32_t result_window_mask = 0xffff;
constexpr int window_failures_to_open = 8;
constexpr auto initial_open_time = milliseconds(500);
constexpr auto max_open_time = milliseconds(8000);
// A probe whose end is never reported must not keep the circuit open.
constexpr auto probe_timeout = milliseconds(5000);

milliseconds exponential_delay(milliseconds first, unsigned times,
                               milliseconds max_delay) {
  constexpr unsigned max_shift = 16;
  return std::min(first * (1 << std::min(times, max_shift)), max_delay);
}

} // namespace

void record_first_attempt(retry_budget& budget, std::uint32_t percent) {
  budget.tokens = std::min(budget.tokens + percent / 100.0, max_budget_tokens);
}

bool take_retry(retry_budget& budget, time_point now) {
  const auto elapsed_s = std::chrono::duration<double>(now - budget.refilled_at).count();
  if (budget.tokens < max_refilled_tokens) {
    budget.tokens = std::min(budget.tokens + elapsed_s * refill_tokens_per_second,
                             max_refilled_tokens);
  }
  budget.refilled_at = now;
  if (budget.tokens < 1.0) {
    return false;
  }
  budget.tokens -= 1.0;
  return true;
}

milliseconds backoff_delay(unsigned round, std::mt19937_64& engine) {
  const auto bound = exponential_delay(initial_backoff, round, max_backoff);
  std::uniform_int_distribution<milliseconds::rep> pick(0, bound.count());
  return milliseconds(pick(engine));
}

circuit_state state(const circuit_breaker& breaker, time_point now) {
  if (breaker.times_opened == 0) {
    return circuit_state::closed;
  }
  return now < breaker.open_until ? circuit_state::open : circuit_state::half_open;
}

bool allows(const circuit_breaker& breaker, time_point now) {
  switch (state(breaker, now)) {
  case circuit_state::closed:
    return true;
  case circuit_state::open:
    return false;
  case circuit_state::half_open:
    return now >= breaker.probe_until;
  }
  return false;
}

void record_start(circuit_breaker& breaker, time_point now) {
  if (state(breaker, now) == circuit_state::half_open) {
    breaker.probe_until = now + probe_timeout;
  }
}

void record_success(circuit_breaker& breaker) {
  breaker.recent_results = (breaker.recent_results << 1U) & result_window_mask;
  breaker.consecutive_failures = 0;
  if (breaker.times_opened > 0) {
    breaker = {};
  }
}

void record_failure(circuit_breaker& breaker, time_point now) {
  breaker.recent_results = ((breaker.recent_results << 1U) | 1U) & result_window_mask;
  ++breaker.consecutive_failures;
  // Requests sent before the circuit opened may fail while it is open.
  if (state(breaker, now) == circuit_state::open) {
    return;
  }
  const bool probe_failed = breaker.times_opened > 0;
  if (probe_failed || breaker.consecutive_failures >= consecutive_failures_to_open ||
      std::popcount(breaker.recent_results) >= window_failures_to_open) {
    breaker.open_until =
        now + exponential_delay(initial_open_time, breaker.times_opened, max_open_time);
    breaker.probe_until = {};
    ++breaker.times_opened;
  }
}

} // namespace marigoldstep
