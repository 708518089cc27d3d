#pragma once

#include "marigoldstep/types.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace marigoldstep {

// The contents of one heartbeat from an agent.
struct server_report {
  server_info server;
  std::uint32_t load = 0; // running plus queued attempts
  std::uint32_t capacity = 0;
  std::uint64_t config_version = 0;
  bool leaving = false;
};

struct member {
  server_report report;
  time_point last_heartbeat{};
  time_point last_contact{}; // as reported by a router
  std::uint64_t changed_version = 0;
  bool drain_announced = false; // in this incarnation
  std::uint32_t flaps = 0;      // returns from silence without a restart
  time_point last_flap_at{};
  time_point suspect_until{}; // stays suspect until then although it sends heartbeats
};

// The control leader's table of all backend servers. Soft state: it is rebuilt from
// heartbeats after a change of leader.
struct membership_table {
  std::uint64_t version = 0;
  time_point started_at{};
  std::map<std::string, member, std::less<>> members;
  // Lost availability zones, and since when. The servers of a lost zone keep their
  // states for a hold time; routers skip them by the name of the zone alone.
  std::map<std::string, time_point, std::less<>> lost_since;
  std::vector<std::string> live_in_lost_zones; // servers there that aren't silent
};

membership_table make_membership_table(time_point now);

// Applies a heartbeat. An incarnation lower than the known one is ignored, and a
// server that announced a drain stays draining until it restarts. Flap damping: a
// server that returns from silence again within a minute of its last return stays
// suspect for a hold time, so that its chats don't move back and forth. Returns
// whether there is a change to send to the routers.
bool apply_heartbeat(membership_table& table, const server_report& report,
                     time_point now);

// Records that a router recently got a reply from this server.
void record_contact(membership_table& table, std::string_view node_id, time_point now);

// Declares silent servers suspect and then dead, declares availability zones lost or
// recovered, and removes entries that have been silent for 10 minutes. Returns
// whether there is a change to send to the routers.
bool detect_failures(membership_table& table, time_point now);

// Entries changed after version, dead ones included.
std::vector<server_info> changes_since(const membership_table& table,
                                       std::uint64_t version);

// The term and version of a router's view, from its heartbeat.
struct router_position {
  std::uint64_t term = 0;
  std::uint64_t version = 0;
};

// The changes that one acknowledgement of a router's heartbeat carries.
struct membership_update {
  std::uint64_t term = 0;
  std::uint64_t version = 0; // the view then has all changes up to this version
  bool full = false;
  std::vector<server_info> changes;
  std::vector<std::string> lost_zones;
  std::vector<std::string> live_in_lost_zones;
};

// Maximum size of the changes in one acknowledgement. With two heartbeats a second
// and the fixed part of both messages this keeps a router below 2 KB/s.
inline constexpr std::size_t update_budget_bytes = 640;

// Returns the oldest changes that the router lacks: as many as fit into budget bytes,
// but at least one. A router whose view is of another term gets the whole table; use
// view_repair.h instead to send it only the entries that differ.
membership_update next_update(const membership_table& table, std::uint64_t term,
                              const router_position& position, std::size_t budget);

// Whether the table is old enough to be sent to routers. Until every agent has had
// time to find a new leader, routers keep the view of the previous one.
bool is_startup_grace_over(const membership_table& table, time_point now);

// Upper bound on the encoded size of an entry in bytes, estimated.
std::size_t encoded_size(const server_info& server);

// Names of the lost availability zones. A zone is lost when more than half of its
// servers become silent within 2 s, for as long as more than half of them are silent.
std::vector<std::string> lost_zones(const membership_table& table);

struct pool_load {
  std::uint32_t servers = 0;
  std::uint32_t mean_milli = 0;
};

// Mean load of the live servers of a pool, in thousandths of an attempt.
pool_load mean_load(const membership_table& table, std::string_view service);

// A router's copy of the table.
struct membership_view {
  std::uint64_t term = 0;
  std::uint64_t version = 0;
  // Input of placement: servers of lost availability zones are suspect.
  std::map<std::string, server_info, std::less<>> servers;
  // Entries as the leader sent them.
  std::map<std::string, server_info, std::less<>> announced;
  std::vector<std::string> lost_zones;
  std::vector<std::string> live_in_lost_zones;
};

// Applies the changes of an acknowledgement; full replaces the whole view. Returns
// whether the view changed.
bool apply_changes(membership_view& view, std::uint64_t term, std::uint64_t version,
                   bool full, std::span<const server_info> changes);

// Marks the servers of the lost availability zones suspect, except those whose
// id is in live, and gives all others the state that the leader sent. Returns whether a
// list changed.
bool apply_lost_zones(membership_view& view, std::vector<std::string> zones,
                      std::vector<std::string> live);

} // namespace marigoldstep
