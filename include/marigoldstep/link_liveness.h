#pragma once

#include "marigoldstep/types.h"

#include <deque>

// Decides whether an open connection still carries bytes in both directions. A network
// can lose every packet of a connection without closing it, so the sender sends probes,
// which the receiver answers in order.
namespace marigoldstep {

// Tolerates two lost or late answers to probes sent every 500 ms.
inline constexpr milliseconds min_silence_timeout{1500};
inline constexpr milliseconds max_silence_timeout{24'000};

// A probe waits behind the bytes sent before it, so an answer may be late over a slow
// network link. The timeout therefore doubles with each connection that worked at first
// and was replaced, until answers are on time for longer than the timeout.
struct link_liveness {
  std::deque<time_point> unanswered; // when each of these probes was sent
  time_point opened_at{};
  time_point answered_at{}; // latest answer, or when the connection opened
  milliseconds timeout = min_silence_timeout;
};

link_liveness begin_link(time_point now);

void record_probe(link_liveness& link, time_point now);
void record_answer(link_liveness& link, time_point now);

// Whether an answer is overdue.
bool is_silent(const link_liveness& link, time_point now);

// State of the connection that opened in place of a silent one.
link_liveness begin_replacement(const link_liveness& silent, time_point now);

} // namespace marigoldstep
