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
  time_point heard_at{};     // last heartbeat
  time_point contacted_at{}; // last contact reported by a router
  std::uint64_t changed_version = 0;
};

// The control leader's view of all backend servers. Soft state: rebuilt from
// heartbeats after a change of leader.
struct membership_table {
  std::uint64_t version = 0;
  time_point started_at{};
  std::map<std::string, member, std::less<>> members;
};

membership_table make_membership_table(time_point now);

// Takes in a heartbeat. A lower incarnation than the known one is ignored.
// Returns whether the table changed in a way that routers must learn.
bool observe_heartbeat(membership_table& table, const server_report& report,
                       time_point now);

// A router got a reply from this server lately.
void observe_contact(membership_table& table, std::string_view node_id, time_point now);

// Moves silent servers to suspect and dead. Returns whether the table changed.
bool advance(membership_table& table, time_point now);

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
};

// Bytes of changes on one acknowledgement. With two heartbeats a second and the
// fixed part of both messages this keeps a router under 2 KB/s.
inline constexpr std::size_t update_budget_bytes = 640;

// The oldest changes that a router has not seen, as many as fit into budget
// bytes, but at least one. A router of another term gets the whole table.
membership_update next_update(const membership_table& table, std::uint64_t term,
                              const router_position& position, std::size_t budget);

// Upper estimate of the encoded size of an entry, in bytes.
std::size_t encoded_size(const server_info& server);

// Availability zones in which more than half of the servers are not heard.
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
  std::map<std::string, server_info, std::less<>> servers;
};

// Applies changes that came with an acknowledgement; full replaces everything.
// Returns whether the view changed.
bool apply_changes(membership_view& view, std::uint64_t term, std::uint64_t version,
                   bool full, std::span<const server_info> changes);

} // namespace marigoldstep
