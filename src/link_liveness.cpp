#include "marigoldstep/link_liveness.h"

#include <algorithm>

namespace marigoldstep {

link_liveness begin_link(time_point now) {
  link_liveness out;
  out.opened_at = out.answered_at = now;
  return out;
}

void record_probe(link_liveness& link, time_point now) {
  link.unanswered.push_back(now);
}

void record_answer(link_liveness& link, time_point now) {
  link.answered_at = now;
  if (link.unanswered.empty()) {
    return;
  }
  const bool is_on_time = now - link.unanswered.front() <= min_silence_timeout;
  if (is_on_time && now - link.opened_at > link.timeout) {
    link.timeout = min_silence_timeout;
  }
  link.unanswered.pop_front();
}

bool is_silent(const link_liveness& link, time_point now) {
  return !link.unanswered.empty() && now - link.unanswered.front() > link.timeout;
}

link_liveness begin_replacement(const link_liveness& silent, time_point now) {
  auto out = begin_link(now);
  const bool has_worked = silent.answered_at > silent.opened_at;
  if (has_worked) {
    out.timeout = std::min(2 * silent.timeout, max_silence_timeout);
  }
  return out;
}

} // namespace marigoldstep
