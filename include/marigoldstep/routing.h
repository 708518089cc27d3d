#pragma once

#include "marigoldstep/types.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// Routes to backend servers that routers reach themselves, without an agent.
namespace marigoldstep {

// What may be sent a second time, and what an answer looks like.
enum class route_kind { repeatable, once, stream, resumable_stream };

std::string_view name(route_kind kind);

// Whether a request that may have run may be sent again.
bool is_repeatable(route_kind kind);
bool is_stream(route_kind kind);

struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;

  friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

// Requests whose host matches and whose path begins with path_prefix.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix; // begins and ends with a slash
  route_kind kind = route_kind::once;
  duration timeout{0};           // longest time a caller is kept waiting
  duration latency_objective{0}; // time to the answer, or to the first event
  duration max_event_gap{0};     // between events; 0 when the route has no events
  int priority = 0;              // 0 is the most urgent
  std::uint32_t max_attempts = 1;
  bool is_public = false;   // no workspace key needed
  bool has_prompts = false; // requests describe their prompt; see prompt_part
  std::vector<weighted_service> services;

  friend bool operator==(const route&, const route&) = default;
};

// A service whose servers batch requests within a limited memory.
struct batch_limits {
  std::uint32_t slots = 0;
  std::uint64_t memory_tokens = 0;

  friend bool operator==(const batch_limits&, const batch_limits&) = default;
};

struct routed_service {
  std::string name;
  std::uint32_t max_connections =
      0;              // that one server accepts from all callers; 0: unknown
  batch_limits batch; // all zero for a plain service

  friend bool operator==(const routed_service&, const routed_service&) = default;
};

struct routed_workspace {
  std::string name;
  std::vector<std::string> keys;
  int priority = -1; // replaces the route's when it is not negative

  friend bool operator==(const routed_workspace&, const routed_workspace&) = default;
};

// Bounds on what a caller may send and on how long it may take.
struct caller_limits {
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 4U << 20U;
  duration header_timeout{3000};
  duration idle_timeout{15'000};

  friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

// One version of the whole routing configuration, as a parse function filled it.
struct routing_config {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<routed_service> services;
  std::vector<routed_workspace> workspaces;
  caller_limits limits;

  friend bool operator==(const routing_config&, const routing_config&) = default;
};

// The first reason why a configuration can't be used; empty when it can.
std::string find_problem(const routing_config& config);

// A valid configuration with its indexes. Immutable once built.
struct routing_table {
  routing_config config;
  // By host in to_lower case, then by path prefix: index into config.routes.
  std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> by_host;
  std::unordered_map<std::string, std::size_t> by_key; // index into config.workspaces
  std::unordered_map<std::string, std::size_t> by_service;
};

std::shared_ptr<const routing_table> make_routing_table(routing_config config);

// The route with the longest prefix that begins the path, or null. Takes time in
// proportion to the slashes of the path, however many routes there are. A port
// in host and a query in target are left out.
const route* find_route(const routing_table& table, std::string_view host,
                        std::string_view target);

const routed_workspace* find_workspace(const routing_table& table, std::string_view key);
const routed_service* find_service(const routing_table& table, std::string_view name);

// Picks one of the route's services in proportion to their weights; random_value is
// any evenly spread number.
const std::string& pick_service(const route& entry, std::uint64_t random_value);

} // namespace marigoldstep
