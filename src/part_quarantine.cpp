// The leader's decisions about prompt parts that crash servers.
#include "marigoldstep/part_quarantine.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace marigoldstep {

namespace {

// Crashes further apart are not combined.
constexpr auto crash_retention = milliseconds(60'000);
// Crashes that follow each other faster may have one cause, as when a VM is lost.
constexpr auto same_cause_window = milliseconds(50);
// Crashes under a part that lead to its quarantine.
constexpr std::size_t min_crashes = 3;
// The same for a part with responses completed before. While all servers are down, no
// response is completed with any part, so these crashes also have to be spread out.
constexpr std::size_t min_crashes_of_proven_part = 6;
constexpr auto min_spread_of_proven_part = milliseconds(2000);
// With so many crashes the cause is certain, and no probe is needed to confirm it.
constexpr std::size_t certain_crashes = 5;
constexpr auto probe_delay = milliseconds(10'000);
constexpr auto probe_time = milliseconds(5000);
constexpr std::size_t max_probes = 2;
constexpr auto probe_window = milliseconds(600'000);
constexpr auto completed_retention = milliseconds(600'000);
constexpr auto quiet_time = milliseconds(600'000);
// Limits the size of a notice.
constexpr std::size_t max_watched = 32;
constexpr std::size_t max_quarantined = 64;
// Limits memory.
constexpr std::size_t max_suspects = 4096;

using server_set = std::set<std::uint32_t>;

// What speaks for a part as the cause of crashes that nothing else explains.
struct evidence {
  part_key part;
  std::size_t crashes = 0;   // that can't have one cause
  std::size_t answering = 0; // of these, with a response that had begun
  bool is_proven = false;    // responses were completed before
  milliseconds spread{};     // from the first to the last crash
};

// The beginning of time if the map doesn't have the part.
time_point time_of(const std::map<part_key, time_point>& times, const part_key& part) {
  const auto it = times.find(part);
  return it == times.end() ? time_point::min() : it->second;
}

void remove_outdated(part_quarantine& state, time_point now) {
  for (auto& [part, crashes] : state.suspects) {
    const auto cleared_at =
        std::max(time_of(state.completed, part), time_of(state.lifted, part));
    std::erase_if(crashes, [&, limit = cleared_at](const auto& it) {
      return now - it.second.at > crash_retention || it.second.at <= limit;
    });
  }
  std::erase_if(state.suspects, [](const auto& it) { return it.second.empty(); });
  std::erase_if(state.completed, [&](const auto& it) {
    return now - it.second > completed_retention && !state.parts.contains(it.first);
  });
  std::erase_if(state.lifted,
                [&](const auto& it) { return now - it.second > crash_retention; });
  std::erase_if(state.requested_through,
                [&](const auto& it) { return !state.parts.contains(it.first); });
}

evidence collect(const part_quarantine& state, const part_key& part,
                 const std::map<std::uint32_t, part_crash>& crashes,
                 const server_set& explained, time_point settled_until) {
  std::vector<part_crash> open;
  for (const auto& [server, it] : crashes) {
    if (!explained.contains(server) && it.at <= settled_until) {
      open.push_back(it);
    }
  }
  std::sort(open.begin(), open.end(),
            [](const auto& left, const auto& right) { return left.at < right.at; });
  evidence out;
  out.part = part;
  out.is_proven = state.completed.contains(part);
  const part_crash* last = nullptr;
  for (const auto& it : open) {
    if (last == nullptr || it.at - last->at >= same_cause_window) {
      ++out.crashes;
      last = &it;
    }
    out.answering += it.answering ? 1 : 0;
  }
  out.spread = open.empty() ? milliseconds(0) : open.back().at - open.front().at;
  return out;
}

bool suffices(const evidence& it) {
  return it.is_proven ? it.crashes >= min_crashes_of_proven_part &&
                            it.spread >= min_spread_of_proven_part
                      : it.crashes >= min_crashes;
}

// Whether left is the likelier cause.
bool is_likelier(const evidence& left, const evidence& right) {
  if (left.is_proven != right.is_proven) {
    return right.is_proven;
  }
  return std::pair(left.crashes, left.answering) >
         std::pair(right.crashes, right.answering);
}

void add_crashes(part_quarantine& state, const part_key& part, quarantined_part& entry) {
  const auto crashes = state.suspects.find(part);
  if (crashes == state.suspects.end()) {
    return;
  }
  for (const auto& [server, it] : crashes->second) {
    entry.servers.insert(server);
    entry.versions.insert(it.version);
    entry.crashed_at = std::max(entry.crashed_at, it.at);
  }
}

server_set explained_servers(const part_quarantine& state) {
  server_set out;
  for (const auto& [part, it] : state.parts) {
    out.insert(it.servers.begin(), it.servers.end());
  }
  return out;
}

// Routers report completed responses only of watched parts.
void choose_watched(part_quarantine& state, time_point now) {
  std::vector<std::pair<std::size_t, part_key>> list;
  for (const auto& [part, crashes] : state.suspects) {
    if (crashes.size() > 1 && !state.parts.contains(part)) {
      list.emplace_back(crashes.size(), part);
    }
  }
  std::sort(list.begin(), list.end(), std::greater<>());
  list.resize(std::min(list.size(), max_watched));
  std::map<part_key, time_point> chosen;
  for (const auto& [n, part] : list) {
    const auto known = state.watched.find(part);
    chosen[part] = known == state.watched.end() ? now : known->second;
  }
  state.watched = std::move(chosen);
}

// Lifts the part that hasn't been requested for the longest time if there are too many.
void make_room(part_quarantine& state, time_point now,
               std::vector<quarantine_change>& changes) {
  if (state.parts.size() < max_quarantined) {
    return;
  }
  const auto oldest = std::min_element(
      state.parts.begin(), state.parts.end(), [](const auto& left, const auto& right) {
        return left.second.requested_at < right.second.requested_at;
      });
  changes.push_back({oldest->first, false, quarantine_reason::not_requested,
                     oldest->second.servers.size()});
  state.lifted[oldest->first] = now;
  state.parts.erase(oldest);
}

void quarantine_causes(part_quarantine& state, const quarantine_inputs& inputs,
                       time_point now, std::vector<quarantine_change>& changes) {
  const auto settled_until = now - inputs.settle_time;
  while (true) {
    const auto explained = explained_servers(state);
    std::optional<evidence> best;
    for (const auto& [part, crashes] : state.suspects) {
      const auto watched = state.watched.find(part);
      if (watched == state.watched.end() || watched->second > settled_until) {
        continue;
      }
      const auto it = collect(state, part, crashes, explained, settled_until);
      if (suffices(it) && (!best || is_likelier(it, *best))) {
        best = it;
      }
    }
    if (!best) {
      return;
    }
    quarantined_part entry;
    entry.is_proven = best->is_proven;
    entry.is_known = true;
    entry.requested_at = entry.decided_at = now;
    add_crashes(state, best->part, entry);
    std::set_difference(entry.servers.begin(), entry.servers.end(), explained.begin(),
                        explained.end(), std::inserter(entry.causes, entry.causes.end()));
    changes.push_back(
        {best->part, true, quarantine_reason::crashes, entry.servers.size()});
    make_room(state, now, changes);
    state.lifted.erase(best->part);
    state.watched.erase(best->part);
    state.parts[best->part] = std::move(entry);
  }
}

bool is_superset(const server_set& all, const server_set& some) {
  return all.size() > some.size() &&
         std::includes(all.begin(), all.end(), some.begin(), some.end());
}

std::optional<quarantine_reason> find_lift_reason(const part_quarantine& state,
                                                  const part_key& part,
                                                  const quarantined_part& entry,
                                                  time_point now) {
  if (time_of(state.completed, part) > entry.crashed_at) {
    return quarantine_reason::completed;
  }
  if (now - entry.requested_at > quiet_time) {
    return quarantine_reason::not_requested;
  }
  // A part whose responses were completed before is the less likely cause.
  const bool is_explained =
      !entry.causes.empty() &&
      std::any_of(state.parts.begin(), state.parts.end(), [&](const auto& it) {
        return it.first != part && (entry.is_proven || !it.second.is_proven) &&
               is_superset(it.second.servers, entry.causes);
      });
  return is_explained ? std::optional(quarantine_reason::explained) : std::nullopt;
}

void lift_cleared(part_quarantine& state, time_point now,
                  std::vector<quarantine_change>& changes) {
  for (auto it = state.parts.begin(); it != state.parts.end();) {
    const auto reason = find_lift_reason(state, it->first, it->second, now);
    if (!reason) {
      ++it;
      continue;
    }
    changes.push_back({it->first, false, *reason, it->second.servers.size()});
    state.lifted[it->first] = now;
    it = state.parts.erase(it);
  }
}

// Whether all servers that take requests have other software than those that crashed.
bool has_new_software(const quarantined_part& entry, const part_key& part,
                      const quarantine_inputs& inputs) {
  const auto it = inputs.versions.find(part.service);
  return it != inputs.versions.end() && !it->second.empty() && !entry.versions.empty() &&
         std::none_of(it->second.begin(), it->second.end(),
                      [&](auto version) { return entry.versions.contains(version); });
}

void choose_probe(part_quarantine& state, const part_key& part, quarantined_part& entry,
                  const quarantine_inputs& inputs, time_point now) {
  if (entry.probe.router != 0 && now >= entry.probe_ends_at) {
    entry.probe.router = 0;
  }
  std::erase_if(entry.probes, [&](auto at) { return now - at > probe_window; });
  const auto last = entry.probes.empty() ? entry.decided_at : entry.probes.back();
  const bool is_uncertain = entry.is_proven || entry.servers.size() < certain_crashes;
  const bool is_due = has_new_software(entry, part, inputs) ||
                      (is_uncertain && now - last >= probe_delay);
  const auto router = state.requested_through.find(part);
  if (!is_due || entry.probe.router != 0 || entry.probes.size() >= max_probes ||
      router == state.requested_through.end()) {
    return;
  }
  entry.probe = {router->second, static_cast<std::uint16_t>(entry.probe.number + 1)};
  entry.probe_ends_at = now + probe_time;
  entry.probes.push_back(now);
}

// A new leader doesn't know which versions crashed; the present ones are taken for them.
void adopt_versions(quarantined_part& entry, const part_key& part,
                    const quarantine_inputs& inputs) {
  const auto it = inputs.versions.find(part.service);
  if (entry.versions.empty() && it != inputs.versions.end()) {
    entry.versions = it->second;
  }
}

} // namespace

std::string_view name(quarantine_reason value) {
  switch (value) {
  case quarantine_reason::crashes:
    return "crashes";
  case quarantine_reason::reported:
    return "reported";
  case quarantine_reason::completed:
    return "completed";
  case quarantine_reason::explained:
    return "explained";
  case quarantine_reason::not_requested:
    return "not_requested";
  case quarantine_reason::operator_order:
    return "operator_order";
  }
  return "operator_order";
}

void merge_report(part_quarantine& state, const part_report& report, std::uint32_t router,
                  time_point now) {
  for (const auto& [part, crashes] : report.crashes) {
    if (state.suspects.size() >= max_suspects && !state.suspects.contains(part)) {
      continue;
    }
    auto& known = state.suspects[part];
    for (const auto& it : crashes) {
      auto& entry = known.try_emplace(it.server, it).first->second;
      entry.answering = entry.answering || it.answering;
    }
  }
  for (const auto& [part, at] : report.completed) {
    if (state.suspects.contains(part) || state.parts.contains(part)) {
      auto& last = state.completed[part];
      last = std::max(last, at);
    }
  }
  for (const auto& [part, n] : report.refused) {
    if (state.lifted.contains(part)) {
      continue;
    }
    const auto [it, is_new] = state.parts.try_emplace(part);
    if (is_new) {
      it->second.decided_at = it->second.crashed_at = it->second.requested_at = now;
    }
    if (n > 0) {
      it->second.requested_at = now;
      state.requested_through[part] = router;
    }
  }
}

std::vector<quarantine_change> update_quarantine(part_quarantine& state,
                                                 const quarantine_inputs& inputs,
                                                 time_point now) {
  std::vector<quarantine_change> changes;
  remove_outdated(state, now);
  for (auto& [part, entry] : state.parts) {
    add_crashes(state, part, entry);
    adopt_versions(entry, part, inputs);
    if (!std::exchange(entry.is_known, true)) {
      changes.push_back({part, true, quarantine_reason::reported, entry.servers.size()});
    }
  }
  lift_cleared(state, now, changes);
  choose_watched(state, now);
  quarantine_causes(state, inputs, now, changes);
  for (auto& [part, entry] : state.parts) {
    choose_probe(state, part, entry, inputs, now);
  }
  return changes;
}

bool lift_quarantine(part_quarantine& state, const part_key& part, time_point now) {
  if (state.parts.erase(part) == 0) {
    return false;
  }
  state.lifted[part] = now;
  return true;
}

quarantine_notice make_notice(const part_quarantine& state) {
  quarantine_notice out;
  for (const auto& [part, since] : state.watched) {
    out.watched.insert(part);
  }
  for (const auto& [part, it] : state.parts) {
    out.parts[part] = it.probe;
    out.watched.insert(part);
  }
  for (const auto& [part, at] : state.lifted) {
    out.lifted.insert(part);
  }
  return out;
}

} // namespace marigoldstep
