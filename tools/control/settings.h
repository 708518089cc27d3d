#pragma once

#include "marigoldstep/group_repair.h"
#include "marigoldstep/io/control_client.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/io/process_limits.h"
#include "marigoldstep/io/tls.h"
#include "marigoldstep/yaml_reader.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marigoldstep::control {

// An operator, who may change the configuration and the group.
struct operator_account {
  std::string name;
  std::string key;
};

// Settings of mstep-control.
struct control_settings {
  std::string data_dir;
  io::endpoint listen;         // for nodes and operators
  io::endpoint listen_peer;    // for the other members of the group
  io::endpoint advertise;      // address announced to nodes; listen by default
  io::endpoint advertise_peer; // address announced to members; listen_peer by default
  io::endpoint admin;
  std::vector<io::endpoint> peers; // the other members of the initial group
  std::string bootstrap_configuration;
  io::log_level log_level = io::log_level::info;
  std::string log_file;
  std::string zone;
  // Availability zones that the operator may evacuate; empty: those of known VMs.
  std::set<std::string> zones;
  std::string node_id; // in logs; the peer address by default
  // Addresses of the HTTP API for backend servers and the operator, and of the links to
  // gateways; with port 0 neither is served.
  io::endpoint api;
  io::endpoint links;
  double link_bytes_per_ms = 0; // bandwidth of this VM's network link; 0: no limit
  // A backend server without a report for longer is silent.
  milliseconds report_silence_timeout{4000};
  // Whether this process may form a group with its peers.
  bool may_form_group = true;
  // When set, the leader repairs the group without an operator.
  std::optional<repair_settings> repair;
  // Size of the log in bytes that triggers a snapshot.
  std::size_t snapshot_bytes = 64U << 20U;
  io::process_limits limits;
  io::tls_files tls;
  std::vector<operator_account> operators; // empty: every client that can connect is one
};

// Parses the settings; adds problems to the mapping's report.
control_settings parse_control_settings(yaml_mapping& map);

} // namespace marigoldstep::control
