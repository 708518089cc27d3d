#pragma once

#include "marigoldstep/membership.h"
#include "marigoldstep/placement.h"
#include "marigoldstep/retry.h"
#include "marigoldstep/wire.h"

#include <map>
#include <unordered_map>

namespace marigoldstep::router {

// The servers of one pool or plain service with what this router has learned
// of each. All vectors have one entry per server.
struct service_view {
  placement_table table;
  std::vector<server_observation> observations;
  std::vector<circuit_breaker> breakers;
};

// The membership view in the form that placement needs.
struct fleet_view {
  std::map<std::string, service_view, std::less<>> services;
};

// Takes over a new membership view; what was learned of a server is kept while
// its incarnation stays the same.
void apply_membership(fleet_view& fleet, const membership_view& members);

// A server that refused or failed one request.
struct tried_server {
  std::string node_id;
  errc code = errc::ok;
};

struct server_choice {
  placement_choice placement;
  const server_info* server = nullptr; // null when there is none
  // Every candidate refused a request a moment ago, so that asking again now
  // would only spend messages.
  bool all_refused_recently = false;
};

// Picks a server that is not in tried.
server_choice select_server(fleet_view& fleet, std::string_view service,
                            const placement_key& key, std::span<const tried_server> tried,
                            double reuse_bias, time_point now);

// One server of a service; index is only meaningful when view is not null.
struct server_ref {
  service_view* view = nullptr;
  std::uint32_t index = 0;
};
server_ref find_server(fleet_view& fleet, std::string_view service,
                       std::string_view node_id);

void record_load(fleet_view& fleet, std::string_view service, std::string_view node_id,
                 const wire::LoadFacts& load, time_point now);
void record_refusal(fleet_view& fleet, std::string_view service, std::string_view node_id,
                    time_point avoid_until);
// The agent says that it is leaving, or serving again, before the membership
// view does.
void record_draining(fleet_view& fleet, std::string_view service,
                     std::string_view node_id, bool draining);
void record_attempt_start(fleet_view& fleet, std::string_view service,
                          std::string_view node_id, time_point now);
void record_attempt_result(fleet_view& fleet, std::string_view service,
                           std::string_view node_id, bool failed, time_point now);

} // namespace marigoldstep::router
