// Runs simulations of the replicated log with increasing seeds until a violation is
// found or STEPS steps are done: mstep-raft-fuzz [STEPS [SEED [MEMBERS [BUG]]]]. BUG is
// the number of an injected_bug.
#include "raft_simulation.h"

#include <iostream>

int main(int argc, char** argv) {
  const auto argument_or = [&](int i, std::uint64_t fallback) {
    return i < argc ? std::stoull(argv[i]) : fallback;
  };
  const auto max_steps = argument_or(1, 10'000'000);
  auto seed = argument_or(2, 1);
  const auto members = argument_or(3, 3);
  const auto bug = static_cast<simulation::injected_bug>(argument_or(4, 0));
  std::uint64_t steps = 0;
  std::map<std::string, std::uint64_t> counts;
  for (; steps < max_steps; ++seed) {
    simulation::simulated_group it({seed, members, 2000, bug});
    const auto violation = it.run();
    steps += it.steps();
    for (const auto& [key, n] : it.counts) {
      counts[key] += n;
    }
    if (!violation.empty()) {
      std::cout << "seed=" << seed << " members=" << members << " steps=" << steps << " "
                << violation << "\n"
                << it.describe();
      return 1;
    }
  }
  std::cout << "steps=" << steps << " members=" << members << " next_seed=" << seed;
  for (const auto& [key, n] : counts) {
    std::cout << " " << key << "=" << n;
  }
  std::cout << "\n";
  return 0;
}
