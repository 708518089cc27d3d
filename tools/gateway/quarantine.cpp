// Crashes of servers, and the quarantine of the requests that cause them.
#include "gateway/gateway.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

#include <algorithm>

namespace marigoldstep::gateway {

namespace {

// Bounds the log line of a crash.
constexpr std::size_t max_logged_requests = 8;

// Identifies one incarnation of a server, so that all routers count its crash once.
std::uint32_t crash_id(const announced_server& server) {
  return io::server_hash(server.id + "/" + std::to_string(server.started));
}

} // namespace

void gateway::handle_crash(const announced_server& server,
                           const std::vector<ended_request>& ended) {
  const auto now = io::now();
  const auto known = directory.entries.find(server.id);
  const bool is_planned = (known != directory.entries.end() &&
                           known->second.server.started == server.started &&
                           known->second.server.state != announced_state::ready) ||
                          admission(dispatch.stats[server.id].notice, server.started,
                                    now) == server_admission::leaving;
  std::string requests;
  for (std::size_t i = 0; i < std::min(ended.size(), max_logged_requests); ++i) {
    requests += (i == 0 ? "" : ",") + to_string(ended[i].traits);
  }
  io::log_event(io::log_level::warning, "server_crashed",
                {{"server", server.id},
                 {"started", std::to_string(server.started)},
                 {"version", server.version},
                 {"planned", is_planned ? "true" : "false"},
                 {"requests", std::to_string(ended.size())},
                 {"traits", requests}});
  // A server that leaves may cut off what is still running there.
  if (is_planned) {
    return;
  }
  metrics.server_crashes.Increment();
  for (const auto& it : ended) {
    record_crash(traits, it.traits,
                 {crash_id(server), service_hash(server.service),
                  io::server_hash(server.version), now, it.answering});
  }
}

std::optional<request_trait> gateway::refuse_quarantined(const request_traits& request) {
  const bool was_quarantined = is_quarantined(traits, request);
  auto refused =
      refuse_request(traits, request, io::server_hash(settings_.node_id), io::now());
  if (was_quarantined && !refused) {
    io::log_event(io::log_level::info, "quarantine_probe_sent",
                  {{"traits", to_string(request)}});
  }
  return refused;
}

// Only the leader decides: this router has seen but a part of the completed responses.
// Without contact to a leader, what is in force stays in force.
void gateway::apply_quarantine(const quarantine_notice& notice) {
  std::set<request_trait> before;
  for (const auto& [trait, it] : traits.quarantine) {
    before.insert(trait);
  }
  apply_notice(traits, notice, io::now());
  const auto fields = [](const request_trait& trait) {
    return std::vector<io::log_field>{{"kind", std::string(name(trait.kind))},
                                      {"id", hex_id(trait.id)},
                                      {"service", std::to_string(trait.service)}};
  };
  std::size_t requests = 0;
  for (const auto& [trait, it] : traits.quarantine) {
    requests += is_whole(trait) ? 1 : 0;
    if (before.erase(trait) == 0) {
      io::log_event(io::log_level::warning, "quarantine_imposed", fields(trait));
    }
  }
  for (const auto& trait : before) {
    io::log_event(io::log_level::info, "quarantine_lifted", fields(trait));
  }
  metrics.quarantined_whole_requests.Set(static_cast<double>(requests));
  metrics.quarantined_parts.Set(static_cast<double>(traits.quarantine.size() - requests));
}

} // namespace marigoldstep::gateway
