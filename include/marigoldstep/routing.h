#pragma once

#include "marigoldstep/types.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// Routes to backend servers that routers connect to directly, without an agent.
namespace marigoldstep {

// Whether requests may be repeated, and whether the response is an event stream.
enum class route_kind { repeatable, once, stream, resumable_stream };

std::string_view name(route_kind kind);

// Whether a request may be sent again after an attempt that may have run.
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
  milliseconds timeout{0};           // maximum time that a caller waits
  milliseconds latency_objective{0}; // time to the response, or to the first event
  milliseconds max_event_gap{0};     // between events; 0 when the route has no events
  int priority = 0;                  // 0 is the highest
  std::uint32_t max_attempts = 1;
  bool is_public = false;   // no workspace key required
  bool has_prompts = false; // requests describe their prompt; see prompt_part
  std::vector<weighted_service> services;

  friend bool operator==(const route&, const route&) = default;
};

// Batch size and memory of a server that batches requests.
struct batch_limits {
  std::uint32_t slots = 0;
  std::uint64_t memory_tokens = 0;

  friend bool operator==(const batch_limits&, const batch_limits&) = default;
};

struct routed_service {
  std::string name;
  // Connections that one server accepts from all callers; 0: unknown.
  std::uint32_t max_connections = 0;
  batch_limits batch; // all zero for a plain service
  // Requests a second that one cold server takes from all routers; 0: not limited.
  double cold_requests_per_s = 0;
  milliseconds warmup_time{0}; // for which a server stays cold

  friend bool operator==(const routed_service&, const routed_service&) = default;
};

struct routed_workspace {
  std::string name;
  std::vector<std::string> keys;
  int priority = -1; // overrides the route's unless negative

  friend bool operator==(const routed_workspace&, const routed_workspace&) = default;
};

// Size and time limits for requests of callers.
struct caller_limits {
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 4U << 20U;
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{15'000};

  friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

// One version of the routing configuration, as filled by a parse function.
struct routing_config {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<routed_service> services;
  std::vector<routed_workspace> workspaces;
  // Whether requests need the key of a workspace, but for public routes. Without any
  // workspace no key is valid then.
  bool requires_keys = false;
  caller_limits limits;

  friend bool operator==(const routing_config&, const routing_config&) = default;
};

// Describes the first problem of a configuration; empty when it is valid.
std::string find_problem(const routing_config& config);

// A valid configuration with indexes for lookup. Immutable once built.
struct routing_table {
  routing_config config;
  // By host in lower case, then by path prefix: index into config.routes.
  std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> by_host;
  std::unordered_map<std::string, std::size_t> by_key; // index into config.workspaces
  std::unordered_map<std::string, std::size_t> by_service;
};

std::shared_ptr<const routing_table> make_routing_table(routing_config config);

// The route with the longest matching path prefix, or null. Ignores a port in host and
// a query in target. The time is proportional to the number of slashes in the path and
// does not depend on the number of routes.
const route* find_route(const routing_table& table, std::string_view host,
                        std::string_view target);

const routed_workspace* find_workspace(const routing_table& table, std::string_view key);
const routed_service* find_service(const routing_table& table, std::string_view name);

// Chooses one of the route's services with probability proportional to its weight.
// random_value is uniformly distributed.
const std::string& pick_service(const route& entry, std::uint64_t random_value);

} // namespace marigoldstep
