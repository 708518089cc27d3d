#pragma once

#include "marigoldstep/types.h"
#include "marigoldstep/verdict.h"

#include <cstdint>

namespace marigoldstep {

// What a router knows of one request on its way: at most one attempt is current,
// and only its bytes, in order, may reach the caller.
struct relay_state {
  bool repeatable = true;
  attempt_id current;
  bool attempt_open = false;         // false once the current attempt has ended
  bool start_written = false;        // of the current attempt, and not refused since
  bool earlier_may_have_run = false; // an attempt before the current one
  bool head_seen = false;            // of the current attempt
  bool response_forwarded = false;   // something of the answer reached the caller
  bool claim_requested = false;
  bool ended = false;
  std::uint64_t next_offset = 0;
  unsigned attempts = 0;
};

enum class relay_action {
  ignore,         // a frame of another attempt, or after the end
  finish,         // the answer is whole
  retry,          // start another attempt, or give_up() when none can be made
  resume,         // ask the same agent for the rest
  request_cancel, // put down a cancel claim, then on_claim_reply()
  request_lookup, // look the claim up, then on_claim_reply()
  send_error,     // nothing reached the caller yet: send the outcome
  close_caller,   // part of the answer reached the caller: close its connection
};

struct relay_decision {
  relay_action action = relay_action::ignore;
  outcome result;
};

// Makes id the current attempt. Not to be called once response_forwarded is set.
void begin_attempt(relay_state& state, const attempt_id& id);
// The start message was handed to a connection.
void mark_start_written(relay_state& state);

// Takes a head or data of an attempt. Data is accepted at the next offset only.
enum class data_check { accept, stale, gap };
bool accept_head(relay_state& state, const attempt_id& id);
data_check accept_data(relay_state& state, const attempt_id& id, std::uint64_t offset,
                       std::uint64_t size);

// The head and first bytes of the current attempt are about to go to the caller,
// after which no other attempt can follow. False, and nothing may be passed on,
// before the head has come and after the attempt has ended.
bool mark_response_forwarded(relay_state& state);

// How the agent says that an attempt ended.
struct attempt_result {
  outcome how;
  std::uint64_t total_length = 0;
};

relay_decision on_attempt_end(relay_state& state, const attempt_id& id,
                              const attempt_result& result);

// The connection to the agent was lost or could not be made.
relay_decision on_connection_loss(relay_state& state);

// The agent is gone for good or doesn't know the attempt any more.
relay_decision on_agent_loss(relay_state& state, errc code);

// The retry that was asked for can't be made, for instance because no candidate
// or no budget is left; or the deadline has passed. why.result is ignored.
relay_decision give_up(relay_state& state, const outcome& why);

// What the control group says of a call that needs a claim. completed_with_response means
// that the stored answer came with the reply and can be given to the caller.
enum class claim_resolution { never_ran, completed_with_response, undecided };
relay_decision on_claim_reply(relay_state& state, claim_resolution result,
                              const outcome& why);

} // namespace marigoldstep
