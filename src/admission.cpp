#include "marigoldstep/admission.h"

#include <algorithm>

namespace marigoldstep {

namespace {

// One heartbeat interval, the earliest time at which a lease can be renewed.
constexpr auto lease_retry_delay = milliseconds(500);
constexpr auto min_retry_delay = milliseconds(20);
constexpr auto max_retry_delay = milliseconds(2000);

admission_decision refuse(errc code, milliseconds retry_after = milliseconds(0)) {
  return {admission::refuse, not_run(code, retry_after)};
}

milliseconds load_retry_delay(const admission_inputs& inputs) {
  return std::clamp(inputs.slot_interval, min_retry_delay, max_retry_delay);
}

} // namespace

admission_decision decide_admission(const admission_request& request,
                                    const admission_inputs& inputs) {
  // A node that knows of a newer configuration must not admit work, even with a valid
  // lease. It will fetch that configuration soon, so the request is held.
  const auto newest = std::max(inputs.newest_version, request.sender_version);
  if (inputs.applied_version < newest) {
    return {admission::hold, {}};
  }
  if (inputs.applied_version == 0) {
    return refuse(errc::no_configuration, lease_retry_delay);
  }
  if (!inputs.may_take_work) {
    return refuse(errc::lease_expired, lease_retry_delay);
  }
  if (request.sender_version < inputs.applied_version) {
    return refuse(errc::stale_configuration);
  }
  const bool other_process = request.server_incarnation != 0 &&
                             request.server_incarnation != inputs.own_incarnation;
  if (other_process) {
    return refuse(errc::wrong_incarnation);
  }
  if (inputs.draining) {
    return refuse(errc::server_draining);
  }
  if (request.time_left <= milliseconds(0)) {
    return refuse(errc::deadline_exceeded);
  }
  if (inputs.load >= inputs.limit) {
    return refuse(errc::load_limit_reached, load_retry_delay(inputs));
  }
  if (inputs.queue_full) {
    return refuse(errc::queue_full, load_retry_delay(inputs));
  }
  if (!inputs.meets_deadline) {
    return refuse(errc::deadline_exceeded);
  }
  return {admission::admit, {}};
}

} // namespace marigoldstep
