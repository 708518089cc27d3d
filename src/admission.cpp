#include "marigoldstep/admission.h"

#include <algorithm>

namespace marigoldstep {

namespace {

// One heartbeat interval, the earliest time at which a lease can be renewed.
constexpr auto lease_retry_delay = duration(500);
constexpr auto min_retry_delay = duration(20);
constexpr auto max_retry_delay = duration(2000);

admission_decision refuse(errc code, duration retry_after = duration(0)) {
  return {admission::refuse, not_run(code, retry_after)};
}

duration load_retry_delay(const admission_inputs& facts) {
  return std::clamp(facts.slot_interval, min_retry_delay, max_retry_delay);
}

} // namespace

admission_decision decide_admission(const admission_request& request,
                                    const admission_inputs& facts) {
  // A node that knows of a newer configuration must not admit work, even with a valid
  // lease. It will fetch that configuration soon, so the request is held.
  const auto newest = std::max(facts.newest_version, request.sender_version);
  if (facts.applied_version < newest) {
    return {admission::hold, {}};
  }
  if (facts.applied_version == 0) {
    return refuse(errc::no_configuration, lease_retry_delay);
  }
  if (!facts.may_take_work) {
    return refuse(errc::lease_expired, lease_retry_delay);
  }
  if (request.sender_version < facts.applied_version) {
    return refuse(errc::stale_configuration);
  }
  const bool other_process = request.server_incarnation != 0 &&
                             request.server_incarnation != facts.own_incarnation;
  if (other_process) {
    return refuse(errc::wrong_incarnation);
  }
  if (facts.draining) {
    return refuse(errc::server_draining);
  }
  if (request.time_left <= duration(0)) {
    return refuse(errc::deadline_exceeded);
  }
  if (facts.load >= facts.limit) {
    return refuse(errc::load_limit_reached, load_retry_delay(facts));
  }
  if (facts.queue_full) {
    return refuse(errc::queue_full, load_retry_delay(facts));
  }
  if (!facts.meets_deadline) {
    return refuse(errc::deadline_exceeded);
  }
  return {admission::admit, {}};
}

} // namespace marigoldstep
