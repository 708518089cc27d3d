#include "gateway/settings.h"

#include "marigoldstep/io/fleet_ports.h"

namespace marigoldstep::gateway {

namespace {

constexpr auto max_report_interval = milliseconds(600'000);

retry_limits parse_retries(yaml_mapping& map) {
  constexpr double max_extra = 1e6;
  retry_limits out;
  auto it = read_mapping(map, "retry_budget");
  out.ratio = read_number(it, "ratio", out.ratio, 0, 1);
  out.base_retries = read_number(it, "extra", out.base_retries, 0, max_extra);
  out.window = std::chrono::duration_cast<milliseconds>(
      std::chrono::duration<double>(read_number(it, "window_s", 10, 1, 600)));
  report_unknown_keys(it);
  return out;
}

} // namespace

gateway_settings parse_gateway_settings(yaml_mapping& map) {
  // In report intervals: tolerates three lost reports and a fourth that is late.
  constexpr int silence_report_count = 4;
  // Highest load of a server as a multiple of the mean.
  constexpr double default_load_factor = 2;
  // Load counts are up to half a second old, so the bound leaves a part of the allowed
  // factor unused.
  constexpr double load_factor_fraction = 0.85;
  constexpr double max_mbps = 1e6;
  constexpr double bytes_per_ms_per_mbps = 125; // of one Mbit/s
  gateway_settings out;
  out.node_id = read_string(map, "node_id");
  out.zone = read_string(map, "zone", "");
  out.host = read_string(map, "host");
  out.listen = io::read_endpoint(map, "listen");
  out.listen_ready = io::read_endpoint(map, "listen_ready");
  out.first_port = io::read_first_port(map);
  out.seeds = io::read_endpoints(map, "seeds");
  out.retries = parse_retries(map);
  out.dispatch.silence_timeout =
      silence_report_count * read_duration_ms(map, "report_interval_ms",
                                              milliseconds(1000), milliseconds(10),
                                              max_report_interval);
  out.dispatch.load_bound_ratio =
      load_factor_fraction *
      read_number(map, "most_load_factor", default_load_factor, 1, 100);
  out.stop_time = std::chrono::duration_cast<milliseconds>(
      std::chrono::duration<double>(read_number(map, "stop_time_s", 8, 0, 600)));
  out.limits = io::read_process_limits(map);
  out.link_bytes_per_ms = static_cast<std::uint32_t>(
      bytes_per_ms_per_mbps * read_number(map, "link_mbps", 0, 0, max_mbps));
  out.log_level = io::parse_log_level(
      read_choice(map, "log_level", "info", {"debug", "info", "warning", "error"}));
  return out;
}

std::vector<std::string> changed_fixed_settings(const gateway_settings& before,
                                                const gateway_settings& after) {
  std::vector<std::string> out;
  const auto compare = [&](std::string_view name, bool same) {
    if (!same) {
      out.emplace_back(name);
    }
  };
  compare("node_id", before.node_id == after.node_id);
  compare("zone", before.zone == after.zone);
  compare("host", before.host == after.host);
  compare("listen", before.listen == after.listen);
  compare("listen_ready", before.listen_ready == after.listen_ready);
  compare("ports", before.first_port == after.first_port);
  compare("link_mbps", before.link_bytes_per_ms == after.link_bytes_per_ms);
  compare("log_level", before.log_level == after.log_level);
  return out;
}

} // namespace marigoldstep::gateway
