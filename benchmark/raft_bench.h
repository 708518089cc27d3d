#pragma once

#include "placement_bench.h"

namespace marigoldstep::bench {

// Measures commits, elections, replay and snapshots of the replicated log with real
// syncs, in a subdirectory of the working directory that is removed afterwards. Returns
// whether every log could be stored and read back.
bool run_raft_bench(const bench_options& options);

} // namespace marigoldstep::bench
