#include "marigoldstep/fleet_load.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace marigoldstep {

namespace {

// All servers of a service up to this size are listed.
constexpr std::size_t max_small_service = 64;
// Age at which a request has lost all but 1/e of its weight. A part that comes into
// demand overloads its home until its share is known.
constexpr double demand_time_constant_ms = 500;
// Parts with less weight are too few requests for an estimate of their share.
constexpr double min_part_weight = 3;
constexpr double forgotten_weight = 0.05;
constexpr std::size_t max_popular_parts = 32;
// Limits memory. Within the time constant a fleet asks for thousands of parts.
constexpr std::size_t max_parts_per_service = 20'000;

struct loaded_server {
  std::uint32_t server = 0;
  load_count load;
  double relative = 0; // to the mean of its service
};

load_count load_at(const std::map<std::uint32_t, load_count>& loads,
                   std::uint32_t server) {
  const auto it = loads.find(server);
  return it == loads.end() ? load_count() : it->second;
}

void decay(part_demand& demand, time_point now) {
  const auto age = static_cast<double>((now - demand.decayed_at).count());
  demand.decayed_at = now;
  const double factor = std::exp(-std::max(0.0, age) / demand_time_constant_ms);
  for (auto& [service, parts] : demand.services) {
    for (auto& [part, weight] : parts) {
      weight *= factor;
    }
    std::erase_if(parts, [](const auto& it) { return it.second < forgotten_weight; });
  }
  std::erase_if(demand.services, [](const auto& it) { return it.second.empty(); });
}

} // namespace

load_digest make_load_digest(const std::map<std::uint32_t, load_count>& loads,
                             const std::map<std::uint32_t, std::uint32_t>& services,
                             std::size_t max_servers) {
  load_digest out;
  std::map<std::uint32_t, std::vector<loaded_server>> by_service;
  for (const auto& [server, service] : services) {
    by_service[service].push_back({server, load_at(loads, server), 0});
  }
  std::vector<loaded_server> large;
  for (auto& [service, list] : by_service) {
    if (list.size() <= max_small_service) {
      for (const auto& it : list) {
        out.servers[it.server] = it.load;
      }
      continue;
    }
    const double sum =
        std::accumulate(list.begin(), list.end(), 0.0,
                        [](double n, const auto& it) { return n + it.load.requests; });
    const double mean = std::max(1.0, sum / static_cast<double>(list.size()));
    for (auto& it : list) {
      it.relative = it.load.requests / mean;
    }
    large.insert(large.end(), list.begin(), list.end());
  }
  const auto n = std::min(large.size(), max_servers);
  std::partial_sort(
      large.begin(), large.begin() + static_cast<std::ptrdiff_t>(n), large.end(),
      [](const auto& left, const auto& right) { return left.relative > right.relative; });
  std::map<std::uint32_t, std::pair<double, double>> rest; // sum and number
  for (std::size_t i = 0; i < large.size(); ++i) {
    if (i < n) {
      out.servers[large[i].server] = large[i].load;
    } else {
      auto& [sum, number] = rest[services.at(large[i].server)];
      sum += large[i].load.requests;
      ++number;
    }
  }
  for (const auto& [service, it] : rest) {
    out.rest_requests[service] = it.first / it.second;
  }
  return out;
}

load_count find_load(const load_digest& digest, std::uint32_t server,
                     std::uint32_t service) {
  const auto listed = digest.servers.find(server);
  if (listed != digest.servers.end()) {
    return listed->second;
  }
  const auto rest = digest.rest_requests.find(service);
  return rest == digest.rest_requests.end()
             ? load_count()
             : load_count{static_cast<std::uint32_t>(std::lround(rest->second)), 0};
}

void add_part_requests(part_demand& demand,
                       const std::map<part_key, std::uint32_t>& requests,
                       time_point now) {
  decay(demand, now);
  for (const auto& [key, n] : requests) {
    auto& parts = demand.services[key.service];
    if (parts.size() < max_parts_per_service || parts.contains(key.part)) {
      parts[key.part] += n;
    }
  }
}

std::vector<std::pair<part_key, double>> find_popular_parts(part_demand& demand,
                                                            time_point now) {
  decay(demand, now);
  std::vector<std::pair<part_key, double>> out;
  for (const auto& [service, parts] : demand.services) {
    const double sum =
        std::accumulate(parts.begin(), parts.end(), 0.0,
                        [](double n, const auto& it) { return n + it.second; });
    for (const auto& [part, weight] : parts) {
      if (weight >= min_part_weight) {
        out.push_back({{service, part}, weight / sum});
      }
    }
  }
  std::sort(out.begin(), out.end(), [](const auto& left, const auto& right) {
    return left.second > right.second;
  });
  out.resize(std::min(out.size(), max_popular_parts));
  return out;
}

} // namespace marigoldstep
