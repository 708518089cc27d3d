// The leader's part in the quarantine of prompt parts that crash servers.
#include "control/link_service.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

#include <charconv>

namespace marigoldstep::control {

void link_service::update_quarantine() {
  // The records of an earlier term are out of date; routers report what is in force.
  if (quarantine_term_ != group_.term()) {
    quarantine_term_ = group_.term();
    quarantine_ = {};
  }
  quarantine_inputs inputs;
  // Only quarantined parts need the versions, and there may be thousands of servers.
  if (!quarantine_.parts.empty()) {
    inputs.versions = ready_versions();
  }
  for (const auto& it : marigoldstep::update_quarantine(quarantine_, inputs, io::now())) {
    io::log_event(it.is_quarantined ? io::log_level::warning : io::log_level::info,
                  it.is_quarantined ? "part_quarantined" : "quarantine_lifted",
                  {{"part", hex_id(it.part.part)},
                   {"service", std::to_string(it.part.service)},
                   {"reason", std::string(name(it.reason))},
                   {"crashes", std::to_string(it.crashes)},
                   {"suspects", std::to_string(quarantine_.suspects.size())}});
  }
}

std::map<std::uint32_t, std::set<std::uint32_t>> link_service::ready_versions() const {
  std::map<std::uint32_t, std::set<std::uint32_t>> out;
  for (const auto& [id, entry] : directory_.entries) {
    if (entry.server.state == announced_state::ready && !silent_servers_.contains(id)) {
      out[service_hash(entry.server.service)].insert(
          io::server_hash(entry.server.version));
    }
  }
  return out;
}

std::string link_service::quarantine_json() const {
  if (!group_.is_leader()) {
    return "[]\n";
  }
  const auto now = io::now();
  std::string out = "[";
  for (const auto& [part, it] : quarantine_.parts) {
    out += out.size() > 1 ? "," : "";
    out += R"({"part":")" + hex_id(part.part) + R"(","service_hash":)" +
           std::to_string(part.service) + R"(,"crashes":)" +
           std::to_string(it.servers.size()) + R"(,"age_ms":)" +
           std::to_string((now - it.decided_at).count()) + R"(,"requested_ms_ago":)" +
           std::to_string((now - it.requested_at).count()) + R"(,"probes":)" +
           std::to_string(it.probe.number) + "}";
  }
  return out + "]\n";
}

bool link_service::lift_quarantined(std::string_view part) {
  constexpr int hex_base = 16;
  std::uint64_t id = 0;
  const auto [end, ec] =
      std::from_chars(part.data(), part.data() + part.size(), id, hex_base);
  if (!group_.is_leader() || ec != std::errc() || end != part.data() + part.size()) {
    return false;
  }
  std::vector<part_key> found;
  for (const auto& [key, it] : quarantine_.parts) {
    if (key.part == id) {
      found.push_back(key);
    }
  }
  for (const auto& key : found) {
    lift_quarantine(quarantine_, key, io::now());
    io::log_event(io::log_level::info, "quarantine_lifted",
                  {{"part", std::string(part)},
                   {"service", std::to_string(key.service)},
                   {"reason", std::string(name(quarantine_reason::operator_order))}});
  }
  return !found.empty();
}

} // namespace marigoldstep::control
