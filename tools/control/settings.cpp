#include "control/settings.h"

#include <algorithm>

namespace marigoldstep::control {

namespace {

io::endpoint read_endpoint(yaml_mapping& map, const std::string& key) {
  const auto text = read_string(map, key);
  if (text.empty()) {
    return {};
  }
  auto out = io::parse_endpoint(text);
  // Port 0 is valid for listening: the system picks one, and the log names it.
  if (out.host.empty()) {
    add_problem(map, key, "must be an address and a port, such as 127.0.0.1:7000");
  }
  return out;
}

io::endpoint read_endpoint(yaml_mapping& map, const std::string& key,
                           const io::endpoint& fallback) {
  if (!has(map, key)) {
    map.known.insert(key);
    return fallback;
  }
  return read_endpoint(map, key);
}

std::vector<io::endpoint> read_peers(yaml_mapping& map) {
  constexpr std::int64_t highest_port = 65535;
  std::vector<io::endpoint> out;
  for (auto& it : read_mappings(map, "peers")) {
    io::endpoint peer;
    peer.host = read_string(it, "host");
    peer.port = static_cast<std::uint16_t>(read_integer(it, "port", 0, 1, highest_port));
    if (peer.port == 0) {
      add_problem(it, "port", "is required");
    }
    finish(it);
    out.push_back(peer);
  }
  return out;
}

std::vector<operator_account> read_operators(yaml_mapping& map) {
  std::vector<operator_account> out;
  for (auto& it : read_mappings(map, "operators")) {
    out.push_back({read_string(it, "name"), read_string(it, "key")});
    finish(it);
  }
  return out;
}

} // namespace

control_settings parse_control_settings(yaml_mapping& map) {
  control_settings out;
  out.data_dir = read_string(map, "data_dir");
  out.listen = read_endpoint(map, "listen");
  out.listen_peer = read_endpoint(map, "listen_peer");
  out.advertise = read_endpoint(map, "advertise", out.listen);
  out.advertise_peer = read_endpoint(map, "advertise_peer", out.listen_peer);
  out.admin = read_endpoint(map, "admin");
  out.peers = read_peers(map);
  std::erase(out.peers, out.advertise_peer);
  out.bootstrap_configuration = read_string(map, "bootstrap_configuration", "");
  out.log_level = io::parse_log_level(
      read_choice(map, "log_level", "info", {"debug", "info", "warning", "error"}));
  out.log_file = read_string(map, "log_file", "");
  out.operators = read_operators(map);
  out.tls = io::parse_tls(map);
  out.zone = read_string(map, "zone", "");
  return out;
}

} // namespace marigoldstep::control
