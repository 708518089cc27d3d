#include "marigoldstep/dispatch_homes.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace marigoldstep::detail {

namespace {

// All control processes have sent their servers to a router that has just started within
// this time, so servers that become known less far apart may have started together.
constexpr auto join_margin = milliseconds(2000);

// Combines two hashes with the finalizer of splitmix64 (Steele, Lea and Flood, 2014).
std::uint64_t mix(std::uint64_t left, std::uint64_t right) {
  std::uint64_t x = left + 0x9e3779b97f4a7c15ULL * (right + 1);
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31U);
}

bool is_ejected(const dispatch_state& state, const std::string& id, time_point now) {
  const auto it = state.stats.find(id);
  return it != state.stats.end() && it->second.ejected_until > now;
}

// The server with this id if it can still serve a copy, else null. A draining server
// can for a while.
const announced_server* find_holder(const server_directory& directory,
                                    const dispatch_state& state, const std::string& id,
                                    const dispatch_limits& limits, time_point now) {
  const auto entry = directory.entries.find(id);
  if (entry == directory.entries.end() ||
      entry->second.server.state == announced_state::gone ||
      now - entry->second.last_seen > limits.silence_timeout ||
      is_ejected(state, id, now)) {
    return nullptr;
  }
  return &entry->second.server;
}

// Whether the server can serve a copy of what it has cached.
bool can_serve_copy(const indexed_server& it, const dispatch_limits& limits,
                    time_point now) {
  return now - it.entry->last_seen <= limits.silence_timeout &&
         it.stats->ejected_until <= now;
}

// The server with the highest score that may hold the prefix, of those whose score is
// above min_score or that have been known for longer than the chosen server by a margin.
class holder_search {
public:
  holder_search(std::uint64_t key, const candidate& chosen, const dispatch_limits& limits,
                time_point now)
      : key_(key), chosen_(chosen.indexed), limits_(limits), now_(now),
        min_score_(mix(chosen.indexed->id_hash, key)),
        older_than_(chosen.indexed->entry->known_since - join_margin) {}

  void consider(const indexed_server& it) {
    const auto score = mix(it.id_hash, key_);
    const bool may_hold = score > min_score_ || it.entry->known_since < older_than_;
    const bool fits = it.entry->server.version == chosen_->entry->server.version;
    if (may_hold && fits && score > best_score_ && &it != chosen_ &&
        can_serve_copy(it, limits_, now_)) {
      best_ = &it;
      best_score_ = score;
    }
  }

  [[nodiscard]] const announced_server* best() const {
    return best_ == nullptr ? nullptr : &best_->entry->server;
  }

private:
  std::uint64_t key_;
  const indexed_server* chosen_;
  const dispatch_limits& limits_;
  time_point now_;
  std::uint64_t min_score_;
  time_point older_than_;
  const indexed_server* best_ = nullptr;
  std::uint64_t best_score_ = 0;
};

} // namespace

home_choice choose_home(const std::vector<candidate>& list,
                        const dispatch_request& request, double load_bound) {
  const auto key = home_key(request.prompt);
  home_choice out;
  std::uint64_t home_best = 0;
  std::uint64_t chosen_best = 0;
  for (const auto& it : list) {
    const auto score = mix(it.indexed->id_hash, key);
    if (out.home == nullptr || score > home_best) {
      out.home = &it;
      home_best = score;
    }
    if (it.load + 1 <= load_bound && (out.chosen == nullptr || score > chosen_best)) {
      out.chosen = &it;
      chosen_best = score;
    }
  }
  return out;
}

const announced_server* find_copy_source(const server_directory& directory,
                                         const dispatch_state& state,
                                         const dispatch_request& request,
                                         const dispatch_limits& limits,
                                         const candidate& chosen, time_point now) {
  const auto key = home_key(request.prompt);
  const auto location = state.prefix_locations.find(key);
  if (location != state.prefix_locations.end() &&
      now - location->second.sent_at <= prefix_location_ttl) {
    const auto* holder =
        find_holder(directory, state, location->second.server, limits, now);
    const bool fits = holder != nullptr && holder->id != chosen.server().id &&
                      holder->version == chosen.server().version;
    return fits ? holder : nullptr;
  }
  holder_search search(key, chosen, limits, now);
  for (const auto* services :
       {&state.index.services, &state.index.draining, &state.index.evacuated}) {
    const auto list = services->find(request.service);
    if (list != services->end()) {
      for (const auto& it : list->second) {
        search.consider(it);
      }
    }
  }
  return search.best();
}

std::size_t home_count(const dispatch_state& state, const dispatch_request& request,
                       double mean, std::size_t servers, double load_bound) {
  if (state.popular_parts.empty()) {
    return 1;
  }
  const auto it =
      state.popular_parts.find({service_hash(request.service), home_key(request.prompt)});
  if (it == state.popular_parts.end()) {
    return 1;
  }
  constexpr double min_room_requests = 1;
  const double load = it->second * mean * static_cast<double>(servers);
  const double room = std::max(min_room_requests, (load_bound - mean) / 2);
  return std::clamp<std::size_t>(static_cast<std::size_t>(std::ceil(load / room)), 1,
                                 servers);
}

const candidate* draw_home(const std::vector<candidate>& list,
                           const dispatch_request& request, std::size_t n,
                           double load_bound, std::mt19937_64& random) {
  const auto key = home_key(request.prompt);
  std::vector<std::pair<std::uint64_t, const candidate*>> homes;
  homes.reserve(list.size());
  for (const auto& it : list) {
    homes.emplace_back(mix(it.indexed->id_hash, key), &it);
  }
  n = std::min(n, homes.size());
  std::partial_sort(homes.begin(), homes.begin() + static_cast<std::ptrdiff_t>(n),
                    homes.end(), std::greater<>());
  double sum = 0;
  for (std::size_t i = 0; i < n; ++i) {
    sum += std::max(0.0, load_bound - homes[i].second->load);
  }
  double draw = std::uniform_real_distribution<double>(0, 1)(random) * sum;
  for (std::size_t i = 0; i < n; ++i) {
    const double room = std::max(0.0, load_bound - homes[i].second->load);
    if (draw < room) {
      return homes[i].second;
    }
    draw -= room;
  }
  return nullptr;
}

} // namespace marigoldstep::detail
