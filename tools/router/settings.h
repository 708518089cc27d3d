#pragma once

#include "marigoldstep/io/control_client.h"
#include "marigoldstep/yaml_reader.h"

#include <string>
#include <vector>

namespace marigoldstep::router {

struct router_limits {
  std::uint32_t max_connections = 20'000; // open connections of callers
  std::uint32_t max_requests = 12'000;    // requests in progress
  // Bodies and held answers of all requests in progress, in bytes. Above it new
  // requests are refused and answers are passed on in chunks without being held.
  std::uint64_t max_buffered_bytes = 256U << 20U;
  // A caller must send a whole request, or the next one, within this time.
  duration caller_idle_timeout{30'000};
  // A caller that takes no bytes of a running answer for this long is cut off.
  duration caller_stall_timeout{60'000};
  // Running requests may finish for this long after a stop signal.
  duration stop_limit{60'000};

  friend bool operator==(const router_limits&, const router_limits&) = default;
};

// Settings file of mstep-router.
struct router_settings {
  std::string node_id;
  std::string zone;
  io::endpoint listen;
  io::endpoint admin;
  std::vector<io::endpoint> control;
  std::string log_level = "info";
  std::string log_file; // standard error when empty
  router_limits limits;

  friend bool operator==(const router_settings&, const router_settings&) = default;
};

router_settings parse_settings(yaml_mapping& map);

} // namespace marigoldstep::router
