#pragma once

#include "placement_bench.h"

namespace marigoldstep::bench {

// Measures the time in which a gateway chooses a backend server, and the memory of its
// dispatch state, at the intended fleet sizes. Returns whether the targets are met.
bool run_dispatch_bench(const bench_options& options);

} // namespace marigoldstep::bench
