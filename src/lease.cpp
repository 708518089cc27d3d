#include "marigoldstep/lease.h"

#include <algorithm>

namespace marigoldstep {

void record_version(node_lease& lease, std::uint64_t version) {
  lease.accepted_version = std::max(lease.accepted_version, version);
}

bool apply_version(node_lease& lease, std::uint64_t version) {
  if (version <= lease.applied_version) {
    return false;
  }
  lease.applied_version = version;
  record_version(lease, version);
  return true;
}

void renew(node_lease& lease, time_point sent_at, milliseconds lease_duration) {
  if (lease.applied_version == 0 || lease.applied_version < lease.accepted_version) {
    return;
  }
  lease.valid_until = std::max(lease.valid_until, sent_at + lease_duration);
}

bool may_take_work(const node_lease& lease, control_loss_policy policy, time_point now) {
  if (lease.applied_version == 0 || lease.applied_version < lease.accepted_version) {
    return false;
  }
  return now < lease.valid_until || policy == control_loss_policy::keep_serving;
}

} // namespace marigoldstep
