#include "control/settings.h"

#include "marigoldstep/io/fleet_ports.h"

#include <algorithm>

namespace marigoldstep::control {

namespace {

io::endpoint read_endpoint(yaml_mapping& map, const std::string& key,
                           const io::endpoint& fallback) {
  if (!has_key(map, key)) {
    map.known_keys.insert(key);
    return fallback;
  }
  return io::read_endpoint(map, key);
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
    report_unknown_keys(it);
    out.push_back(peer);
  }
  return out;
}

std::vector<operator_account> read_operators(yaml_mapping& map) {
  std::vector<operator_account> out;
  for (auto& it : read_mappings(map, "operators")) {
    out.push_back({read_string(it, "name"), read_string(it, "key")});
    report_unknown_keys(it);
  }
  return out;
}

void parse_addresses(yaml_mapping& map, control_settings& out) {
  out.listen = io::read_endpoint(map, "listen");
  out.listen_peer = io::read_endpoint(map, "listen_peer");
  out.advertise = read_endpoint(map, "advertise", out.listen);
  out.advertise_peer = read_endpoint(map, "advertise_peer", out.listen_peer);
  out.admin = io::read_endpoint(map, "admin");
  out.peers = read_peers(map);
  std::erase(out.peers, out.advertise_peer);
}

// Derives the addresses from the hosts when all VMs use the same range of ports.
void parse_shared_ports(yaml_mapping& map, control_settings& out) {
  constexpr std::int64_t max_losses = 10;
  constexpr std::int64_t max_snapshot_mb = 1024;
  constexpr std::size_t bytes_per_mb = 1U << 20U;
  const auto host = read_string(map, "host");
  const auto first = io::read_first_port(map);
  // With NAT the process listens on another address than the one announced to others.
  const auto listen_host = read_string(map, "listen_host", host);
  const auto at = [&](const std::string& on, io::fleet_port which) {
    return io::endpoint{on, io::port_of(first, which)};
  };
  out.listen = at(listen_host, io::fleet_port::nodes);
  out.advertise = at(host, io::fleet_port::nodes);
  out.listen_peer = at(listen_host, io::fleet_port::members);
  out.advertise_peer = at(host, io::fleet_port::members);
  out.links = at(listen_host, io::fleet_port::links);
  out.admin = at(listen_host, io::fleet_port::metrics);
  out.api = io::read_endpoint(map, "api");
  for (const auto& it : io::read_endpoints(map, "seeds")) {
    out.peers.push_back({it.host, out.listen_peer.port});
  }
  constexpr double max_mbps = 1e6;
  constexpr double bytes_per_ms_per_mbps = 125; // of one Mbit/s
  out.link_bytes_per_ms =
      bytes_per_ms_per_mbps * read_number(map, "link_mbps", 0, 0, max_mbps);
  // In report intervals: tolerates three lost reports and a fourth that is late.
  constexpr int silence_report_count = 4;
  out.report_silence_timeout =
      silence_report_count * read_duration_ms(map, "report_interval_ms",
                                              milliseconds(1000), milliseconds(10),
                                              milliseconds(600'000));
  // A process that isn't among the seeds joins their group instead of forming one, and
  // so does one that lost its disk.
  const bool is_seed = std::erase(out.peers, out.advertise_peer) > 0;
  out.may_form_group = read_bool(map, "first_start", false) && is_seed;
  repair_settings repair;
  repair.tolerated_losses =
      static_cast<std::size_t>(read_integer(map, "tolerated_losses", 1, 0, max_losses));
  out.repair = repair;
  out.snapshot_bytes =
      bytes_per_mb *
      static_cast<std::size_t>(read_integer(map, "snapshot_mb", 4, 1, max_snapshot_mb));
}

} // namespace

control_settings parse_control_settings(yaml_mapping& map) {
  control_settings out;
  out.data_dir = read_string(map, "data_dir");
  if (has_key(map, "ports")) {
    parse_shared_ports(map, out);
  } else {
    parse_addresses(map, out);
  }
  out.node_id = read_string(map, "node_id",
                            out.advertise_peer.host + ":" +
                                std::to_string(out.advertise_peer.port));
  out.bootstrap_configuration = read_string(map, "bootstrap_configuration", "");
  out.log_level = io::parse_log_level(
      read_choice(map, "log_level", "info", {"debug", "info", "warning", "error"}));
  out.log_file = read_string(map, "log_file", "");
  out.operators = read_operators(map);
  out.limits = io::read_process_limits(map);
  out.tls = io::parse_tls(map);
  out.zone = read_string(map, "zone", "");
  // The values, the regions of the zones, aren't used.
  const auto zones = keys(read_mapping(map, "zones"));
  out.zones = {zones.begin(), zones.end()};
  return out;
}

} // namespace marigoldstep::control
