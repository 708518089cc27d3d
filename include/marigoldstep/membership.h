#pragma once

#include "marigoldstep/types.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace marigoldstep {

// What one heartbeat of an agent says.
struct server_report {
  server_info server;
  std::uint32_t load = 0; // running plus queued attempts
  std::uint32_t capacity = 0;
  std::uint64_t config_version = 0;
  bool leaving = false;
};

struct member {
  server_report report;
  time_point last_heartbeat{}; // last heartbeat
  time_point last_contact{};   // last contact reported by a router
  std::uint64_t changed_version = 0;
  bool drain_announced = false; // announced a drain in this incarnation
  std::uint32_t flaps = 0;      // returns from silence without a restart
  time_point last_flap_at{};    // the last of them
  time_point suspect_until{};   // kept suspect although heard
};

// The control leader's view of all backend servers. Soft state: rebuilt from
// heartbeats after a change of leader.
struct membership_table {
  std::uint64_t version = 0;
  time_point started_at{};
  std::map<std::string, member, std::less<>> members;
  // Availability zones lost, and since when. Their servers keep their entries for
  // a hold time; routers skip them by the name of the availability zone alone.
  std::map<std::string, time_point, std::less<>> lost_since;
  std::vector<std::string> heard_in_lost_zones; // servers there that still answer
};

membership_table make_membership_table(time_point now);

// Takes in a heartbeat. A lower incarnation than the known one is ignored, and a
// server that announced its drain stays draining until it restarts. One that
// returns from silence for the second time within a minute is held suspect until
// it has been heard for a hold time, so that its chats do not move to and fro.
// Returns whether the table changed in a way that routers must learn.
bool apply_heartbeat(membership_table& table, const server_report& report,
                     time_point now);

// A router got a reply from this server lately.
void record_contact(membership_table& table, std::string_view node_id, time_point now);

// Moves silent servers to suspect and dead, declares availability zones lost or
// back, and forgets entries that have been dead for long. Returns whether routers
// must learn of a change.
bool detect_failures(membership_table& table, time_point now);

// Entries changed after version, dead ones included.
std::vector<server_info> changes_since(const membership_table& table,
                                       std::uint64_t version);

// Where a router's view stands, as its heartbeat tells.
struct router_position {
  std::uint64_t term = 0;
  std::uint64_t version = 0;
};

// What one acknowledgement tells a router.
struct membership_update {
  std::uint64_t term = 0;
  std::uint64_t version = 0; // the view holds all changes up to this one
  bool full = false;
  std::vector<server_info> changes;
  std::vector<std::string> lost_zones;
  std::vector<std::string> heard_in_lost_zones;
};

// Bytes of changes on one acknowledgement. With two heartbeats a second and the
// fixed part of both messages this keeps a router under 2 KB/s.
inline constexpr std::size_t update_budget_bytes = 640;

// The oldest changes that a router has not seen, as many as fit into budget
// bytes, but at least one. A router of another term gets the whole table, unless
// it repairs its view by digests.
membership_update next_update(const membership_table& table, std::uint64_t term,
                              const router_position& position, std::size_t budget);

// Whether the table is old enough to be sent to routers. Until every agent had
// time to find a new leader, routers keep the view of the former one.
bool is_startup_grace_over(const membership_table& table, time_point now);

// Upper estimate of the encoded size of an entry, in bytes.
std::size_t encoded_size(const server_info& server);

// Availability zones that are lost: more than half of their servers fell silent
// within 2 s, and more than half still are.
std::vector<std::string> lost_zones(const membership_table& table);

struct pool_load {
  std::uint32_t servers = 0;
  std::uint32_t mean_milli = 0;
};

// Mean load over the live servers of a pool, in thousandths of an attempt.
pool_load mean_load(const membership_table& table, std::string_view service);

// A router's copy of the table.
struct membership_view {
  std::uint64_t term = 0;
  std::uint64_t version = 0;
  // As placement uses them: servers of lost availability zones are suspect.
  std::map<std::string, server_info, std::less<>> servers;
  // As the leader announced them.
  std::map<std::string, server_info, std::less<>> announced;
  std::vector<std::string> lost_zones;
  std::vector<std::string> heard_in_lost_zones;
};

// Applies changes that came with an acknowledgement; full replaces everything.
// Returns whether the view changed.
bool apply_changes(membership_view& view, std::uint64_t term, std::uint64_t version,
                   bool full, std::span<const server_info> changes);

// Marks the servers of the lost availability zones suspect, except those still
// heard, and all others as announced. Returns whether a list changed.
bool apply_lost_zones(membership_view& view, std::vector<std::string> zones,
                      std::vector<std::string> heard);

} // namespace marigoldstep
