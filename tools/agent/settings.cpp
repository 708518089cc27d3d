#include "agent/settings.h"

namespace marigoldstep::agent {

namespace {

constexpr auto min_timeout = milliseconds(50);
constexpr auto max_timeout = milliseconds(600'000);

io::endpoint check_endpoint(yaml_mapping& map, const std::string& key,
                            const std::string& text) {
  auto out = io::parse_endpoint(text);
  if (out.port == 0) {
    add_problem(map, key, "must be host:port with a port from 1 to 65535");
  }
  return out;
}

io::endpoint read_endpoint(yaml_mapping& map, const std::string& key) {
  const bool given = has_key(map, key);
  const auto text = read_string(map, key);
  return given ? check_endpoint(map, key, text) : io::endpoint{};
}

std::string read_nonempty(yaml_mapping& map, const std::string& key) {
  const bool given = has_key(map, key);
  auto out = read_string(map, key);
  if (given && out.empty()) {
    add_problem(map, key, "must not be empty");
  }
  return out;
}

} // namespace

agent_settings parse_agent_settings(yaml_mapping& map) {
  agent_settings out;
  out.node_id = read_nonempty(map, "node_id");
  out.zone = read_nonempty(map, "zone");
  out.listen = read_endpoint(map, "listen");
  out.advertise =
      has_key(map, "advertise") ? read_endpoint(map, "advertise") : out.listen;
  out.admin = read_endpoint(map, "admin");
  out.backend = read_endpoint(map, "backend");
  for (const auto& it : read_strings(map, "control")) {
    out.control.push_back(check_endpoint(map, "control", it));
  }
  if (out.control.empty()) {
    add_problem(map, "control", "needs at least one host:port");
  }
  out.service = read_nonempty(map, "service");
  out.models = read_strings(map, "models");
  out.idle_timeout = read_duration_ms(map, "idle_timeout_ms", out.idle_timeout,
                                      min_timeout, max_timeout);
  out.claim_timeout = read_duration_ms(map, "claim_timeout_ms", out.claim_timeout,
                                       min_timeout, max_timeout);
  out.log_level = io::parse_log_level(
      read_choice(map, "log_level", "info", {"debug", "info", "warning", "error"}));
  out.log_file = read_string(map, "log_file", "");
  return out;
}

} // namespace marigoldstep::agent
