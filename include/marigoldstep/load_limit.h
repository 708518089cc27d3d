#pragma once

#include "marigoldstep/configuration.h"

namespace marigoldstep {

// Largest number of attempts, running and queued, that one server of a pool may
// carry when the pool's mean load is mean_milli thousandths of an attempt:
// max(load_floor, load_multiple * mean), rounded down.
std::uint32_t load_limit(const limit_settings& limits, std::uint32_t mean_milli);

} // namespace marigoldstep
