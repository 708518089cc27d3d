#include "marigoldstep/load_limit.h"

#include <algorithm>

namespace marigoldstep {

std::uint32_t load_limit(const limit_settings& limits, std::uint32_t mean_milli) {
  const double bound = limits.load_multiple * mean_milli / 1000.0;
  return std::max(limits.load_floor, static_cast<std::uint32_t>(bound));
}

namespace {

bool is_fresh(const mean_report& report, time_point now) {
  return report.servers > 0 && now - report.sent_at <= max_mean_age;
}

// The reported mean without the drop of this server's own load since then. The drop is
// divided by the number of servers, rounded up.
std::uint32_t subtract_load_drop(const mean_report& report, std::uint32_t load) {
  if (load >= report.own_load) {
    return report.mean_milli;
  }
  const std::uint64_t drop_milli = (report.own_load - load) * std::uint64_t{1000};
  const auto share = (drop_milli + report.servers - 1) / report.servers;
  return report.mean_milli -
         static_cast<std::uint32_t>(std::min<std::uint64_t>(share, report.mean_milli));
}

} // namespace

void record_mean_report(mean_history& history, const mean_report& report) {
  history.latest = report;
  const bool wide = report.servers >= history.widest.servers;
  if (wide || !is_fresh(history.widest, report.sent_at)) {
    history.widest = report;
  }
}

std::uint32_t effective_mean(const mean_history& history, std::uint32_t load,
                             time_point now) {
  if (!is_fresh(history.latest, now)) {
    return 0;
  }
  const auto latest = subtract_load_drop(history.latest, load);
  return is_fresh(history.widest, now)
             ? std::min(latest, subtract_load_drop(history.widest, load))
             : latest;
}

std::uint32_t current_limit(const limit_settings& limits, const mean_history& history,
                            std::uint32_t load, time_point now) {
  return load_limit(limits, effective_mean(history, load, now));
}

} // namespace marigoldstep
