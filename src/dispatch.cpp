#include "marigoldstep/dispatch.h"

#include <algorithm>
#include <cmath>
#include <limits>
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
// A server that has just started counts as twice as busy: it is slower by a factor
// that nobody tells.
constexpr std::uint32_t cold_factor = 2;
// Load in slots a slot at which a server gets next to nothing, and its share then.
constexpr double full_load = 1.2;
constexpr double least_room = 0.05;
// Parts used less recently have probably yielded to others.
constexpr auto kept_for = duration(60'000);
// Connections that a server resets were opened in vain, and it may accept fewer
// while its queue is long.
constexpr double connection_share = 0.9;
// The other half is for requests in flight.
constexpr double idle_share = 0.5;
// Bounds the memory for places; a deployment has thousands of parts in use.
constexpr std::size_t max_places = 20'000;

struct candidate {
  const detail::indexed_server* at = nullptr;
  std::uint32_t load = 0;

  [[nodiscard]] const announced_server& server() const { return at->entry->server; }
  [[nodiscard]] const server_record& record() const { return *at->record; }
};

const server_record& record_of(const dispatch_state& state, const std::string& id) {
  static const server_record none;
  const auto it = state.records.find(id);
  return it == state.records.end() ? none : it->second;
}

bool was_tried(const dispatch_request& request, const std::string& id) {
  return std::find(request.tried.begin(), request.tried.end(), id) != request.tried.end();
}

bool fails_often(const server_record& record) {
  return record.results >= min_results && record.failure_share > outlier_share;
}

const std::vector<detail::indexed_server>& servers_of(const server_directory& directory,
                                                      dispatch_state& state,
                                                      const std::string& service) {
  auto& index = state.index;
  if (index.directory != &directory || index.generation != directory.generation) {
    index = {directory.generation, &directory, {}};
    for (const auto& [id, entry] : directory.entries) {
      if (entry.server.state == announced_state::ready) {
        index.services[entry.server.service].push_back(
            {&entry, &state.records[id], stable_hash(id)});
      }
    }
  }
  return index.services[service];
}

// Leaves out servers that fail far more often than their peers. total and n are of
// all servers that were looked at.
void drop_outliers(std::vector<candidate>& list, double total, std::size_t n) {
  std::erase_if(list, [&](const auto& it) {
    const double own = it.record().failure_share;
    return fails_often(it.record()) &&
           own > outlier_factor * (total - own) / static_cast<double>(n - 1);
  });
}

// Servers that aren't silent, ejected or outliers. One pass over what lies scattered
// in memory, which is most of a decision's time.
std::vector<candidate> find_healthy(const std::vector<detail::indexed_server>& all,
                                    const dispatch_request& request,
                                    const dispatch_limits& limits, time_point now) {
  std::vector<candidate> out;
  out.reserve(all.size());
  double failures = 0;
  std::size_t n = 0;
  bool some_fail = false;
  for (const auto& it : all) {
    if (!request.tried.empty() && was_tried(request, it.entry->server.id)) {
      continue;
    }
    const auto& record = *it.record;
    ++n;
    failures += record.failure_share;
    some_fail = some_fail || fails_often(record);
    if (is_usable(*it.entry, limits.silence, now) && record.ejected_until <= now) {
      const auto load = known_load(record, now);
      out.push_back({&it, now < it.entry->warmup_ends_at ? cold_factor * load : load});
    }
  }
  if (some_fail && n > 1) {
    drop_outliers(out, failures, n);
  }
  return out;
}

// All that weren't tried, for when none is healthy.
std::vector<candidate> find_any(const std::vector<detail::indexed_server>& all,
                                const dispatch_request& request, time_point now) {
  std::vector<candidate> out;
  for (const auto& it : all) {
    if (!was_tried(request, it.entry->server.id)) {
      out.push_back({&it, known_load(*it.record, now)});
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
      now - entry->second.last_seen > limits.silence ||
      record_of(state, id).ejected_until > now) {
    return nullptr;
  }
  return &entry->second.server;
}

// Where the shared parts probably are, if not at the chosen server: where this
// router sent them last, or else at their home.
const announced_server*
find_copy(const server_directory& directory, const dispatch_state& state,
          const dispatch_request& request, const dispatch_limits& limits,
          const announced_server& home, const announced_server& chosen, time_point now) {
  const auto place = state.places.find(home_key(request.prompt));
  if (place != state.places.end() && now - place->second.sent_at <= kept_for) {
    return place->second.server == chosen.id
               ? nullptr
               : find_holder(directory, state, place->second.server, limits, now);
  }
  return home.id == chosen.id ? nullptr : &home;
}

std::uint64_t capacity(std::uint32_t slots, const dispatch_request& request,
                       const dispatch_limits& limits) {
  const auto room = static_cast<std::uint64_t>(
      std::ceil(static_cast<double>(std::max(1U, slots)) * (1 + limits.queue_share)));
  if (request.max_connections == 0) {
    return room;
  }
  const auto open =
      static_cast<std::uint64_t>(connection_share * request.max_connections);
  return std::clamp<std::uint64_t>(open, 1, room);
}

double mean_load(const std::vector<candidate>& list) {
  double sum = 0;
  for (const auto& it : list) {
    sum += it.load;
  }
  return list.empty() ? 0 : sum / static_cast<double>(list.size());
}

// Mixes two hashes; the finalizer of splitmix64 (Steele, Lea and Flood, 2014).
std::uint64_t mix(std::uint64_t left, std::uint64_t right) {
  std::uint64_t x = left + 0x9e3779b97f4a7c15ULL * (right + 1);
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31U);
}

// The server with the highest score is the home; with the bound, the one with the
// highest score among those that may take one more.
struct home_choice {
  const candidate* home = nullptr;
  const candidate* chosen = nullptr;
};

home_choice choose_home(const std::vector<candidate>& list,
                        const dispatch_request& request, double bound) {
  const auto key = home_key(request.prompt);
  home_choice out;
  std::uint64_t home_best = 0;
  std::uint64_t chosen_best = 0;
  for (const auto& it : list) {
    const auto score = mix(it.at->id_hash, key);
    if (out.home == nullptr || score > home_best) {
      out.home = &it;
      home_best = score;
    }
    if (it.load + 1 <= bound && (out.chosen == nullptr || score > chosen_best)) {
      out.chosen = &it;
      chosen_best = score;
    }
  }
  return out;
}

double cost_of(const candidate& it, const dispatch_request& request) {
  const double slots = std::max(1U, it.server().slots);
  const double far = it.server().zone == request.zone ? 0 : zone_penalty;
  return (it.load + far) / slots;
}

const candidate* choose_least(const std::vector<candidate>& list,
                              const dispatch_request& request, std::mt19937_64& random) {
  double sum = 0;
  std::vector<double> upto;
  upto.reserve(list.size());
  for (const auto& it : list) {
    const double slots = std::max(1U, it.server().slots);
    sum += std::max(least_room, (full_load - cost_of(it, request)) * slots);
    upto.push_back(sum);
  }
  const double ticket = std::uniform_real_distribution<double>(0, sum)(random);
  const auto at = std::upper_bound(upto.begin(), upto.end(), ticket) - upto.begin();
  return &list[std::min(static_cast<std::size_t>(at), list.size() - 1)];
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

dispatch_choice choose(const server_directory& directory, dispatch_state& state,
                       const dispatch_request& request, const dispatch_limits& limits,
                       time_point now, std::mt19937_64& random) {
  dispatch_choice out;
  const auto& all = servers_of(directory, state, request.service);
  auto list = find_healthy(all, request, limits, now);
  const bool last_resort = list.empty();
  if (last_resort) {
    list = find_any(all, request, now);
  }
  out.candidates = list.size();
  out.mean_load = mean_load(list);
  const bool some = !list.empty();
  const auto batch_room = capacity(request.batch.slots, request, limits);
  std::erase_if(list, [&](const auto& it) {
    return it.load >= (request.batch.slots != 0
                           ? batch_room
                           : capacity(it.server().slots, request, limits));
  });
  if (list.empty()) {
    out.reason = some ? dispatch_reason::all_full : dispatch_reason::none;
    return out;
  }
  home_choice home;
  if (!request.prompt.empty()) {
    // The mean counts this request as well.
    const double with_this = out.mean_load + 1.0 / static_cast<double>(out.candidates);
    const double bound = limits.bound * with_this + load_slack;
    home = choose_home(list, request, bound);
  }
  const auto* chosen = home.chosen;
  if (chosen != nullptr) {
    out.reason = chosen == home.home ? dispatch_reason::home : dispatch_reason::bounded;
  } else {
    chosen = choose_least(list, request, random);
    out.reason = dispatch_reason::least_loaded;
  }
  if (last_resort) {
    out.reason = dispatch_reason::last_resort;
  }
  out.server = &chosen->server();
  out.load = chosen->load;
  if (home.home != nullptr) {
    out.copy_from = find_copy(directory, state, request, limits, home.home->server(),
                              *out.server, now);
  }
  return out;
}

std::size_t idle_connections(std::uint32_t max_connections, std::uint32_t routers,
                             const std::string& router, const std::string& server) {
  if (max_connections == 0 || routers == 0) {
    return std::numeric_limits<std::size_t>::max();
  }
  const double share = idle_share * max_connections / routers;
  const auto whole = static_cast<std::size_t>(share);
  constexpr double hash_range = 0x1.0p64;
  const double draw =
      static_cast<double>(stable_hash(router + " " + server)) / hash_range;
  return draw < share - static_cast<double>(whole) ? whole + 1 : whole;
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
