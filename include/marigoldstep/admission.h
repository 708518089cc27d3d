#pragma once

#include "marigoldstep/configuration.h"
#include "marigoldstep/verdict.h"

namespace marigoldstep {

// The parts of a router's start message that matter for admission.
struct admission_request {
  std::uint64_t sender_version = 0;   // configuration the router applies
  incarnation server_incarnation = 0; // 0: any
  milliseconds time_left{0};
};

// State of the agent at the time of the decision.
struct admission_inputs {
  bool may_take_work = false;        // by the node's lease
  std::uint64_t applied_version = 0; // 0: none yet
  std::uint64_t newest_version = 0;  // known from any peer
  incarnation own_incarnation = 0;
  bool draining = false;
  std::uint32_t load = 0;  // running plus queued
  std::uint32_t limit = 0; // load bound
  bool queue_full = false;
  bool meets_deadline = true;    // by the queue's estimate
  milliseconds slot_interval{0}; // mean time until a slot becomes free; 0: unknown
};

enum class admission { admit, hold, refuse };

struct admission_decision {
  admission action = admission::refuse;
  outcome refusal; // with verdict not_run; only valid for refuse
};

// Decides whether to admit a new attempt. The checks run in a fixed order, and the error
// code of a refusal names the first one that failed: lease, configuration version,
// incarnation, draining, deadline, load bound, queue, estimated queueing time. A request
// is held while the sender's configuration, or the newest one that the agent knows, is
// newer than the applied one.
admission_decision decide_admission(const admission_request& request,
                                    const admission_inputs& inputs);

} // namespace marigoldstep
