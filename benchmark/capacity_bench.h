#pragma once

#include "placement_bench.h"

namespace marigoldstep::bench {

// Measures the cost of an additional server, workspace and claim from two sizes in the
// same run, and writes the results as JSON to path. scripts/capacity derives
// docs/CAPACITY.md from that file. Returns whether the file was written.
bool run_capacity_bench(const bench_options& options, const std::string& path);

} // namespace marigoldstep::bench
