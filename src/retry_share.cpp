#include "marigoldstep/retry_share.h"

namespace marigoldstep {

namespace {

// Requests cross between routers' windows and the counts of callers; a part of
// the budget stays unused for that.
constexpr double safety = 0.8;

void expire(std::deque<time_point>& times, duration window, time_point now) {
  while (!times.empty() && now - times.front() > window) {
    times.pop_front();
  }
}

} // namespace

void set_routers(retry_share& share, std::uint32_t routers) {
  share.routers = routers;
}

void note_request(retry_share& share, const std::string& service, time_point now) {
  auto& it = share.services[service];
  expire(it.requests, share.limits.window, now);
  it.requests.push_back(now);
}

bool take_repeat(retry_share& share, const std::string& service, time_point now) {
  auto& it = share.services[service];
  expire(it.requests, share.limits.window, now);
  expire(it.repeats, share.limits.window, now);
  const double extra = share.routers == 0 ? 0 : share.limits.extra / share.routers;
  const double allowed =
      safety * (share.limits.ratio * static_cast<double>(it.requests.size()) + extra);
  if (static_cast<double>(it.repeats.size()) + 1 > allowed) {
    return false;
  }
  it.repeats.push_back(now);
  return true;
}

} // namespace marigoldstep
