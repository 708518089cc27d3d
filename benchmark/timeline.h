#pragma once

#include "marigoldstep.h"

#include <memory>
#include <string>
#include <vector>

namespace marigoldstep::bench {

// Parameters of one simulated fleet. The pauses between the turns of a chat and the
// capacity of the engines' prefix caches are divided by time_scale, and the churn rate is
// multiplied by it, so that hours of returning chats fit into simulated_time. Service
// times are not scaled.
struct model_size {
  std::string name;
  std::uint32_t engines = 10;
  std::uint32_t routers = 3;
  std::uint32_t workspaces = 10;
  std::uint32_t zones = 3;
  double requests_per_s = 10;
  double time_scale = 1;
  milliseconds simulated_time{0};
  double response_tokens = 260;
  std::uint64_t cache_tokens = 1'500'000; // cache capacity per engine, before scaling
  std::uint32_t restarts = 0;             // planned, within simulated_time
  std::uint32_t failures = 0;             // unplanned losses of a VM
  std::uint32_t flaps = 0; // engines that become unreachable three times in a row
  double reuse_bias = 0.5;
};

// A change of the actual state of an engine.
struct engine_change {
  time_point at{};
  std::uint32_t engine = 0;
  bool reachable = true;
  bool leaving = false;
  bool cache_lost = false;
};

// The servers as the control leader announces them from time at on. Each engine keeps
// one index for the whole run; engines that do not exist yet or any more are dead.
struct announced_view {
  time_point at{};
  std::shared_ptr<const placement_table> table;
};

struct control_traffic {
  double mean_bytes_per_s = 0;
  double max_bytes_per_s = 0; // largest mean over 10 s
};

struct timeline {
  std::vector<engine_change> changes;
  std::vector<announced_view> views;
  std::uint32_t engines = 0;
  control_traffic router_traffic;
  time_point zone_lost_at{};
  time_point surge_from{};
  time_point surge_until{};
};

// Draws the churn of a fleet and applies it to the real membership table, which gives
// the announced views and the control traffic of one router.
timeline make_timeline(const model_size& size, std::uint64_t seed);

} // namespace marigoldstep::bench
