#pragma once

#include "marigoldstep/types.h"
#include "marigoldstep/verdict.h"

#include <map>
#include <string>

namespace marigoldstep::router {

struct verdict_counts {
  std::uint64_t completed = 0;
  std::uint64_t not_run = 0;
  std::uint64_t may_have_run = 0;
};

// Counts for the lines router_summary and workspace_summary, from which the
// period report is made. Workspaces come from the configuration, so their number
// is bounded.
struct summary_counts {
  std::map<std::string, verdict_counts, std::less<>> workspaces;
  std::uint64_t control_bytes = 0; // total when the last lines were written
  time_point started_at{};
};

inline constexpr auto summary_interval = duration(10'000);

void count_verdict(summary_counts& counts, const std::string& workspace, verdict result);

// Writes the lines once summary_interval has passed, and starts anew.
// control_bytes is the total sent to and received from the control group.
void log_summary_if_due(summary_counts& counts, std::uint64_t control_bytes,
                        time_point now);

} // namespace marigoldstep::router
