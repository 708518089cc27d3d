#include "marigoldstep/request_limit.h"

#include <algorithm>
#include <cmath>

namespace marigoldstep {

namespace {

// After this, a time at which a request could have been sent lapses.
constexpr double unused_time_ms = 1000;
// Part of the limit that is used. The rest allows for requests of several routers that
// fall together, and for a number of routers that is known late.
constexpr double safety_factor = 0.9;
// A server that asks for fewer requests gets these: only a response tells that its limit
// has ended.
constexpr double min_per_second = 0.25;
constexpr double ms_per_s = 1000;

double to_ms(time_point at) {
  return static_cast<double>(at.time_since_epoch().count());
}

// The first of this router's times that has not lapsed.
double next_time(const request_limit& limit, time_point now) {
  const double lapsed = to_ms(now) - unused_time_ms - limit.next_ms;
  return lapsed <= 0
             ? limit.next_ms
             : limit.next_ms + std::ceil(lapsed / limit.interval_ms) * limit.interval_ms;
}

bool is_limited(const request_limit& limit, incarnation started) {
  return limit.per_second > 0 && limit.started == started;
}

} // namespace

bool set_request_limit(request_limit& limit, incarnation started,
                       std::optional<double> per_second, std::uint32_t routers,
                       std::uint64_t random_value, time_point now) {
  if (started < limit.started) {
    return false;
  }
  const auto before = limit;
  if (!per_second) {
    limit = {started, 0, 0, 0};
    return is_limited(before, started);
  }
  const double rate = std::max(*per_second, min_per_second);
  const double interval = ms_per_s * std::max(1U, routers) / (rate * safety_factor);
  if (is_limited(limit, started)) {
    // Keeps the routers' times apart from each other.
    const double left = next_time(limit, now) - to_ms(now);
    limit.next_ms = to_ms(now) + left * interval / limit.interval_ms;
  } else {
    constexpr double random_range = 0x1.0p64;
    limit.next_ms =
        to_ms(now) + static_cast<double>(random_value) / random_range * interval;
  }
  limit.started = started;
  limit.per_second = rate;
  limit.interval_ms = interval;
  return !is_limited(before, started) || before.per_second != rate;
}

milliseconds request_delay(const request_limit& limit, incarnation started,
                           time_point now) {
  if (!is_limited(limit, started)) {
    return milliseconds(0);
  }
  const double wait = std::ceil(std::max(0.0, next_time(limit, now) - to_ms(now)));
  return milliseconds(static_cast<milliseconds::rep>(wait));
}

void use_request_limit(request_limit& limit, incarnation started, time_point now) {
  if (is_limited(limit, started)) {
    limit.next_ms = next_time(limit, now) + limit.interval_ms;
  }
}

} // namespace marigoldstep
