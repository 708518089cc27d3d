#pragma once

#include "marigoldstep/io/control_client.h"
#include "marigoldstep/io/process_limits.h"
#include "marigoldstep/yaml_reader.h"

#include <string>
#include <vector>

namespace marigoldstep::router {

struct router_limits {
  std::uint32_t max_connections = 20'000; // open connections from callers
  std::uint32_t max_requests = 12'000;    // requests in progress
  // Most that requests and responses may take of the process's memory, in bytes. Where
  // it is used up, incomplete and then new requests are refused, and responses are
  // forwarded in chunks instead of being buffered.
  std::uint64_t max_buffered_bytes = 256U << 20U;
  // Time within which a caller must send a complete request on a new or idle connection.
  milliseconds caller_idle_timeout{30'000};
  // The connection is closed if the caller reads no bytes of a response for this long.
  milliseconds caller_stall_timeout{60'000};
  // Time for running requests to finish after a stop signal.
  milliseconds stop_limit{60'000};

  friend bool operator==(const router_limits&, const router_limits&) = default;
};

// Contents of the settings file of mstep-router.
struct router_settings {
  std::string node_id;
  std::string zone;
  io::endpoint listen;
  io::endpoint admin;
  std::vector<io::endpoint> control;
  std::string log_level = "info";
  std::string log_file; // empty for standard error
  router_limits limits;
  io::process_limits process;

  friend bool operator==(const router_settings&, const router_settings&) = default;
};

// Adds problems to the report of map.
router_settings parse_settings(yaml_mapping& map);

} // namespace marigoldstep::router
