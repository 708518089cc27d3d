#pragma once

#include "marigoldstep/io/control_client.h"
#include "marigoldstep/yaml_reader.h"

#include <cstdint>
#include <string>
#include <vector>

// Ports of the fleet's own connections; every VM uses the same range.
namespace marigoldstep::io {

// Offsets from the first port of the range.
enum class fleet_port : std::uint16_t {
  members, // between control processes
  nodes,   // agents, routers and mstepctl at control
  links,   // gateways and control processes at control
  metrics,
  reports, // of backend servers at gateways
  count
};

std::uint16_t port_of(std::uint16_t first_port, fleet_port which);

// Reads "ports: [FIRST, LAST]" and returns FIRST. On a malformed or too short range
// reports a problem and returns 0.
std::uint16_t read_first_port(yaml_mapping& map);

// Reads a list of "host:port" texts and reports malformed ones.
std::vector<endpoint> read_endpoints(yaml_mapping& map, const std::string& key);

// Reads one "host:port" text and reports a missing or malformed one.
endpoint read_endpoint(yaml_mapping& map, const std::string& key);

std::vector<std::string> hosts_of(const std::vector<endpoint>& list);

} // namespace marigoldstep::io
