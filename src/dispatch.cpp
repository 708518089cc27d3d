#include "marigoldstep/dispatch.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace marigoldstep {

namespace {

// A server that refuses connections is often back within a second.
constexpr auto first_ejection = duration(500);
constexpr auto longest_ejection = duration(8000);
constexpr unsigned max_doublings = 4;
// One broken connection happens on healthy servers too.
constexpr unsigned failures_to_eject = 2;
// Weight of one answer in the moving average: about the last 16 count.
constexpr double answer_weight = 1.0 / 16;
constexpr unsigned min_results = 10;
// A server is an outlier when it fails this often, and this much more often than
// its peers: some services answer a share of requests with errors by themselves.
constexpr double outlier_share = 0.3;
constexpr double outlier_factor = 2.5;
// A report describes the moment the answer was made; later it says little.
constexpr auto report_age = duration(300);
// Requests above the bound that a home may have: small counts vary by themselves.
constexpr double load_slack = 2;
// Load that a server of another availability zone must be lighter by, in slots.
constexpr double zone_penalty = 0.5;
// Parts used less recently have probably yielded to others.
constexpr auto kept_for = duration(60'000);
// Bounds the memory for places; a deployment has thousands of parts in use.
constexpr std::size_t max_places = 20'000;

struct candidate {
  const announced_server* server = nullptr;
  const server_record* record = nullptr;
  std::uint32_t load = 0;
};

const server_record& record_of(const dispatch_state& state, const std::string& id) {
  static const server_record none;
  const auto it = state.records.find(id);
  return it == state.records.end() ? none : it->second;
}

bool was_tried(const dispatch_request& request, const std::string& id) {
  return std::find(request.tried.begin(), request.tried.end(), id) != request.tried.end();
}

double total_failure_share(const std::vector<candidate>& list) {
  return std::accumulate(list.begin(), list.end(), 0.0, [](double sum, const auto& it) {
    return sum + it.record->failure_share;
  });
}

// total and n include the server itself.
bool is_outlier(const server_record& record, double total, std::size_t n) {
  if (n < 2 || record.results < min_results || record.failure_share <= outlier_share) {
    return false;
  }
  const double peers = (total - record.failure_share) / static_cast<double>(n - 1);
  return record.failure_share > outlier_factor * peers;
}

std::vector<candidate> find_servers(const server_directory& directory,
                                    const dispatch_state& state,
                                    const dispatch_request& request, time_point now) {
  std::vector<candidate> out;
  for (const auto& [id, it] : directory.entries) {
    if (it.server.service == request.service &&
        it.server.state == announced_state::ready && !was_tried(request, id)) {
      const auto& record = record_of(state, id);
      out.push_back({&it.server, &record, known_load(record, now)});
    }
  }
  return out;
}

// Leaves out servers that are silent, ejected or outliers, unless that leaves
// none.
std::vector<candidate> healthy(const std::vector<candidate>& all,
                               const server_directory& directory,
                               const dispatch_limits& limits, time_point now) {
  std::vector<candidate> out;
  const auto total = total_failure_share(all);
  for (const auto& it : all) {
    const auto& entry = directory.entries.at(it.server->id);
    if (is_usable(entry, limits.silence, now) && it.record->ejected_until <= now &&
        !is_outlier(*it.record, total, all.size())) {
      out.push_back(it);
    }
  }
  return out;
}

std::uint64_t home_key(const std::vector<prompt_part>& prompt) {
  // The last part belongs to one request or chat.
  const auto shared = prompt.size() > 1 ? prompt.size() - 1 : prompt.size();
  const auto largest = std::max_element(
      prompt.begin(), prompt.begin() + static_cast<std::ptrdiff_t>(shared),
      [](const auto& left, const auto& right) { return left.tokens < right.tokens; });
  return largest == prompt.end() ? 0 : largest->id;
}

// A server that leaves still hands out copies for a while.
const announced_server* find_holder(const server_directory& directory,
                                    const dispatch_state& state, const std::string& id,
                                    const dispatch_limits& limits, time_point now) {
  const auto entry = directory.entries.find(id);
  if (entry == directory.entries.end() ||
      entry->second.server.state == announced_state::gone ||
      now - entry->second.heard_at > limits.silence ||
      record_of(state, id).ejected_until > now) {
    return nullptr;
  }
  return &entry->second.server;
}

// Where the shared parts probably are, if not at the chosen server: where this
// router sent them last, or else at their home. candidates are in home order.
const announced_server* find_copy(const server_directory& directory,
                                  const dispatch_state& state,
                                  const dispatch_request& request,
                                  const dispatch_limits& limits,
                                  const std::vector<candidate>& candidates,
                                  const announced_server& chosen, time_point now) {
  const auto place = state.places.find(home_key(request.prompt));
  if (place != state.places.end() && now - place->second.sent_at <= kept_for) {
    return place->second.server == chosen.id
               ? nullptr
               : find_holder(directory, state, place->second.server, limits, now);
  }
  const auto* home = candidates.front().server;
  return home->id == chosen.id ? nullptr : home;
}

std::uint64_t capacity(const candidate& it, const dispatch_request& request,
                       const dispatch_limits& limits) {
  const auto slots = request.batch.slots != 0 ? request.batch.slots : it.server->slots;
  return static_cast<std::uint64_t>(
      std::ceil(static_cast<double>(std::max(1U, slots)) * (1 + limits.queue_share)));
}

double mean_load(const std::vector<candidate>& list) {
  double sum = 0;
  for (const auto& it : list) {
    sum += it.load;
  }
  return list.empty() ? 0 : sum / static_cast<double>(list.size());
}

const candidate* choose_home(std::vector<candidate>& list,
                             const dispatch_request& request, double bound,
                             dispatch_reason& reason) {
  const auto key = home_key(request.prompt);
  const auto score = [&](const candidate& it) { return stable_hash(it.server->id, key); };
  std::sort(list.begin(), list.end(), [&](const auto& left, const auto& right) {
    return score(left) > score(right);
  });
  for (const auto& it : list) {
    if (it.load + 1 <= bound) {
      reason = &it == &list.front() ? dispatch_reason::home : dispatch_reason::bounded;
      return &it;
    }
  }
  return nullptr;
}

const candidate* choose_least(const std::vector<candidate>& list,
                              const dispatch_request& request, std::mt19937_64& random) {
  const candidate* best = nullptr;
  double best_cost = 0;
  std::uniform_real_distribution<double> tie(0, 1.0 / 64);
  for (const auto& it : list) {
    const double slots = std::max(1U, it.server->slots);
    const double far = it.server->zone == request.zone ? 0 : zone_penalty;
    const double cost = (it.load + far) / slots + tie(random);
    if (best == nullptr || cost < best_cost) {
      best = &it;
      best_cost = cost;
    }
  }
  return best;
}

void eject(server_record& record, time_point now) {
  const auto doublings = std::min(record.ejections, max_doublings);
  record.ejected_until =
      now + std::min(first_ejection * (1U << doublings), longest_ejection);
  ++record.ejections;
}

void note_result(server_record& record, bool failed) {
  record.failure_share += answer_weight * ((failed ? 1.0 : 0.0) - record.failure_share);
  record.results = std::min(record.results + 1, 1000U);
}

} // namespace

std::string_view name(dispatch_reason value) {
  switch (value) {
  case dispatch_reason::home:
    return "home";
  case dispatch_reason::bounded:
    return "bounded";
  case dispatch_reason::least_loaded:
    return "least_loaded";
  case dispatch_reason::last_resort:
    return "last_resort";
  case dispatch_reason::all_full:
    return "all_full";
  case dispatch_reason::none:
    return "none";
  }
  return "none";
}

std::uint32_t known_load(const server_record& record, time_point now) {
  const auto counted = record.own.requests + record.others.requests;
  const bool fresh = now - record.reported_at <= report_age;
  return fresh ? std::max(counted, record.reported_requests) : counted;
}

dispatch_choice choose(const server_directory& directory, const dispatch_state& state,
                       const dispatch_request& request, const dispatch_limits& limits,
                       time_point now, std::mt19937_64& random) {
  dispatch_choice out;
  const auto all = find_servers(directory, state, request, now);
  auto list = healthy(all, directory, limits, now);
  const bool last_resort = list.empty();
  if (last_resort) {
    list = all;
  }
  out.candidates = list.size();
  out.mean_load = mean_load(list);
  std::vector<candidate> with_room;
  for (const auto& it : list) {
    if (it.load < capacity(it, request, limits)) {
      with_room.push_back(it);
    }
  }
  if (with_room.empty()) {
    out.reason = list.empty() ? dispatch_reason::none : dispatch_reason::all_full;
    return out;
  }
  const candidate* chosen = nullptr;
  if (!request.prompt.empty()) {
    // The mean counts this request as well.
    const double with_this = out.mean_load + 1.0 / static_cast<double>(list.size());
    const double bound = limits.bound * with_this + load_slack;
    chosen = choose_home(with_room, request, bound, out.reason);
  }
  if (chosen == nullptr) {
    chosen = choose_least(with_room, request, random);
    out.reason = dispatch_reason::least_loaded;
  }
  if (last_resort) {
    out.reason = dispatch_reason::last_resort;
  }
  out.server = chosen->server;
  out.load = chosen->load;
  if (!request.prompt.empty()) {
    out.copy_from =
        find_copy(directory, state, request, limits, with_room, *out.server, now);
  }
  return out;
}

void note_sent(dispatch_state& state, const std::string& id, std::uint64_t tokens) {
  auto& own = state.records[id].own;
  ++own.requests;
  own.tokens += tokens;
}

void note_prompt_sent(dispatch_state& state, const std::vector<prompt_part>& prompt,
                      const std::string& id, time_point now) {
  if (state.places.size() >= max_places) {
    std::erase_if(state.places,
                  [&](const auto& it) { return now - it.second.sent_at > kept_for; });
  }
  if (!prompt.empty() && state.places.size() < max_places) {
    state.places[home_key(prompt)] = {id, now};
  }
}

void note_finished(dispatch_state& state, const std::string& id, std::uint64_t tokens) {
  auto& own = state.records[id].own;
  own.requests -= std::min(own.requests, 1U);
  own.tokens -= std::min(own.tokens, tokens);
}

void note_answer(dispatch_state& state, const std::string& id, bool failed,
                 time_point now) {
  auto& record = state.records[id];
  note_result(record, failed);
  record.failures_in_a_row = 0;
  if (!failed) {
    record.ejections = 0;
    record.ejected_until = std::min(record.ejected_until, now);
  }
}

void note_broken(dispatch_state& state, const std::string& id, time_point now) {
  auto& record = state.records[id];
  note_result(record, true);
  if (++record.failures_in_a_row >= failures_to_eject && record.ejected_until <= now) {
    eject(record, now);
  }
}

void note_reported(dispatch_state& state, const std::string& id, std::uint32_t requests,
                   time_point now) {
  auto& record = state.records[id];
  record.reported_requests = requests;
  record.reported_at = now;
}

} // namespace marigoldstep
