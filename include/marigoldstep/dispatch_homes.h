#pragma once

#include "marigoldstep/dispatch.h"

#include <cstdint>
#include <random>
#include <vector>

// Homes of prompts: the servers that have, or are to have, a shared part cached.
namespace marigoldstep::detail {

// A server that may get the request, with its estimated load.
struct candidate {
  const indexed_server* indexed = nullptr;
  std::uint32_t load = 0; // requests

  [[nodiscard]] const announced_server& server() const { return indexed->entry->server; }
  [[nodiscard]] const server_stats& stats() const { return *indexed->stats; }
};

// home has the highest score of all candidates; chosen has the highest score of those
// that stay within the load bound with one more request.
struct home_choice {
  const candidate* home = nullptr;
  const candidate* chosen = nullptr;
};

home_choice choose_home(const std::vector<candidate>& list,
                        const dispatch_request& request, double load_bound);

// Number of homes of a part: as many as keep the load that its requests add to a mean
// server within half of its room; the other half is for random variation. Their load
// follows from Little's law, because the part's share of the requests is also its share
// of the load.
std::size_t home_count(const dispatch_state& state, const dispatch_request& request,
                       double mean, std::size_t servers, double load_bound);

// One of the n candidates with the highest scores, drawn with weights by their room
// within the load bound; null if all are above it. Routers that draw overload no home
// between two reports of its load, unlike routers that all choose the same one.
const candidate* draw_home(const std::vector<candidate>& list,
                           const dispatch_request& request, std::size_t n,
                           double load_bound, std::mt19937_64& random);

// The server that probably has the shared prefix cached. This is where this router last
// sent a prompt with the same largest shared part. For a part that this router has not
// sent, it is the home if that is another server, the previous home if that drains or
// has closed itself to requests, or the home before the chosen server joined. Null if it
// is the chosen server, has another software version or cannot serve a copy.
const announced_server* find_copy_source(const server_directory& directory,
                                         const dispatch_state& state,
                                         const dispatch_request& request,
                                         const dispatch_limits& limits,
                                         const candidate& chosen, time_point now);

} // namespace marigoldstep::detail
