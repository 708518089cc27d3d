#pragma once

#include "marigoldstep/membership.h"
#include "marigoldstep/placement.h"
#include "marigoldstep/retry.h"
#include "marigoldstep/wire.h"

#include <map>
#include <unordered_map>

namespace marigoldstep::router {

// Servers of one pool or plain service, with this router's observations of each. All
// vectors have one entry per server.
struct service_view {
  placement_table table;
  std::vector<server_observation> observations;
  std::vector<circuit_breaker> breakers;
};

// Membership view, grouped by pool or plain service for placement.
struct fleet_view {
  std::map<std::string, service_view, std::less<>> services;
};

// Replaces the membership view. Observations of a server are kept as long as its
// incarnation does not change.
void apply_membership(fleet_view& fleet, const membership_view& members);

// A server that refused or failed one request.
struct tried_server {
  std::string node_id;
  errc code = errc::ok;
};

struct server_choice {
  placement_choice placement;
  const server_info* server = nullptr; // null if there is no candidate
  // Every candidate refused a request recently and its retry hint has not expired, so a
  // new attempt would only waste messages.
  bool all_refused_recently = false;
};

// Chooses a server that is not in tried, by the placement hash, the observed load and the
// state of the circuit breakers.
server_choice select_server(fleet_view& fleet, std::string_view service,
                            const placement_key& key, std::span<const tried_server> tried,
                            double reuse_bias, time_point now);

// Reference to a server of a service; index is only valid if view is not null.
struct server_ref {
  service_view* view = nullptr;
  std::uint32_t index = 0;
};
server_ref find_server(fleet_view& fleet, std::string_view service,
                       std::string_view node_id);

// The record functions ignore servers that are not in the view.

// Stores the load reported with a frame from the agent.
void record_load(fleet_view& fleet, std::string_view service, std::string_view node_id,
                 const wire::LoadFacts& load, time_point now);
// Avoids the server until avoid_until.
void record_refusal(fleet_view& fleet, std::string_view service, std::string_view node_id,
                    time_point avoid_until);
// Applies an agent's notice that it is draining, or serving again, which can arrive
// before the membership view shows it.
void record_draining(fleet_view& fleet, std::string_view service,
                     std::string_view node_id, bool draining);
// Record the start and the result of an attempt in the server's circuit breaker.
void record_attempt_start(fleet_view& fleet, std::string_view service,
                          std::string_view node_id, time_point now);
void record_attempt_result(fleet_view& fleet, std::string_view service,
                           std::string_view node_id, bool failed, time_point now);

} // namespace marigoldstep::router
