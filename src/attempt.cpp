#include "marigoldstep/attempt.h"

namespace marigoldstep {

namespace {

bool may_have_started(const relay_state& state) {
  return state.start_written || state.earlier_may_have_run;
}

relay_decision end_with(relay_state& state, relay_action action, outcome result) {
  state.ended = true;
  return {action, result};
}

relay_decision close_caller(relay_state& state, std::error_code error) {
  return end_with(state, relay_action::close_caller, {verdict::may_have_run, error, {}});
}

// Closes the current attempt, so that late frames of it are ignored while another one
// is prepared.
relay_decision retry(relay_state& state, const outcome& why) {
  state.attempt_open = false;
  return {relay_action::retry, why};
}

bool is_current(const relay_state& state, const attempt_id& id) {
  return !state.ended && state.attempt_open && id == state.current;
}

// Handles an attempt that failed and may have run.
relay_decision on_attempt_failure(relay_state& state, const outcome& why) {
  if (state.response_forwarded) {
    return close_caller(state, why.error);
  }
  if (state.repeatable) {
    return retry(state, why);
  }
  return give_up(state, why);
}

bool is_attempt_lost(std::error_code error) {
  return error == errc::unknown_attempt || error == errc::attempt_expired;
}

} // namespace

void begin_attempt(relay_state& state, const attempt_id& id) {
  state.earlier_may_have_run = may_have_started(state);
  state.current = id;
  state.attempt_open = true;
  state.start_written = false;
  state.head_seen = false;
  state.next_offset = 0;
  ++state.attempts;
}

void mark_start_written(relay_state& state) {
  state.start_written = true;
}

bool accept_head(relay_state& state, const attempt_id& id) {
  // The agent may send the head again after a resume.
  if (!is_current(state, id) || !state.start_written || state.head_seen) {
    return false;
  }
  state.head_seen = true;
  return true;
}

data_check accept_data(relay_state& state, const attempt_id& id, std::uint64_t offset,
                       std::uint64_t size) {
  // The agent sends the head first, also to a request that resumes the response. Earlier
  // data was meant for the request before it.
  if (!is_current(state, id) || !state.head_seen || offset < state.next_offset) {
    return data_check::stale;
  }
  if (offset > state.next_offset) {
    return data_check::gap;
  }
  state.next_offset += size;
  return data_check::accept;
}

bool mark_response_forwarded(relay_state& state) {
  if (!is_current(state, state.current) || !state.head_seen) {
    return false;
  }
  state.response_forwarded = true;
  return true;
}

relay_decision on_attempt_end(relay_state& state, const attempt_id& id,
                              const attempt_result& result) {
  if (!is_current(state, id)) {
    return {};
  }
  if (is_attempt_lost(result.how.error)) {
    const auto code = errc_from_number(static_cast<unsigned>(result.how.error.value()));
    return on_agent_loss(state, code);
  }
  if (result.how.result == verdict::completed) {
    if (state.head_seen && result.total_length == state.next_offset) {
      return end_with(state, relay_action::finish, completed());
    }
    return on_attempt_failure(state, may_have_run(errc::answer_truncated));
  }
  // An agent that sent part of a response cannot have refused the attempt.
  if (result.how.result == verdict::not_run && !state.head_seen &&
      !state.response_forwarded) {
    state.start_written = false;
    return retry(state, result.how);
  }
  return on_attempt_failure(state, result.how);
}

relay_decision on_connection_loss(relay_state& state) {
  if (!is_current(state, state.current)) {
    return {};
  }
  if (state.start_written) {
    return {relay_action::resume, may_have_run(errc::agent_unreachable)};
  }
  return retry(state, not_run(errc::agent_unreachable));
}

relay_decision on_agent_loss(relay_state& state, errc code) {
  if (!is_current(state, state.current)) {
    return {};
  }
  if (!state.start_written) {
    return retry(state, not_run(code));
  }
  return on_attempt_failure(state, may_have_run(code));
}

// Refusals that already imply the state of the key's claim.
static bool excludes_earlier_run(const std::error_code& code) {
  return code == errc::request_cancelled || code == errc::idempotency_key_reused ||
         code == errc::idempotency_key_in_future;
}

relay_decision give_up(relay_state& state, const outcome& why) {
  if (state.ended) {
    return {};
  }
  if (state.response_forwarded) {
    return close_caller(state, why.error);
  }
  if (!may_have_started(state)) {
    // This request did not run, but an earlier one with the same key may have.
    if (!state.repeatable && !state.claim_requested && !excludes_earlier_run(why.error)) {
      state.claim_requested = true;
      return {relay_action::request_lookup, why};
    }
    return end_with(state, relay_action::send_error,
                    {verdict::not_run, why.error, why.retry_after});
  }
  // Only a call that needs a claim can be cancelled reliably.
  if (!state.repeatable && !state.claim_requested) {
    state.claim_requested = true;
    return {relay_action::request_cancel, {verdict::may_have_run, why.error, {}}};
  }
  return end_with(state, relay_action::send_error,
                  {verdict::may_have_run, why.error, why.retry_after});
}

relay_decision on_claim_reply(relay_state& state, claim_resolution result,
                              const outcome& why) {
  if (state.ended) {
    return {};
  }
  switch (result) {
  case claim_resolution::never_ran:
    return end_with(state, relay_action::send_error,
                    {verdict::not_run, why.error, why.retry_after});
  case claim_resolution::completed_with_response:
    return end_with(state, relay_action::finish, completed());
  case claim_resolution::undecided:
    break;
  }
  return end_with(state, relay_action::send_error,
                  {verdict::may_have_run, why.error, why.retry_after});
}

} // namespace marigoldstep
