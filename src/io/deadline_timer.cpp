#include "marigoldstep/io/deadline_timer.h"

#include "marigoldstep/io/clock.h"

#include <algorithm>

namespace marigoldstep::io {

namespace {

// Qt counts an interval in an int of milliseconds, which ends after 24 days.
constexpr auto max_interval = std::chrono::hours(24);
// now() is truncated to a millisecond, so a delay from now on may begin that much late.
constexpr auto clock_resolution = milliseconds(1);

} // namespace

deadline_timer::deadline_timer(std::function<void()> on_reached)
    : on_reached_(std::move(on_reached)) {
  timer_.setSingleShot(true);
  timer_.setTimerType(Qt::PreciseTimer);
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { check(); });
}

void deadline_timer::start(time_point deadline) {
  // A timer that fires before a later deadline is armed again then, which costs less than
  // a new QTimer interval with each byte that moves the deadline.
  const bool fires_in_time = timer_.isActive() && deadline >= deadline_;
  deadline_ = deadline;
  if (!fires_in_time) {
    arm();
  }
}

void deadline_timer::start(milliseconds delay) {
  start(now() + delay + clock_resolution);
}

void deadline_timer::stop() {
  timer_.stop();
}

void deadline_timer::arm() {
  const auto left = std::clamp<milliseconds>(deadline_ - now(), milliseconds(0),
                                             milliseconds(max_interval));
  timer_.start(left);
}

void deadline_timer::check() {
  if (now() < deadline_) {
    arm();
    return;
  }
  on_reached_();
}

} // namespace marigoldstep::io
