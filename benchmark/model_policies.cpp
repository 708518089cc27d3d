#include "first_version.h"
#include "model_state.h"

#include <algorithm>

namespace marigoldstep::bench::detail {

candidate_list model::candidates_for(std::uint32_t router_index, const chat& it) {
  const auto& table = placement_view(routers_[router_index]);
  const placement_key key{workspace_keys_[it.workspace], it.key,
                          workspace_spread_[it.workspace]};
  if (policy_ == placement_policy::current) {
    return find_candidates(table, key, max_candidates);
  }
  if (policy_ == placement_policy::rendezvous ||
      policy_ == placement_policy::first_version) {
    return first_version_candidates(table, key, max_candidates);
  }
  return {};
}

int model::pick_random() {
  for (int i = 0; i < 64; ++i) {
    const auto at =
        std::uniform_int_distribution<std::uint32_t>(0, churn_.engines - 1)(random_);
    if (!tried(at) && engines_[at].reachable && !engines_[at].leaving) {
      return static_cast<int>(at);
    }
  }
  return -1;
}

template <typename Load> int model::pick_least_loaded(Load load) {
  int best = -1;
  double lowest_load = 0;
  // Starts at a random engine, so that ties do not always favour the same one.
  const auto start =
      std::uniform_int_distribution<std::uint32_t>(0, churn_.engines - 1)(random_);
  for (std::uint32_t i = 0; i < churn_.engines; ++i) {
    const auto at = (start + i) % churn_.engines;
    const auto& it = engines_[at];
    if (!it.reachable || it.leaving || tried(at)) {
      continue;
    }
    const double value = load(at);
    if (best < 0 || value < lowest_load) {
      best = static_cast<int>(at);
      lowest_load = value;
    }
  }
  return best;
}

// The engine with the most cached tokens of the chat's prefix among those below their
// load limit; the least loaded engine when none has any.
int model::pick_cached(const chat& it) {
  int best = -1;
  std::uint32_t most_cached_tokens = 0;
  for (std::uint32_t i = 0; i < it.known_engines; ++i) {
    const auto at = it.engines[i];
    const auto& candidate = engines_[at];
    const bool usable = candidate.reachable && !candidate.leaving && !tried(at) &&
                        candidate.load < engine_load_limit(at);
    const auto found = usable ? cached_tokens(it, at) : 0;
    if (found > most_cached_tokens) {
      most_cached_tokens = found;
      best = static_cast<int>(at);
    }
  }
  return best >= 0
             ? best
             : pick_least_loaded([this](std::uint32_t at) { return engines_[at].load; });
}

int model::pick_engine(std::uint32_t router_index, const chat& it,
                       const candidate_list& candidates) {
  const auto& observations = routers_[router_index].observations;
  switch (policy_) {
  case placement_policy::random:
    return pick_random();
  case placement_policy::least_loaded_replies:
    return pick_least_loaded([&](std::uint32_t at) { return observations[at].running; });
  case placement_policy::least_loaded_lagging:
    return pick_least_loaded([&](std::uint32_t at) { return past_loads_.back()[at]; });
  case placement_policy::rendezvous:
    for (std::size_t i = 0; i < candidates.count; ++i) {
      if (!tried(candidates.index[i])) {
        return static_cast<int>(candidates.index[i]);
      }
    }
    return -1;
  case placement_policy::first_version: {
    const auto chosen =
        first_version_choice(candidates, observations, tried_, size_.reuse_bias, now_);
    return chosen.reason == choice_reason::none ? -1 : static_cast<int>(chosen.server);
  }
  case placement_policy::current:
    return -1; // uses route_by_plan
  case placement_policy::full_knowledge:
    return pick_cached(it);
  }
  return -1;
}

} // namespace marigoldstep::bench::detail
