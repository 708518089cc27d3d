#pragma once

#include "marigoldstep/configuration.h"

namespace marigoldstep {

// An operator's answers about a fleet. Every generated setting is derived from one of
// them.
struct region_answer {
  std::string name;
  std::vector<std::string> zones;
};

struct vm_answer {
  std::string name;
  std::string zone;
};

struct pool_answer {
  std::string name;
  std::vector<std::string> models;
  std::uint32_t replicas = 0;
  std::uint32_t chats_at_once = 0; // per replica
  bool checks_fencing_tokens = false;
};

struct service_answer {
  std::string name;
  std::uint32_t replicas = 0;
  milliseconds answer_within{0};
};

// A method and a path prefix of a plain service, such as POST /bookings.
struct call_answer {
  std::string service;
  std::string method;
  std::string path;

  friend bool operator==(const call_answer&, const call_answer&) = default;
};

enum class workspace_size { small, large };

struct workspace_answer {
  std::string name;
  std::uint32_t share = 1;
  workspace_size size = workspace_size::small;
  std::vector<std::string> models;
  priority usual_calls = priority::short_call;
};

// What does more harm to callers; decides between even load and cache reuse.
enum class main_concern { late_answers, rebuilt_caches, both };
std::string_view name(main_concern value);

struct questionnaire {
  std::string fleet;
  std::vector<region_answer> regions;
  std::vector<vm_answer> entry_vms;
  std::vector<vm_answer> control_vms;
  milliseconds round_trip{0}; // the longest between two availability zones
  std::vector<pool_answer> pools;
  std::vector<service_answer> services;
  std::vector<call_answer> never_repeat;
  std::vector<call_answer> may_repeat;
  std::vector<workspace_answer> workspaces;
  milliseconds short_deadline{0};
  milliseconds patient_deadline{0};
  main_concern concern = main_concern::both;
  control_loss_policy on_control_loss = control_loss_policy::stop;
  std::uint32_t weight_store_loads_per_minute = 0;
  std::uint32_t resend_within_hours = 24;
  double load_multiple = 1.25;
};

// Parses the YAML text of a questionnaire and checks the answers for contradictions.
// Each problem names its line and, for a contradiction, how to resolve it. The result is
// only valid when there are no problems.
questionnaire parse_questionnaire(std::string_view text, yaml_report& report);

// One setting of the generated configuration. value is YAML text.
struct derived_setting {
  std::string section; // section of the text, such as "pools"; empty at the top level
  std::string entry;   // name within the section; empty when it has no entries
  std::string field;
  std::string value;
  std::string answer; // key of the answer that it is derived from
  std::string reason;
};

// Key of a setting for explain(), such as workspaces.crew.weight.
std::string setting_key(const derived_setting& setting);

// Derives every setting from the answers, in the order of the generated text.
std::vector<derived_setting> derive_settings(const questionnaire& answers);

// Generates the configuration as YAML text. The same answers yield the same bytes. A
// comment on each setting names the answer that it is derived from.
std::string generate_configuration(const questionnaire& answers);

// Explains which answer a setting is derived from, and why; empty for an unknown key.
std::string explain(const questionnaire& answers, std::string_view key);

// A questionnaire with example answers and a comment on every key.
std::string_view questionnaire_template();

} // namespace marigoldstep
