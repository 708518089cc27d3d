// Evacuated availability zones, and servers that are cold.
#include "gateway/gateway.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

namespace marigoldstep::gateway {

void gateway::apply_evacuations(const evacuated_zones& newer) {
  const auto change = update_evacuations(dispatch.evacuations, newer);
  if (!change) {
    return;
  }
  for (const auto& it : change->begun) {
    io::log_event(io::log_level::info, "zone_evacuated",
                  {{"zone", it}, {"number", std::to_string(newer.number)}});
  }
  for (const auto& it : change->ended) {
    io::log_event(io::log_level::info, "zone_evacuation_ended",
                  {{"zone", it}, {"number", std::to_string(newer.number)}});
  }
  for (const auto& [id, entry] : directory.entries) {
    if (is_evacuated(dispatch.evacuations, entry.server.zone)) {
      pool.close_idle({entry.server.host, entry.server.port});
    } else if (change->ended.contains(entry.server.zone) && table_) {
      // Its servers may have become cold without a report that has arrived.
      const auto* service = find_service(*table_, entry.server.service);
      const auto warmup_time =
          service == nullptr ? milliseconds(0) : service->warmup_time;
      dispatch.stats[id].assumed_cold_until = io::now() + warmup_time;
      limit_if_cold(entry);
    }
  }
  metrics.evacuated_zones.Set(static_cast<double>(newer.zones.size()));
  links_.acknowledge_version();
}

void gateway::limit_if_cold(const directory_entry& entry) {
  const auto* service = table_ ? find_service(*table_, entry.server.service) : nullptr;
  const auto rate = service == nullptr ? 0 : service->cold_requests_per_s;
  const auto before = dispatch.stats[entry.server.id].cold_limit.per_second;
  limit_cold_server(dispatch, entry, rate, retries.routers, io::random_engine()(),
                    io::now());
  const auto after = dispatch.stats[entry.server.id].cold_limit.per_second;
  if (before != after) {
    io::log_event(io::log_level::info, after > 0 ? "server_cold" : "server_warm",
                  {{"server", entry.server.id},
                   {"per_second", std::to_string(after)},
                   {"routers", std::to_string(retries.routers)}});
  }
}

// The limits also follow the configuration and the number of routers.
void gateway::update_cold_servers() {
  std::size_t n = 0;
  for (const auto& [id, entry] : directory.entries) {
    const auto& stats = dispatch.stats[id];
    if (stats.cold_limit.per_second > 0 || is_cold(entry, stats, io::now())) {
      limit_if_cold(entry);
      n += stats.cold_limit.per_second > 0 ? 1 : 0;
    }
  }
  metrics.cold_servers.Set(static_cast<double>(n));
}

} // namespace marigoldstep::gateway
