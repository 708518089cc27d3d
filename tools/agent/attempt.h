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
  claiming,   // waits for the claim of a not repeatable call
  calling,    // the backend server has the call
  completing, // waits until the stored answer is committed
  ended,
};

// One attempt to run a request, from admission until its answer is dropped.
struct attempt {
  attempt_id id;
  wire::StartAttemptT start;
  attempt_state state = attempt_state::queued;
  time_point arrived_at{};
  time_point dispatched_at{}; // left the queue
  time_point deadline{};
  std::uint32_t cost = 1;
  std::uint64_t body_hash = 0; // of a not repeatable call, for its claim

  router_link* link = nullptr; // null while no router is attached
  // When the attempt is dropped unless a router attaches; only while detached or
  // fully delivered.
  time_point expires_at{};
  // Nobody will ask for the answer; the call only runs on to settle its claim.
  bool abandoned = false;

  backend_call* call = nullptr;
  bool has_head = false;
  backend_head head;
  response_buffer response;

  outcome result; // only meaningful when ended
  std::string detail;
  bool end_sent = false;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
};

inline bool is_active(const attempt& it) {
  return it.state != attempt_state::ended && it.state != attempt_state::queued;
}

// Whether the attached router has the whole answer and its caller as well.
inline bool is_delivered(const attempt& it) {
  return it.end_sent &&
         (it.result.result != verdict::completed || all_acknowledged(it.response));
}

} // namespace marigoldstep::agent
