#pragma once

#include "marigoldstep/configuration.h"

namespace marigoldstep {

// Largest number of attempts, running and queued, that one server of a pool may
// carry when the pool's mean load is mean_milli thousandths of an attempt:
// max(load_floor, load_multiple * mean), rounded down.
std::uint32_t load_limit(const limit_settings& limits, std::uint32_t mean_milli);

// A mean older than this is not used. Equals the longest lease, so that it only
// matters with on_control_loss: keep_serving.
inline constexpr auto max_mean_age = duration(2000);

// The mean load of a pool as one heartbeat acknowledgement gave it.
struct mean_report {
  std::uint32_t mean_milli = 0;
  std::uint32_t servers = 0;  // that the mean was taken over
  std::uint32_t own_load = 0; // of this server, as its heartbeat said
  time_point sent_at{};       // when that heartbeat was sent

  friend bool operator==(const mean_report&, const mean_report&) = default;
};

// The last report, and the last one over the most servers within max_mean_age.
// After a change of leader the first reports cover only the few servers that the
// new leader has heard, in the extreme only this one.
struct mean_history {
  mean_report latest;
  mean_report widest;
};

void record_mean_report(mean_history& history, const mean_report& report);

// The mean to use now: the reported one, less what this server's own load has
// fallen since, and 0 when the report is too old. A report over fewer servers
// does not raise it within max_mean_age. docs/decisions/load-bound.md gives the
// reasons.
std::uint32_t effective_mean(const mean_history& history, std::uint32_t load,
                             time_point now);

// load_limit for effective_mean.
std::uint32_t current_limit(const limit_settings& limits, const mean_history& history,
                            std::uint32_t load, time_point now);

} // namespace marigoldstep
