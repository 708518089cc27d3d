#pragma once

#include "placement_bench.h"

namespace marigoldstep::bench {

// Measures what one more server, workspace or claim costs, at two sizes in the
// same run, and writes the figures as JSON to path. scripts/capacity works
// docs/CAPACITY.md out of that file. Returns whether the file was written.
bool run_capacity_bench(const bench_options& options, const std::string& path);

} // namespace marigoldstep::bench
