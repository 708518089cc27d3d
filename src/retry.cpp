#include "marigoldstep/retry.h"

#include <algorithm>
#include <bit>

namespace marigoldstep {

namespace {

constexpr double largest_budget = 100.0;
// A fleet with little traffic must be able to retry now and then.
constexpr double tokens_per_second = 1.0;
constexpr double refilled_up_to = 10.0;

constexpr auto first_backoff = duration(25);
constexpr auto longest_backoff = duration(1000);

constexpr unsigned failures_in_a_row = 3;
constexpr std::uint32_t result_window = 0xffff;
constexpr int failures_in_window = 8;
constexpr auto first_open_time = duration(500);
constexpr auto longest_open_time = duration(8000);
// A probe whose end was never reported must not keep the circuit open.
constexpr auto probe_time = duration(5000);

duration doubled(duration first, unsigned times, duration longest) {
  constexpr unsigned largest_shift = 16;
  return std::min(first * (1 << std::min(times, largest_shift)), longest);
}

} // namespace

void note_first_attempt(retry_budget& budget, std::uint32_t percent) {
  budget.tokens = std::min(budget.tokens + percent / 100.0, largest_budget);
}

bool take_retry(retry_budget& budget, time_point now) {
  const auto passed = std::chrono::duration<double>(now - budget.refilled_at).count();
  if (budget.tokens < refilled_up_to) {
    budget.tokens = std::min(budget.tokens + passed * tokens_per_second, refilled_up_to);
  }
  budget.refilled_at = now;
  if (budget.tokens < 1.0) {
    return false;
  }
  budget.tokens -= 1.0;
  return true;
}

duration backoff_delay(unsigned round, std::mt19937_64& engine) {
  const auto bound = doubled(first_backoff, round, longest_backoff);
  std::uniform_int_distribution<duration::rep> pick(0, bound.count());
  return duration(pick(engine));
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

void note_start(circuit_breaker& breaker, time_point now) {
  if (state(breaker, now) == circuit_state::half_open) {
    breaker.probe_until = now + probe_time;
  }
}

void note_success(circuit_breaker& breaker) {
  breaker.results = (breaker.results << 1U) & result_window;
  breaker.consecutive_failures = 0;
  if (breaker.times_opened > 0) {
    breaker = {};
  }
}

void note_failure(circuit_breaker& breaker, time_point now) {
  breaker.results = ((breaker.results << 1U) | 1U) & result_window;
  ++breaker.consecutive_failures;
  // Requests sent before the circuit opened may fail while it is open.
  if (state(breaker, now) == circuit_state::open) {
    return;
  }
  const bool probe_failed = breaker.times_opened > 0;
  if (probe_failed || breaker.consecutive_failures >= failures_in_a_row ||
      std::popcount(breaker.results) >= failures_in_window) {
    breaker.open_until =
        now + doubled(first_open_time, breaker.times_opened, longest_open_time);
    breaker.probe_until = {};
    ++breaker.times_opened;
  }
}

} // namespace marigoldstep
