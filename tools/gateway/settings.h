#pragma once

#include "marigoldstep/dispatch.h"
#include "marigoldstep/io/control_client.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/io/process_limits.h"
#include "marigoldstep/retry_share.h"
#include "marigoldstep/yaml_reader.h"

#include <string>
#include <vector>

namespace marigoldstep::gateway {

// Settings of mstep-gateway.
struct gateway_settings {
  std::string node_id;
  std::string zone;
  std::string host;                // of this VM, for metrics, reports and links
  io::endpoint listen;             // for callers
  io::endpoint listen_ready;       // for the load balancer's readiness checks
  std::uint16_t first_port = 0;    // of the range for connections within the fleet
  std::vector<io::endpoint> seeds; // control processes to connect to at startup
  retry_limits retries;
  dispatch_limits dispatch;
  milliseconds stop_time{8000}; // from SIGTERM to SIGKILL
  io::process_limits limits;
  std::uint32_t link_bytes_per_ms = 0; // bandwidth of this VM; 0: serves no reads
  io::log_level log_level = io::log_level::info;
};

// Names of the settings that differ and can only change at a restart.
std::vector<std::string> changed_fixed_settings(const gateway_settings& before,
                                                const gateway_settings& after);

// Parses the settings; adds problems to the mapping's report.
gateway_settings parse_gateway_settings(yaml_mapping& map);

} // namespace marigoldstep::gateway
