// Limits that a server, or its being cold, sets to what this router sends it.
#include "marigoldstep/dispatch.h"

#include <algorithm>

namespace marigoldstep {

bool may_send_to(const dispatch_state& state, const announced_server& server,
                 time_point now) {
  const auto it = state.stats.find(server.id);
  const bool has_closed = it != state.stats.end() &&
                          is_closed(admission(it->second.notice, server.started, now));
  return !has_closed && !is_evacuated(state.evacuations, server.zone);
}

bool is_cold(const directory_entry& entry, const server_stats& stats, time_point now) {
  return now < std::max(entry.warmup_ends_at, stats.assumed_cold_until);
}

void limit_cold_server(dispatch_state& state, const directory_entry& entry,
                       double per_second, std::uint32_t routers,
                       std::uint64_t random_value, time_point now) {
  auto& stats = state.stats[entry.server.id];
  const bool is_limited = per_second > 0 && is_cold(entry, stats, now);
  set_request_limit(stats.cold_limit, entry.server.started,
                    is_limited ? std::optional(per_second) : std::nullopt, routers,
                    random_value, now);
}

void use_limits(dispatch_state& state, const announced_server& server, time_point now) {
  auto& stats = state.stats[server.id];
  use_request_limit(stats.limit, server.started, now);
  use_request_limit(stats.cold_limit, server.started, now);
}

} // namespace marigoldstep
