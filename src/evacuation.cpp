#include "marigoldstep/evacuation.h"

#include <algorithm>
#include <iterator>

namespace marigoldstep {

std::optional<evacuation_change> update_evacuations(evacuated_zones& current,
                                                    const evacuated_zones& newer) {
  if (newer.number <= current.number) {
    return std::nullopt;
  }
  evacuation_change out;
  const auto add_difference = [](const auto& left, const auto& right, auto& difference) {
    std::set_difference(left.begin(), left.end(), right.begin(), right.end(),
                        std::inserter(difference, difference.end()));
  };
  add_difference(newer.zones, current.zones, out.begun);
  add_difference(current.zones, newer.zones, out.ended);
  current = newer;
  return out;
}

} // namespace marigoldstep
