#pragma once

#include "marigoldstep/types.h"

#include <QTimer>

#include <functional>

namespace marigoldstep::io {

// Calls a function once, when the monotonic clock has reached a time and never before. A
// QTimer alone is no deadline: Qt's default type may fire up to 5% of its interval early.
class deadline_timer {
public:
  // The function may start the timer again, but not destroy it.
  explicit deadline_timer(std::function<void()> on_reached);
  deadline_timer(const deadline_timer&) = delete;
  deadline_timer& operator=(const deadline_timer&) = delete;

  // Replaces an earlier deadline. A time in the past is reached at once, from the event
  // loop.
  void start(time_point deadline);
  // The same, with the time from now on.
  void start(milliseconds delay);
  void stop();
  [[nodiscard]] bool is_active() const { return timer_.isActive(); }

private:
  void arm();
  void check();

  std::function<void()> on_reached_;
  time_point deadline_{};
  QTimer timer_;
};

} // namespace marigoldstep::io
