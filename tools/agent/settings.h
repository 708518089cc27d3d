#pragma once

#include "marigoldstep/io/control_client.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/yaml_reader.h"

#include <string>
#include <vector>

namespace marigoldstep::agent {

// The settings file of mstep-agent.
struct agent_settings {
  std::string node_id;
  std::string zone;
  io::endpoint listen;    // for routers
  io::endpoint advertise; // what routers are told to connect to
  io::endpoint admin;
  io::endpoint backend;
  std::vector<io::endpoint> control;
  std::string service; // pool or plain service
  std::vector<std::string> models;
  // Longest silence of the backend server within one answer.
  duration idle_timeout{15'000};
  // Longest wait for a reply to a claim request.
  duration claim_timeout{3'000};
  io::log_level log_level = io::log_level::info;
  std::string log_file;
};

// Problems go to the report of map.
agent_settings parse_agent_settings(yaml_mapping& map);

} // namespace marigoldstep::agent
