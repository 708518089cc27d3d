#pragma once

#include "marigoldstep/types.h"

#include <array>
#include <deque>
#include <map>
#include <string>

// One router's part of a retry budget for the whole fleet, so that retries need no
// coordination between routers.
namespace marigoldstep {

// Limit for the whole fleet: in any window, a service gets at most
// ratio * requests + base_retries retries.
struct retry_limits {
  double ratio = 0.1;
  double base_retries = 0; // of the whole fleet
  milliseconds window{10'000};

  friend bool operator==(const retry_limits&, const retry_limits&) = default;
};

struct retry_share {
  retry_limits limits;
  // Routers that share base_retries. 0 while unknown; base_retries is then unused.
  std::uint32_t routers = 0;
  struct counts {
    std::deque<time_point> requests; // within the window
    std::deque<time_point> retries;
  };
  std::map<std::string, counts> services;
};

// Sets the number of routers that share the budget. The caller passes the largest number
// in the last window, because routers that left may have used their part.
void set_routers(retry_share& share, std::uint32_t routers);

void record_request(retry_share& share, const std::string& service, time_point now);

// Consumes one retry. Returns false if this router's part is used up.
bool take_shared_retry(retry_share& share, const std::string& service, time_point now);

} // namespace marigoldstep
