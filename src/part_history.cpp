// A router's records of prompt parts, and the quarantine in force there.
#include "marigoldstep/part_quarantine.h"

#include <algorithm>

namespace marigoldstep {

namespace {

constexpr auto suspect_retention = milliseconds(60'000);
constexpr auto completed_retention = milliseconds(600'000);
// Repeated without news, for a new leader.
constexpr auto completed_report_interval = milliseconds(1000);
// Without a notice and without a request, a router ends a quarantine by itself.
constexpr auto quarantine_retention = milliseconds(600'000);
// Limits memory. A deployment has thousands of parts in use.
constexpr std::size_t max_completed = 20'000;
constexpr std::size_t max_suspects = 1024;
// Limits the size of a report, which has 25 bytes for each crash.
constexpr std::size_t max_reported_suspects = 16;
constexpr std::size_t max_crashes_of_part = 8;

// Calls visit with each distinct part that requests may share. The last part of a prompt
// belongs to one request or chat.
template <typename Visit>
void for_each_shared_part(std::uint32_t service, const std::vector<prompt_part>& prompt,
                          Visit visit) {
  for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
    const auto is_repeated =
        std::any_of(prompt.begin(), prompt.begin() + static_cast<std::ptrdiff_t>(i),
                    [&](const auto& it) { return it.id == prompt[i].id; });
    if (!is_repeated) {
      visit(part_key{service, prompt[i].id});
    }
  }
}

void limit_completed(std::map<part_key, time_point>& completed, time_point now) {
  if (completed.size() < max_completed) {
    return;
  }
  std::erase_if(completed,
                [&](const auto& it) { return now - it.second > completed_retention; });
  if (completed.size() >= max_completed) {
    completed.erase(completed.begin());
  }
}

void remove_outdated(part_history& history, time_point now) {
  for (auto& [part, crashes] : history.suspects) {
    std::erase_if(crashes,
                  [&](const auto& it) { return now - it.at > suspect_retention; });
  }
  std::erase_if(history.suspects, [](const auto& it) { return it.second.empty(); });
  std::erase_if(history.quarantine, [&](const auto& it) {
    return now - it.second.used_at > quarantine_retention;
  });
}

// The suspects with the most crashes, those without a completed response first.
crashes_by_part select_suspects(const part_history& history) {
  std::vector<const crashes_by_part::value_type*> list;
  for (const auto& it : history.suspects) {
    list.push_back(&it);
  }
  const auto rank = [&](const auto* it) {
    return std::pair(history.completed.contains(it->first) ? 1 : 0,
                     -static_cast<std::ptrdiff_t>(it->second.size()));
  };
  const auto n = std::min(list.size(), max_reported_suspects);
  std::partial_sort(
      list.begin(), list.begin() + static_cast<std::ptrdiff_t>(n), list.end(),
      [&](const auto* left, const auto* right) { return rank(left) < rank(right); });
  crashes_by_part out;
  for (std::size_t i = 0; i < n; ++i) {
    out.insert(*list[i]);
  }
  return out;
}

} // namespace

void record_part_crash(part_history& history, std::uint32_t service,
                       const std::vector<prompt_part>& prompt, const part_crash& crash) {
  for_each_shared_part(service, prompt, [&](const part_key& part) {
    if (history.suspects.size() >= max_suspects && !history.suspects.contains(part)) {
      return;
    }
    auto& list = history.suspects[part];
    const auto known = std::find_if(list.begin(), list.end(), [&](const auto& it) {
      return it.server == crash.server;
    });
    if (known != list.end()) {
      known->answering = known->answering || crash.answering;
      return;
    }
    list.push_back(crash);
    history.has_news = true;
    if (list.size() > max_crashes_of_part) {
      list.erase(list.begin());
    }
  });
}

void record_completed_prompt(part_history& history, std::uint32_t service,
                             const std::vector<prompt_part>& prompt, time_point now) {
  for_each_shared_part(service, prompt, [&](const part_key& part) {
    limit_completed(history.completed, now);
    history.completed[part] = now;
    history.suspects.erase(part);
  });
}

bool is_quarantined(const part_history& history, std::uint32_t service,
                    const std::vector<prompt_part>& prompt) {
  bool out = false;
  if (!history.quarantine.empty()) {
    for_each_shared_part(service, prompt, [&](const part_key& part) {
      out = out || history.quarantine.contains(part);
    });
  }
  return out;
}

std::optional<part_key> refuse_prompt(part_history& history, std::uint32_t service,
                                      const std::vector<prompt_part>& prompt,
                                      std::uint32_t router, time_point now) {
  if (history.quarantine.empty()) {
    return std::nullopt;
  }
  std::vector<part_key> found;
  for_each_shared_part(service, prompt, [&](const part_key& part) {
    if (history.quarantine.contains(part)) {
      found.push_back(part);
    }
  });
  if (found.empty()) {
    return std::nullopt;
  }
  auto& entry = history.quarantine.at(found.front());
  // With another quarantined part in its prompt, a probe would prove nothing.
  if (found.size() == 1 && entry.probe.router == router &&
      entry.probe.number != entry.used_probe) {
    entry.used_probe = entry.probe.number;
    return std::nullopt;
  }
  for (const auto& part : found) {
    ++history.refused[part];
    history.quarantine.at(part).used_at = now;
  }
  return found.front();
}

part_report take_part_report(part_history& history, time_point now) {
  remove_outdated(history, now);
  history.has_news = false;
  part_report out;
  out.crashes = select_suspects(history);
  for (const auto& part : history.watched) {
    const auto done = history.completed.find(part);
    auto& reported_at = history.completed_reported_at[part];
    if (done != history.completed.end() &&
        (done->second > reported_at || now - reported_at >= completed_report_interval)) {
      out.completed[part] = done->second;
      reported_at = now;
    }
  }
  std::erase_if(history.completed_reported_at,
                [&](const auto& it) { return !history.watched.contains(it.first); });
  out.refused = std::move(history.refused);
  history.refused.clear();
  for (const auto& [part, it] : history.quarantine) {
    if (!it.is_listed) {
      out.refused.try_emplace(part, 0);
    }
  }
  return out;
}

void apply_notice(part_history& history, const quarantine_notice& notice,
                  time_point now) {
  const bool asks_for_more =
      std::any_of(notice.watched.begin(), notice.watched.end(), [&](const auto& part) {
        return !history.watched.contains(part) && history.completed.contains(part);
      });
  history.has_news = history.has_news || asks_for_more;
  history.watched = notice.watched;
  for (auto& [part, it] : history.quarantine) {
    it.is_listed = false;
  }
  for (const auto& [part, probe] : notice.parts) {
    auto& entry = history.quarantine[part];
    entry.probe = probe;
    entry.is_listed = true;
    entry.used_at = now;
  }
  for (const auto& part : notice.lifted) {
    history.quarantine.erase(part);
    history.suspects.erase(part);
  }
}

} // namespace marigoldstep
