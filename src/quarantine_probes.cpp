#include "marigoldstep/quarantine_probes.h"

#include <algorithm>

namespace marigoldstep {

namespace {

// With so many crashes the cause is certain, and no probe is needed to confirm it.
constexpr std::size_t certain_crashes = 5;
constexpr auto probe_delay = milliseconds(10'000);
constexpr auto probe_time = milliseconds(5000);
constexpr std::size_t max_probes = 2;
// After a change of software: a router may have died before it used the first one.
constexpr unsigned max_version_probes = 2;
constexpr auto probe_window = milliseconds(600'000);

using server_set = std::set<std::uint32_t>;

// Whether all servers that take requests have other software than those that crashed.
bool has_new_software(const quarantined_trait& entry, const quarantine_inputs& inputs) {
  return !entry.versions.empty() &&
         std::all_of(entry.versions.begin(), entry.versions.end(),
                     [&](const auto& crashed) {
                       const auto it = inputs.versions.find(crashed.first);
                       return it != inputs.versions.end() && !it->second.empty() &&
                              std::none_of(it->second.begin(), it->second.end(),
                                           [&](auto version) {
                                             return crashed.second.contains(version);
                                           });
                     });
}

// The present software of the services whose servers crashed.
std::map<std::uint32_t, server_set> present_versions(const quarantined_trait& entry,
                                                     const quarantine_inputs& inputs) {
  std::map<std::uint32_t, server_set> out;
  for (const auto& [service, versions] : entry.versions) {
    const auto it = inputs.versions.find(service);
    if (it != inputs.versions.end()) {
      out[service] = it->second;
    }
  }
  return out;
}

// A probe after a change of software is due however many came before. A crash under it
// makes the software one that crashed, so each change costs at most one server, unless a
// crash goes unnoticed; then the second probe may cost another.
probe_state decide_probe(const quarantined_trait& entry, const quarantine_inputs& inputs,
                         time_point now) {
  const auto last = entry.probes.empty() ? entry.decided_at : entry.probes.back();
  const bool is_late = now - last >= probe_delay;
  if (has_new_software(entry, inputs)) {
    if (present_versions(entry, inputs) != entry.probed_versions) {
      return probe_state::new_software;
    }
    if (entry.version_probes >= max_version_probes) {
      return probe_state::used_up;
    }
    return is_late ? probe_state::new_software : probe_state::too_early;
  }
  const bool is_uncertain = entry.is_proven || entry.servers.size() < certain_crashes;
  if (!is_uncertain) {
    return probe_state::certain;
  }
  if (entry.probes.size() >= max_probes) {
    return probe_state::used_up;
  }
  return is_late ? probe_state::thin_evidence : probe_state::too_early;
}

} // namespace

std::string_view name(probe_state value) {
  switch (value) {
  case probe_state::undecided:
    return "undecided";
  case probe_state::new_software:
    return "new_software";
  case probe_state::thin_evidence:
    return "thin_evidence";
  case probe_state::not_requested:
    return "not_requested";
  case probe_state::too_early:
    return "too_early";
  case probe_state::used_up:
    return "used_up";
  case probe_state::certain:
    return "certain";
  }
  return "undecided";
}

namespace detail {

void choose_probe(request_quarantine& state, const request_trait& trait,
                  quarantined_trait& entry, const quarantine_inputs& inputs,
                  time_point now, std::vector<probe_change>& changes) {
  if (entry.probe.router != 0 && now >= entry.probe_ends_at) {
    entry.probe.router = 0;
  }
  std::erase_if(entry.probes, [&](auto at) { return now - at > probe_window; });
  if (entry.probe.router != 0) {
    return;
  }
  auto decision = decide_probe(entry, inputs, now);
  const bool is_due =
      decision == probe_state::new_software || decision == probe_state::thin_evidence;
  const auto router = state.requested_through.find(trait);
  if (is_due && router == state.requested_through.end()) {
    decision = probe_state::not_requested;
  } else if (is_due) {
    entry.probe = {router->second, static_cast<std::uint16_t>(entry.probe.number + 1)};
    entry.probe_ends_at = now + probe_time;
    entry.probes.push_back(now);
  }
  if (decision == probe_state::new_software) {
    const auto present = present_versions(entry, inputs);
    entry.version_probes =
        present == entry.probed_versions ? entry.version_probes + 1 : 1;
    entry.probed_versions = present;
  }
  if (decision != entry.probing || entry.probe.router != 0) {
    entry.probing = decision;
    changes.push_back({trait, decision, entry.probe.router, entry.servers.size()});
  }
}

void adopt_versions(quarantined_trait& entry, const quarantine_inputs& inputs) {
  const auto it = inputs.versions.find(entry.requested_for);
  if (entry.versions.empty() && it != inputs.versions.end()) {
    entry.versions.insert(*it);
  }
}

void adopt_probes(quarantined_trait& entry, std::uint16_t number, time_point now) {
  if (number > entry.probe.number) {
    entry.probes.resize(std::min<std::size_t>(number, max_probes), now);
    entry.probe.number = number;
  }
}

} // namespace detail

} // namespace marigoldstep
