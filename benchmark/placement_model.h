#pragma once

#include "timeline.h"

namespace marigoldstep::bench {

// Policy by which the simulated routers choose an engine.
enum class placement_policy {
  random,
  least_loaded_replies, // by the loads in replies to the router's own requests
  least_loaded_lagging, // by the loads of all engines 2 s ago
  rendezvous,           // by chat key only; the next candidate after a refusal
  first_version,
  current,
  full_knowledge, // by the current loads and caches of all engines
};

std::string_view name(placement_policy value);

struct model_result {
  double reuse = 0; // cached share of the prefix tokens of returning chats
  double skew_p50 = 0;
  double skew_p99 = 0;
  double skew_largest = 0;
  // Largest ratio of the load after an admission to max(floor, multiple * mean).
  double bound_acknowledged = 0; // with the mean last acknowledged to the agent
  double bound_true = 0;         // with the mean at that moment
  double refusals_per_request = 0;
  double conditions_per_request = 0; // attempts whose condition was not met
  double unreachable_per_request = 0;
  double delayed_share = 0; // requests that no candidate admitted in the first pass
  std::uint64_t requests = 0;
  std::uint64_t abandoned = 0; // still refused after max_retries, when callers give up
};

// Simulates the chats of a fleet under churn with one placement policy.
model_result run_model(const model_size& size, const timeline& churn,
                       placement_policy policy, std::uint64_t seed);

// Share of each workspace in the traffic, largest first: a Zipf distribution.
std::vector<double> workspace_shares(std::uint32_t workspaces);

} // namespace marigoldstep::bench
