#include "marigoldstep/dispatch.h"

#include "marigoldstep/dispatch_homes.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace marigoldstep {

using detail::candidate;

namespace {

constexpr unsigned min_responses = 10;
// An outlier exceeds this failure rate, and the mean rate of its peers by this factor.
// The comparison with peers is needed because some services normally respond with
// errors to a part of the requests.
constexpr double max_failure_rate = 0.3;
constexpr double outlier_ratio = 2.5;
// A report holds the load at the time of the response and is outdated soon after.
constexpr auto max_report_age = milliseconds(300);
// Requests that a server may have above the load bound: at small counts, random
// variation alone exceeds the bound.
constexpr double load_slack_requests = 2;
// Added to the load of a server in another availability zone, in requests.
constexpr double zone_penalty_requests = 0.5;
// Part of its slots up to which a server of the own availability zone is preferred to all
// others. Loads that are known late hardly fill the rest.
constexpr double light_load_fraction = 0.34;
// The same at a server of a scarce service, whose requests are shorter.
constexpr auto max_scarce_report_age = milliseconds(60);
// The load of a server that has just started counts twice. It is slower by a factor
// that no message reports.
constexpr std::uint32_t warmup_load_factor = 2;
// Requests per slot at which a server has no free slots left, and the free slots
// counted at or above that load, so that every server keeps a small weight.
constexpr double full_load_requests_per_slot = 1.2;
constexpr double min_free_slots = 0.05;
// Part of max_connections that is used. A server may accept fewer connections while
// its queue is long, and each one that it resets was opened for nothing.
constexpr double usable_connection_fraction = 0.9;
bool was_tried(const dispatch_request& request, const std::string& id) {
  return std::find(request.tried.begin(), request.tried.end(), id) != request.tried.end();
}

server_admission admission_at(const detail::indexed_server& it, time_point now) {
  return admission(it.stats->notice, it.entry->server.started, now);
}

// Time until this router may send the server a request as far as its limit allows.
milliseconds delay_at(const detail::indexed_server& it, time_point now) {
  const auto started = it.entry->server.started;
  const auto delay = request_delay(it.stats->limit, started, now);
  return is_cold(*it.entry, *it.stats, now)
             ? std::max(delay, request_delay(it.stats->cold_limit, started, now))
             : delay;
}

// Whether the server said that it takes no request now.
bool is_closed_at(const detail::indexed_server& it, time_point now) {
  return is_closed(admission_at(it, now)) || delay_at(it, now) > milliseconds(0);
}

// Whether the server has yet to show that its back-off has ended, and a request that may
// show it is in flight. More requests would be refused together if it has not.
bool is_being_probed(const detail::indexed_server& it, time_point now) {
  return it.stats->local_load.requests > 0 &&
         admission_at(it, now) == server_admission::probe;
}

bool has_high_failure_rate(const server_stats& stats) {
  return stats.responses >= min_responses && stats.failure_rate > max_failure_rate;
}

const std::vector<detail::indexed_server>& servers_of(const server_directory& directory,
                                                      dispatch_state& state,
                                                      const std::string& service) {
  auto& index = state.index;
  if (index.directory != &directory || index.generation != directory.generation ||
      index.evacuation_number != state.evacuations.number) {
    index = {directory.generation, state.evacuations.number, &directory, {}, {}, {}};
    for (const auto& [id, entry] : directory.entries) {
      if (entry.server.state == announced_state::gone) {
        continue;
      }
      auto& services = entry.server.state != announced_state::ready ? index.draining
                       : is_evacuated(state.evacuations, entry.server.zone)
                           ? index.evacuated
                           : index.services;
      services[entry.server.service].push_back(
          {&entry, &state.stats[id], stable_hash(id)});
    }
  }
  return index.services[service];
}

// Removes servers that fail much more often than their peers. total is the sum of
// the failure rates of all n servers examined, including those not in list.
void drop_outliers(std::vector<candidate>& list, double total, std::size_t n) {
  std::erase_if(list, [&](const auto& it) {
    const double own_rate = it.stats().failure_rate;
    return has_high_failure_rate(it.stats()) &&
           own_rate > outlier_ratio * (total - own_rate) / static_cast<double>(n - 1);
  });
}

bool is_scarce(const std::vector<detail::indexed_server>& all,
               const dispatch_request& request, const dispatch_limits& limits) {
  if (limits.routers == 0 || !request.prompt.empty() || request.batch.slots != 0 ||
      all.size() >= limits.routers) {
    return false;
  }
  std::uint64_t slots = 0;
  for (const auto& it : all) {
    slots += it.entry->server.slots;
  }
  return slots < limits.routers;
}

using load_function = std::uint32_t (*)(const server_stats&, time_point);

load_function load_estimate(const std::vector<detail::indexed_server>& all,
                            const dispatch_request& request,
                            const dispatch_limits& limits) {
  return is_scarce(all, request, limits) ? estimated_scarce_load : estimated_load;
}

// Servers with a recent update that are neither ejected, avoided nor outliers. A single
// pass, because the entries are scattered in memory and reading them takes most of the
// time of a decision.
std::vector<candidate> find_healthy(const std::vector<detail::indexed_server>& all,
                                    const dispatch_request& request,
                                    const dispatch_limits& limits, time_point now) {
  const auto estimate = load_estimate(all, request, limits);
  std::vector<candidate> out;
  out.reserve(all.size());
  double failures = 0;
  std::size_t n = 0;
  bool any_failing = false;
  for (const auto& it : all) {
    if (!request.tried.empty() && was_tried(request, it.entry->server.id)) {
      continue;
    }
    const auto& stats = *it.stats;
    ++n;
    failures += stats.failure_rate;
    any_failing = any_failing || has_high_failure_rate(stats);
    if (is_usable(*it.entry, limits.silence_timeout, now) && stats.ejected_until <= now &&
        stats.avoided_until <= now && !is_closed_at(it, now) &&
        !is_being_probed(it, now)) {
      const auto load = estimate(stats, now);
      out.push_back(
          {&it, is_cold(*it.entry, stats, now) ? warmup_load_factor * load : load});
    }
  }
  if (any_failing && n > 1) {
    drop_outliers(out, failures, n);
  }
  return out;
}

// All servers not tried yet that take requests, used when none is healthy.
std::vector<candidate> find_untried(const std::vector<detail::indexed_server>& all,
                                    const dispatch_request& request,
                                    const dispatch_limits& limits, time_point now) {
  const auto estimate = load_estimate(all, request, limits);
  std::vector<candidate> out;
  for (const auto& it : all) {
    if (!was_tried(request, it.entry->server.id) && !is_closed_at(it, now)) {
      out.push_back({&it, estimate(*it.stats, now)});
    }
  }
  return out;
}

void keep_requested_version(std::vector<candidate>& list,
                            const dispatch_request& request) {
  if (request.version) {
    std::erase_if(
        list, [&](const auto& it) { return it.server().version != *request.version; });
  }
}

// Sets the reason and, if every server has closed itself to requests, the time until the
// first one opens again.
void explain_refusal(dispatch_choice& out, const std::vector<detail::indexed_server>& all,
                     bool any_candidate, time_point now) {
  out.reason = any_candidate ? dispatch_reason::all_full : dispatch_reason::none;
  const bool all_closed =
      !all.empty() && std::all_of(all.begin(), all.end(), [now](const auto& it) {
        return is_closed_at(it, now);
      });
  if (any_candidate || !all_closed) {
    return;
  }
  out.reason = dispatch_reason::all_closed;
  for (const auto& it : all) {
    const auto state = admission_at(it, now);
    if (state == server_admission::leaving) {
      continue;
    }
    const auto backoff = state == server_admission::backing_off
                             ? it.stats->notice.backoff_until - now
                             : milliseconds(0);
    const auto wait = std::max(backoff, delay_at(it, now));
    out.reopens_in = std::min(wait, out.reopens_in.value_or(wait));
  }
}

// The mean that bounds the load. Evacuated servers count, although they get no requests:
// as they become idle the others may not take over more than the bound allows.
double mean_with_evacuated(const dispatch_choice& choice, const dispatch_state& state,
                           const std::string& service, time_point now) {
  const auto found = state.index.evacuated.find(service);
  if (found == state.index.evacuated.end()) {
    return choice.mean_load;
  }
  double sum = choice.mean_load * static_cast<double>(choice.candidates);
  for (const auto& it : found->second) {
    sum += estimated_load(*it.stats, now);
  }
  return sum / static_cast<double>(choice.candidates + found->second.size());
}

std::uint64_t capacity(std::uint32_t slots, const dispatch_request& request,
                       const dispatch_limits& limits) {
  const auto room = static_cast<std::uint64_t>(
      std::ceil(static_cast<double>(std::max(1U, slots)) * (1 + limits.queue_fraction)));
  if (request.max_connections == 0) {
    return room;
  }
  const auto open =
      static_cast<std::uint64_t>(usable_connection_fraction * request.max_connections);
  return std::clamp<std::uint64_t>(open, 1, room);
}

double mean_load(const std::vector<candidate>& list) {
  double sum = 0;
  for (const auto& it : list) {
    sum += it.load;
  }
  return list.empty() ? 0 : sum / static_cast<double>(list.size());
}

double load_per_slot(const candidate& it, const dispatch_request& request) {
  const double slots = std::max(1U, it.server().slots);
  const double zone_load = it.server().zone == request.zone ? 0 : zone_penalty_requests;
  return (it.load + zone_load) / slots;
}

// The candidates of the own availability zone that are lightly loaded, or else all.
std::vector<candidate> prefer_own_zone(const std::vector<candidate>& list,
                                       const dispatch_request& request) {
  std::vector<candidate> out;
  std::copy_if(list.begin(), list.end(), std::back_inserter(out), [&](const auto& it) {
    const double slots = std::max(1U, it.server().slots);
    return it.server().zone == request.zone && it.load < light_load_fraction * slots;
  });
  return out.empty() ? list : out;
}

// A random candidate, with weights by free slots.
const candidate* choose_least_loaded(const std::vector<candidate>& list,
                                     const dispatch_request& request,
                                     std::mt19937_64& random) {
  double sum = 0;
  std::vector<double> cumulative_weights;
  cumulative_weights.reserve(list.size());
  for (const auto& it : list) {
    const double slots = std::max(1U, it.server().slots);
    sum += std::max(min_free_slots,
                    (full_load_requests_per_slot - load_per_slot(it, request)) * slots);
    cumulative_weights.push_back(sum);
  }
  const double draw = std::uniform_real_distribution<double>(0, sum)(random);
  const auto at =
      std::upper_bound(cumulative_weights.begin(), cumulative_weights.end(), draw) -
      cumulative_weights.begin();
  return &list[std::min(static_cast<std::size_t>(at), list.size() - 1)];
}

} // namespace

std::string_view name(dispatch_reason value) {
  switch (value) {
  case dispatch_reason::home:
    return "home";
  case dispatch_reason::popular:
    return "popular";
  case dispatch_reason::bounded:
    return "bounded";
  case dispatch_reason::least_loaded:
    return "least_loaded";
  case dispatch_reason::last_resort:
    return "last_resort";
  case dispatch_reason::all_full:
    return "all_full";
  case dispatch_reason::all_closed:
    return "all_closed";
  case dispatch_reason::no_version:
    return "no_version";
  case dispatch_reason::evacuated:
    return "evacuated";
  case dispatch_reason::none:
    return "none";
  }
  return "none";
}

std::uint32_t service_hash(std::string_view service) {
  return static_cast<std::uint32_t>(stable_hash(service));
}

std::uint32_t estimated_load(const server_stats& stats, time_point now) {
  const auto counted = stats.local_load.requests + stats.peer_load.requests;
  const bool fresh = now - stats.reported_at <= max_report_age;
  return fresh ? std::max(counted, stats.reported_requests) : counted;
}

std::uint32_t estimated_scarce_load(const server_stats& stats, time_point now) {
  const bool fresh = now - stats.reported_at <= max_scarce_report_age;
  return fresh ? std::max(stats.local_load.requests, stats.reported_requests)
               : stats.local_load.requests;
}

dispatch_choice choose_backend(const server_directory& directory, dispatch_state& state,
                               const dispatch_request& request,
                               const dispatch_limits& limits, time_point now,
                               std::mt19937_64& random) {
  dispatch_choice out;
  const auto& all = servers_of(directory, state, request.service);
  auto list = find_healthy(all, request, limits, now);
  out.candidates = list.size();
  out.mean_load = mean_load(list);
  keep_requested_version(list, request);
  const bool last_resort = list.empty();
  if (last_resort) {
    list = find_untried(all, request, limits, now);
    if (out.candidates == 0) {
      out.candidates = list.size();
      out.mean_load = mean_load(list);
    }
    keep_requested_version(list, request);
  }
  const bool any_candidate = !list.empty();
  const auto batch_capacity = capacity(request.batch.slots, request, limits);
  std::erase_if(list, [&](const auto& it) {
    return it.load >= (request.batch.slots != 0
                           ? batch_capacity
                           : capacity(it.server().slots, request, limits));
  });
  if (list.empty()) {
    explain_refusal(out, all, any_candidate, now);
    if (all.empty() && state.index.evacuated.contains(request.service)) {
      out.reason = dispatch_reason::evacuated;
    }
    if (out.reason == dispatch_reason::none && request.version && !all.empty()) {
      out.reason = dispatch_reason::no_version;
    }
    return out;
  }
  detail::home_choice home;
  const candidate* drawn = nullptr;
  if (!request.prompt.empty()) {
    // The bound applies to the mean load including this request.
    const double mean_with_request =
        mean_with_evacuated(out, state, request.service, now) +
        1.0 / static_cast<double>(out.candidates);
    const double load_bound =
        limits.load_bound_ratio * mean_with_request + load_slack_requests;
    home = detail::choose_home(list, request, load_bound);
    const auto homes =
        detail::home_count(state, request, out.mean_load, out.candidates, load_bound);
    if (homes > 1) {
      drawn = detail::draw_home(list, request, homes, load_bound, random);
    }
  }
  const auto* chosen = drawn != nullptr ? drawn : home.chosen;
  if (drawn != nullptr) {
    out.reason = dispatch_reason::popular;
  } else if (chosen != nullptr) {
    out.reason = chosen == home.home ? dispatch_reason::home : dispatch_reason::bounded;
  } else {
    if (request.prompt.empty() && !is_scarce(all, request, limits)) {
      list = prefer_own_zone(list, request);
    }
    chosen = choose_least_loaded(list, request, random);
    out.reason = dispatch_reason::least_loaded;
  }
  if (last_resort) {
    out.reason = dispatch_reason::last_resort;
  }
  out.server = &chosen->server();
  out.load = chosen->load;
  if (home.home != nullptr) {
    out.copy_from =
        detail::find_copy_source(directory, state, request, limits, *chosen, now);
  }
  return out;
}

} // namespace marigoldstep
