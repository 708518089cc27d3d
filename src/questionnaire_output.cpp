#include "marigoldstep/questionnaire.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace marigoldstep {

namespace {

// Weight of a large workspace relative to a small one with the same share.
constexpr std::uint32_t large_weight_factor = 4;
// Minimum number of replicas over which a small workspace is spread, so that after the
// loss of one replica another one has its common prefixes cached.
constexpr std::uint32_t min_spread_replicas = 2;
constexpr std::uint64_t ms_per_hour = 3'600'000;

std::string quote(std::string_view text) {
  std::string out = "\"";
  for (char c : text) {
    if (static_cast<unsigned char>(c) < ' ') {
      std::array<char, 8> buf{};
      std::snprintf(buf.data(), buf.size(), "\\x%02x", static_cast<unsigned>(c));
      out += buf.data();
      continue;
    }
    if (c == '"' || c == '\\') {
      out += '\\';
    }
    out += c;
  }
  return out + "\"";
}

std::string quote_list(const std::vector<std::string>& list) {
  std::string out;
  for (const auto& it : list) {
    out += (out.empty() ? "" : ", ") + quote(it);
  }
  return "[" + out + "]";
}

std::string format_ms(milliseconds value) {
  return std::to_string(value.count());
}

// Formats a number with at most four significant digits and no trailing zeros.
std::string format_decimal(double value) {
  std::array<char, 32> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%.4g", value);
  return {buf.data(), static_cast<std::size_t>(n)};
}

// Collects the settings of one entry of a section.
struct section_writer {
  std::vector<derived_setting>& out;
  std::string section;
  std::string entry;

  void add(std::string field, std::string value, std::string answer,
           std::string reason) const {
    out.push_back({section, entry, std::move(field), std::move(value), std::move(answer),
                   std::move(reason)});
  }
};

void derive_pools(const questionnaire& answers, std::vector<derived_setting>& out) {
  for (const auto& it : answers.pools) {
    const section_writer writer{out, "pools", it.name};
    const auto answer = "pools." + it.name;
    writer.add("models", quote_list(it.models), answer + ".models", "as answered");
    writer.add("checks_fencing", it.checks_fencing_tokens ? "true" : "false",
               answer + ".checks_fencing_tokens",
               it.checks_fencing_tokens ? "the engines refuse stale orders themselves"
                                        : "the agents refuse stale orders instead");
  }
}

std::string format_rule(const call_answer& call, bool repeatable) {
  return "{method: " + quote(call.method) + ", path: " + quote(call.path) +
         ", repeatable: " + (repeatable ? "true" : "false") + "}";
}

void derive_services(const questionnaire& answers, std::vector<derived_setting>& out) {
  for (const auto& service : answers.services) {
    const section_writer writer{out, "services", service.name};
    writer.add("deadline_ms", format_ms(service.answer_within),
               "services." + service.name + ".answer_within_ms", "as answered");
    // The first matching rule applies, so the rules that forbid repeats come first.
    for (const auto& it : answers.never_repeat) {
      if (it.service == service.name) {
        writer.add("rules", format_rule(it, false), "never_repeat",
                   it.method + " " + it.path + " runs at most once");
      }
    }
    for (const auto& it : answers.may_repeat) {
      if (it.service == service.name) {
        writer.add("rules", format_rule(it, true), "may_repeat",
                   it.method + " " + it.path + " is sent again when an agent is lost");
      }
    }
  }
}

std::uint32_t min_replicas(const questionnaire& answers,
                           const workspace_answer& workspace) {
  std::uint32_t min_count = 0;
  for (const auto& pool : answers.pools) {
    const bool used =
        std::any_of(workspace.models.begin(), workspace.models.end(), [&](auto& model) {
          return std::find(pool.models.begin(), pool.models.end(), model) !=
                 pool.models.end();
        });
    if (used && (min_count == 0 || pool.replicas < min_count)) {
      min_count = pool.replicas;
    }
  }
  return min_count;
}

// Number of replicas for the chats of a workspace; 0 means all. With fewer replicas, a
// small workspace reuses more of its common prefixes, but its load is less even.
std::uint32_t derive_spread(const questionnaire& answers,
                            const workspace_answer& workspace) {
  if (workspace.size == workspace_size::large ||
      answers.concern == main_concern::late_answers) {
    return 0;
  }
  const auto divisor = answers.concern == main_concern::rebuilt_caches ? 3U : 2U;
  const auto replicas = min_replicas(answers, workspace);
  const auto spread = std::max(min_spread_replicas, (replicas + divisor - 1) / divisor);
  return spread >= replicas ? 0 : spread;
}

void derive_workspaces(const questionnaire& answers, std::vector<derived_setting>& out) {
  const section_writer defaults{out, "workspace_defaults", ""};
  defaults.add("short_deadline_ms", format_ms(answers.short_deadline),
               "callers_wait.short_ms", "as answered");
  defaults.add("patient_deadline_ms", format_ms(answers.patient_deadline),
               "callers_wait.patient_ms", "as answered");
  for (const auto& it : answers.workspaces) {
    const section_writer writer{out, "workspaces", it.name};
    const auto answer = "workspaces." + it.name;
    const bool large = it.size == workspace_size::large;
    writer.add("weight", std::to_string(it.share * (large ? large_weight_factor : 1)),
               answer + ".share",
               large ? "times " + std::to_string(large_weight_factor) +
                           " because it is large"
                     : "as answered");
    writer.add("models", quote_list(it.models), answer + ".models", "as answered");
    writer.add("priority", std::string(name(it.usual_calls)), answer + ".usual_calls",
               "as answered");
    const auto spread = derive_spread(answers, it);
    writer.add("spread", std::to_string(spread),
               spread == 0 && large ? answer + ".size" : "what_hurts_more",
               spread == 0 ? "its chats use every replica"
                           : "small workspaces keep to fewer replicas, which share "
                             "their prefixes");
  }
}

double derive_reuse_bias(main_concern value) {
  switch (value) {
  case main_concern::late_answers:
    return 0.2;
  case main_concern::rebuilt_caches:
    return 0.8;
  case main_concern::both:
    return 0.5;
  }
  return 0.5;
}

std::uint32_t derive_engine_slots(const questionnaire& answers) {
  std::uint32_t min_slots = 0;
  for (const auto& it : answers.pools) {
    min_slots = min_slots == 0 ? it.chats_at_once : std::min(min_slots, it.chats_at_once);
  }
  return min_slots;
}

void derive_limits(const questionnaire& answers, std::vector<derived_setting>& out) {
  const section_writer writer{out, "limits", ""};
  writer.add("load_multiple", format_decimal(answers.load_multiple), "load_multiple",
             "no engine carries more than this multiple of the mean load");
  if (!answers.pools.empty()) {
    writer.add("engine_slots", std::to_string(derive_engine_slots(answers)),
               "pools.*.chats_at_once", "the smallest answer");
  }
  writer.add("reuse_bias", format_decimal(derive_reuse_bias(answers.concern)),
             "what_hurts_more", "1 favours warm caches, 0 favours even load");
  auto max_wait = answers.patient_deadline;
  for (const auto& it : answers.services) {
    max_wait = std::max(max_wait, it.answer_within);
  }
  writer.add("drain_limit_ms", format_ms(max_wait), "callers_wait.patient_ms",
             "a planned stop waits for the longest call");
  writer.add("claim_retention_ms",
             std::to_string(answers.resend_within_hours * ms_per_hour),
             "resend_within_hours", "older resends of a call are refused");
  writer.add("on_control_loss",
             answers.on_control_loss == control_loss_policy::stop ? "stop"
                                                                  : "keep_serving",
             "when_control_is_unreachable", "as answered");
  writer.add("loads_per_minute", std::to_string(answers.weight_store_loads_per_minute),
             "weight_store_loads_per_minute",
             answers.weight_store_loads_per_minute == 0 ? "no limit" : "as answered");
}

std::string format_setting(const derived_setting& it, std::string_view indent) {
  return std::string(indent) + it.field + ": " + it.value + " # " + it.answer + ": " +
         it.reason + "\n";
}

// Appends the section that starts at settings[first]. Returns the index of the first
// setting after it.
std::size_t write_section(const std::vector<derived_setting>& settings, std::size_t first,
                          std::string& text) {
  const auto& section = settings[first].section;
  text += section + ":\n";
  std::string entry;
  bool in_rules = false;
  std::size_t i = first;
  for (; i < settings.size() && settings[i].section == section; ++i) {
    const auto& it = settings[i];
    if (it.entry != entry) {
      entry = it.entry;
      in_rules = false;
      text += "  - name: " + quote(entry) + " # " + section + ": as answered\n";
    }
    if (it.field != "rules") {
      text += format_setting(it, entry.empty() ? "  " : "    ");
      continue;
    }
    text += in_rules ? "" : "    rules:\n";
    in_rules = true;
    text += "      - " + it.value + " # " + it.answer + ": " + it.reason + "\n";
  }
  return i;
}

} // namespace

std::string setting_key(const derived_setting& setting) {
  std::string out = setting.section;
  if (!setting.entry.empty()) {
    out += "." + setting.entry;
  }
  return out.empty() ? setting.field : out + "." + setting.field;
}

std::vector<derived_setting> derive_settings(const questionnaire& answers) {
  std::vector<derived_setting> out;
  out.push_back({"", "", "fleet", quote(answers.fleet), "fleet", "as answered"});
  derive_pools(answers, out);
  derive_services(answers, out);
  derive_workspaces(answers, out);
  derive_limits(answers, out);
  return out;
}

std::string generate_configuration(const questionnaire& answers) {
  const auto settings = derive_settings(answers);
  std::string text = "# Generated from the questionnaire. Change the answers and "
                     "generate again.\n";
  for (std::size_t i = 0; i < settings.size();) {
    if (settings[i].section.empty()) {
      text += format_setting(settings[i], "");
      ++i;
    } else {
      i = write_section(settings, i, text);
    }
  }
  return text;
}

std::string explain(const questionnaire& answers, std::string_view key) {
  std::string out;
  for (const auto& it : derive_settings(answers)) {
    if (setting_key(it) == key) {
      out += std::string(key) + " is " + it.value + ". It comes from the answer " +
             it.answer + ": " + it.reason + ".\n";
    }
  }
  return out;
}

std::string_view questionnaire_template() {
  return R"(# Answers about the fleet. Lines that start with # explain the answer below them.

# Short name of the fleet: letters, digits, hyphens and underscores.
fleet: my-fleet

# Regions and their availability zones.
regions:
  - name: region-1
    zones: [zone-a, zone-b, zone-c]

# VMs that accept callers, behind the load balancer.
entry_vms:
  - {name: entry-1, zone: zone-a}
  - {name: entry-2, zone: zone-b}

# VMs with disks that keep the configuration and the record of calls that may run
# only once: 1, 3 or 5. Three survive the loss of one.
control_vms:
  - {name: control-1, zone: zone-a}
  - {name: control-2, zone: zone-b}
  - {name: control-3, zone: zone-c}

# Longest round-trip time between two availability zones, in milliseconds.
round_trip_ms: 3

# Pools of model engines. chats_at_once is per replica. checks_fencing_tokens says
# whether the engines themselves refuse an order with an old token.
pools:
  - name: my-pool
    models: [my-model]
    replicas: 10
    chats_at_once: 16
    checks_fencing_tokens: false

# Plain services beside the engines.
services:
  - name: my-service
    replicas: 3
    answer_within_ms: 5000

# Calls that must never run twice, by method and path prefix.
never_repeat:
  - {service: my-service, call: POST /orders}

# Other calls that are safe to send again. GET and HEAD always are.
may_repeat: []

# Customers that share the fleet. share is relative; size is small or large;
# usual_calls is short or patient.
workspaces:
  - name: my-workspace
    share: 1
    size: small
    models: [my-model]
    usual_calls: short

# How long callers wait for short and for patient work, in milliseconds.
callers_wait:
  short_ms: 10000
  patient_ms: 120000

# late_answers, rebuilt_caches or both.
what_hurts_more: both

# stop: refuse new work. keep_serving: continue to serve; a new configuration may then
# reach some nodes late.
when_control_is_unreachable: stop

# Maximum number of model loads from the weight store per minute; 0 for no limit.
weight_store_loads_per_minute: 0

# How long after the first send a caller may send a call again.
resend_within_hours: 24

# No engine carries more than this multiple of the mean load.
load_multiple: 1.25
)";
}

} // namespace marigoldstep
