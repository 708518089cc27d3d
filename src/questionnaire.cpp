#include "marigoldstep/questionnaire.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace marigoldstep {

namespace {

constexpr std::int64_t max_count = 1'000'000;
constexpr std::size_t max_name_bytes = 64;
constexpr auto min_deadline = milliseconds(10);
constexpr auto max_deadline = milliseconds(24L * 3600 * 1000);
constexpr std::int64_t max_resend_hours = 7L * 24;
constexpr auto max_round_trip = milliseconds(10'000);

void require_key(yaml_mapping& map, const std::string& key) {
  if (!has_key(map, key)) {
    add_problem(map, key, "is required");
  }
}

std::uint32_t read_count(yaml_mapping& map, const std::string& key) {
  require_key(map, key);
  return static_cast<std::uint32_t>(read_integer(map, key, 1, 1, max_count));
}

milliseconds read_deadline(yaml_mapping& map, const std::string& key) {
  require_key(map, key);
  return read_duration_ms(map, key, min_deadline, min_deadline, max_deadline);
}

bool is_valid_name(std::string_view text) {
  return !text.empty() && text.size() <= max_name_bytes &&
         text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                "0123456789-_") == std::string_view::npos;
}

std::string read_name(yaml_mapping& map) {
  auto out = read_string(map, "name");
  if (!out.empty() && !is_valid_name(out)) {
    add_problem(map, "name", "must have 1 to 64 letters, digits, hyphens or underscores");
  }
  return out;
}

template <typename Entry>
const Entry* find_entry(const std::vector<Entry>& entries, std::string_view name) {
  auto it = std::find_if(entries.begin(), entries.end(),
                         [name](const Entry& entry) { return entry.name == name; });
  return it == entries.end() ? nullptr : &*it;
}

void check_unique_name(yaml_mapping& map, const std::string& name, bool used) {
  if (used && !name.empty()) {
    add_problem(map, "name", "the name " + name + " is used twice; choose another one");
  }
}

bool contains(const std::vector<std::string>& list, const std::string& text) {
  return std::find(list.begin(), list.end(), text) != list.end();
}

bool has_zone(const questionnaire& answers, const std::string& zone) {
  return std::any_of(answers.regions.begin(), answers.regions.end(),
                     [&zone](const auto& it) { return contains(it.zones, zone); });
}

const pool_answer* find_pool(const questionnaire& answers, const std::string& model) {
  auto it =
      std::find_if(answers.pools.begin(), answers.pools.end(),
                   [&model](const auto& pool) { return contains(pool.models, model); });
  return it == answers.pools.end() ? nullptr : &*it;
}

void read_regions(yaml_mapping& top, questionnaire& out) {
  for (auto& map : read_mappings(top, "regions")) {
    region_answer region;
    region.name = read_name(map);
    region.zones = read_strings(map, "zones");
    check_unique_name(map, region.name, find_entry(out.regions, region.name) != nullptr);
    for (const auto& it : region.zones) {
      if (has_zone(out, it)) {
        add_problem(map, "zones",
                    "the availability zone " + it + " is already in another region");
      }
    }
    report_unknown_keys(map);
    out.regions.push_back(std::move(region));
  }
  if (out.regions.empty()) {
    add_problem(top, "regions", "name at least one region with its availability zones");
  }
}

std::vector<vm_answer> read_vms(yaml_mapping& top, const std::string& key,
                                const questionnaire& out) {
  std::vector<vm_answer> vms;
  for (auto& map : read_mappings(top, key)) {
    vm_answer vm;
    vm.name = read_name(map);
    vm.zone = read_string(map, "zone");
    check_unique_name(map, vm.name,
                      find_entry(vms, vm.name) != nullptr ||
                          find_entry(out.entry_vms, vm.name) != nullptr);
    if (!vm.zone.empty() && !has_zone(out, vm.zone)) {
      add_problem(map, "zone",
                  "the availability zone " + vm.zone +
                      " is in no region; add it to regions or correct it");
    }
    report_unknown_keys(map);
    vms.push_back(std::move(vm));
  }
  return vms;
}

void read_all_vms(yaml_mapping& top, questionnaire& out) {
  out.entry_vms = read_vms(top, "entry_vms", out);
  if (out.entry_vms.empty()) {
    add_problem(top, "entry_vms", "name at least one VM that accepts callers");
  }
  out.control_vms = read_vms(top, "control_vms", out);
  const auto n = out.control_vms.size();
  if (n != 1 && n != 3 && n != 5) {
    add_problem(top, "control_vms",
                std::to_string(n) +
                    " control VMs: there must be 1, 3 or 5, because an even number "
                    "survives no more losses than one VM less; add or remove a VM");
  }
}

void read_pools(yaml_mapping& top, questionnaire& out) {
  for (auto& map : read_mappings(top, "pools")) {
    pool_answer pool;
    pool.name = read_name(map);
    pool.models = read_strings(map, "models");
    pool.replicas = read_count(map, "replicas");
    pool.chats_at_once = read_count(map, "chats_at_once");
    require_key(map, "checks_fencing_tokens");
    pool.checks_fencing_tokens = read_bool(map, "checks_fencing_tokens", false);
    check_unique_name(map, pool.name, find_entry(out.pools, pool.name) != nullptr);
    if (pool.models.empty()) {
      add_problem(map, "models",
                  "the pool " + pool.name + " serves no model; list at least one");
    }
    for (const auto& it : pool.models) {
      if (const auto* other = find_pool(out, it)) {
        add_problem(map, "models",
                    "the model " + it + " is already served by the pool " + other->name +
                        "; a model belongs to one pool");
      }
    }
    report_unknown_keys(map);
    out.pools.push_back(std::move(pool));
  }
}

void read_services(yaml_mapping& top, questionnaire& out) {
  for (auto& map : read_mappings(top, "services")) {
    service_answer service;
    service.name = read_name(map);
    service.replicas = read_count(map, "replicas");
    service.answer_within = read_deadline(map, "answer_within_ms");
    check_unique_name(map, service.name,
                      find_entry(out.services, service.name) != nullptr ||
                          find_entry(out.pools, service.name) != nullptr);
    if (service.answer_within < out.round_trip) {
      add_problem(map, "answer_within_ms",
                  "is shorter than one round trip between availability zones; allow more "
                  "than round_trip_ms");
    }
    report_unknown_keys(map);
    out.services.push_back(std::move(service));
  }
}

// Parses a method and a path, such as "POST /bookings". Returns false when the text is
// malformed.
bool parse_method_and_path(std::string_view text, call_answer& call) {
  const auto space = text.find(' ');
  if (space == std::string_view::npos || space == 0) {
    return false;
  }
  call.method = std::string(text.substr(0, space));
  call.path = std::string(text.substr(space + 1));
  const bool upper =
      call.method == "*" ||
      call.method.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ") == std::string::npos;
  return upper && call.path.starts_with('/') && call.path.find(' ') == std::string::npos;
}

std::vector<call_answer> read_calls(yaml_mapping& top, const std::string& key,
                                    const questionnaire& out) {
  std::vector<call_answer> calls;
  for (auto& map : read_mappings(top, key)) {
    call_answer call;
    call.service = read_string(map, "service");
    const auto text = read_string(map, "call");
    if (!text.empty() && !parse_method_and_path(text, call)) {
      add_problem(map, "call", "must be a method and a path, such as POST /bookings");
    }
    if (!call.service.empty() && find_entry(out.services, call.service) == nullptr) {
      add_problem(map, "service",
                  "there is no service " + call.service +
                      "; add it to services or correct the name");
    }
    const auto& never = out.never_repeat;
    if (std::find(never.begin(), never.end(), call) != never.end()) {
      add_problem(map, "call",
                  "is also under never_repeat; remove it from one of the two");
    }
    report_unknown_keys(map);
    calls.push_back(std::move(call));
  }
  return calls;
}

void read_workspaces(yaml_mapping& top, questionnaire& out) {
  for (auto& map : read_mappings(top, "workspaces")) {
    workspace_answer workspace;
    workspace.name = read_name(map);
    workspace.share =
        static_cast<std::uint32_t>(read_integer(map, "share", 1, 1, max_count / 10));
    workspace.size = read_choice(map, "size", "small", {"small", "large"}) == "small"
                         ? workspace_size::small
                         : workspace_size::large;
    workspace.models = read_strings(map, "models");
    workspace.usual_calls =
        read_choice(map, "usual_calls", "short", {"short", "patient"}) == "short"
            ? priority::short_call
            : priority::patient;
    check_unique_name(map, workspace.name,
                      find_entry(out.workspaces, workspace.name) != nullptr);
    if (workspace.models.empty()) {
      add_problem(map, "models",
                  "the workspace " + workspace.name + " has no model; list at least one");
    }
    for (const auto& it : workspace.models) {
      if (find_pool(out, it) == nullptr) {
        add_problem(map, "models",
                    "no pool serves the model " + it +
                        "; add it to a pool or remove it here");
      }
    }
    report_unknown_keys(map);
    out.workspaces.push_back(std::move(workspace));
  }
  if (out.workspaces.empty()) {
    add_problem(top, "workspaces", "name at least one workspace");
  }
}

void read_deadlines(yaml_mapping& top, questionnaire& out) {
  auto map = read_mapping(top, "callers_wait");
  out.short_deadline = read_deadline(map, "short_ms");
  out.patient_deadline = read_deadline(map, "patient_ms");
  if (out.short_deadline < out.round_trip) {
    add_problem(map, "short_ms",
                "is shorter than one round trip between availability zones; allow more "
                "than round_trip_ms");
  }
  if (out.patient_deadline < out.short_deadline) {
    add_problem(map, "patient_ms",
                "is less than short_ms; patient callers must wait at least as long");
  }
  report_unknown_keys(map);
}

std::string format_two_decimals(double value) {
  std::array<char, 32> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%.2f", value);
  return {buf.data(), static_cast<std::size_t>(n)};
}

// Checks that the load multiple tolerates the loss of one replica. When one of n
// replicas is lost, the others carry n / (n - 1) times the last reported mean load until
// the next acknowledgement updates it. With a lower multiple, they refuse requests until
// then.
void read_load_multiple(yaml_mapping& top, questionnaire& out) {
  out.load_multiple = read_number(top, "load_multiple", out.load_multiple, 1.01, 10.0);
  for (const auto& it : out.pools) {
    const double n = it.replicas;
    if (it.replicas < 2 || out.load_multiple >= n / (n - 1)) {
      continue;
    }
    const auto needed = format_two_decimals(n / (n - 1) + 0.005);
    add_problem(top, "load_multiple",
                format_two_decimals(out.load_multiple) + " cannot be kept by the " +
                    std::to_string(it.replicas) + " replicas of the pool " + it.name +
                    " when one is lost; set it to at least " + needed +
                    " or add replicas");
  }
}

void read_policies(yaml_mapping& top, questionnaire& out) {
  require_key(top, "what_hurts_more");
  const auto concern = read_choice(top, "what_hurts_more", "both",
                                   {"late_answers", "rebuilt_caches", "both"});
  out.concern = concern == "both"           ? main_concern::both
                : concern == "late_answers" ? main_concern::late_answers
                                            : main_concern::rebuilt_caches;
  require_key(top, "when_control_is_unreachable");
  out.on_control_loss = read_choice(top, "when_control_is_unreachable", "stop",
                                    {"stop", "keep_serving"}) == "stop"
                            ? control_loss_policy::stop
                            : control_loss_policy::keep_serving;
  out.weight_store_loads_per_minute = static_cast<std::uint32_t>(
      read_integer(top, "weight_store_loads_per_minute", 0, 0, max_count));
  out.resend_within_hours = static_cast<std::uint32_t>(read_integer(
      top, "resend_within_hours", out.resend_within_hours, 1, max_resend_hours));
}

} // namespace

std::string_view name(main_concern value) {
  switch (value) {
  case main_concern::late_answers:
    return "late_answers";
  case main_concern::rebuilt_caches:
    return "rebuilt_caches";
  case main_concern::both:
    return "both";
  }
  return "both";
}

questionnaire parse_questionnaire(std::string_view text, yaml_report& report) {
  questionnaire out;
  auto top = parse_yaml(text, report);
  if (!report.problems.empty()) {
    return out;
  }
  out.fleet = read_string(top, "fleet");
  if (!out.fleet.empty() && !is_valid_name(out.fleet)) {
    add_problem(top, "fleet",
                "must have 1 to 64 letters, digits, hyphens or underscores");
  }
  read_regions(top, out);
  read_all_vms(top, out);
  require_key(top, "round_trip_ms");
  out.round_trip = read_duration_ms(top, "round_trip_ms", milliseconds(1),
                                    milliseconds(1), max_round_trip);
  read_pools(top, out);
  read_services(top, out);
  out.never_repeat = read_calls(top, "never_repeat", out);
  out.may_repeat = read_calls(top, "may_repeat", out);
  read_workspaces(top, out);
  read_deadlines(top, out);
  read_policies(top, out);
  read_load_multiple(top, out);
  report_unknown_keys(top);
  return out;
}

} // namespace marigoldstep
