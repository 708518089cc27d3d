// Crashes of servers, and the quarantine of the prompt parts that cause them.
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
                          !may_send_to(dispatch, server, now);
  std::string prompts;
  std::string fingerprints;
  for (std::size_t i = 0; i < std::min(ended.size(), max_logged_requests); ++i) {
    const std::string separator = i == 0 ? "" : ",";
    prompts += separator + to_string(ended[i].prompt);
    fingerprints += separator + hex_id(ended[i].fingerprint);
  }
  io::log_event(io::log_level::warning, "server_crashed",
                {{"server", server.id},
                 {"started", std::to_string(server.started)},
                 {"version", server.version},
                 {"planned", is_planned ? "true" : "false"},
                 {"requests", std::to_string(ended.size())},
                 {"prompts", prompts},
                 {"fingerprints", fingerprints}});
  // A server that leaves may cut off what is still running there.
  if (is_planned) {
    return;
  }
  metrics.server_crashes.Increment();
  for (const auto& it : ended) {
    record_part_crash(
        parts, it.service, it.prompt,
        {crash_id(server), io::server_hash(server.version), now, it.answering});
  }
}

std::optional<part_key> gateway::refuse_quarantined(const dispatch_request& request) {
  return refuse_prompt(parts, service_hash(request.service), request.prompt,
                       io::server_hash(settings_.node_id), io::now());
}

bool gateway::is_quarantined(const dispatch_request& request) const {
  return marigoldstep::is_quarantined(parts, service_hash(request.service),
                                      request.prompt);
}

// Only the leader decides: this router has seen but a part of the completed responses.
// Without contact to a leader, what is in force stays in force.
void gateway::apply_quarantine(const quarantine_notice& notice) {
  std::map<part_key, bool> before;
  for (const auto& [part, it] : parts.quarantine) {
    before[part] = true;
  }
  apply_notice(parts, notice, io::now());
  for (const auto& [part, it] : parts.quarantine) {
    if (before.erase(part) == 0) {
      io::log_event(
          io::log_level::warning, "part_quarantined",
          {{"part", hex_id(part.part)}, {"service", std::to_string(part.service)}});
    }
  }
  for (const auto& [part, it] : before) {
    io::log_event(
        io::log_level::info, "quarantine_lifted",
        {{"part", hex_id(part.part)}, {"service", std::to_string(part.service)}});
  }
  metrics.quarantined_parts.Set(static_cast<double>(parts.quarantine.size()));
}

} // namespace marigoldstep::gateway
