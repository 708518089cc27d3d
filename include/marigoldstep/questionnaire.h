#pragma once

#include "marigoldstep/configuration.h"

namespace marigoldstep {

// An operator's answers about a fleet. Every generated setting comes from one of
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
  duration answer_within{0};
};

// One kind of call to a plain service, such as POST /bookings.
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

enum class main_concern { late_answers, rebuilt_caches, both };
std::string_view name(main_concern value);

struct questionnaire {
  std::string fleet;
  std::vector<region_answer> regions;
  std::vector<vm_answer> entry_vms;
  std::vector<vm_answer> control_vms;
  duration round_trip{0}; // slowest between two availability zones
  std::vector<pool_answer> pools;
  std::vector<service_answer> services;
  std::vector<call_answer> never_repeat;
  std::vector<call_answer> may_repeat;
  std::vector<workspace_answer> workspaces;
  duration short_deadline{0};
  duration patient_deadline{0};
  main_concern concern = main_concern::both;
  control_loss_policy on_control_loss = control_loss_policy::stop;
  std::uint32_t weight_store_loads_per_minute = 0;
  std::uint32_t resend_within_hours = 24;
  double load_multiple = 1.25;
};

// Parses the YAML text of a questionnaire and looks for contradictions. Each
// problem names its line and a way out. The result is only meaningful when there
// are none.
questionnaire parse_questionnaire(std::string_view text, yaml_report& report);

// One setting of the generated configuration. value is YAML text.
struct derived_setting {
  std::string section; // section of the text, such as "pools"; empty at the top
  std::string entry;   // name within the section; empty when it has no entries
  std::string field;
  std::string value;
  std::string answer; // the answer that it comes from
  std::string reason;
};

// Key of a setting as explain() takes it, such as workspaces.crew.weight.
std::string setting_key(const derived_setting& setting);

// Every setting that the answers lead to, in the order of the generated text.
std::vector<derived_setting> derive_settings(const questionnaire& answers);

// The configuration as YAML text: the same bytes for the same answers, each
// setting with a comment that names the answer it came from.
std::string generate_configuration(const questionnaire& answers);

// Where a setting comes from, in words; empty when there is no such key.
std::string explain(const questionnaire& answers, std::string_view key);

// A questionnaire with example answers and comments for every key.
std::string_view questionnaire_template();

} // namespace marigoldstep
