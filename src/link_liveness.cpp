#include "marigoldstep/link_liveness.h"

#include <algorithm>

namespace marigoldstep {

void record_probe(link_liveness& link, time_point now) {
  link.unanswered.push_back(now);
}

void record_answer(link_liveness& link, time_point now) {
  link.answered_at = now;
  if (link.unanswered.empty()) {
    return;
  }
  if (now - link.unanswered.front() <= min_silence_timeout) {
    link.timeout = min_silence_timeout;
  }
  link.unanswered.pop_front();
}

bool is_silent(const link_liveness& link, time_point now) {
  return !link.unanswered.empty() && now - link.unanswered.front() > link.timeout;
}

link_liveness replace_silent(const link_liveness& link, time_point now) {
  link_liveness out;
  out.answered_at = now;
  out.timeout = std::min(2 * link.timeout, max_silence_timeout);
  return out;
}

} // namespace marigoldstep
