#pragma once

#include "marigoldstep/types.h"
#include "marigoldstep/verdict.h"

#include <cstdint>

namespace marigoldstep {

// State of one relayed request. At most one attempt is current, and only its bytes, in
// order, are forwarded to the caller.
struct relay_state {
  bool repeatable = true;
  attempt_id current;
  bool attempt_open = false;         // false once the current attempt has ended
  bool start_written = false;        // for the current attempt, and not refused since
  bool earlier_may_have_run = false; // an attempt before the current one may have run
  bool head_seen = false;            // the response head of the current attempt
  bool response_forwarded = false;   // part of the response was forwarded
  bool claim_requested = false;
  bool ended = false;
  std::uint64_t next_offset = 0;
  unsigned attempts = 0;
};

enum class relay_action {
  ignore,         // a frame of another attempt, or after the end
  finish,         // the response is complete
  retry,          // start another attempt, or call give_up() if that is not possible
  resume,         // request the rest of the response from the same agent
  request_cancel, // request a cancel claim, then call on_claim_reply()
  request_lookup, // look up the claim, then call on_claim_reply()
  send_error,     // nothing was forwarded yet: send the outcome to the caller
  close_caller,   // part of the response was forwarded: close the caller's connection
};

struct relay_decision {
  relay_action action = relay_action::ignore;
  outcome result;
};

// Makes id the current attempt. Must not be called once response_forwarded is set.
void begin_attempt(relay_state& state, const attempt_id& id);
// Records that the start message was written to a connection.
void mark_start_written(relay_state& state);

// Whether a response head or data of an attempt is accepted. Data is accepted only after
// the head and at the next offset.
enum class data_check { accept, stale, gap };
bool accept_head(relay_state& state, const attempt_id& id);
data_check accept_data(relay_state& state, const attempt_id& id, std::uint64_t offset,
                       std::uint64_t size);

// Called before the head and first bytes of the current attempt are forwarded to the
// caller, after which no other attempt can follow. Returns false if nothing may be
// forwarded: before the head has arrived and after the attempt has ended.
bool mark_response_forwarded(relay_state& state);

// End of an attempt as reported by the agent.
struct attempt_result {
  outcome how;
  std::uint64_t total_length = 0;
};

relay_decision on_attempt_end(relay_state& state, const attempt_id& id,
                              const attempt_result& result);

// The connection to the agent was lost or could not be made.
relay_decision on_connection_loss(relay_state& state);

// The agent is dead or does not know the attempt.
relay_decision on_agent_loss(relay_state& state, errc code);

// A requested retry is not possible, for instance because no candidate or no retry
// budget is left, or the deadline has passed. why.result is ignored.
relay_decision give_up(relay_state& state, const outcome& why);

// State of a call that needs a claim, as reported by the control group.
// completed_with_response means that the reply contains the stored response, which can
// be sent to the caller.
enum class claim_resolution { never_ran, completed_with_response, undecided };
relay_decision on_claim_reply(relay_state& state, claim_resolution result,
                              const outcome& why);

} // namespace marigoldstep
