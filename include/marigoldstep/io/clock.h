#pragma once

#include "marigoldstep/types.h"

#include <random>

namespace marigoldstep::io {

// Monotonic time.
time_point now();

// Wall clock in seconds since the Unix epoch.
unix_seconds wall_clock();

// Incarnation of this process: the wall clock in microseconds at the first call.
incarnation process_incarnation();

// Generator seeded once from the system's entropy source.
std::mt19937_64& random_engine();

// Unguessable id, drawn from the system's entropy source.
attempt_id make_attempt_id();

} // namespace marigoldstep::io
