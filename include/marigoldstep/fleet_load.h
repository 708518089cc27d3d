#pragma once

#include "marigoldstep/dispatch.h"
#include "marigoldstep/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

// What the leader of the control group tells all routers about the load of the fleet:
// the requests in flight at the busiest servers, and the prompt parts in demand. The
// functions do no I/O. Servers and services are identified by 32-bit hashes.
namespace marigoldstep {

// Loads of the listed servers. The others of a service have the mean in rest_requests
// each.
struct load_digest {
  std::map<std::uint32_t, load_count> servers;
  std::map<std::uint32_t, double> rest_requests; // by service; absent: no others

  friend bool operator==(const load_digest&, const load_digest&) = default;
};

// Digest of the loads of all servers that takes requests. services maps every server to
// its service. Lists all servers of a service with few of them. Of larger services
// lists at most max_servers altogether, those with the highest load compared to the
// mean of their service.
load_digest make_load_digest(const std::map<std::uint32_t, load_count>& loads,
                             const std::map<std::uint32_t, std::uint32_t>& services,
                             std::size_t max_servers);

// Requests in flight at a server of the service, from all routers.
load_count find_load(const load_digest& digest, std::uint32_t server,
                     std::uint32_t service);

// Requests for prompt parts in the recent past, weighted by age.
struct part_demand {
  std::map<std::uint32_t, std::map<std::uint64_t, double>> services;
  time_point decayed_at{};
};

// Adds the requests that one router has sent since its last report.
void add_part_requests(part_demand& demand,
                       const std::map<part_key, std::uint32_t>& requests, time_point now);

// Parts in demand with their shares of their service's requests, the highest shares
// first. Forgets parts without recent requests.
std::vector<std::pair<part_key, double>> find_popular_parts(part_demand& demand,
                                                            time_point now);

} // namespace marigoldstep
