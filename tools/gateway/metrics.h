#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace marigoldstep::gateway {

// Counters, gauges and latency histograms of a gateway.
struct gateway_metrics {
  explicit gateway_metrics(prometheus::Registry& registry);

  // Counter of requests with this outcome, the label "end": "answered", "failed",
  // "rejected", "not_run", "unknown", "cut" or "left".
  prometheus::Counter& request_ended(const std::string& outcome);
  // Counter of attempts with this outcome: "answered" or the name of an attempt_end.
  prometheus::Counter& attempt_ended(const std::string& outcome);
  // Counter of the parts that servers contributed to streams, by the state in which the
  // part ended: "complete", "between_events" or "inside_event".
  prometheus::Counter& stream_part_ended(const std::string& state);

  // Counter of streams that callers wanted to resume, by what is known of the version
  // that began them: "recorded", "sole" (the service had no other) or "unknown".
  prometheus::Counter& stream_resumed(const std::string& origin);

  prometheus::Family<prometheus::Counter>& requests;
  prometheus::Family<prometheus::Counter>& attempts;
  prometheus::Family<prometheus::Counter>& stream_parts;
  prometheus::Family<prometheus::Counter>& stream_resumes;
  prometheus::Counter& server_crashes;
  prometheus::Counter& quarantined_requests;
  prometheus::Gauge& quarantined_parts;
  prometheus::Gauge& quarantined_whole_requests;
  prometheus::Histogram& first_byte_seconds;
  prometheus::Histogram& total_seconds;
  prometheus::Gauge& routing_version;
  prometheus::Gauge& servers;
  prometheus::Gauge& open_links;
  prometheus::Gauge& evacuated_zones;
  prometheus::Gauge& cold_servers; // whose requests are limited
};

} // namespace marigoldstep::gateway
