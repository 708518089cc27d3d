#pragma once

#include "marigoldstep/types.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

// Directory of the backend servers that register by sending reports. Control
// processes collect the reports and forward them to the routers; both keep this
// table.
namespace marigoldstep {

enum class announced_state { ready, draining, gone };

std::string_view name(announced_state state);

// The state that a backend server reports about itself.
struct announced_server {
  std::string id;
  incarnation started = 0;    // Unix time of its start in ms
  std::uint64_t sequence = 0; // number of the report since that start
  std::string service;
  std::string zone;
  std::string host;
  std::uint16_t port = 0;
  std::uint32_t slots = 0;
  announced_state state = announced_state::ready;
  milliseconds warmup_left{0}; // remaining time with reduced performance
  // Of its software, without an order; empty if unknown. Events of one stream come from
  // servers of one version.
  std::string version;

  friend bool operator==(const announced_server&, const announced_server&) = default;
};

struct directory_entry {
  announced_server server;
  time_point last_seen{};
  time_point warmup_ends_at{}; // computed from the reported warmup_left
  time_point known_since{};    // time of the first report of this start
  // Number of the first known report of this start with the server's state.
  std::uint64_t state_sequence = 0;
};

// Entries by server id. The entry of a server that deregistered is kept for a
// while, so that a delayed report can't add the server again.
struct server_directory {
  std::map<std::string, directory_entry> entries;
  // Ids of the entries whose state is not gone, by address. Each report is checked for
  // another server at its address, hundreds of times a second, so this is indexed.
  std::map<std::pair<std::string, std::uint16_t>, std::string> id_by_address;
  // Incremented when an entry is added, removed or changed; values derived from the
  // entries can be cached for as long as it stays the same.
  std::uint64_t generation = 0;
};

// The effect of a report on the directory.
enum class directory_change {
  stale,     // not newer than the entry, which is unchanged except for last_seen
  refreshed, // only the sequence number and the times changed
  changed,   // new server, routing_differs() from the previous report, or colder than it
};

// Whether the left report of a server replaces the right one: it is of a later start or,
// within one start, has a higher sequence number. No report replaces that the server is
// gone.
bool is_newer(const announced_server& left, const announced_server& right);

// Whether the two reports differ in a field that routing depends on.
bool routing_differs(const announced_server& left, const announced_server& right);

// Applies a report; silent_for is the time since the server's last report. A later
// start of the same id or address replaces the earlier one. Within one start the higher
// sequence number wins, and a server in state gone stays in it.
directory_change apply_report(server_directory& directory, const announced_server& server,
                              milliseconds silent_for, time_point now);

// Sets the time of the last report to now if that is later. For a server that
// reported without a change.
void raise_last_seen(server_directory& directory, const std::string& id, time_point now);

// Sets the time of the last report to silent_for ago if that is earlier. Corrects an
// entry when the server has in fact been silent for that long.
void lower_last_seen(server_directory& directory, const std::string& id,
                     milliseconds silent_for, time_point now);

// Removes the entries whose last report is older than max_silence. Returns their
// ids.
std::vector<std::string> remove_silent(server_directory& directory,
                                       milliseconds max_silence, time_point now);

// Whether the server accepts new requests: it is ready and its last report is no
// older than max_silence.
bool is_usable(const directory_entry& entry, milliseconds max_silence, time_point now);

} // namespace marigoldstep
