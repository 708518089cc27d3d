#pragma once

#include "marigoldstep/types.h"
#include "marigoldstep/yaml_reader.h"

#include <string>
#include <string_view>
#include <vector>

namespace marigoldstep {

// A workspace: a customer with its own share of the fleet.
struct workspace_settings {
  std::string name;
  std::uint32_t weight = 1; // relative to the weights of other workspaces
  std::vector<std::string> models;
  priority default_priority = priority::short_call;
  milliseconds short_deadline{10'000};
  milliseconds patient_deadline{120'000};
  // Number of a pool's servers over which its chats are distributed; 0 means all.
  std::uint32_t spread = 0;

  friend bool operator==(const workspace_settings&, const workspace_settings&) = default;
};

// A pool of model engines.
struct pool_settings {
  std::string name;
  std::vector<std::string> models;
  bool checks_fencing = false; // whether the engines reject stale fencing tokens

  friend bool operator==(const pool_settings&, const pool_settings&) = default;
};

// Whether requests of one method below a path prefix may be repeated.
struct repeat_rule {
  std::string method; // upper case; "*" matches every method
  std::string path_prefix;
  bool repeatable = false;

  friend bool operator==(const repeat_rule&, const repeat_rule&) = default;
};

// A plain service. The first matching rule applies; without a match, only GET and HEAD
// are repeatable.
struct service_settings {
  std::string name;
  milliseconds deadline{10'000};
  std::vector<repeat_rule> rules;

  friend bool operator==(const service_settings&, const service_settings&) = default;
};

enum class control_loss_policy { stop, keep_serving };

struct limit_settings {
  double load_multiple = 1.25; // upper bound of a server's load over the pool's mean
  // Load limit in attempts that a server always has. With a multiple of 1.25, the limit
  // can grow from a floor of 8 when the pool is 90% full; from a floor of 4, only when
  // every server is full.
  std::uint32_t load_floor = 8;
  std::uint32_t engine_slots = 16;
  double reuse_bias = 0.5; // from 0 (favours even load) to 1 (favours cache reuse)
  std::uint32_t max_body_bytes = 1U << 20U;
  std::uint32_t max_answer_bytes = 8U << 20U;
  std::uint32_t retry_budget_percent = 20; // retries per 100 first attempts
  milliseconds resume_window{10'000};
  milliseconds drain_limit{60'000};
  milliseconds claim_retention{24L * 3600 * 1000};
  control_loss_policy on_control_loss = control_loss_policy::stop;
  std::uint32_t loads_per_minute = 0; // model loads from the weight store; 0: no limit

  friend bool operator==(const limit_settings&, const limit_settings&) = default;
};

// The configuration of a fleet. The control group assigns the version, which is not
// part of the YAML text.
struct configuration {
  std::uint64_t version = 0;
  std::string fleet;
  std::vector<pool_settings> pools;
  std::vector<service_settings> services;
  std::vector<workspace_settings> workspaces; // ordered by name
  limit_settings limits;

  friend bool operator==(const configuration&, const configuration&) = default;
};

// Parses the YAML text of a configuration. Deadlines, priority and spread of a
// workspace default to the mapping workspace_defaults. This keeps the text short for
// many workspaces, because parsing takes most of the time to apply a version. Problems
// are added to report; the result is only valid when there are none.
configuration parse_configuration(std::string_view text, std::uint64_t version,
                                  yaml_report& report);

// Returns null when there is no such entry. The pointer is valid as long as config.
const workspace_settings* find_workspace(const configuration& config,
                                         std::string_view name);
const service_settings* find_service(const configuration& config, std::string_view name);
// The pool that serves a model.
const pool_settings* find_pool(const configuration& config, std::string_view model);

bool is_repeatable(const service_settings& service, std::string_view method,
                   std::string_view path);

} // namespace marigoldstep
