#include "router/settings.h"

namespace marigoldstep::router {

namespace {

constexpr std::int64_t max_count = 1'000'000;
constexpr std::int64_t min_buffer_bytes = 1 << 10;
constexpr std::int64_t max_buffer_bytes = 1LL << 40;
constexpr auto min_timeout = milliseconds(100);
constexpr auto max_timeout = milliseconds(24L * 3600 * 1000);

io::endpoint read_endpoint(yaml_mapping& map, const std::string& key) {
  const auto text = read_string(map, key);
  auto out = io::parse_endpoint(text);
  if (!text.empty() && out.port == 0) {
    add_problem(map, key, "must be host:port");
  }
  return out;
}

std::vector<io::endpoint> read_endpoints(yaml_mapping& map, const std::string& key) {
  std::vector<io::endpoint> out;
  for (const auto& it : read_strings(map, key)) {
    out.push_back(io::parse_endpoint(it));
    if (out.back().port == 0) {
      add_problem(map, key, "must be a list of host:port, found " + it);
    }
  }
  if (out.empty()) {
    add_problem(map, key, "must name at least one control process");
  }
  return out;
}

std::uint32_t read_count(yaml_mapping& map, const std::string& key,
                         std::uint32_t fallback) {
  return static_cast<std::uint32_t>(read_integer(map, key, fallback, 1, max_count));
}

router_limits parse_limits(yaml_mapping map) {
  router_limits out;
  const auto read_timeout = [&map](const char* key, milliseconds fallback) {
    return read_duration_ms(map, key, fallback, min_timeout, max_timeout);
  };
  out.max_connections = read_count(map, "max_connections", out.max_connections);
  out.max_requests = read_count(map, "max_requests", out.max_requests);
  out.max_buffered_bytes = static_cast<std::uint64_t>(read_integer(
      map, "max_buffered_bytes", static_cast<std::int64_t>(out.max_buffered_bytes),
      min_buffer_bytes, max_buffer_bytes));
  out.caller_idle_timeout =
      read_timeout("caller_idle_timeout_ms", out.caller_idle_timeout);
  out.caller_stall_timeout =
      read_timeout("caller_stall_timeout_ms", out.caller_stall_timeout);
  out.stop_limit = read_timeout("stop_limit_ms", out.stop_limit);
  report_unknown_keys(map);
  return out;
}

} // namespace

router_settings parse_settings(yaml_mapping& map) {
  router_settings out;
  out.node_id = read_string(map, "node_id");
  if (has_key(map, "node_id") && out.node_id.empty()) {
    add_problem(map, "node_id", "must not be empty");
  }
  out.zone = read_string(map, "zone");
  out.listen = read_endpoint(map, "listen");
  out.admin = read_endpoint(map, "admin");
  out.control = read_endpoints(map, "control");
  out.log_level =
      read_choice(map, "log_level", out.log_level, {"debug", "info", "warning", "error"});
  out.log_file = read_string(map, "log_file", out.log_file);
  out.process = io::read_process_limits(map);
  out.limits = parse_limits(read_mapping(map, "limits"));
  return out;
}

} // namespace marigoldstep::router
