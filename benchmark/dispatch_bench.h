#pragma once

#include "placement_bench.h"

namespace marigoldstep::bench {

// Measures what one choice of a backend server by a gateway costs, and the memory of
// what it keeps, at the sizes that the fleet is meant for. Returns whether the
// targets are met.
bool run_dispatch_bench(const bench_options& options);

} // namespace marigoldstep::bench
