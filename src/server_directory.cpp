#include "marigoldstep/server_directory.h"

#include <algorithm>

namespace marigoldstep {

namespace {

bool is_newer(const announced_server& left, const announced_server& right) {
  if (left.started != right.started) {
    return left.started > right.started;
  }
  if ((left.state == announced_state::gone) != (right.state == announced_state::gone)) {
    return left.state == announced_state::gone;
  }
  return left.sequence > right.sequence;
}

bool same_place(const announced_server& left, const announced_server& right) {
  return left.host == right.host && left.port == right.port;
}

std::pair<std::string, std::uint16_t> place_of(const announced_server& server) {
  return {server.host, server.port};
}

// The other server at this address, if there is one that hasn't left.
const announced_server* find_holder(const server_directory& directory,
                                    const announced_server& server) {
  const auto it = directory.holders.find(place_of(server));
  return it == directory.holders.end() || it->second == server.id
             ? nullptr
             : &directory.entries.at(it->second).server;
}

// Ends the entry's claim to its address.
void release_place(server_directory& directory, const announced_server& server) {
  const auto it = directory.holders.find(place_of(server));
  if (it != directory.holders.end() && it->second == server.id) {
    directory.holders.erase(it);
  }
}

// A departure names no place; the one already known stays.
announced_server merged(const announced_server& known, announced_server server) {
  if (server.state == announced_state::gone && server.host.empty()) {
    const auto started = std::max(server.started, known.started);
    server = known;
    server.started = started;
    server.state = announced_state::gone;
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

bool differs(const announced_server& left, const announced_server& right) {
  return left.started != right.started || left.state != right.state ||
         left.service != right.service || !same_place(left, right) ||
         left.slots != right.slots || left.zone != right.zone;
}

directory_change observe(server_directory& directory, const announced_server& server,
                         duration silent, time_point now) {
  const auto heard_at = now - silent;
  const auto found = directory.entries.find(server.id);
  const bool known = found != directory.entries.end();
  // A departure without a start time means the start that is known.
  auto report = server;
  if (known && report.state == announced_state::gone && report.started == 0) {
    report.started = found->second.server.started;
  }
  if (known && !is_newer(report, found->second.server)) {
    if (report.started == found->second.server.started &&
        report.sequence == found->second.server.sequence) {
      found->second.heard_at = std::max(found->second.heard_at, heard_at);
    }
    return directory_change::stale;
  }
  // Two servers can't be at one address. The one that started later is there now;
  // without a start time the one that is heard now is.
  const auto* holder = find_holder(directory, report);
  if (holder != nullptr && holder->started > report.started) {
    if (report.state != announced_state::gone) {
      return directory_change::stale;
    }
  } else if (holder != nullptr) {
    const auto replaced = holder->id;
    directory.holders.erase(place_of(report));
    directory.entries.erase(replaced);
  }
  ++directory.generation;
  auto& entry = directory.entries[report.id];
  const auto before = entry.server;
  release_place(directory, before);
  entry.server = known ? merged(before, report) : report;
  if (entry.server.state != announced_state::gone) {
    directory.holders[place_of(entry.server)] = entry.server.id;
  }
  entry.heard_at = std::max(entry.heard_at, heard_at);
  entry.warm_at = heard_at + report.warmup_left;
  return !known || differs(before, entry.server) ? directory_change::changed
                                                 : directory_change::heard;
}

void observe_heard(server_directory& directory, const std::string& id, time_point now) {
  const auto it = directory.entries.find(id);
  if (it != directory.entries.end()) {
    it->second.heard_at = std::max(it->second.heard_at, now);
  }
}

void observe_silent(server_directory& directory, const std::string& id, duration silent,
                    time_point now) {
  const auto it = directory.entries.find(id);
  if (it != directory.entries.end()) {
    it->second.heard_at = std::min(it->second.heard_at, now - silent);
  }
}

std::vector<std::string> forget_silent(server_directory& directory, duration keep,
                                       time_point now) {
  std::vector<std::string> out;
  for (auto it = directory.entries.begin(); it != directory.entries.end();) {
    if (now - it->second.heard_at <= keep) {
      ++it;
      continue;
    }
    out.push_back(it->first);
    release_place(directory, it->second.server);
    ++directory.generation;
    it = directory.entries.erase(it);
  }
  return out;
}

bool is_usable(const directory_entry& entry, duration silence, time_point now) {
  return entry.server.state == announced_state::ready && now - entry.heard_at <= silence;
}

} // namespace marigoldstep
