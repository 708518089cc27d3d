#pragma once

#include "marigoldstep/types.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

// Backend servers that announce themselves. Control processes collect the
// reports, routers merge what the control processes pass on; both keep the same
// table.
namespace marigoldstep {

enum class announced_state { ready, draining, gone };

std::string_view name(announced_state state);

// What a backend server says of itself.
struct announced_server {
  std::string id;
  incarnation started = 0;    // Unix time of its start in ms
  std::uint64_t sequence = 0; // counts its reports since the start
  std::string service;
  std::string zone;
  std::string host;
  std::uint16_t port = 0;
  std::uint32_t slots = 0;
  announced_state state = announced_state::ready;
  duration warmup_left{0}; // how much longer it stays slow

  friend bool operator==(const announced_server&, const announced_server&) = default;
};

struct directory_entry {
  announced_server server;
  time_point last_seen{};
  time_point warmup_ends_at{}; // until then it is slow, as it said itself
};

// By server id. Entries of servers that left stay for a while, so that a late
// report doesn't bring them back.
struct server_directory {
  std::map<std::string, directory_entry> entries;
  // Ids of the entries that haven't left, by address. Every report is checked
  // against the address's other holder, hundreds of times a second.
  std::map<std::pair<std::string, std::uint16_t>, std::string> id_by_address;
  // Rises when an entry comes, goes or changes, so that what was worked out of the
  // entries can be kept until then.
  std::uint64_t generation = 0;
};

// What an observation changed.
enum class directory_change {
  stale,     // older than what is known; nothing changed
  refreshed, // nothing new but the time
  changed,   // state, place or start differ
};

// Whether a router would decide differently knowing the one or the other.
bool routing_differs(const announced_server& left, const announced_server& right);

// Takes in a report that was made silent ago. A newer start of the same id or
// address replaces the older one; within one start the higher sequence wins, and
// a server that left stays gone.
directory_change apply_report(server_directory& directory, const announced_server& server,
                              duration silent_for, time_point now);

// Notes that the server reported without a change.
void raise_last_seen(server_directory& directory, const std::string& id, time_point now);

// Notes that nobody has heard of the server for so long, though an earlier
// observation said otherwise.
void lower_last_seen(server_directory& directory, const std::string& id,
                     duration silent_for, time_point now);

// Drops entries that nobody has heard of for keep. Returns their ids.
std::vector<std::string> remove_silent(server_directory& directory, duration max_silence,
                                       time_point now);

// Whether the server takes new requests: it is ready, and was heard within
// silence.
bool is_usable(const directory_entry& entry, duration max_silence, time_point now);

} // namespace marigoldstep
