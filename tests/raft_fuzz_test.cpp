#include "raft_simulation.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace simulation;

namespace {

struct fuzz_result {
  std::uint64_t steps = 0;
  std::uint64_t seed = 0; // of the last run; if there is a violation, of that run
  std::string violation;
  std::map<std::string, std::uint64_t> counts;
};

fuzz_result run_seeds(injected_bug bug, std::size_t slots, std::uint64_t first_seed,
                      std::uint64_t max_steps) {
  fuzz_result out;
  for (auto seed = first_seed; out.steps < max_steps && out.violation.empty(); ++seed) {
    simulated_group it({seed, slots, 2000, bug});
    out.violation = it.run();
    // An injected bug must violate a safety property, not just stop progress.
    if (bug != injected_bug::none &&
        out.violation.find("no progress") != std::string::npos) {
      out.violation.clear();
    }
    out.seed = seed;
    out.steps += it.steps();
    for (const auto& [key, n] : it.counts) {
      out.counts[key] += n;
    }
  }
  return out;
}

} // namespace

// Guards against lost or changed committed entries, two leaders in a term, stale
// confirmed reads and a group that makes no progress. The schedules contain lost,
// duplicated, delayed and reordered messages, crashes with torn writes, lost disks and
// replaced members.
TEST_CASE("a group stays safe and makes progress under injected faults") {
  const std::size_t slots = GENERATE(1, 2, 3, 5);
  constexpr std::uint64_t steps = 2'000'000;
  const auto result = run_seeds(injected_bug::none, slots, 1000 * slots, steps);
  INFO("seed " << result.seed << " with " << slots << " members: " << result.violation);
  CHECK(result.violation.empty());
  CHECK(result.steps >= steps);
  // A run without a violation shows nothing unless these faults occurred in it.
  for (const auto* kind : {"crash", "torn_write", "leader_isolated", "snapshot"}) {
    CHECK(result.counts.at(kind) > 100);
  }
  if (slots >= 3) {
    for (const auto* kind : {"disk_lost", "lost", "install", "member_changed"}) {
      CHECK(result.counts.at(kind) > 50);
    }
  }
  CHECK(result.counts.at("write") > 10'000);
  CHECK(result.counts.at("read") > 5'000);
}

// Guards against a simulation whose checks find nothing: each bug injected into the
// members must be detected within a bounded number of steps.
TEST_CASE("the simulation detects injected bugs") {
  constexpr std::uint64_t steps = 3'000'000;
  const auto [bug, slots] =
      GENERATE(table<injected_bug, std::size_t>({{injected_bug::skipped_sync, 3},
                                                 {injected_bug::reused_identity, 3},
                                                 {injected_bug::old_term_commit, 3}}));
  const auto result = run_seeds(bug, slots, 1, steps);
  std::cout << "injected bug " << static_cast<int>(bug) << " found after " << result.steps
            << " steps: " << result.violation << "\n";
  CHECK_FALSE(result.violation.empty());
}
