#include "marigoldstep/membership.h"

#include <algorithm>
#include <set>

namespace marigoldstep {

namespace {

constexpr auto suspect_after = duration(1500);
constexpr auto dead_after = duration(4000);
// After a change of leader nothing is declared silent until every agent had
// time to find the new one.
constexpr auto grace_after_start = duration(3000);

bool set_state(membership_table& table, member& it, server_state state) {
  if (it.report.server.state == state) {
    return false;
  }
  it.report.server.state = state;
  it.changed_version = ++table.version;
  return true;
}

bool is_live(const member& it) {
  return it.report.server.state == server_state::serving ||
         it.report.server.state == server_state::draining;
}

server_state state_by_silence(const member& it, time_point now) {
  const auto silent = now - std::max(it.heard_at, it.contacted_at);
  if (silent >= dead_after) {
    return server_state::dead;
  }
  if (silent >= suspect_after) {
    return server_state::suspect;
  }
  return it.report.server.state;
}

} // namespace

membership_table make_membership_table(time_point now) {
  membership_table table;
  table.started_at = now;
  return table;
}

bool observe_heartbeat(membership_table& table, const server_report& report,
                       time_point now) {
  auto entry = report;
  entry.server.state = report.leaving ? server_state::draining : server_state::serving;
  auto it = table.members.find(report.server.node_id);
  if (it == table.members.end()) {
    table.members[report.server.node_id] = {entry, now, now, ++table.version};
    return true;
  }
  auto& known = it->second;
  if (entry.server.incarnation < known.report.server.incarnation) {
    return false;
  }
  known.heard_at = now;
  const bool changed = known.report.server != entry.server;
  known.report = entry;
  if (changed) {
    known.changed_version = ++table.version;
  }
  return changed;
}

void observe_contact(membership_table& table, std::string_view node_id, time_point now) {
  auto it = table.members.find(node_id);
  if (it != table.members.end()) {
    it->second.contacted_at = now;
  }
}

bool advance(membership_table& table, time_point now) {
  if (now - table.started_at < grace_after_start) {
    return false;
  }
  bool changed = false;
  for (auto& [id, it] : table.members) {
    changed = set_state(table, it, state_by_silence(it, now)) || changed;
  }
  return changed;
}

std::vector<server_info> changes_since(const membership_table& table,
                                       std::uint64_t version) {
  std::vector<server_info> out;
  for (const auto& [id, it] : table.members) {
    if (it.changed_version > version) {
      out.push_back(it.report.server);
    }
  }
  return out;
}

std::size_t encoded_size(const server_info& server) {
  // Table, vtable and fixed fields, then length, terminator and padding of each string.
  constexpr std::size_t fixed_bytes = 64;
  constexpr std::size_t string_bytes = 12;
  std::size_t sum = fixed_bytes + 4 * string_bytes + server.node_id.size() +
                    server.service.size() + server.zone.size() + server.host.size();
  for (const auto& it : server.models) {
    sum += string_bytes + it.size();
  }
  return sum;
}

membership_update next_update(const membership_table& table, std::uint64_t term,
                              const router_position& position, std::size_t budget) {
  membership_update out;
  out.term = term;
  out.version = table.version;
  out.lost_zones = lost_zones(table);
  out.full = position.term != term;
  if (out.full) {
    out.changes = changes_since(table, 0);
    return out;
  }
  if (position.version == table.version) {
    return out;
  }
  std::vector<const member*> changed;
  for (const auto& [id, it] : table.members) {
    if (it.changed_version > position.version) {
      changed.push_back(&it);
    }
  }
  std::sort(changed.begin(), changed.end(), [](const member* a, const member* b) {
    return a->changed_version < b->changed_version;
  });
  std::size_t used = 0;
  for (const auto* it : changed) {
    used += encoded_size(it->report.server);
    if (used > budget && !out.changes.empty()) {
      break;
    }
    out.changes.push_back(it->report.server);
    out.version = it->changed_version;
  }
  if (out.changes.size() == changed.size()) {
    out.version = table.version;
  }
  return out;
}

std::vector<std::string> lost_zones(const membership_table& table) {
  std::map<std::string, std::pair<std::size_t, std::size_t>> zones; // silent, all
  for (const auto& [id, it] : table.members) {
    auto& [silent, all] = zones[it.report.server.zone];
    silent += is_live(it) ? 0 : 1;
    ++all;
  }
  std::vector<std::string> out;
  for (const auto& [zone, counts] : zones) {
    if (counts.first * 2 > counts.second) {
      out.push_back(zone);
    }
  }
  return out;
}

pool_load mean_load(const membership_table& table, std::string_view service) {
  std::uint64_t sum = 0;
  pool_load out;
  for (const auto& [id, it] : table.members) {
    if (it.report.server.service == service && is_live(it)) {
      sum += it.report.load;
      ++out.servers;
    }
  }
  if (out.servers > 0) {
    out.mean_milli = static_cast<std::uint32_t>(sum * 1000 / out.servers);
  }
  return out;
}

bool apply_changes(membership_view& view, std::uint64_t term, std::uint64_t version,
                   bool full, std::span<const server_info> changes) {
  const bool older = term < view.term || (term == view.term && version < view.version);
  if (older || (term != view.term && !full)) {
    return false;
  }
  view.term = term;
  view.version = version;
  if (full) {
    view.servers.clear();
  }
  for (const auto& it : changes) {
    if (it.state == server_state::dead) {
      view.servers.erase(it.node_id);
    } else {
      view.servers[it.node_id] = it;
    }
  }
  return full || !changes.empty();
}

} // namespace marigoldstep
