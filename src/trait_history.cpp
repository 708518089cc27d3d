#include "marigoldstep/trait_history.h"

#include <algorithm>

namespace marigoldstep {

namespace {

constexpr auto suspect_retention = milliseconds(60'000);
// Repeated without news, for a new leader.
constexpr auto completed_report_interval = milliseconds(1000);
// Without a notice and without a request, a router ends a quarantine by itself.
constexpr auto quarantine_retention = milliseconds(600'000);
// A leader repeats its notices each second. After a pause, or without contact to the
// leader, another router may have got the probe.
constexpr auto probe_validity = milliseconds(2500);
// Limits the size of a report, which has 25 bytes for each crash.
constexpr std::size_t max_reported_crashes = 64;
// Limits memory while there is no leader.
constexpr std::size_t max_unreported_crashes = 8192;

void remove_outdated(trait_history& history, time_point now) {
  remove_crashes_before(history.crashes, now - suspect_retention);
  std::erase_if(history.quarantine, [&](const auto& it) {
    return now - it.second.used_at > quarantine_retention;
  });
}

void add_unreported(trait_history& history, const request_trait& trait,
                    const server_crash& crash) {
  if (history.unreported.size() >= max_unreported_crashes) {
    history.unreported.erase(history.unreported.begin(),
                             history.unreported.begin() + max_unreported_crashes / 2);
  }
  history.unreported.emplace_back(trait, crash);
  history.has_news = true;
}

// Takes those first that may decide about a quarantine, then the latest.
std::map<request_trait, std::vector<server_crash>> take_crashes(trait_history& history) {
  auto& list = history.unreported;
  const auto& suspects = history.crashes.suspects;
  // Suspects that a completed response has cleared aren't reported any more.
  std::erase_if(list, [&](const auto& it) { return !suspects.contains(it.first); });
  std::stable_partition(list.begin(), list.end(), [&](const auto& it) {
    return suspects.at(it.first).size() == 1 && !history.watched.contains(it.first);
  });
  const auto n = std::min(list.size(), max_reported_crashes);
  const auto begin = list.end() - static_cast<std::ptrdiff_t>(n);
  std::map<request_trait, std::vector<server_crash>> out;
  for (auto it = begin; it != list.end(); ++it) {
    out[it->first].push_back(it->second);
  }
  list.erase(begin, list.end());
  return out;
}

} // namespace

void record_time(recent_times& times, const request_trait& trait, time_point at) {
  if (times.newer.size() >= times.max_size && !times.newer.contains(trait)) {
    times.older = std::move(times.newer);
    times.newer.clear();
  }
  times.newer[trait] = at;
}

std::optional<time_point> find_time(const recent_times& times,
                                    const request_trait& trait) {
  for (const auto* generation : {&times.newer, &times.older}) {
    if (const auto it = generation->find(trait); it != generation->end()) {
      return it->second;
    }
  }
  return std::nullopt;
}

void record_crash(trait_history& history, const request_traits& traits,
                  const server_crash& crash) {
  for (const auto& trait : traits.list) {
    if (add_crash(history.crashes, trait, crash)) {
      add_unreported(history, trait, crash);
    }
  }
}

void record_completed(trait_history& history, const request_traits& traits,
                      time_point now) {
  for (const auto& trait : traits.list) {
    record_time(history.completed, trait, now);
    history.crashes.suspects.erase(trait);
  }
}

bool is_quarantined(const trait_history& history, const request_traits& traits) {
  return std::any_of(traits.list.begin(), traits.list.end(),
                     [&](const auto& it) { return history.quarantine.contains(it); });
}

std::optional<request_trait> refuse_request(trait_history& history,
                                            const request_traits& traits,
                                            std::uint32_t router, time_point now) {
  std::vector<request_trait> found;
  for (const auto& it : traits.list) {
    if (history.quarantine.contains(it)) {
      found.push_back(it);
    }
  }
  if (found.empty()) {
    return std::nullopt;
  }
  auto& entry = history.quarantine.at(found.front());
  // With another quarantined trait, a probe would prove nothing.
  if (found.size() == 1 && entry.probe.router == router &&
      entry.probe.number != entry.used_probe && now - entry.listed_at <= probe_validity) {
    entry.used_probe = entry.probe.number;
    return std::nullopt;
  }
  for (const auto& trait : found) {
    auto& refused = history.refused[trait];
    ++refused.count;
    refused.service = traits.service;
    history.quarantine.at(trait).used_at = now;
  }
  return found.front();
}

trait_report take_report(trait_history& history, time_point now) {
  remove_outdated(history, now);
  trait_report out;
  out.crashes = take_crashes(history);
  history.has_news = !history.unreported.empty();
  for (const auto& trait : history.watched) {
    const auto done = find_time(history.completed, trait);
    auto& reported_at = history.completed_reported_at[trait];
    if (done && (*done > reported_at || now - reported_at >= completed_report_interval)) {
      out.completed[trait] = *done;
      reported_at = now;
    }
  }
  std::erase_if(history.completed_reported_at,
                [&](const auto& it) { return !history.watched.contains(it.first); });
  out.refused = std::move(history.refused);
  history.refused.clear();
  for (const auto& [trait, it] : history.quarantine) {
    if (!it.is_listed) {
      out.refused.try_emplace(trait);
    }
  }
  for (auto& [trait, refused] : out.refused) {
    const auto it = history.quarantine.find(trait);
    refused.probes = it == history.quarantine.end() ? 0 : it->second.probe.number;
  }
  return out;
}

void repeat_crashes(trait_history& history) {
  history.unreported.clear();
  for (const auto& [trait, crashes] : history.crashes.suspects) {
    for (const auto& [server, it] : crashes) {
      add_unreported(history, trait, it);
    }
  }
}

void apply_notice(trait_history& history, const quarantine_notice& notice,
                  time_point now) {
  const bool asks_for_more =
      std::any_of(notice.watched.begin(), notice.watched.end(), [&](const auto& trait) {
        return !history.watched.contains(trait) && find_time(history.completed, trait);
      });
  history.has_news = history.has_news || asks_for_more;
  history.watched = notice.watched;
  for (auto& [trait, it] : history.quarantine) {
    it.is_listed = false;
  }
  for (const auto& [trait, probe] : notice.quarantined) {
    auto& entry = history.quarantine[trait];
    entry.probe = probe;
    entry.is_listed = true;
    entry.listed_at = entry.used_at = now;
  }
  for (const auto& trait : notice.lifted) {
    history.quarantine.erase(trait);
    history.crashes.suspects.erase(trait);
  }
}

} // namespace marigoldstep
