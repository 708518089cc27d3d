#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace marigoldstep::gateway {

// Counters and latency histograms of a gateway.
struct gateway_metrics {
  explicit gateway_metrics(prometheus::Registry& registry);

  // By how the request ended: "answered", "not_run", "unknown", "cut", "left".
  prometheus::Counter& request_ended(const std::string& outcome);
  prometheus::Counter& attempt_ended(const std::string& outcome);

  prometheus::Family<prometheus::Counter>& requests;
  prometheus::Family<prometheus::Counter>& attempts;
  prometheus::Histogram& first_byte_seconds;
  prometheus::Histogram& total_seconds;
  prometheus::Gauge& routing_version;
  prometheus::Gauge& servers;
  prometheus::Gauge& open_links;
};

} // namespace marigoldstep::gateway
