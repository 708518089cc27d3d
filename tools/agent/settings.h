#pragma once

#include "marigoldstep/io/control_client.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/yaml_reader.h"

#include <string>
#include <vector>

namespace marigoldstep::agent {

// Contents of the settings file of mstep-agent.
struct agent_settings {
  std::string node_id;
  std::string zone;
  io::endpoint listen;    // for connections from routers
  io::endpoint advertise; // address announced to routers; listen if not set
  io::endpoint admin;
  io::endpoint backend;
  std::vector<io::endpoint> control;
  std::string service; // name of the pool or plain service
  std::vector<std::string> models;
  // Maximum time without data from the backend server during a call.
  milliseconds idle_timeout{15'000};
  // Maximum wait for the reply to a claim request.
  milliseconds claim_timeout{3'000};
  io::log_level log_level = io::log_level::info;
  std::string log_file;
};

// Adds problems to the report of map.
agent_settings parse_agent_settings(yaml_mapping& map);

} // namespace marigoldstep::agent
