#include "marigoldstep/load_limit.h"

#include <algorithm>

namespace marigoldstep {

std::uint32_t load_limit(const limit_settings& limits, std::uint32_t mean_milli) {
  const double bound = limits.load_multiple * mean_milli / 1000.0;
  return std::max(limits.load_floor, static_cast<std::uint32_t>(bound));
}

std::uint32_t usable_mean(const mean_report& report, std::uint32_t load, time_point now) {
  if (report.servers == 0 || now - report.sent_at > mean_lifetime) {
    return 0;
  }
  if (load >= report.own_load) {
    return report.mean_milli;
  }
  const std::uint64_t fall_milli = (report.own_load - load) * std::uint64_t{1000};
  const auto share = (fall_milli + report.servers - 1) / report.servers;
  return share >= report.mean_milli
             ? 0
             : report.mean_milli - static_cast<std::uint32_t>(share);
}

std::uint32_t current_limit(const limit_settings& limits, const mean_report& report,
                            std::uint32_t load, time_point now) {
  return load_limit(limits, usable_mean(report, load, now));
}

} // namespace marigoldstep
