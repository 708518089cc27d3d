#pragma once

#include "marigoldstep/configuration.h"
#include "marigoldstep/verdict.h"

namespace marigoldstep {

// What a router's request to start an attempt says.
struct admission_request {
  std::uint64_t sender_version = 0;   // configuration the router applies
  incarnation server_incarnation = 0; // 0: any
  duration time_left{0};
};

// What an agent knows when it decides.
struct admission_inputs {
  bool may_take_work = false;        // by the node's lease
  std::uint64_t applied_version = 0; // 0: none yet
  std::uint64_t newest_version = 0;  // heard of from anybody
  incarnation own_incarnation = 0;
  bool draining = false;
  std::uint32_t load = 0;  // running plus queued
  std::uint32_t limit = 0; // load bound
  bool queue_full = false;
  bool meets_deadline = true; // by the queue's estimate
  duration slot_interval{0};  // mean time until a slot falls free; 0: unknown
};

enum class admission { admit, hold, refuse };

struct admission_decision {
  admission action = admission::refuse;
  outcome refusal; // not_run, only meaningful for refuse
};

// Decides on a new attempt. The checks run in a fixed order, so that the code of
// a refusal names the first reason: lease, configuration version, incarnation,
// draining, deadline, load bound, queue. A request from a sender that knows a
// newer configuration is held until that one is applied.
admission_decision decide_admission(const admission_request& request,
                                    const admission_inputs& facts);

} // namespace marigoldstep
