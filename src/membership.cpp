#include "marigoldstep/membership.h"

#include <algorithm>

namespace marigoldstep {

namespace {

constexpr auto suspect_after = milliseconds(1500);
constexpr auto dead_after = milliseconds(4000);
// After a change of leader no server is declared silent until every agent has had
// time to find the new leader.
constexpr auto grace_after_start = milliseconds(3000);
// Silences further apart count as separate faults, not as flapping.
constexpr auto flap_window = milliseconds(60'000);
constexpr std::uint32_t flaps_before_hold = 2;
constexpr auto initial_hold = milliseconds(10'000);
constexpr std::uint32_t max_hold_doublings = 2; // a hold of 40 s
// The servers of a lost availability zone aren't declared dead before this time is
// over; after that their entries are removed one by one.
constexpr auto zone_hold = milliseconds(600'000);
constexpr auto outage_window = milliseconds(2000);
// Every acknowledgement carries these names. With more of them the zone doesn't count
// as lost, and its silent servers are announced individually.
constexpr std::size_t max_live_in_lost_zones = 16;
// Longer than a heartbeat can be delayed on its way, so that a late one can't add a
// removed incarnation again.
constexpr auto remove_after = milliseconds(600'000);

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

milliseconds silence(const member& it, time_point now) {
  return now - std::max(it.last_heartbeat, it.last_contact);
}

// The state of a server that isn't silent.
server_state live_state(const member& it, time_point now) {
  if (it.drain_announced) {
    return server_state::draining;
  }
  return now < it.suspect_until ? server_state::suspect : server_state::serving;
}

server_state state_by_silence(const member& it, time_point now) {
  if (silence(it, now) >= dead_after) {
    return server_state::dead;
  }
  return silence(it, now) >= suspect_after ? server_state::suspect : live_state(it, now);
}

// Counts a return from silence without a restart. From the second one on, keeps the
// server suspect for a hold time that doubles each time up to a maximum.
void record_flap(member& it, time_point now) {
  it.flaps = now - it.last_flap_at <= flap_window ? it.flaps + 1 : 1;
  it.last_flap_at = now;
  if (it.flaps >= flaps_before_hold) {
    const auto doublings = std::min(it.flaps - flaps_before_hold, max_hold_doublings);
    it.suspect_until = now + initial_hold * (1 << doublings);
  }
}

struct zone_count {
  std::size_t silent = 0;
  std::size_t recently_silent = 0; // became silent within outage_window
  std::size_t total = 0;
  std::vector<std::string> live;
};

std::map<std::string, zone_count> count_zones(const membership_table& table,
                                              time_point now) {
  std::map<std::string, zone_count> out;
  for (const auto& [id, it] : table.members) {
    const auto silent = silence(it, now);
    if (it.drain_announced || silent >= zone_hold) {
      continue;
    }
    auto& count = out[it.report.server.zone];
    ++count.total;
    if (silent < suspect_after) {
      count.live.push_back(id);
      continue;
    }
    ++count.silent;
    count.recently_silent += silent < suspect_after + outage_window ? 1 : 0;
  }
  return out;
}

// Returns whether the lost zones or their live servers changed.
bool update_lost_zones(membership_table& table, time_point now) {
  std::map<std::string, time_point, std::less<>> lost;
  std::vector<std::string> live;
  for (const auto& [zone, count] : count_zones(table, now)) {
    const auto known = table.lost_since.find(zone);
    const bool was_lost = known != table.lost_since.end();
    const auto silent = was_lost ? count.silent : count.recently_silent;
    if (silent * 2 <= count.total || count.live.size() > max_live_in_lost_zones) {
      continue;
    }
    lost.emplace(zone, was_lost ? known->second : now);
    live.insert(live.end(), count.live.begin(), count.live.end());
  }
  const bool changed = lost != table.lost_since || live != table.live_in_lost_zones;
  table.lost_since = std::move(lost);
  table.live_in_lost_zones = std::move(live);
  return changed;
}

bool contains(const std::vector<std::string>& names, std::string_view text) {
  return std::find(names.begin(), names.end(), text) != names.end();
}

bool is_in_zone_hold(const membership_table& table, const member& it, time_point now) {
  const auto lost = table.lost_since.find(it.report.server.zone);
  return lost != table.lost_since.end() && now - lost->second < zone_hold;
}

} // namespace

membership_table make_membership_table(time_point now) {
  membership_table table;
  table.started_at = now;
  return table;
}

bool apply_heartbeat(membership_table& table, const server_report& report,
                     time_point now) {
  const auto found = table.members.find(report.server.node_id);
  const bool is_new = found == table.members.end();
  auto& known = is_new ? table.members[report.server.node_id] : found->second;
  const auto before = known.report.server;
  if (!is_new && report.server.incarnation < before.incarnation) {
    return false;
  }
  if (is_new || report.server.incarnation > before.incarnation) {
    known = member{};
    known.last_flap_at = now - flap_window - milliseconds(1);
    known.changed_version = ++table.version;
  } else if (silence(known, now) >= suspect_after && is_startup_grace_over(table, now)) {
    record_flap(known, now);
  }
  known.report = report;
  known.drain_announced = known.drain_announced || report.leaving;
  known.last_heartbeat = now;
  known.report.server.state = live_state(known, now);
  const bool changed = known.report.server != before;
  if (changed) {
    known.changed_version = ++table.version;
  }
  return changed;
}

void record_contact(membership_table& table, std::string_view node_id, time_point now) {
  auto it = table.members.find(node_id);
  if (it != table.members.end()) {
    it->second.last_contact = now;
  }
}

bool is_startup_grace_over(const membership_table& table, time_point now) {
  return now - table.started_at >= grace_after_start;
}

bool detect_failures(membership_table& table, time_point now) {
  if (!is_startup_grace_over(table, now)) {
    return false;
  }
  bool changed = update_lost_zones(table, now);
  for (auto it = table.members.begin(); it != table.members.end();) {
    auto& entry = it->second;
    if (silence(entry, now) >= remove_after && !is_in_zone_hold(table, entry, now)) {
      it = table.members.erase(it);
      continue;
    }
    auto state = state_by_silence(entry, now);
    // The loss of an availability zone is announced once, not for each server.
    if (is_in_zone_hold(table, entry, now) && state >= server_state::suspect) {
      state = entry.report.server.state;
    }
    changed = set_state(table, entry, state) || changed;
    ++it;
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
  // Table, vtable and scalar fields; then length, terminator and padding per string.
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
  out.live_in_lost_zones = table.live_in_lost_zones;
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
  std::vector<std::string> out;
  for (const auto& [zone, since] : table.lost_since) {
    out.push_back(zone);
  }
  return out;
}

pool_load mean_load(const membership_table& table, std::string_view service) {
  std::uint64_t sum = 0;
  pool_load out;
  for (const auto& [id, it] : table.members) {
    const bool is_lost = table.lost_since.count(it.report.server.zone) > 0 &&
                         !contains(table.live_in_lost_zones, id);
    if (it.report.server.service == service && is_live(it) && !is_lost) {
      sum += it.report.load;
      ++out.servers;
    }
  }
  if (out.servers > 0) {
    out.mean_milli = static_cast<std::uint32_t>(sum * 1000 / out.servers);
  }
  return out;
}

namespace {

server_info effective_info(const membership_view& view, const server_info& server) {
  auto out = server;
  const bool is_lost = contains(view.lost_zones, server.zone) &&
                       !contains(view.live_in_lost_zones, server.node_id);
  if (is_lost && server.state == server_state::serving) {
    out.state = server_state::suspect;
  }
  return out;
}

} // namespace

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
    view.announced.clear();
  }
  for (const auto& it : changes) {
    if (it.state == server_state::dead) {
      view.servers.erase(it.node_id);
      view.announced.erase(it.node_id);
    } else {
      view.servers[it.node_id] = effective_info(view, it);
      view.announced[it.node_id] = it;
    }
  }
  return full || !changes.empty();
}

bool apply_lost_zones(membership_view& view, std::vector<std::string> zones,
                      std::vector<std::string> live) {
  if (view.lost_zones == zones && view.live_in_lost_zones == live) {
    return false;
  }
  view.lost_zones = std::move(zones);
  view.live_in_lost_zones = std::move(live);
  for (const auto& [id, it] : view.announced) {
    view.servers[id] = effective_info(view, it);
  }
  return true;
}

} // namespace marigoldstep
