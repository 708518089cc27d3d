#pragma once

#include "timeline.h"

namespace marigoldstep::bench {

// How the modelled routers choose an engine.
enum class policy {
  random,
  least_loaded_replies, // by loads learned from own replies
  least_loaded_lagging, // by all loads as they were 2 s ago
  rendezvous,           // by chat key alone, next candidate after a refusal
  first_version,
  current,
  full_knowledge, // true loads and caches of all engines, no delay
};

std::string_view name(policy value);

struct model_result {
  double reuse = 0; // cached prefix tokens over those of returning chats
  double skew_p50 = 0;
  double skew_p99 = 0;
  double skew_largest = 0;
  // Load after an admission over max(floor, multiple * mean), largest seen.
  double bound_acknowledged = 0; // against the mean that the agent knew
  double bound_true = 0;         // against the mean at that moment
  double refusals_per_request = 0;
  double conditions_per_request = 0; // refused because a condition was not met
  double unreachable_per_request = 0;
  double delayed_share = 0; // requests that no candidate took at the first pass
  std::uint64_t requests = 0;
  std::uint64_t abandoned = 0; // refused for longer than the caller waits
};

// Routes the chats of a fleet through churn under one policy.
model_result run_model(const model_size& size, const timeline& churn, policy rule,
                       std::uint64_t seed);

// Share of each workspace in the traffic, largest first (Zipf).
std::vector<double> workspace_shares(std::uint32_t workspaces);

} // namespace marigoldstep::bench
