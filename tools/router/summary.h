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

// Counts for the log events router_summary and workspace_summary, the input of the
// periodic report. Workspaces come from the configuration, so their number is bounded.
struct summary_counts {
  std::map<std::string, verdict_counts, std::less<>> workspaces;
  std::uint64_t control_bytes = 0; // total at the time of the last summary
  time_point started_at{};
};

inline constexpr auto summary_interval = milliseconds(10'000);

void count_verdict(summary_counts& counts, const std::string& workspace, verdict result);

// Logs the summary and resets the counts if summary_interval has passed since the last
// one. control_bytes is the total sent to and received from the control group.
void log_summary_if_due(summary_counts& counts, std::uint64_t control_bytes,
                        time_point now);

} // namespace marigoldstep::router
