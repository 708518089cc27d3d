#include "load/settings.h"

#include "marigoldstep/io/program.h"

namespace marigoldstep::load {

namespace {

constexpr std::uint32_t max_requests = 1'000'000;
constexpr std::uint32_t max_tokens = 10'000;
constexpr auto one_hour = milliseconds(3'600'000);

std::uint32_t read_count(yaml_mapping& map, const std::string& key,
                         std::uint32_t fallback, std::uint32_t low, std::uint32_t high) {
  return static_cast<std::uint32_t>(read_integer(map, key, fallback, low, high));
}

std::vector<io::endpoint> read_endpoints(yaml_mapping& map, const std::string& key) {
  std::vector<io::endpoint> out;
  for (const auto& it : read_strings(map, key)) {
    out.push_back(io::parse_endpoint(it));
    if (out.back().port == 0) {
      add_problem(map, key, "must be a list of host:port");
    }
  }
  return out;
}

service_load parse_service(yaml_mapping& map) {
  service_load out;
  out.name = read_string(map, "name");
  out.path = read_string(map, "path", out.path);
  out.calls = read_count(map, "calls", out.calls, 0, max_requests);
  out.lookups = read_count(map, "lookups", out.lookups, 0, max_requests);
  out.runs = read_endpoints(map, "runs");
  out.direct_targets = read_endpoints(map, "direct_targets");
  report_unknown_keys(map);
  return out;
}

workspace_load parse_workspace(yaml_mapping& map) {
  workspace_load out;
  out.name = read_string(map, "name");
  out.weight = read_count(map, "weight", out.weight, 1, max_requests);
  out.models = read_strings(map, "models");
  report_unknown_keys(map);
  return out;
}

// Adds the workspaces of the fleet configuration file, if one is set.
void read_fleet_configuration(yaml_mapping& map, load_settings& out) {
  const auto path = read_string(map, "fleet_configuration", "");
  if (path.empty()) {
    return;
  }
  std::error_code ec;
  const auto text = io::read_file(path, ec);
  if (ec) {
    add_problem(map, "fleet_configuration", "cannot be read: " + ec.message());
    return;
  }
  yaml_report report{path, {}};
  const auto config = parse_configuration(text, 1, report);
  for (const auto& it : report.problems) {
    add_problem(map, "fleet_configuration", to_string(it));
  }
  for (const auto& it : config.workspaces) {
    out.workspaces.push_back({it.name, it.weight, it.models});
  }
}

void parse_chat_settings(yaml_mapping& map, load_settings& out) {
  out.chats = read_count(map, "chats", out.chats, 0, max_requests);
  out.turns = read_count(map, "turns", out.turns, 1, 100);
  out.response_tokens =
      read_count(map, "answer_tokens", out.response_tokens, 1, max_tokens);
  out.system_tokens = read_count(map, "system_tokens", out.system_tokens, 1, max_tokens);
  out.message_tokens =
      read_count(map, "message_tokens", out.message_tokens, 1, max_tokens);
  out.stream_share = read_number(map, "stream_share", out.stream_share, 0, 1);
  out.patient_share = read_number(map, "patient_share", out.patient_share, 0, 1);
  out.median_pause = read_duration_ms(map, "median_pause_ms", out.median_pause,
                                      milliseconds(0), one_hour);
  out.max_pause =
      read_duration_ms(map, "longest_pause_ms", out.max_pause, milliseconds(0), one_hour);
}

void parse_run_settings(yaml_mapping& map, load_settings& out) {
  out.concurrency = read_count(map, "concurrency", out.concurrency, 1, 10'000);
  out.start_window = read_duration_ms(map, "start_window_ms", out.start_window,
                                      milliseconds(0), one_hour);
  out.run_limit =
      read_duration_ms(map, "run_limit_ms", out.run_limit, milliseconds(100), one_hour);
  out.idle_timeout = read_duration_ms(map, "idle_timeout_ms", out.idle_timeout,
                                      milliseconds(50), one_hour);
  out.rechecked_calls =
      read_count(map, "rechecked_calls", out.rechecked_calls, 0, max_requests);
  out.seed = static_cast<std::uint64_t>(
      read_integer(map, "seed", 1, 0, std::numeric_limits<std::int64_t>::max()));
  out.json = read_bool(map, "json", out.json);
}

resend_policy parse_resend(yaml_mapping map) {
  resend_policy out;
  out.max_sends = read_count(map, "sends", out.max_sends, 1, 100);
  out.pause = read_duration_ms(map, "pause_ms", out.pause, milliseconds(1), one_hour);
  out.keep_not_run_share =
      read_number(map, "keep_not_run_share", out.keep_not_run_share, 0, 1);
  report_unknown_keys(map);
  return out;
}

void check_settings(yaml_mapping& map, load_settings& out) {
  if (out.direct) {
    out.direct_targets = out.targets;
    out.direct_share = 1;
  }
  if (out.targets.empty()) {
    add_problem(map, "targets", "must name at least one host:port");
  }
  if (out.direct_share > 0 && out.direct_targets.empty()) {
    add_problem(map, "direct_share", "needs direct_targets");
  }
  if (out.workspaces.empty()) {
    add_problem(map, "workspaces", "must not be empty without fleet_configuration");
  }
  for (const auto& it : out.workspaces) {
    if (it.models.empty() && out.chats > 0) {
      add_problem(map, "workspaces", it.name + " needs at least one model");
    }
  }
}

} // namespace

load_settings parse_load_settings(yaml_mapping& map) {
  load_settings out;
  out.targets = read_endpoints(map, "targets");
  out.direct = read_bool(map, "direct", out.direct);
  out.direct_targets = read_endpoints(map, "direct_targets");
  out.direct_share = read_number(map, "direct_share", out.direct_share, 0, 1);
  read_fleet_configuration(map, out);
  for (auto& it : read_mappings(map, "workspaces")) {
    out.workspaces.push_back(parse_workspace(it));
  }
  for (auto& it : read_mappings(map, "services")) {
    out.services.push_back(parse_service(it));
  }
  out.resend = parse_resend(read_mapping(map, "resend"));
  parse_chat_settings(map, out);
  parse_run_settings(map, out);
  check_settings(map, out);
  return out;
}

} // namespace marigoldstep::load
