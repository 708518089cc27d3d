#pragma once

#include <cstdint>
#include <string>

namespace marigoldstep::bench {

struct bench_options {
  std::uint64_t seed = 1;
  bool json = false;
  std::string size; // archive, volta or large; empty runs all
};

// Prints the results of all placement policies for each fleet size, and the trade-off
// between cache reuse and load skew over reuse_bias. Returns whether every target was
// met.
bool run_placement_bench(const bench_options& options);

} // namespace marigoldstep::bench
