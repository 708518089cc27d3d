#include "marigoldstep.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

using namespace marigoldstep;

namespace {

// What truly happened to one request, kept beside the relay state.
struct oracle {
  bool any_unrefused_start = false; // of an attempt before the current one
  bool start_written = false;       // of the current attempt
  bool cancelled = false;
  bool earlier_send_ran = false; // the same key, sent by this caller before
  std::string caller;            // bytes the caller got, each marked with its attempt
  std::uint64_t accepted = 0;
  std::uint64_t sent_by_current = 0;
  bool finished = false;
};

struct relay_run {
  relay_state state;
  oracle truth;
  unsigned char attempt = 0;
  std::uint64_t stored_answers = 0;
  bool waiting = false; // for its next attempt

  attempt_id id(unsigned char n) const { return {n, 7}; }

  void start() {
    truth.any_unrefused_start = truth.any_unrefused_start || truth.start_written;
    truth.start_written = false;
    truth.accepted = 0;
    truth.sent_by_current = 0;
    ++attempt;
    begin_attempt(state, id(attempt));
    // What an earlier attempt left behind is thrown away before a new one.
    truth.caller.clear();
  }

  void check(const relay_decision& decision) {
    const bool may_run = truth.any_unrefused_start || truth.start_written;
    if (decision.action == relay_action::send_error) {
      RC_ASSERT(!state.response_forwarded);
      if (decision.result.result == verdict::not_run) {
        RC_ASSERT(!may_run || truth.cancelled);
        RC_ASSERT(!truth.earlier_send_ran);
      }
    }
    if (decision.action == relay_action::finish && stored_answers == 0) {
      RC_ASSERT(truth.accepted == truth.sent_by_current);
      RC_ASSERT(!truth.finished);
      truth.finished = true;
    }
    if (decision.action == relay_action::retry) {
      // Running a call twice is only allowed when it is repeatable or was refused.
      RC_ASSERT(!state.response_forwarded);
      RC_ASSERT(state.repeatable || !may_run);
      const auto next = *rc::gen::inRange(0, 3);
      if (next == 0) {
        start();
      } else if (next == 1) {
        check(give_up(state, not_run(errc::no_server_available)));
      }
      // Otherwise the request waits, and late frames come in the meantime.
      waiting = next == 2;
    }
    const bool asked = decision.action == relay_action::request_cancel ||
                       decision.action == relay_action::request_lookup;
    if (asked) {
      RC_ASSERT(!state.repeatable);
      const auto result =
          truth.earlier_send_ran
              ? *rc::gen::element(claim_resolution::completed_with_response,
                                  claim_resolution::undecided)
              : *rc::gen::element(claim_resolution::never_ran,
                                  claim_resolution::completed_with_response,
                                  claim_resolution::undecided);
      truth.cancelled = result == claim_resolution::never_ran;
      stored_answers += result == claim_resolution::completed_with_response ? 1 : 0;
      check(on_claim_reply(state, result, decision.result));
    }
    for (const char c : truth.caller) {
      RC_ASSERT(c == truth.caller.front());
    }
  }

  void receive(unsigned char from, std::uint64_t offset, std::uint64_t size) {
    const auto seen = accept_data(state, id(from), offset, size);
    if (seen != data_check::accept) {
      return;
    }
    RC_ASSERT(from == attempt);
    RC_ASSERT(!waiting);
    RC_ASSERT(offset == truth.accepted);
    truth.accepted += size;
    truth.caller.append(size, static_cast<char>(from));
  }

  void end(unsigned char from, verdict how, std::uint64_t total) {
    // An agent only refuses an attempt that it did not run.
    if (from == attempt && how == verdict::not_run && !state.head_seen && !waiting) {
      truth.start_written = false;
    }
    if (from == attempt) {
      truth.sent_by_current = total;
    }
    const auto error = how == verdict::completed ? errc::ok : errc::server_failed;
    check(on_attempt_end(state, id(from), {{how, make_error_code(error), {}}, total}));
  }

  void step() {
    const auto from = static_cast<unsigned char>(*rc::gen::inRange(1, attempt + 1));
    const auto near = state.next_offset + *rc::gen::inRange<std::uint64_t>(0, 3);
    switch (*rc::gen::inRange(0, 9)) {
    case 0:
      if (waiting && !state.ended) {
        waiting = false;
        start();
      } else if (!waiting) {
        truth.start_written = true;
        mark_start_written(state);
      }
      break;
    case 1:
      accept_head(state, id(from));
      break;
    case 2:
    case 3:
      receive(from, near - std::min<std::uint64_t>(near, 1),
              *rc::gen::inRange<std::uint64_t>(1, 4));
      break;
    case 4:
      mark_response_forwarded(state);
      break;
    case 5:
      end(from,
          *rc::gen::element(verdict::completed, verdict::not_run, verdict::may_have_run),
          near);
      break;
    case 6:
      check(on_connection_loss(state));
      break;
    case 7:
      check(on_agent_loss(state, errc::agent_unreachable));
      break;
    default:
      check(give_up(state, not_run(errc::deadline_exceeded)));
    }
  }
};

} // namespace

// Guards against "not run" for a request that may have run, against a second run
// of a call that may not be repeated, and against answers that are mixed from two
// attempts or end before they are whole.
TEST_CASE("no sequence of events breaks the promises of a relay") {
  CHECK(rc::check([] {
    // RapidCheck runs 100 cases; 20 requests in each reach rare orders of events.
    for (int n = 0; n < 20; ++n) {
      relay_run run;
      run.state.repeatable = *rc::gen::arbitrary<bool>();
      run.truth.earlier_send_ran = !run.state.repeatable && *rc::gen::arbitrary<bool>();
      run.start();
      const auto steps = *rc::gen::inRange(1, 40);
      for (int i = 0; i < steps; ++i) {
        run.step();
      }
    }
  }));
}

// Guards against a lost agent that is taken for a refusal: an agent that forgot
// an attempt may still have run it.
TEST_CASE("an agent that forgot an attempt leaves its outcome open") {
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
