#pragma once

#include "marigoldstep/configuration.h"

namespace marigoldstep {

// A node's lease to accept new work, renewed by the control group. It guarantees that
// an accepted configuration is in force everywhere within 3 s: a node that hasn't
// learned of it by then has stopped accepting work.
struct node_lease {
  std::uint64_t applied_version = 0;  // 0: no configuration yet
  std::uint64_t accepted_version = 0; // newest known version, from any sender
  time_point valid_until{};
};

// Records that a version was accepted. Versions never decrease.
void record_version(node_lease& lease, std::uint64_t version);

// Records that this node applies a version. Returns false and changes nothing if the
// version isn't newer than the applied one.
bool apply_version(node_lease& lease, std::uint64_t version);

// Renews the lease when a request sent at sent_at is acknowledged; it is valid for
// lease_duration from then. Does nothing while no version is applied, or a newer one
// than the applied one is known.
void renew(node_lease& lease, time_point sent_at, milliseconds lease_duration);

// Whether the node may accept new work. With keep_serving it may do so after the lease
// expired, but not while it knows a newer version than the applied one.
bool may_take_work(const node_lease& lease, control_loss_policy policy, time_point now);

} // namespace marigoldstep
