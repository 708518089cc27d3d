#include "marigoldstep/server_directory.h"

#include <algorithm>

namespace marigoldstep {

namespace {

// A later end of the warm-up is news only beyond the time that reports take.
constexpr auto warmup_tolerance = milliseconds(500);

bool same_address(const announced_server& left, const announced_server& right) {
  return left.host == right.host && left.port == right.port;
}

std::pair<std::string, std::uint16_t> address_of(const announced_server& server) {
  return {server.host, server.port};
}

// Returns another server at the same address whose state is not gone, or null.
const announced_server* find_address_owner(const server_directory& directory,
                                           const announced_server& server) {
  const auto it = directory.id_by_address.find(address_of(server));
  return it == directory.id_by_address.end() || it->second == server.id
             ? nullptr
             : &directory.entries.at(it->second).server;
}

// Removes the address from the index if it maps to this server.
void release_address(server_directory& directory, const announced_server& server) {
  const auto it = directory.id_by_address.find(address_of(server));
  if (it != directory.id_by_address.end() && it->second == server.id) {
    directory.id_by_address.erase(it);
  }
}

// A deregistration may lack the address; the other fields then come from the entry.
announced_server merge_deregistration(const announced_server& known,
                                      announced_server server) {
  if (server.state == announced_state::gone && server.host.empty()) {
    const auto started = std::max(server.started, known.started);
    server = known;
    server.started = started;
    server.state = announced_state::gone;
  }
  return server;
}

// A sender of an older build leaves out the version, which one start never changes.
announced_server merge_version(const announced_server& known, announced_server server) {
  if (server.version.empty() && server.started == known.started) {
    server.version = known.version;
  }
  return server;
}

} // namespace

std::string_view name(announced_state state) {
  switch (state) {
  case announced_state::ready:
    return "ready";
  case announced_state::draining:
    return "draining";
  case announced_state::gone:
    return "gone";
  }
  return "gone";
}

bool is_newer(const announced_server& left, const announced_server& right) {
  if (left.started != right.started) {
    return left.started > right.started;
  }
  if ((left.state == announced_state::gone) != (right.state == announced_state::gone)) {
    return left.state == announced_state::gone;
  }
  return left.sequence > right.sequence;
}

bool routing_differs(const announced_server& left, const announced_server& right) {
  return left.started != right.started || left.state != right.state ||
         left.service != right.service || !same_address(left, right) ||
         left.slots != right.slots || left.zone != right.zone ||
         left.version != right.version;
}

directory_change apply_report(server_directory& directory, const announced_server& server,
                              milliseconds silent_for, time_point now) {
  const auto last_seen = now - silent_for;
  const auto found = directory.entries.find(server.id);
  const bool known = found != directory.entries.end();
  // A deregistration without a start time refers to the known start.
  auto report = server;
  if (known && report.state == announced_state::gone && report.started == 0) {
    report.started = found->second.server.started;
  }
  if (known && !is_newer(report, found->second.server)) {
    if (report.started == found->second.server.started &&
        report.sequence == found->second.server.sequence) {
      found->second.last_seen = std::max(found->second.last_seen, last_seen);
    }
    return directory_change::stale;
  }
  // Only one server can be at an address: the one that started later or, when the
  // start times don't decide, the one that sends this report.
  const auto* owner = find_address_owner(directory, report);
  if (owner != nullptr && owner->started > report.started) {
    if (report.state != announced_state::gone) {
      return directory_change::stale;
    }
  } else if (owner != nullptr) {
    const auto replaced = owner->id;
    directory.id_by_address.erase(address_of(report));
    directory.entries.erase(replaced);
  }
  ++directory.generation;
  auto& entry = directory.entries[report.id];
  const auto before = entry.server;
  release_address(directory, before);
  entry.server =
      known ? merge_version(before, merge_deregistration(before, report)) : report;
  if (!known || before.started != entry.server.started ||
      before.state != entry.server.state) {
    entry.state_sequence = report.sequence;
  }
  if (entry.server.state != announced_state::gone) {
    directory.id_by_address[address_of(entry.server)] = entry.server.id;
  }
  if (before.started != entry.server.started || !known) {
    entry.known_since = now;
  }
  entry.last_seen = std::max(entry.last_seen, last_seen);
  const auto warmup_ends_at = last_seen + report.warmup_left;
  const bool is_colder = report.warmup_left > milliseconds(0) &&
                         warmup_ends_at > entry.warmup_ends_at + warmup_tolerance;
  entry.warmup_ends_at = warmup_ends_at;
  return !known || is_colder || routing_differs(before, entry.server)
             ? directory_change::changed
             : directory_change::refreshed;
}

void raise_last_seen(server_directory& directory, const std::string& id, time_point now) {
  const auto it = directory.entries.find(id);
  if (it != directory.entries.end()) {
    it->second.last_seen = std::max(it->second.last_seen, now);
  }
}

void lower_last_seen(server_directory& directory, const std::string& id,
                     milliseconds silent_for, time_point now) {
  const auto it = directory.entries.find(id);
  if (it != directory.entries.end()) {
    it->second.last_seen = std::min(it->second.last_seen, now - silent_for);
  }
}

std::vector<std::string> remove_silent(server_directory& directory,
                                       milliseconds max_silence, time_point now) {
  std::vector<std::string> out;
  for (auto it = directory.entries.begin(); it != directory.entries.end();) {
    if (now - it->second.last_seen <= max_silence) {
      ++it;
      continue;
    }
    out.push_back(it->first);
    release_address(directory, it->second.server);
    ++directory.generation;
    it = directory.entries.erase(it);
  }
  return out;
}

bool is_usable(const directory_entry& entry, milliseconds max_silence, time_point now) {
  return entry.server.state == announced_state::ready &&
         now - entry.last_seen <= max_silence;
}

} // namespace marigoldstep
