// The leader's part in the quarantine of requests that crash servers.
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
  // Only quarantined traits need the versions, and there may be thousands of servers.
  if (!quarantine_.entries.empty()) {
    inputs.versions = ready_versions();
  }
  const auto update = marigoldstep::update_quarantine(quarantine_, inputs, io::now());
  for (const auto& it : update.probes) {
    io::log_event(io::log_level::info,
                  it.router != 0 ? "quarantine_probe_granted" : "quarantine_no_probe",
                  {{"kind", std::string(name(it.trait.kind))},
                   {"id", hex_id(it.trait.id)},
                   {"reason", std::string(name(it.state))},
                   {"router", it.router == 0 ? "none" : hex_id(it.router)},
                   {"crashes", std::to_string(it.crashes)}});
  }
  for (const auto& it : update.changes) {
    io::log_event(it.is_quarantined ? io::log_level::warning : io::log_level::info,
                  it.is_quarantined ? "quarantine_imposed" : "quarantine_lifted",
                  {{"kind", std::string(name(it.trait.kind))},
                   {"id", hex_id(it.trait.id)},
                   {"service", std::to_string(it.trait.service)},
                   {"reason", std::string(name(it.reason))},
                   {"crashes", std::to_string(it.crashes)},
                   {"suspects", std::to_string(quarantine_.crashes.suspects.size())}});
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
  for (const auto& [trait, it] : quarantine_.entries) {
    out += out.size() > 1 ? "," : "";
    out += is_whole(trait) ? R"({"request":")" : R"({"part":")";
    out += hex_id(trait.id) + R"(","service_hash":)" + std::to_string(trait.service) +
           R"(,"crashes":)" + std::to_string(it.servers.size()) + R"(,"age_ms":)" +
           std::to_string((now - it.decided_at).count()) + R"(,"requested_ms_ago":)" +
           std::to_string((now - it.requested_at).count()) + R"(,"probes":)" +
           std::to_string(it.probe.number) + "}";
  }
  return out + "]\n";
}

bool link_service::lift_quarantined(std::string_view id_text) {
  constexpr int hex_base = 16;
  std::uint64_t id = 0;
  const auto [end, ec] =
      std::from_chars(id_text.data(), id_text.data() + id_text.size(), id, hex_base);
  if (!group_.is_leader() || ec != std::errc() ||
      end != id_text.data() + id_text.size()) {
    return false;
  }
  std::vector<request_trait> found;
  for (const auto& [trait, it] : quarantine_.entries) {
    if (trait.id == id) {
      found.push_back(trait);
    }
  }
  for (const auto& trait : found) {
    lift_quarantine(quarantine_, trait, io::now());
    io::log_event(io::log_level::info, "quarantine_lifted",
                  {{"kind", std::string(name(trait.kind))},
                   {"id", hex_id(trait.id)},
                   {"service", std::to_string(trait.service)},
                   {"reason", std::string(name(quarantine_reason::operator_order))}});
  }
  return !found.empty();
}

} // namespace marigoldstep::control
