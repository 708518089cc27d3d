#include "marigoldstep/retry_share.h"

namespace marigoldstep {

namespace {

// Part of the budget that is used. The rest allows for requests that fall into
// different windows at the routers and in the counts of callers.
constexpr double safety_factor = 0.8;

void remove_expired_times(std::deque<time_point>& times, milliseconds window,
                          time_point now) {
  while (!times.empty() && now - times.front() > window) {
    times.pop_front();
  }
}

} // namespace

void set_routers(retry_share& share, std::uint32_t routers) {
  share.routers = routers;
}

void record_request(retry_share& share, const std::string& service, time_point now) {
  auto& it = share.services[service];
  remove_expired_times(it.requests, share.limits.window, now);
  it.requests.push_back(now);
}

bool take_shared_retry(retry_share& share, const std::string& service, time_point now) {
  auto& it = share.services[service];
  remove_expired_times(it.requests, share.limits.window, now);
  remove_expired_times(it.retries, share.limits.window, now);
  const double base_retries =
      share.routers == 0 ? 0 : share.limits.base_retries / share.routers;
  const double allowed =
      safety_factor *
      (share.limits.ratio * static_cast<double>(it.requests.size()) + base_retries);
  if (static_cast<double>(it.retries.size()) + 1 > allowed) {
    return false;
  }
  it.retries.push_back(now);
  return true;
}

} // namespace marigoldstep
