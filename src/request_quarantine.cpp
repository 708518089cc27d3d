// The leader's decisions about requests that crash servers.
#include "marigoldstep/request_quarantine.h"

#include "marigoldstep/quarantine_probes.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <tuple>
#include <utility>

namespace marigoldstep {

namespace {

// Crashes further apart are not combined.
constexpr auto crash_retention = milliseconds(60'000);
// Crashes that follow each other faster may have one cause, as when a VM is lost.
constexpr auto same_cause_window = milliseconds(50);
// What leads to the quarantine of a trait.
struct required_evidence {
  std::size_t crashes = 0;
  milliseconds spread{}; // from the first to the last crash
};
constexpr required_evidence for_unproven{3, milliseconds(0)};
// For a trait with responses completed before. While all servers are down, no response is
// completed with any trait, so these crashes also have to be spread out.
constexpr required_evidence for_proven_part{6, milliseconds(2000)};
constexpr required_evidence for_proven_request{4, milliseconds(2000)};
// So many quarantined requests with a part that was proven before are better explained by
// the part.
constexpr std::size_t requests_that_suggest_part = 3;
constexpr auto completed_retention = milliseconds(600'000);
constexpr auto quiet_time = milliseconds(600'000);
// Limits the size of a notice.
constexpr std::size_t max_watched = 32;
constexpr std::size_t max_quarantined = 64;

using server_set = std::set<std::uint32_t>;

// What speaks for a trait as the cause of crashes that nothing else explains.
struct evidence {
  request_trait trait;
  std::size_t crashes = 0;   // that can't have one cause
  std::size_t answering = 0; // of these, with a response that had begun
  bool is_proven = false;    // responses were completed before
  milliseconds spread{};     // from the first to the last crash
  server_set explained;      // by other quarantined traits
};

// The beginning of time if the map doesn't have the trait.
time_point time_of(const std::map<request_trait, time_point>& times,
                   const request_trait& trait) {
  const auto it = times.find(trait);
  return it == times.end() ? time_point::min() : it->second;
}

void remove_outdated(request_quarantine& state, time_point now) {
  for (auto& [trait, crashes] : state.crashes.suspects) {
    const auto cleared_at =
        std::max(time_of(state.completed, trait), time_of(state.lifted, trait));
    std::erase_if(crashes, [&, limit = cleared_at](const auto& it) {
      return now - it.second.at > crash_retention || it.second.at <= limit;
    });
  }
  std::erase_if(state.crashes.suspects, [](const auto& it) { return it.second.empty(); });
  std::erase_if(state.completed, [&](const auto& it) {
    return now - it.second > completed_retention && !state.entries.contains(it.first);
  });
  std::erase_if(state.lifted,
                [&](const auto& it) { return now - it.second > crash_retention; });
  std::erase_if(state.requested_through,
                [&](const auto& it) { return !state.entries.contains(it.first); });
}

server_set servers_of(const crashes_by_server& crashes) {
  server_set out;
  for (const auto& [server, it] : crashes) {
    out.insert(server);
  }
  return out;
}

bool includes(const server_set& all, const server_set& some) {
  return std::includes(all.begin(), all.end(), some.begin(), some.end());
}

bool is_superset(const server_set& all, const server_set& some) {
  return all.size() > some.size() && includes(all, some);
}

// Whether the part is a better explanation than the quarantined requests whose crashes it
// shares: it explains more, or as much as several of them.
bool outweighs_requests(const request_quarantine& state, const server_set& servers,
                        bool is_proven) {
  std::size_t n = 0;
  bool explains_more = false;
  for (const auto& [trait, it] : state.entries) {
    if (is_whole(trait) && includes(servers, it.servers)) {
      ++n;
      explains_more = explains_more || is_superset(servers, it.servers);
    }
  }
  return is_proven ? n >= requests_that_suggest_part : explains_more;
}

// Servers whose crash another quarantined trait explains. A whole request that has never
// been completed is narrow enough to be quarantined beside another one.
server_set explained_servers(const request_quarantine& state, const request_trait& trait,
                             const server_set& servers, bool is_proven) {
  const bool counts_requests =
      is_whole(trait) ? is_proven : !outweighs_requests(state, servers, is_proven);
  server_set out;
  for (const auto& [other, it] : state.entries) {
    if (counts_requests || !is_whole(other)) {
      out.insert(it.servers.begin(), it.servers.end());
    }
  }
  return out;
}

evidence collect(const request_quarantine& state, const request_trait& trait,
                 const crashes_by_server& crashes, time_point settled_until) {
  evidence out;
  out.trait = trait;
  out.is_proven = state.completed.contains(trait);
  out.explained = explained_servers(state, trait, servers_of(crashes), out.is_proven);
  std::vector<server_crash> open;
  for (const auto& [server, it] : crashes) {
    if (!out.explained.contains(server) && it.at <= settled_until) {
      open.push_back(it);
    }
  }
  std::sort(open.begin(), open.end(),
            [](const auto& left, const auto& right) { return left.at < right.at; });
  // The loss of several servers rarely meets the same request on each of them.
  const auto window =
      is_whole(trait) && !out.is_proven ? milliseconds(0) : same_cause_window;
  const server_crash* last = nullptr;
  for (const auto& it : open) {
    if (last == nullptr || it.at - last->at >= window) {
      ++out.crashes;
      last = &it;
    }
    out.answering += it.answering ? 1 : 0;
  }
  out.spread = open.empty() ? milliseconds(0) : open.back().at - open.front().at;
  return out;
}

bool suffices(const evidence& it) {
  const auto& required = !it.is_proven        ? for_unproven
                         : is_whole(it.trait) ? for_proven_request
                                              : for_proven_part;
  return it.crashes >= required.crashes && it.spread >= required.spread;
}

// Whether left is the likelier cause; of two that explain as much, the narrower one.
bool is_likelier(const evidence& left, const evidence& right) {
  if (left.is_proven != right.is_proven) {
    return right.is_proven;
  }
  return std::tuple(left.crashes, is_whole(left.trait), left.answering) >
         std::tuple(right.crashes, is_whole(right.trait), right.answering);
}

void add_crashes(request_quarantine& state, const request_trait& trait,
                 quarantined_trait& entry) {
  const auto crashes = state.crashes.suspects.find(trait);
  if (crashes == state.crashes.suspects.end()) {
    return;
  }
  for (const auto& [server, it] : crashes->second) {
    entry.servers.insert(server);
    entry.versions[it.service].insert(it.version);
    entry.crashed_at = std::max(entry.crashed_at, it.at);
  }
}

// Routers report completed responses only of watched traits.
void choose_watched(request_quarantine& state, time_point now) {
  std::vector<std::pair<std::size_t, request_trait>> list;
  for (const auto& [trait, crashes] : state.crashes.suspects) {
    if (crashes.size() > 1 && !state.entries.contains(trait)) {
      list.emplace_back(crashes.size(), trait);
    }
  }
  std::sort(list.begin(), list.end(), std::greater<>());
  list.resize(std::min(list.size(), max_watched));
  std::map<request_trait, time_point> chosen;
  for (const auto& [n, trait] : list) {
    const auto known = state.watched.find(trait);
    chosen[trait] = known == state.watched.end() ? now : known->second;
  }
  state.watched = std::move(chosen);
}

// Lifts the trait that hasn't been requested for the longest time if there are too many.
void make_room(request_quarantine& state, time_point now,
               std::vector<quarantine_change>& changes) {
  if (state.entries.size() < max_quarantined) {
    return;
  }
  const auto oldest =
      std::min_element(state.entries.begin(), state.entries.end(),
                       [](const auto& left, const auto& right) {
                         return left.second.requested_at < right.second.requested_at;
                       });
  changes.push_back({oldest->first, false, quarantine_reason::not_requested,
                     oldest->second.servers.size()});
  state.lifted[oldest->first] = now;
  state.entries.erase(oldest);
}

std::optional<evidence> find_cause(const request_quarantine& state,
                                   time_point settled_until) {
  std::optional<evidence> best;
  for (const auto& [trait, crashes] : state.crashes.suspects) {
    const auto watched = state.watched.find(trait);
    if (watched == state.watched.end() || watched->second > settled_until) {
      continue;
    }
    auto it = collect(state, trait, crashes, settled_until);
    if (suffices(it) && (!best || is_likelier(it, *best))) {
      best = std::move(it);
    }
  }
  return best;
}

void quarantine_causes(request_quarantine& state, const quarantine_inputs& inputs,
                       time_point now, std::vector<quarantine_change>& changes) {
  while (const auto cause = find_cause(state, now - inputs.settle_time)) {
    quarantined_trait entry;
    entry.is_proven = cause->is_proven;
    entry.is_known = true;
    entry.requested_at = entry.decided_at = now;
    add_crashes(state, cause->trait, entry);
    std::set_difference(entry.servers.begin(), entry.servers.end(),
                        cause->explained.begin(), cause->explained.end(),
                        std::inserter(entry.causes, entry.causes.end()));
    changes.push_back(
        {cause->trait, true, quarantine_reason::crashes, entry.servers.size()});
    make_room(state, now, changes);
    state.lifted.erase(cause->trait);
    state.watched.erase(cause->trait);
    state.entries[cause->trait] = std::move(entry);
  }
}

std::optional<quarantine_reason> find_lift_reason(const request_quarantine& state,
                                                  const request_trait& trait,
                                                  const quarantined_trait& entry,
                                                  time_point now) {
  if (time_of(state.completed, trait) > entry.crashed_at) {
    return quarantine_reason::completed;
  }
  if (now - entry.requested_at > quiet_time) {
    return quarantine_reason::not_requested;
  }
  // A trait whose responses were completed before is the less likely cause. A whole
  // request may be a cause beside any other.
  const bool is_explained =
      !is_whole(trait) && !entry.causes.empty() &&
      std::any_of(state.entries.begin(), state.entries.end(), [&](const auto& it) {
        return it.first != trait && (entry.is_proven || !it.second.is_proven) &&
               is_superset(it.second.servers, entry.causes);
      });
  return is_explained ? std::optional(quarantine_reason::explained) : std::nullopt;
}

void lift_cleared(request_quarantine& state, time_point now,
                  std::vector<quarantine_change>& changes) {
  for (auto it = state.entries.begin(); it != state.entries.end();) {
    const auto reason = find_lift_reason(state, it->first, it->second, now);
    if (!reason) {
      ++it;
      continue;
    }
    changes.push_back({it->first, false, *reason, it->second.servers.size()});
    state.lifted[it->first] = now;
    it = state.entries.erase(it);
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

void merge_report(request_quarantine& state, const trait_report& report,
                  std::uint32_t router, time_point now) {
  for (const auto& [trait, crashes] : report.crashes) {
    for (const auto& it : crashes) {
      add_crash(state.crashes, trait, it);
    }
  }
  for (const auto& [trait, at] : report.completed) {
    if (state.crashes.suspects.contains(trait) || state.entries.contains(trait)) {
      auto& last = state.completed[trait];
      last = std::max(last, at);
    }
  }
  for (const auto& [trait, refused] : report.refused) {
    if (state.lifted.contains(trait)) {
      continue;
    }
    const auto [it, is_new] = state.entries.try_emplace(trait);
    auto& entry = it->second;
    if (is_new) {
      entry.decided_at = entry.crashed_at = entry.requested_at = now;
      entry.requested_for = trait.service;
    }
    detail::adopt_probes(entry, refused.probes, now);
    if (refused.count > 0) {
      entry.requested_at = now;
      entry.requested_for = refused.service;
      state.requested_through[trait] = router;
    }
  }
}

quarantine_update update_quarantine(request_quarantine& state,
                                    const quarantine_inputs& inputs, time_point now) {
  quarantine_update out;
  remove_outdated(state, now);
  for (auto& [trait, entry] : state.entries) {
    add_crashes(state, trait, entry);
    detail::adopt_versions(entry, inputs);
    if (!std::exchange(entry.is_known, true)) {
      out.changes.push_back(
          {trait, true, quarantine_reason::reported, entry.servers.size()});
    }
  }
  lift_cleared(state, now, out.changes);
  choose_watched(state, now);
  quarantine_causes(state, inputs, now, out.changes);
  for (auto& [trait, entry] : state.entries) {
    detail::choose_probe(state, trait, entry, inputs, now, out.probes);
  }
  return out;
}

bool lift_quarantine(request_quarantine& state, const request_trait& trait,
                     time_point now) {
  if (state.entries.erase(trait) == 0) {
    return false;
  }
  state.lifted[trait] = now;
  return true;
}

quarantine_notice make_notice(const request_quarantine& state) {
  quarantine_notice out;
  for (const auto& [trait, since] : state.watched) {
    out.watched.insert(trait);
  }
  for (const auto& [trait, it] : state.entries) {
    out.quarantined[trait] = it.probe;
    out.watched.insert(trait);
  }
  for (const auto& [trait, at] : state.lifted) {
    out.lifted.insert(trait);
  }
  return out;
}

} // namespace marigoldstep
