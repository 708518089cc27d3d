#include "marigoldstep/placement.h"

#include <algorithm>
#include <cmath>

namespace marigoldstep {

namespace {

std::uint64_t mix(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a ^ b;
  x ^= x >> 32U;
  x *= 0xd6e8feb86659fd93ULL;
  x ^= x >> 32U;
  x *= 0xd6e8feb86659fd93ULL;
  return x ^ (x >> 32U);
}

double score(std::uint64_t hash, std::uint32_t weight_milli) {
  const double unit = (static_cast<double>(hash >> 11U) + 1.0) * 0x1.0p-53;
  return -static_cast<double>(weight_milli) / std::log(unit);
}

// Observations older than this say nothing about the load of now.
constexpr auto observation_lifetime = duration(2000);

std::string_view reason_to_skip(const server_observation& seen, double reuse_bias,
                                time_point now) {
  if (seen.circuit_open) {
    return "circuit_open";
  }
  if (now < seen.avoid_until) {
    return "refused_lately";
  }
  if (seen.limit == 0 || now - seen.observed_at > observation_lifetime) {
    return {};
  }
  const double load = seen.running + seen.queued;
  const double soft_limit = seen.limit * (0.8 + 0.2 * reuse_bias);
  return load >= soft_limit ? std::string_view("near_limit") : std::string_view();
}

} // namespace

placement_table make_placement_table(std::span<const server_info> servers,
                                     std::string_view service) {
  placement_table table;
  for (const auto& it : servers) {
    if (it.service == service) {
      table.servers.push_back(it);
      table.seeds.push_back(stable_hash(it.node_id));
    }
  }
  return table;
}

placement_key make_placement_key(std::string_view workspace, std::string_view chat_id,
                                 std::uint32_t spread) {
  const auto workspace_key = stable_hash(workspace);
  return {workspace_key, stable_hash(chat_id, workspace_key), spread};
}

candidate_list find_candidates(const placement_table& table, const placement_key& key,
                               std::size_t wanted) {
  candidate_list out;
  std::array<double, max_candidates> best{};
  const auto limit = std::min(wanted, max_candidates);
  for (std::uint32_t i = 0; i < table.servers.size(); ++i) {
    const auto& server = table.servers[i];
    if (server.state != server_state::serving) {
      continue;
    }
    const double value = score(mix(key.chat, table.seeds[i]), server.weight_milli);
    std::size_t at = out.count;
    while (at > 0 && best[at - 1] < value) {
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
    best[at] = value;
    out.index[at] = i;
  }
  return out;
}

std::string_view name(choice_reason value) {
  switch (value) {
  case choice_reason::preferred:
    return "preferred";
  case choice_reason::overflow:
    return "overflow";
  case choice_reason::last_resort:
    return "last_resort";
  case choice_reason::none:
    return "none";
  }
  return "none";
}

choice choose_server(const placement_table& table, const candidate_list& candidates,
                     std::span<const server_observation> observations,
                     std::span<const std::uint32_t> tried, double reuse_bias,
                     time_point now) {
  choice out;
  bool found_fallback = false;
  for (std::size_t i = 0; i < candidates.count; ++i) {
    const auto server = candidates.index[i];
    const auto& id = table.servers[server].node_id;
    if (std::find(tried.begin(), tried.end(), server) != tried.end()) {
      out.passed_over.push_back(id + ":tried");
      continue;
    }
    const auto skip = reason_to_skip(observations[server], reuse_bias, now);
    if (skip.empty()) {
      out.server = server;
      out.reason = i == 0 ? choice_reason::preferred : choice_reason::overflow;
      return out;
    }
    out.passed_over.push_back(id + ":" + std::string(skip));
    if (!found_fallback && !observations[server].circuit_open) {
      out.server = server;
      found_fallback = true;
    }
  }
  out.reason = found_fallback ? choice_reason::last_resort : choice_reason::none;
  return out;
}

} // namespace marigoldstep
