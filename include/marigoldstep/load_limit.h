#pragma once

#include "marigoldstep/configuration.h"

namespace marigoldstep {

// Maximum number of attempts, running and queued, at one server of a pool whose mean
// load is mean_milli thousandths of an attempt:
// max(load_floor, load_multiple * mean), rounded down.
std::uint32_t load_limit(const limit_settings& limits, std::uint32_t mean_milli);

// An older mean is not used. Equals the longest lease, so it only takes effect with
// on_control_loss: keep_serving.
inline constexpr auto max_mean_age = milliseconds(2000);

// The mean load of a pool from one heartbeat acknowledgement.
struct mean_report {
  std::uint32_t mean_milli = 0;
  std::uint32_t servers = 0;  // included in the mean
  std::uint32_t own_load = 0; // of this server, from its heartbeat
  time_point sent_at{};       // when that heartbeat was sent

  friend bool operator==(const mean_report&, const mean_report&) = default;
};

// The last report, and the last of those within max_mean_age that cover the most
// servers. After a change of leader, the first reports cover only the servers from which
// the new leader has received heartbeats, possibly only this one.
struct mean_history {
  mean_report latest;
  mean_report widest;
};

void record_mean_report(mean_history& history, const mean_report& report);

// The mean to use now: the reported mean, reduced by this server's share of the drop of
// its own load since the report; 0 if the report is too old. A report over fewer
// servers does not raise it within max_mean_age. See docs/decisions/load-bound.md for
// the reasons.
std::uint32_t effective_mean(const mean_history& history, std::uint32_t load,
                             time_point now);

// load_limit for effective_mean.
std::uint32_t current_limit(const limit_settings& limits, const mean_history& history,
                            std::uint32_t load, time_point now);

} // namespace marigoldstep
