// What dispatch records about servers and prompts.
#include "marigoldstep/dispatch.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <limits>

namespace marigoldstep {

namespace {

// A server that refuses connections often accepts them again within a second.
constexpr auto initial_ejection = milliseconds(500);
constexpr auto max_ejection = milliseconds(8000);
constexpr unsigned max_doublings = 4;
// A full server has free slots again after some responses.
constexpr auto initial_avoidance = milliseconds(100);
constexpr unsigned max_avoidance_doublings = 3;
// Healthy servers also break a single connection now and then.
constexpr unsigned consecutive_failures_to_eject = 2;
// Weight of one response in the moving average, which covers about the last 16.
constexpr double response_weight = 1.0 / 16;
// Part of max_connections for idle connections; the rest is for requests in flight.
constexpr double idle_connection_fraction = 0.5;
// Limits memory. A deployment has thousands of parts in use.
constexpr std::size_t max_prefix_locations = 20'000;
// Limits memory and the size of a report. A router sends tens of requests between two.
constexpr std::size_t max_part_requests = 256;

void eject(server_stats& stats, time_point now) {
  const auto doublings = std::min(stats.ejections, max_doublings);
  stats.ejected_until =
      now + std::min(initial_ejection * (1U << doublings), max_ejection);
  ++stats.ejections;
}

void record_result(server_stats& stats, bool failed) {
  stats.failure_rate += response_weight * ((failed ? 1.0 : 0.0) - stats.failure_rate);
  stats.responses = std::min(stats.responses + 1, 1000U);
}

} // namespace

std::string hex_id(std::uint64_t id) {
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%" PRIx64, id);
  return buf.data();
}

std::string to_string(const std::vector<prompt_part>& prompt) {
  std::string out;
  for (const auto& it : prompt) {
    out += (out.empty() ? "" : "/") + hex_id(it.id);
  }
  return out;
}

std::uint64_t detail::home_key(const std::vector<prompt_part>& prompt) {
  // The last part is specific to one request or chat and is not shared.
  const auto shared = prompt.size() > 1 ? prompt.size() - 1 : prompt.size();
  const auto max_part = std::max_element(
      prompt.begin(), prompt.begin() + static_cast<std::ptrdiff_t>(shared),
      [](const auto& left, const auto& right) { return left.tokens < right.tokens; });
  return max_part == prompt.end() ? 0 : max_part->id;
}

std::size_t idle_connections(std::uint32_t max_connections, std::uint32_t routers,
                             const std::string& router, const std::string& server) {
  if (max_connections == 0 || routers == 0) {
    return std::numeric_limits<std::size_t>::max();
  }
  const double share = idle_connection_fraction * max_connections / routers;
  const auto whole = static_cast<std::size_t>(share);
  constexpr double hash_range = 0x1.0p64;
  const double draw =
      static_cast<double>(stable_hash(router + " " + server)) / hash_range;
  return draw < share - static_cast<double>(whole) ? whole + 1 : whole;
}

void record_sent(dispatch_state& state, const std::string& id, std::uint64_t tokens) {
  auto& local_load = state.stats[id].local_load;
  ++local_load.requests;
  local_load.tokens += tokens;
}

void record_prompt_sent(dispatch_state& state, const dispatch_request& request,
                        const std::string& id, time_point now) {
  if (request.prompt.empty()) {
    return;
  }
  const auto part = detail::home_key(request.prompt);
  if (state.part_requests.size() < max_part_requests) {
    ++state.part_requests[{service_hash(request.service), part}];
  }
  if (state.prefix_locations.size() >= max_prefix_locations) {
    std::erase_if(state.prefix_locations, [&](const auto& it) {
      return now - it.second.sent_at > detail::prefix_location_ttl;
    });
  }
  if (state.prefix_locations.size() < max_prefix_locations) {
    state.prefix_locations[part] = {id, now};
  }
}

void record_finished(dispatch_state& state, const std::string& id, std::uint64_t tokens) {
  auto& local_load = state.stats[id].local_load;
  local_load.requests -= std::min(local_load.requests, 1U);
  local_load.tokens -= std::min(local_load.tokens, tokens);
}

void record_response(dispatch_state& state, const std::string& id, bool failed,
                     time_point now) {
  auto& stats = state.stats[id];
  record_result(stats, failed);
  stats.consecutive_failures = 0;
  stats.consecutive_refusals = 0;
  stats.avoided_until = std::min(stats.avoided_until, now);
  if (!failed) {
    stats.ejections = 0;
    stats.ejected_until = std::min(stats.ejected_until, now);
  }
}

void record_broken_connection(dispatch_state& state, const std::string& id,
                              time_point now) {
  auto& stats = state.stats[id];
  record_result(stats, true);
  if (++stats.consecutive_failures >= consecutive_failures_to_eject &&
      stats.ejected_until <= now) {
    eject(stats, now);
  }
}

void record_refusal(dispatch_state& state, const std::string& id, time_point now) {
  auto& stats = state.stats[id];
  const auto doublings = std::min(stats.consecutive_refusals, max_avoidance_doublings);
  stats.avoided_until = now + initial_avoidance * (1U << doublings);
  ++stats.consecutive_refusals;
}

void record_reported_load(dispatch_state& state, const std::string& id,
                          std::uint32_t requests, time_point now) {
  auto& stats = state.stats[id];
  stats.reported_requests = requests;
  stats.reported_at = now;
}

} // namespace marigoldstep
