#include "marigoldstep/report.h"

#include <algorithm>
#include <set>

namespace marigoldstep {

namespace {

constexpr unix_milliseconds min_interval_ms = 5000;
constexpr int max_intervals = 120;

struct load_samples {
  double sum = 0;
  int count = 0;
};

// Totals of the records of one interval.
struct interval_sums {
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::map<std::string, std::map<std::string, load_samples>> loads; // pool, agent
  std::map<std::string, double> control_bytes_per_s;                // by router
};

report_period full_period(std::span<const log_record> records) {
  const auto [low, high] = std::minmax_element(
      records.begin(), records.end(),
      [](const log_record& a, const log_record& b) { return a.time < b.time; });
  return {low->time, high->time + 1};
}

void add_agent_summary(interval_sums& sums, const log_record& record) {
  sums.prompt_tokens += number_field(record, "prompt_tokens");
  sums.cached_tokens += number_field(record, "cached_tokens");
  auto& samples = sums.loads[std::string(field(record, "service"))][record.node];
  samples.sum += static_cast<double>(number_field(record, "load"));
  ++samples.count;
}

void add_router_summary(interval_sums& sums, const log_record& record) {
  const auto interval = std::max<std::int64_t>(1, number_field(record, "interval_ms"));
  const auto bytes = number_field(record, "control_bytes");
  sums.control_bytes_per_s[record.node] =
      static_cast<double>(bytes) * 1000.0 / static_cast<double>(interval);
}

void add_workspace_summary(report_data& data, const log_record& record) {
  auto& outcomes = data.outcomes[std::string(field(record, "workspace"))];
  outcomes.completed += number_field(record, "completed");
  outcomes.not_run += number_field(record, "not_run");
  outcomes.may_have_run += number_field(record, "may_have_run");
}

// Largest mean load of an agent over the mean load of its pool, over all pools. Pools
// with less than one attempt per agent on average are skipped, because there a single
// attempt would appear as skew.
std::optional<double> max_skew(const interval_sums& sums) {
  std::optional<double> worst;
  for (const auto& [pool, agents] : sums.loads) {
    double total = 0;
    double max_load = 0;
    for (const auto& [agent, samples] : agents) {
      const double load = samples.sum / samples.count;
      total += load;
      max_load = std::max(max_load, load);
    }
    const double mean = total / static_cast<double>(agents.size());
    if (mean >= 1.0) {
      worst = std::max(worst.value_or(0), max_load / mean);
    }
  }
  return worst;
}

void add_points(report_data& data, unix_milliseconds time, const interval_sums& sums) {
  if (sums.prompt_tokens > 0) {
    const double reuse =
        static_cast<double>(sums.cached_tokens) / static_cast<double>(sums.prompt_tokens);
    data.cache_reuse.push_back({time, reuse});
  }
  if (const auto skew = max_skew(sums)) {
    data.skew.push_back({time, *skew});
  }
  double max_bytes_per_s = 0;
  for (const auto& [router, bytes] : sums.control_bytes_per_s) {
    max_bytes_per_s = std::max(max_bytes_per_s, bytes);
  }
  if (!sums.control_bytes_per_s.empty()) {
    data.control_bytes.push_back({time, max_bytes_per_s});
  }
}

} // namespace

report_data build_report(std::span<const log_record> records, std::string title,
                         report_period period) {
  report_data data;
  data.title = std::move(title);
  if (records.empty()) {
    return data;
  }
  data.period = period == report_period{} ? full_period(records) : period;
  const auto length = data.period.to - data.period.from;
  const auto interval = std::max(min_interval_ms, length / max_intervals + 1);
  std::map<std::int64_t, interval_sums> intervals;
  std::map<std::int64_t, unix_milliseconds> versions;
  for (const auto& it : records) {
    if (it.time < data.period.from || it.time >= data.period.to) {
      continue;
    }
    auto& sums = intervals[(it.time - data.period.from) / interval];
    if (it.event == "agent_summary") {
      add_agent_summary(sums, it);
    } else if (it.event == "router_summary") {
      add_router_summary(sums, it);
    } else if (it.event == "workspace_summary") {
      add_workspace_summary(data, it);
    } else if (it.event == "configuration_applied") {
      auto [at, added] = versions.try_emplace(number_field(it, "version"), it.time);
      at->second = std::min(at->second, it.time);
    }
  }
  for (const auto& [index, sums] : intervals) {
    add_points(data, data.period.from + index * interval, sums);
  }
  for (const auto& [version, time] : versions) {
    data.changes.push_back({time, version});
  }
  return data;
}

} // namespace marigoldstep
