#include "router/summary.h"

#include "marigoldstep/io/logging.h"

namespace marigoldstep::router {

void count_verdict(summary_counts& counts, const std::string& workspace, verdict result) {
  auto& entry = counts.workspaces[workspace];
  switch (result) {
  case verdict::completed:
    ++entry.completed;
    break;
  case verdict::not_run:
    ++entry.not_run;
    break;
  case verdict::may_have_run:
    ++entry.may_have_run;
    break;
  }
}

void log_summary_if_due(summary_counts& counts, std::uint64_t control_bytes,
                        time_point now) {
  const auto interval = now - counts.started_at;
  if (interval < summary_interval) {
    return;
  }
  io::log_event(
      io::log_level::info, "router_summary",
      {{"interval_ms", std::to_string(interval.count())},
       {"control_bytes", std::to_string(control_bytes - counts.control_bytes)}});
  for (const auto& [workspace, entry] : counts.workspaces) {
    io::log_event(io::log_level::info, "workspace_summary",
                  {{"workspace", workspace},
                   {"completed", std::to_string(entry.completed)},
                   {"not_run", std::to_string(entry.not_run)},
                   {"may_have_run", std::to_string(entry.may_have_run)}});
  }
  counts = {{}, control_bytes, now};
}

} // namespace marigoldstep::router
