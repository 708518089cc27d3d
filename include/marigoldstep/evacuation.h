#pragma once

#include "marigoldstep/types.h"

#include <optional>
#include <set>
#include <string>

// Availability zones whose servers get no requests, by order of the operator. The
// functions do no I/O.
namespace marigoldstep {

struct evacuated_zones {
  std::uint64_t number = 0; // counts the changes; 0: none yet
  std::set<std::string> zones;

  friend bool operator==(const evacuated_zones&, const evacuated_zones&) = default;
};

struct evacuation_change {
  std::set<std::string> begun;
  std::set<std::string> ended;

  friend bool operator==(const evacuation_change&, const evacuation_change&) = default;
};

// Replaces current by newer if that has a higher number, and returns what changes.
// Returns nullopt for an older or equal state, which may arrive late.
std::optional<evacuation_change> update_evacuations(evacuated_zones& current,
                                                    const evacuated_zones& newer);

inline bool is_evacuated(const evacuated_zones& state, const std::string& zone) {
  return state.zones.contains(zone);
}

} // namespace marigoldstep
