#pragma once

#include "marigoldstep/log_record.h"

#include <map>

namespace marigoldstep {

// Half-open: to is excluded.
struct report_period {
  unix_milliseconds from = 0;
  unix_milliseconds to = 0;

  friend bool operator==(const report_period&, const report_period&) = default;
};

struct report_point {
  unix_milliseconds time = 0;
  double value = 0;

  friend bool operator==(const report_point&, const report_point&) = default;
};

// Numbers of requests by outcome.
struct workspace_outcomes {
  std::int64_t completed = 0;
  std::int64_t not_run = 0;
  std::int64_t may_have_run = 0;

  friend bool operator==(const workspace_outcomes&, const workspace_outcomes&) = default;
};

struct configuration_change {
  unix_milliseconds time = 0; // when the first node applied it
  std::int64_t version = 0;

  friend bool operator==(const configuration_change&,
                         const configuration_change&) = default;
};

// Contents of a report, aggregated from the summary lines that routers and agents log
// every few seconds (events router_summary, workspace_summary and agent_summary) and
// from the event configuration_applied.
struct report_data {
  std::string title;
  report_period period;
  std::vector<report_point> cache_reuse; // cached tokens over prompt tokens, 0 to 1
  std::vector<report_point> skew;        // largest load over mean load, of the worst pool
  std::vector<report_point> control_bytes; // bytes/s of the router with most traffic
  std::map<std::string, workspace_outcomes> outcomes; // by workspace
  std::vector<configuration_change> changes;
};

// Aggregates the records inside the period into at most 120 intervals of at least 5 s.
// A period of 0 to 0 means all records.
report_data build_report(std::span<const log_record> records, std::string title,
                         report_period period);

// Renders one self-contained HTML page without scripts or external files. The SVG plots
// scale down to the width of a phone. Text from the logs is escaped.
std::string render_report(const report_data& data);

} // namespace marigoldstep
