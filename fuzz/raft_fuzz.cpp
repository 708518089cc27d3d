// Runs schedules of faults against the replicated log until a violation or a
// number of steps: mstep-raft-fuzz [STEPS [SEED [MEMBERS [FAULT]]]].
#include "raft_simulation.h"

#include <iostream>

int main(int argc, char** argv) {
  const auto number = [&](int i, std::uint64_t fallback) {
    return i < argc ? std::stoull(argv[i]) : fallback;
  };
  const auto max_steps = number(1, 10'000'000);
  auto seed = number(2, 1);
  const auto members = number(3, 3);
  const auto fault = static_cast<simulation::planted_fault>(number(4, 0));
  std::uint64_t steps = 0;
  std::map<std::string, std::uint64_t> counts;
  for (; steps < max_steps; ++seed) {
    simulation::group it({seed, members, 2000, fault});
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
