#pragma once

#include "marigoldstep/group_repair.h"
#include "marigoldstep/io/control_client.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/io/tls.h"
#include "marigoldstep/yaml_reader.h"

#include <optional>
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
  std::string node_id; // in logs; the peer address by default
  // Serves backend servers and the operator over HTTP, and gateways on the links;
  // port 0: neither.
  io::endpoint api;
  io::endpoint links;
  double link_bytes_per_ms = 0; // of this VM's network link; 0: no limit
  duration report_silence_timeout{
      4000}; // backend servers that report less often are missing
  // Whether this process may begin a group with its peers.
  bool may_form_group = true;
  // Lets the leader repair the group without an operator.
  std::optional<repair_settings> repair;
  // Log bytes after which a snapshot is taken.
  std::size_t snapshot_bytes = 64U << 20U;
  io::tls_files tls;
  std::vector<operator_account> operators; // empty: everybody who can connect
};

// Parses the settings; problems go to the mapping's report.
control_settings parse_control_settings(yaml_mapping& map);

} // namespace marigoldstep::control
