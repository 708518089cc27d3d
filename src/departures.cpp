#include "marigoldstep/departures.h"

#include <algorithm>

namespace marigoldstep {

void record_departure(departure_table& table, const announced_server& server,
                      unix_seconds now) {
  std::erase_if(table.by_id, [&](const auto& it) {
    return it.second.recorded + departure_retention_s < now;
  });
  if (is_recorded(table, server)) {
    return;
  }
  table.by_id[server.id] = {server, ++table.number, now};
  if (table.by_id.size() > max_departures) {
    table.by_id.erase(std::min_element(table.by_id.begin(), table.by_id.end(),
                                       [](const auto& left, const auto& right) {
                                         return left.second.number < right.second.number;
                                       }));
  }
}

bool is_recorded(const departure_table& table, const announced_server& server) {
  const auto it = table.by_id.find(server.id);
  return it != table.by_id.end() && !is_newer(server, it->second.server);
}

std::vector<departure> departures_after(const departure_table& table,
                                        std::uint64_t number) {
  std::vector<departure> out;
  for (const auto& [id, it] : table.by_id) {
    if (it.number > number) {
      out.push_back(it);
    }
  }
  std::sort(out.begin(), out.end(), [](const auto& left, const auto& right) {
    return left.number < right.number;
  });
  return out;
}

announced_server required_departure(const server_directory& directory,
                                    const announced_server& report) {
  const auto it = directory.entries.find(report.id);
  if (it == directory.entries.end() ||
      it->second.server.state == announced_state::ready ||
      it->second.server.started < report.started) {
    return report;
  }
  auto out = it->second.server;
  out.sequence = it->second.state_sequence;
  out.warmup_left = milliseconds(0);
  return out;
}

} // namespace marigoldstep
