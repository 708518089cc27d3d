#include "first_version.h"

#include <algorithm>
#include <cmath>

namespace marigoldstep::bench {

namespace {

constexpr auto max_observation_age = milliseconds(2000);

std::uint64_t hash_pair(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a ^ b;
  x ^= x >> 32U;
  x *= 0xd6e8feb86659fd93ULL;
  x ^= x >> 32U;
  x *= 0xd6e8feb86659fd93ULL;
  return x ^ (x >> 32U);
}

double rendezvous_score(std::uint64_t hash, std::uint32_t weight_milli) {
  const double unit = (static_cast<double>(hash >> 11U) + 1.0) * 0x1.0p-53;
  return -static_cast<double>(weight_milli) / std::log(unit);
}

bool is_skipped(const server_observation& observation, double reuse_bias,
                time_point now) {
  if (observation.circuit_open || now < observation.avoid_until) {
    return true;
  }
  if (observation.limit == 0 || now - observation.observed_at > max_observation_age) {
    return false;
  }
  return observation.running + observation.queued >=
         observation.limit * (0.8 + 0.2 * reuse_bias);
}

} // namespace

candidate_list first_version_candidates(const placement_table& table,
                                        const placement_key& key, std::size_t max_count) {
  candidate_list out;
  std::array<double, max_candidates> best{};
  const auto limit = std::min(max_count, max_candidates);
  for (std::uint32_t i = 0; i < table.servers.size(); ++i) {
    const auto& server = table.servers[i];
    if (server.state != server_state::serving) {
      continue;
    }
    const double score =
        rendezvous_score(hash_pair(key.chat, table.seeds[i]), server.weight_milli);
    std::size_t at = out.count;
    while (at > 0 && best[at - 1] < score) {
      --at;
    }
    if (at >= limit) {
      continue;
    }
    out.count = std::min(out.count + 1, limit);
    for (std::size_t j = out.count - 1; j > at; --j) {
      best[j] = best[j - 1];
      out.index[j] = out.index[j - 1];
    }
    best[at] = score;
    out.index[at] = i;
  }
  return out;
}

placement_choice first_version_choice(const candidate_list& candidates,
                                      std::span<const server_observation> observations,
                                      std::span<const std::uint32_t> tried,
                                      double reuse_bias, time_point now) {
  placement_choice out;
  for (std::size_t i = 0; i < candidates.count; ++i) {
    const auto server = candidates.index[i];
    if (std::find(tried.begin(), tried.end(), server) != tried.end()) {
      continue;
    }
    if (!is_skipped(observations[server], reuse_bias, now)) {
      return {server, i == 0 ? choice_reason::preferred : choice_reason::overflow, {}};
    }
    if (out.reason == choice_reason::none && !observations[server].circuit_open) {
      out = {server, choice_reason::last_resort, {}};
    }
  }
  return out;
}

} // namespace marigoldstep::bench
