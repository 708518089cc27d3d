#include "marigoldstep/configuration.h"

#include <algorithm>
#include <set>

namespace marigoldstep {

namespace {

constexpr auto min_deadline = milliseconds(10);
constexpr auto max_deadline = milliseconds(24L * 3600 * 1000);
constexpr std::int64_t max_count = 1'000'000;

std::uint32_t read_count(yaml_mapping& map, const std::string& key,
                         std::uint32_t fallback, std::int64_t low, std::int64_t high) {
  return static_cast<std::uint32_t>(read_integer(map, key, fallback, low, high));
}

pool_settings parse_pool(yaml_mapping& map) {
  pool_settings out;
  out.name = read_string(map, "name");
  out.models = read_strings(map, "models");
  out.checks_fencing = read_bool(map, "checks_fencing", out.checks_fencing);
  report_unknown_keys(map);
  return out;
}

repeat_rule parse_rule(yaml_mapping& map) {
  repeat_rule out;
  out.method = read_string(map, "method");
  out.path_prefix = read_string(map, "path", "/");
  out.repeatable = read_bool(map, "repeatable", false);
  report_unknown_keys(map);
  return out;
}

service_settings parse_service(yaml_mapping& map) {
  service_settings out;
  out.name = read_string(map, "name");
  out.deadline =
      read_duration_ms(map, "deadline_ms", out.deadline, min_deadline, max_deadline);
  for (auto& it : read_mappings(map, "rules")) {
    out.rules.push_back(parse_rule(it));
  }
  report_unknown_keys(map);
  return out;
}

priority read_priority(yaml_mapping& map, priority fallback) {
  return read_choice(map, "priority", name(fallback), {"short", "patient"}) == "short"
             ? priority::short_call
             : priority::patient;
}

// Reads the settings of a workspace that have defaults.
void parse_workspace_defaults(yaml_mapping& map, workspace_settings& out) {
  out.default_priority = read_priority(map, out.default_priority);
  out.short_deadline = read_duration_ms(map, "short_deadline_ms", out.short_deadline,
                                        min_deadline, max_deadline);
  out.patient_deadline = read_duration_ms(
      map, "patient_deadline_ms", out.patient_deadline, min_deadline, max_deadline);
  out.spread = read_count(map, "spread", out.spread, 0, max_count);
}

workspace_settings parse_workspace(yaml_mapping& map, workspace_settings out) {
  out.name = read_string(map, "name");
  out.weight = read_count(map, "weight", out.weight, 1, max_count);
  out.models = read_strings(map, "models");
  parse_workspace_defaults(map, out);
  report_unknown_keys(map);
  return out;
}

limit_settings parse_limits(yaml_mapping map) {
  limit_settings out;
  constexpr std::int64_t max_message_bytes = 12U << 20U;
  out.load_multiple = read_number(map, "load_multiple", out.load_multiple, 1.01, 10.0);
  out.load_floor = read_count(map, "load_floor", out.load_floor, 1, max_count);
  out.engine_slots = read_count(map, "engine_slots", out.engine_slots, 1, max_count);
  out.reuse_bias = read_number(map, "reuse_bias", out.reuse_bias, 0.0, 1.0);
  out.max_body_bytes =
      read_count(map, "max_body_bytes", out.max_body_bytes, 1024, max_message_bytes);
  out.max_answer_bytes =
      read_count(map, "max_answer_bytes", out.max_answer_bytes, 1024, max_message_bytes);
  out.retry_budget_percent =
      read_count(map, "retry_budget_percent", out.retry_budget_percent, 0, 100);
  out.resume_window = read_duration_ms(map, "resume_window_ms", out.resume_window,
                                       milliseconds(0), milliseconds(600'000));
  out.drain_limit = read_duration_ms(map, "drain_limit_ms", out.drain_limit,
                                     milliseconds(100), max_deadline);
  out.claim_retention = read_duration_ms(map, "claim_retention_ms", out.claim_retention,
                                         milliseconds(60'000), 7 * max_deadline);
  out.on_control_loss =
      read_choice(map, "on_control_loss", "stop", {"stop", "keep_serving"}) == "stop"
          ? control_loss_policy::stop
          : control_loss_policy::keep_serving;
  out.loads_per_minute =
      read_count(map, "loads_per_minute", out.loads_per_minute, 0, max_count);
  report_unknown_keys(map);
  return out;
}

// A rule that allows repeats matches whole path segments, so that a rule for /bookings
// doesn't match /bookings-cancel. A rule that forbids repeats matches every path with
// the prefix.
bool matches_path(const repeat_rule& rule, std::string_view path) {
  const std::string_view prefix = rule.path_prefix;
  if (!path.starts_with(prefix)) {
    return false;
  }
  const auto rest = path.substr(prefix.size());
  return !rule.repeatable || rest.empty() || prefix.ends_with('/') ||
         rest.front() == '/' || rest.front() == '?';
}

void check_unique_name(yaml_mapping& map, std::set<std::string>& seen,
                       const std::string& name) {
  if (!name.empty() && !seen.insert(name).second) {
    add_problem(map, "name", "the name " + name + " is used twice");
  }
}

void check_pool_models(yaml_mapping& map, const pool_settings& pool,
                       std::set<std::string>& models) {
  for (const auto& it : pool.models) {
    if (!models.insert(it).second) {
      add_problem(map, "models", "the model " + it + " is served by two pools");
    }
  }
}

void check_workspace_models(yaml_mapping& map, const workspace_settings& workspace,
                            const std::set<std::string>& models) {
  for (const auto& it : workspace.models) {
    if (!models.contains(it)) {
      add_problem(map, "models", "no pool serves the model " + it);
    }
  }
}

bool is_name_less(const workspace_settings& a, const workspace_settings& b) {
  return a.name < b.name;
}

template <typename Entry>
const Entry* find_by_name(const std::vector<Entry>& entries, std::string_view name) {
  auto it = std::find_if(entries.begin(), entries.end(),
                         [name](const Entry& entry) { return entry.name == name; });
  return it == entries.end() ? nullptr : &*it;
}

} // namespace

configuration parse_configuration(std::string_view text, std::uint64_t version,
                                  yaml_report& report) {
  configuration out;
  out.version = version;
  auto map = parse_yaml(text, report);
  out.fleet = read_string(map, "fleet");
  std::set<std::string> servers; // pools and services share one namespace
  std::set<std::string> models;
  std::set<std::string> workspaces;
  for (auto& it : read_mappings(map, "pools")) {
    out.pools.push_back(parse_pool(it));
    check_unique_name(it, servers, out.pools.back().name);
    check_pool_models(it, out.pools.back(), models);
  }
  for (auto& it : read_mappings(map, "services")) {
    out.services.push_back(parse_service(it));
    check_unique_name(it, servers, out.services.back().name);
  }
  workspace_settings defaults;
  auto defaults_map = read_mapping(map, "workspace_defaults");
  parse_workspace_defaults(defaults_map, defaults);
  report_unknown_keys(defaults_map);
  for (auto& it : read_mappings(map, "workspaces")) {
    out.workspaces.push_back(parse_workspace(it, defaults));
    check_unique_name(it, workspaces, out.workspaces.back().name);
    check_workspace_models(it, out.workspaces.back(), models);
  }
  std::sort(out.workspaces.begin(), out.workspaces.end(), is_name_less);
  out.limits = parse_limits(read_mapping(map, "limits"));
  report_unknown_keys(map);
  return out;
}

const workspace_settings* find_workspace(const configuration& config,
                                         std::string_view name) {
  // Binary search, because this runs for every request and a linear scan of 25,000
  // workspaces took about 0.1 ms.
  const auto& all = config.workspaces;
  const auto before = [](const workspace_settings& entry, std::string_view key) {
    return entry.name < key;
  };
  const auto it = std::lower_bound(all.begin(), all.end(), name, before);
  return it != all.end() && it->name == name ? &*it : nullptr;
}

const service_settings* find_service(const configuration& config, std::string_view name) {
  return find_by_name(config.services, name);
}

const pool_settings* find_pool(const configuration& config, std::string_view model) {
  auto it = std::find_if(config.pools.begin(), config.pools.end(),
                         [model](const pool_settings& pool) {
                           return std::find(pool.models.begin(), pool.models.end(),
                                            model) != pool.models.end();
                         });
  return it == config.pools.end() ? nullptr : &*it;
}

bool is_repeatable(const service_settings& service, std::string_view method,
                   std::string_view path) {
  for (const auto& it : service.rules) {
    if ((it.method == "*" || it.method == method) && matches_path(it, path)) {
      return it.repeatable;
    }
  }
  return method == "GET" || method == "HEAD";
}

} // namespace marigoldstep
