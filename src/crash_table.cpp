#include "marigoldstep/crash_table.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace marigoldstep {

namespace {

time_point last_crash(const crashes_by_server& crashes) {
  time_point out{};
  for (const auto& [server, it] : crashes) {
    out = std::max(out, it.at);
  }
  return out;
}

void drop_weakest_half(crash_table& table) {
  std::vector<std::tuple<std::size_t, time_point, request_trait>> ranks;
  ranks.reserve(table.suspects.size());
  for (const auto& [trait, crashes] : table.suspects) {
    ranks.emplace_back(crashes.size(), last_crash(crashes), trait);
  }
  const auto middle = ranks.begin() + static_cast<std::ptrdiff_t>(ranks.size() / 2);
  std::nth_element(ranks.begin(), middle, ranks.end());
  for (auto it = ranks.begin(); it != middle; ++it) {
    table.suspects.erase(std::get<request_trait>(*it));
  }
}

} // namespace

bool add_crash(crash_table& table, const request_trait& trait,
               const server_crash& crash) {
  if (table.suspects.size() >= table.max_suspects && !table.suspects.contains(trait)) {
    drop_weakest_half(table);
  }
  auto& crashes = table.suspects[trait];
  const auto [it, is_new] = crashes.try_emplace(crash.server, crash);
  if (!is_new) {
    it->second.answering = it->second.answering || crash.answering;
    return false;
  }
  if (crashes.size() > table.max_crashes) {
    crashes.erase(std::min_element(crashes.begin(), crashes.end(),
                                   [](const auto& left, const auto& right) {
                                     return left.second.at < right.second.at;
                                   }));
  }
  return true;
}

void remove_crashes_before(crash_table& table, time_point at) {
  for (auto& [trait, crashes] : table.suspects) {
    std::erase_if(crashes, [&](const auto& it) { return it.second.at < at; });
  }
  std::erase_if(table.suspects, [](const auto& it) { return it.second.empty(); });
}

} // namespace marigoldstep
