#include "marigoldstep/link_liveness.h"

namespace marigoldstep {

namespace {

// Tolerates two lost or late answers to probes sent every 500 ms.
constexpr auto silence_timeout = milliseconds(1500);
// 0.2 Mbit/s.
constexpr std::uint64_t slowest_bytes_per_ms = 25;

} // namespace

void record_probe(link_liveness& link, std::uint64_t bytes_sent) {
  link.unanswered.push_back(bytes_sent);
}

void record_answer(link_liveness& link, time_point now) {
  link.answered_at = now;
  if (!link.unanswered.empty()) {
    link.answered = link.unanswered.front();
    link.unanswered.pop_front();
  }
}

bool is_silent(const link_liveness& link, std::uint64_t bytes_sent, time_point now) {
  const auto transmission = milliseconds(static_cast<milliseconds::rep>(
      (bytes_sent - link.answered) / slowest_bytes_per_ms));
  return now - link.answered_at > silence_timeout + transmission;
}

} // namespace marigoldstep
