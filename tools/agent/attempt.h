#pragma once

#include "agent/backend_call.h"
#include "agent/router_link.h"
#include "marigoldstep/response_buffer.h"
#include "marigoldstep/verdict.h"

#include <memory>
#include <string>

namespace marigoldstep::agent {

enum class attempt_state {
  queued,
  claiming,   // waiting for the claim of a call that is not repeatable
  calling,    // running on the backend server
  completing, // waiting for the claim to be completed with the response, or released
  ended,
};

// One attempt to run a request, from admission until its response is dropped.
struct attempt {
  attempt_id id;
  wire::StartAttemptT start;
  attempt_state state = attempt_state::queued;
  time_point arrived_at{};
  time_point dispatched_at{}; // when it left the queue
  time_point deadline{};
  std::uint32_t cost = 1;
  std::uint64_t body_hash = 0; // for the claim of a call that is not repeatable

  router_link* link = nullptr; // null if no router is attached
  // Time at which the attempt is dropped unless a router attaches. Only used while it is
  // detached or its end was sent.
  time_point expires_at{};
  // Its response will not be requested; the call only continues to settle its claim.
  bool abandoned = false;

  backend_call* call = nullptr;
  bool has_head = false;
  backend_head head;
  response_buffer response;

  outcome result; // only valid in state ended
  std::string detail;
  bool end_sent = false;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
};

// Whether the attempt uses a slot of the backend server.
inline bool is_active(const attempt& it) {
  return it.state != attempt_state::ended && it.state != attempt_state::queued;
}

// Whether the end was sent and, for a completed attempt, the caller has the complete
// response.
inline bool is_delivered(const attempt& it) {
  return it.end_sent &&
         (it.result.result != verdict::completed || all_acknowledged(it.response));
}

} // namespace marigoldstep::agent
