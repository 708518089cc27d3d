#pragma once

#include "marigoldstep/io/control_client.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/io/tls.h"
#include "marigoldstep/yaml_reader.h"

#include <string>
#include <vector>

namespace marigoldstep::control {

// Who may change the configuration and the group.
struct operator_account {
  std::string name;
  std::string key;
};

// Settings of mstep-control.
struct control_settings {
  std::string data_dir;
  io::endpoint listen;         // for nodes and operators
  io::endpoint listen_peer;    // for the other members of the group
  io::endpoint advertise;      // how nodes reach this process; listen by default
  io::endpoint advertise_peer; // how members reach it; listen_peer by default
  io::endpoint admin;
  std::vector<io::endpoint> peers; // the other members of the initial group
  std::string bootstrap_configuration;
  io::log_level log_level = io::log_level::info;
  std::string log_file;
  std::string zone;
  io::tls_files tls;
  std::vector<operator_account> operators; // empty: everybody who can connect
};

// Parses the settings; problems go to the mapping's report.
control_settings parse_control_settings(yaml_mapping& map);

} // namespace marigoldstep::control
