#include "capacity_bench.h"
#include "dispatch_bench.h"
#include "placement_bench.h"
#include "raft_bench.h"

#include <cstdio>
#include <popt.h>
#include <string_view>
#include <vector>

namespace {

constexpr int exit_usage = 2;

} // namespace

int main(int argc, char** argv) {
  marigoldstep::bench::bench_options options;
  long long seed = 1;
  int json = 0;
  char* only = nullptr;
  char* size = nullptr;
  char* output = nullptr;
  poptOption table[] = {
      {"seed", 0, POPT_ARG_LONGLONG, &seed, 0, "Random seed", "N"},
      {"json", 0, POPT_ARG_NONE, &json, 0, "Print one JSON object per line", nullptr},
      {"only", 0, POPT_ARG_STRING, &only, 0,
       "Benchmark to run: placement, dispatch, raft or capacity", "NAME"},
      {"size", 0, POPT_ARG_STRING, &size, 0,
       "Fleet size of the placement benchmark: archive, volta or large", "SIZE"},
      {"output", 0, POPT_ARG_STRING, &output, 0, "Output file of the capacity benchmark",
       "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  std::vector<const char*> arguments(argv, argv + argc);
  poptContext context = poptGetContext("mstep-bench", argc, arguments.data(), table, 0);
  const int rc = poptGetNextOpt(context);
  if (rc < -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(context, 0), poptStrerror(rc));
    poptFreeContext(context);
    return exit_usage;
  }
  poptFreeContext(context);
  options.seed = static_cast<std::uint64_t>(seed);
  options.json = json != 0;
  options.size = size == nullptr ? "" : size;
  const std::string_view selected = only == nullptr ? "" : only;
  if (!selected.empty() && selected != "placement" && selected != "dispatch" &&
      selected != "raft" && selected != "capacity") {
    std::fprintf(stderr, "--only: unknown benchmark\n");
    return exit_usage;
  }
  bool targets_met = true;
  if (selected.empty() || selected == "placement") {
    targets_met = marigoldstep::bench::run_placement_bench(options);
  }
  if (selected.empty() || selected == "dispatch") {
    targets_met = marigoldstep::bench::run_dispatch_bench(options) && targets_met;
  }
  if (selected.empty() || selected == "raft") {
    targets_met = marigoldstep::bench::run_raft_bench(options) && targets_met;
  }
  // Runs only on request, because it overwrites a committed file.
  if (selected == "capacity") {
    const std::string path = output == nullptr ? "docs/capacity-slopes.json" : output;
    return marigoldstep::bench::run_capacity_bench(options, path) ? 0 : 1;
  }
  return targets_met ? 0 : 1;
}
