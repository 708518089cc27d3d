#include "marigoldstep.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

using namespace marigoldstep;

namespace {

// What really happened to one request, tracked independently of the relay state.
struct oracle {
  bool earlier_unrefused_start = false; // of an attempt before the current one
  bool start_written = false;           // of the current attempt
  bool cancelled = false;
  bool earlier_send_ran = false; // the same key, sent by this caller before
  std::string caller_data; // received by the caller; each byte is its attempt's number
  std::uint64_t accepted_bytes = 0;
  std::uint64_t current_sent_bytes = 0;
  bool finished = false;
};

struct relay_run {
  relay_state state;
  oracle model;
  unsigned char attempt = 0;
  std::uint64_t stored_responses = 0;
  bool waiting = false; // for the next attempt

  attempt_id id(unsigned char n) const { return {n, 7}; }

  void start_attempt() {
    model.earlier_unrefused_start = model.earlier_unrefused_start || model.start_written;
    model.start_written = false;
    model.accepted_bytes = 0;
    model.current_sent_bytes = 0;
    ++attempt;
    begin_attempt(state, id(attempt));
    // Buffered data of the earlier attempt is discarded before a new one starts.
    model.caller_data.clear();
  }

  void check_decision(const relay_decision& decision) {
    const bool may_run = model.earlier_unrefused_start || model.start_written;
    if (decision.action == relay_action::send_error) {
      RC_ASSERT(!state.response_forwarded);
      if (decision.result.result == verdict::not_run) {
        RC_ASSERT(!may_run || model.cancelled);
        RC_ASSERT(!model.earlier_send_ran);
      }
    }
    if (decision.action == relay_action::finish && stored_responses == 0) {
      RC_ASSERT(model.accepted_bytes == model.current_sent_bytes);
      RC_ASSERT(!model.finished);
      model.finished = true;
    }
    if (decision.action == relay_action::retry) {
      // A second run is allowed only if the call is repeatable or was refused.
      RC_ASSERT(!state.response_forwarded);
      RC_ASSERT(state.repeatable || !may_run);
      const auto next = *rc::gen::inRange(0, 3);
      if (next == 0) {
        start_attempt();
      } else if (next == 1) {
        check_decision(give_up(state, not_run(errc::no_server_available)));
      }
      // Otherwise the retry is delayed, and late frames arrive in the meantime.
      waiting = next == 2;
    }
    const bool needs_claim = decision.action == relay_action::request_cancel ||
                             decision.action == relay_action::request_lookup;
    if (needs_claim) {
      RC_ASSERT(!state.repeatable);
      const auto result =
          model.earlier_send_ran
              ? *rc::gen::element(claim_resolution::completed_with_response,
                                  claim_resolution::undecided)
              : *rc::gen::element(claim_resolution::never_ran,
                                  claim_resolution::completed_with_response,
                                  claim_resolution::undecided);
      model.cancelled = result == claim_resolution::never_ran;
      stored_responses += result == claim_resolution::completed_with_response ? 1 : 0;
      check_decision(on_claim_reply(state, result, decision.result));
    }
    for (const char c : model.caller_data) {
      RC_ASSERT(c == model.caller_data.front());
    }
  }

  void receive_data(unsigned char from, std::uint64_t offset, std::uint64_t size) {
    const auto checked = accept_data(state, id(from), offset, size);
    if (checked != data_check::accept) {
      return;
    }
    RC_ASSERT(from == attempt);
    RC_ASSERT(!waiting);
    RC_ASSERT(offset == model.accepted_bytes);
    model.accepted_bytes += size;
    model.caller_data.append(size, static_cast<char>(from));
  }

  void end_attempt(unsigned char from, verdict result, std::uint64_t total) {
    // An agent refuses only attempts that it did not run.
    if (from == attempt && result == verdict::not_run && !state.head_seen && !waiting) {
      model.start_written = false;
    }
    if (from == attempt) {
      model.current_sent_bytes = total;
    }
    const auto error = result == verdict::completed ? errc::ok : errc::server_failed;
    check_decision(
        on_attempt_end(state, id(from), {{result, make_error_code(error), {}}, total}));
  }

  void run_step() {
    const auto from = static_cast<unsigned char>(*rc::gen::inRange(1, attempt + 1));
    const auto near_offset = state.next_offset + *rc::gen::inRange<std::uint64_t>(0, 3);
    switch (*rc::gen::inRange(0, 9)) {
    case 0:
      if (waiting && !state.ended) {
        waiting = false;
        start_attempt();
      } else if (!waiting) {
        model.start_written = true;
        mark_start_written(state);
      }
      break;
    case 1:
      accept_head(state, id(from));
      break;
    case 2:
    case 3:
      receive_data(from, near_offset - std::min<std::uint64_t>(near_offset, 1),
                   *rc::gen::inRange<std::uint64_t>(1, 4));
      break;
    case 4:
      mark_response_forwarded(state);
      break;
    case 5:
      end_attempt(
          from,
          *rc::gen::element(verdict::completed, verdict::not_run, verdict::may_have_run),
          near_offset);
      break;
    case 6:
      check_decision(on_connection_loss(state));
      break;
    case 7:
      check_decision(on_agent_loss(state, errc::agent_unreachable));
      break;
    default:
      check_decision(give_up(state, not_run(errc::deadline_exceeded)));
    }
  }
};

} // namespace

// Guards against verdict not_run for a request that may have run, a second run of a
// call that may not be repeated, and responses that mix two attempts or end before they
// are complete.
TEST_CASE("verdicts and responses of a relay are correct in any order of events") {
  CHECK(rc::check([] {
    // RapidCheck runs 100 cases; 20 requests in each reach rare orders of events.
    for (int n = 0; n < 20; ++n) {
      relay_run run;
      run.state.repeatable = *rc::gen::arbitrary<bool>();
      run.model.earlier_send_ran = !run.state.repeatable && *rc::gen::arbitrary<bool>();
      run.start_attempt();
      const auto steps = *rc::gen::inRange(1, 40);
      for (int i = 0; i < steps; ++i) {
        run.run_step();
      }
    }
  }));
}

// Guards against treating an unknown attempt as refused: an agent that lost its record
// of an attempt may still have run it.
TEST_CASE("an attempt that its agent does not know may have run") {
  relay_state state;
  state.repeatable = false;
  begin_attempt(state, {1, 1});
  mark_start_written(state);
  const auto decision =
      on_attempt_end(state, {1, 1}, {not_run(errc::unknown_attempt), 0});
  CHECK(decision.action == relay_action::request_cancel);
  const auto last = on_claim_reply(state, claim_resolution::undecided, decision.result);
  CHECK(last.action == relay_action::send_error);
  CHECK(last.result.result == verdict::may_have_run);
}
