#include "marigoldstep/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace marigoldstep {

namespace {

__extension__ using uint128 = unsigned __int128;

// Folded 128-bit product, as in wyhash (Wang Yi, 2019). Both inputs are already hashes;
// the constants prevent equal inputs from producing a square.
std::uint64_t mix(std::uint64_t a, std::uint64_t b) {
  const auto product =
      static_cast<uint128>(a ^ 0xa0761d6478bd642fULL) * (b ^ 0xe7037ed1a0b428dbULL);
  return static_cast<std::uint64_t>(product) ^ static_cast<std::uint64_t>(product >> 64U);
}

using serving_server = placement_table::serving_server;

// Rendezvous score of a server, comparable between servers. It ranks them like
// -weight / log(unit hash), but only servers below the largest weight need the
// expensive std::pow.
std::uint64_t weighted_score(std::uint64_t hash, std::uint32_t weight_milli,
                             std::uint32_t max_weight_milli) {
  if (weight_milli == max_weight_milli) {
    return hash;
  }
  if (weight_milli == 0) {
    return 0;
  }
  const double unit = (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53;
  const double exponent = static_cast<double>(max_weight_milli) / weight_milli;
  return static_cast<std::uint64_t>(std::pow(unit, exponent) * 0x1.0p64);
}

struct scored_server {
  std::uint64_t score = 0;
  std::uint32_t index = 0;
};
using best_servers = std::array<scored_server, max_candidates>;

// Inserts entry into the first size elements of best in descending order of score, and
// drops the last one.
void insert_sorted(best_servers& best, std::size_t size, scored_server entry) {
  std::size_t at = size - 1;
  for (; at > 0 && best[at - 1].score < entry.score; --at) {
    best[at] = best[at - 1];
  }
  best[at] = entry;
}

// Group of a chat, from 0 to spread - 1. When spread grows, chats only move to the new
// groups.
std::uint32_t jump_hash(std::uint64_t key, std::uint32_t spread) {
  std::int64_t last = -1;
  std::int64_t next = 0;
  while (next < spread) {
    last = next;
    key = key * 2862933555777941757ULL + 1;
    const double divisor = static_cast<double>((key >> 33U) + 1);
    next =
        static_cast<std::int64_t>(static_cast<double>(last + 1) * (0x1.0p31 / divisor));
  }
  return static_cast<std::uint32_t>(last);
}

bool is_grouped(const placement_table& table, const placement_key& key) {
  return key.spread > 0 && key.spread < table.serving.size();
}

std::uint64_t rendezvous_key(const placement_table& table, const placement_key& key) {
  return is_grouped(table, key) ? mix(key.workspace, jump_hash(key.chat, key.spread) + 1)
                                : key.chat;
}

// Orders the candidates after the first by chat, so that the overflow of a full server
// does not all go to the same next server.
void reorder_overflow(const placement_table& table, std::uint64_t chat,
                      candidate_list& out) {
  if (out.count < 2) {
    return;
  }
  std::sort(out.index.begin() + 1,
            out.index.begin() + static_cast<std::ptrdiff_t>(out.count),
            [&](std::uint32_t a, std::uint32_t b) {
              return mix(chat, table.seeds[a]) > mix(chat, table.seeds[b]);
            });
}

// Number of groups for a workspace whose load equals the capacity of one server.
constexpr double groups_per_server_load = 8;

constexpr auto slow_start_step = milliseconds(5000);
constexpr std::int64_t slow_start_steps = 4;

// Load ceiling for chats without a cached prefix, in percent of the mean load.
constexpr std::uint32_t new_chat_ceiling_percent = 100;
// Load ceiling for chats at the server that has their prefix cached, at reuse_bias 0,
// and how far it rises towards reuse_bias 1, where only the agent's load limit applies.
// Below 110%, cache reuse falls by a tenth and more; see docs/decisions/placement.md.
constexpr std::uint32_t min_cached_ceiling_percent = 110;
constexpr std::uint32_t cached_ceiling_range_percent = 15;

// Older observations no longer predict the current load.
constexpr auto max_observation_age = milliseconds(2000);

std::string_view skip_reason(const server_observation& seen, double reuse_bias,
                             time_point now) {
  if (seen.circuit_open) {
    return "circuit_open";
  }
  if (now < seen.avoid_until) {
    return "refused_lately";
  }
  if (seen.limit == 0 || now - seen.observed_at > max_observation_age) {
    return {};
  }
  const double load = seen.running + seen.queued;
  const double soft_limit = seen.limit * (0.8 + 0.2 * reuse_bias);
  return load >= soft_limit ? std::string_view("near_limit") : std::string_view();
}

void add_serving(placement_table& table) {
  const auto& server = table.servers.back();
  if (server.state != server_state::serving) {
    return;
  }
  const auto index = static_cast<std::uint32_t>(table.servers.size() - 1);
  table.serving.push_back({table.seeds.back(), index, server.weight_milli});
  table.max_weight_milli = std::max(table.max_weight_milli, server.weight_milli);
}

} // namespace

placement_table make_placement_table(std::span<const server_info> servers,
                                     std::string_view service) {
  placement_table table;
  for (const auto& it : servers) {
    if (it.service == service) {
      table.servers.push_back(it);
      table.seeds.push_back(stable_hash(it.node_id));
      add_serving(table);
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
                               std::size_t max_count) {
  best_servers best{};
  const auto size = std::min({max_count, max_candidates, table.serving.size()});
  const auto key_hash = rendezvous_key(table, key);
  std::size_t found = 0;
  // Score of the lowest-ranked server kept, once size have been found. A weighted score
  // is at most the hash, so the first comparison rejects most servers.
  std::uint64_t threshold = size == 0 ? std::numeric_limits<std::uint64_t>::max() : 0;
  for (const auto& it : table.serving) {
    const auto hash = mix(key_hash, it.seed) | 1U;
    if (hash <= threshold) [[likely]] {
      continue;
    }
    const auto score = weighted_score(hash, it.weight_milli, table.max_weight_milli);
    if (found == size && score <= threshold) {
      continue;
    }
    found = std::min(found + 1, size);
    insert_sorted(best, found, {score, it.index});
    threshold = found == size ? best[size - 1].score : 0;
  }
  candidate_list out;
  out.count = found;
  for (std::size_t i = 0; i < found; ++i) {
    out.index[i] = best[i].index;
  }
  if (is_grouped(table, key)) {
    reorder_overflow(table, key.chat, out);
  }
  return out;
}

std::uint32_t recommended_spread(double load_share, std::size_t servers) {
  const double groups =
      std::ceil(load_share * static_cast<double>(servers) * groups_per_server_load);
  if (groups * 2 >= static_cast<double>(servers)) {
    return 0;
  }
  return std::max(1U, static_cast<std::uint32_t>(groups));
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

placement_choice choose_server(const placement_table& table,
                               const candidate_list& candidates,
                               std::span<const server_observation> observations,
                               std::span<const std::uint32_t> tried, double reuse_bias,
                               time_point now) {
  placement_choice out;
  bool found_fallback = false;
  for (std::size_t i = 0; i < candidates.count; ++i) {
    const auto server = candidates.index[i];
    const auto& id = table.servers[server].node_id;
    if (std::find(tried.begin(), tried.end(), server) != tried.end()) {
      out.passed_over.push_back(id + ":tried");
      continue;
    }
    const auto skip = skip_reason(observations[server], reuse_bias, now);
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

bool meets_condition(const attempt_condition& condition, bool cached, std::uint32_t load,
                     std::uint32_t mean_milli) {
  if (condition.only_if_cached && !cached) {
    return false;
  }
  const auto ceiling = static_cast<std::uint64_t>(condition.ceiling_percent) * mean_milli;
  return condition.ceiling_percent == 0 || load * 100'000ULL < ceiling;
}

namespace {

void add_step(placement_plan& plan, std::uint32_t server, choice_reason reason,
              const attempt_condition& condition) {
  plan.steps[plan.count++] = {server, reason, condition};
}

// Candidates whose circuit breaker is not open; those that refused recently come last.
candidate_list usable_candidates(const candidate_list& candidates,
                                 std::span<const server_observation> observations,
                                 time_point now) {
  candidate_list out;
  for (const bool refused : {false, true}) {
    for (std::size_t i = 0; i < candidates.count; ++i) {
      const auto& seen = observations[candidates.index[i]];
      if (!seen.circuit_open && (now < seen.avoid_until) == refused) {
        out.index[out.count++] = candidates.index[i];
      }
    }
  }
  return out;
}

} // namespace

placement_plan plan_attempts(const candidate_list& candidates,
                             std::span<const server_observation> observations,
                             bool returning, double reuse_bias, time_point now) {
  placement_plan plan;
  const auto usable = usable_candidates(candidates, observations, now);
  const auto rise = static_cast<std::uint32_t>(reuse_bias * cached_ceiling_range_percent);
  const attempt_condition cached{true,
                                 reuse_bias < 1 ? min_cached_ceiling_percent + rise : 0};
  for (std::size_t i = 0; returning && i < usable.count; ++i) {
    add_step(plan, usable.index[i], choice_reason::preferred, cached);
  }
  const attempt_condition below{false, new_chat_ceiling_percent};
  for (std::size_t i = 0; i < usable.count; ++i) {
    const auto reason = i == 0 ? choice_reason::preferred : choice_reason::overflow;
    add_step(plan, usable.index[i], reason, below);
  }
  for (std::size_t i = 0; i < usable.count; ++i) {
    add_step(plan, usable.index[i], choice_reason::last_resort, {});
  }
  return plan;
}

std::uint32_t slow_start_weight(milliseconds age, std::uint32_t full_weight_milli) {
  const auto step =
      std::clamp<std::int64_t>(age / slow_start_step, 0, slow_start_steps - 1);
  return static_cast<std::uint32_t>(full_weight_milli * (step + 1) / slow_start_steps);
}

} // namespace marigoldstep
