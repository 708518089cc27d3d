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
      {"seed", 0, POPT_ARG_LONGLONG, &seed, 0, "Seed of the model", "N"},
      {"json", 0, POPT_ARG_NONE, &json, 0, "One JSON object a line", nullptr},
      {"only", 0, POPT_ARG_STRING, &only, 0,
       "Part to run: placement, dispatch, raft or capacity", "PART"},
      {"size", 0, POPT_ARG_STRING, &size, 0, "archive, volta or large", "SIZE"},
      {"output", 0, POPT_ARG_STRING, &output, 0,
       "File for the figures of the capacity part", "FILE"},
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
  const std::string_view part = only == nullptr ? "" : only;
  if (!part.empty() && part != "placement" && part != "dispatch" && part != "raft" &&
      part != "capacity") {
    std::fprintf(stderr, "--only: unknown part\n");
    return exit_usage;
  }
  bool targets_met = true;
  if (part.empty() || part == "placement") {
    targets_met = marigoldstep::bench::run_placement_bench(options);
  }
  if (part.empty() || part == "dispatch") {
    targets_met = marigoldstep::bench::run_dispatch_bench(options) && targets_met;
  }
  if (part.empty() || part == "raft") {
    targets_met = marigoldstep::bench::run_raft_bench(options) && targets_met;
  }
  // Only on request: it overwrites a committed file.
  if (part == "capacity") {
    const std::string path = output == nullptr ? "docs/capacity-slopes.json" : output;
    return marigoldstep::bench::run_capacity_bench(options, path) ? 0 : 1;
  }
  return targets_met ? 0 : 1;
}
