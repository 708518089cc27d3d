#pragma once

#include "marigoldstep.h"

#include <memory>
#include <string>
#include <vector>

namespace marigoldstep::bench {

// One fleet to model. Pauses between the turns of a chat and the engines' prefix
// memory are divided by time_scale, and the churn rate is multiplied by it, so
// that hours of returning chats fit the modelled time; service times are real.
struct model_size {
  std::string name;
  std::uint32_t engines = 10;
  std::uint32_t routers = 3;
  std::uint32_t workspaces = 10;
  std::uint32_t zones = 3;
  double requests_per_s = 10;
  double time_scale = 1;
  duration modelled{0};
  double answer_tokens = 260;
  std::uint64_t cache_tokens = 1'500'000; // per engine, before scaling
  std::uint32_t restarts = 0;             // planned, within the modelled time
  std::uint32_t failures = 0;             // of VMs
  std::uint32_t flaps = 0;
  double reuse_bias = 0.5;
};

// A change of what an engine really does.
struct engine_change {
  time_point at{};
  std::uint32_t engine = 0;
  bool reachable = true;
  bool leaving = false;
  bool cache_lost = false;
};

// The servers as the control leader announced them from a time on. Every engine
// that ever exists has a fixed index, absent ones are dead.
struct announced_view {
  time_point at{};
  std::shared_ptr<const placement_table> table;
};

struct control_traffic {
  double mean_bytes_per_s = 0;
  double largest_bytes_per_s = 0; // over any 10 s
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

// Runs the real membership table against the changes.
timeline make_timeline(const model_size& size, std::uint64_t seed);

} // namespace marigoldstep::bench
