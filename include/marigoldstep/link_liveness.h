#pragma once

#include "marigoldstep/types.h"

#include <cstdint>
#include <deque>

// Decides whether an open connection still carries bytes in both directions. A network
// can lose every packet of a connection without closing it, so the sender sends probes,
// which the receiver answers in order.
namespace marigoldstep {

struct link_liveness {
  std::deque<std::uint64_t> unanswered; // bytes sent up to the end of each probe
  std::uint64_t answered = 0;           // the same for the latest probe with an answer
  time_point answered_at{};             // or when the connection opened
};

// bytes_sent: since the connection opened, the probe included.
void record_probe(link_liveness& link, std::uint64_t bytes_sent);
void record_answer(link_liveness& link, time_point now);

// Whether an answer is overdue. A probe waits behind the bytes sent before it, so the
// timeout grows by the time that these take over the slowest supported network link.
bool is_silent(const link_liveness& link, std::uint64_t bytes_sent, time_point now);

} // namespace marigoldstep
