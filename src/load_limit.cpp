#include "marigoldstep/load_limit.h"

#include <algorithm>

namespace marigoldstep {

std::uint32_t load_limit(const limit_settings& limits, std::uint32_t mean_milli) {
  const double bound = limits.load_multiple * mean_milli / 1000.0;
  return std::max(limits.load_floor, static_cast<std::uint32_t>(bound));
}

} // namespace marigoldstep
