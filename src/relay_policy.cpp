#include "marigoldstep/relay_policy.h"

#include <algorithm>

namespace marigoldstep {

std::string_view name(attempt_end end) {
  switch (end) {
  case attempt_end::not_connected:
    return "not_connected";
  case attempt_end::withheld:
    return "withheld";
  case attempt_end::not_run:
    return "not_run";
  case attempt_end::wrong_server:
    return "wrong_server";
  case attempt_end::failed:
    return "failed";
  case attempt_end::unproven_refusal:
    return "unproven_refusal";
  case attempt_end::broken:
    return "broken";
  }
  return "broken";
}

std::string_view name(relay_step step) {
  switch (step) {
  case relay_step::try_again:
    return "try_again";
  case relay_step::pass_on:
    return "pass_on";
  case relay_step::answer_not_run:
    return "answer_not_run";
  case relay_step::answer_unknown:
    return "answer_unknown";
  }
  return "answer_unknown";
}

bool may_have_run(attempt_end end) {
  return end == attempt_end::failed || end == attempt_end::unproven_refusal ||
         end == attempt_end::broken;
}

namespace detail {

void count_end(request_progress& state, attempt_end end) {
  if (end == attempt_end::not_connected || end == attempt_end::withheld) {
    ++state.failed_connects;
  } else if (end == attempt_end::wrong_server) {
    ++state.wrong_servers;
  } else {
    ++state.sent;
  }
  state.may_have_run = state.may_have_run || may_have_run(end);
}

bool has_attempts_left(const request_progress& state, time_point now) {
  return state.deadline - now >= min_time_left &&
         state.failed_connects < max_failed_connects &&
         state.wrong_servers < max_wrong_servers && state.sent < state.max_attempts;
}

relay_step give_up(const request_progress& state, attempt_end end) {
  if (end == attempt_end::failed) {
    return relay_step::pass_on;
  }
  return state.may_have_run ? relay_step::answer_unknown : relay_step::answer_not_run;
}

} // namespace detail

milliseconds refusal_delay(const dispatch_choice& choice, milliseconds left,
                           std::uint64_t random_value) {
  // A batching server with 64 slots and responses of 1.5 s frees a slot every 25 ms;
  // plain services are faster.
  constexpr auto min_delay = milliseconds(150);
  constexpr auto jitter_range = milliseconds(600);
  const auto jitter = milliseconds(static_cast<milliseconds::rep>(
      random_value % static_cast<std::uint64_t>(jitter_range.count())));
  if (choice.reopens_in) {
    // A request before that time would be refused again.
    return *choice.reopens_in + jitter;
  }
  const bool has_no_server = choice.reason == dispatch_reason::none ||
                             choice.reason == dispatch_reason::evacuated ||
                             choice.reason == dispatch_reason::no_version;
  const auto base = has_no_server ? 2 * min_delay : min_delay;
  return std::min(base + jitter, std::max(min_delay, left / 4));
}

} // namespace marigoldstep
