#pragma once

#include "marigoldstep/configuration.h"

namespace marigoldstep {

// A node's permission to take new work, renewed by the control group. It keeps
// the promise that an accepted configuration is in force everywhere within 3 s:
// a node that has not heard of it by then has stopped taking work.
struct node_lease {
  std::uint64_t applied_version = 0;  // 0: no configuration yet
  std::uint64_t accepted_version = 0; // newest version heard of, from anybody
  time_point valid_until{};
};

// Notes that a version exists. Versions only rise.
void record_version(node_lease& lease, std::uint64_t version);

// Notes that this node now applies a version. Returns false, and changes
// nothing, for one that is not newer.
bool apply_version(node_lease& lease, std::uint64_t version);

// Renews after an acknowledgement of a request sent at sent_at. Does nothing
// while a newer version than the applied one is known.
void renew(node_lease& lease, time_point sent_at, duration lease_duration);

// Whether new work may be taken. With keep_serving an expired lease does not
// stop a node, but a known newer version does.
bool may_take_work(const node_lease& lease, control_loss_policy policy, time_point now);

} // namespace marigoldstep
