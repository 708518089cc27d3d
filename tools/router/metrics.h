#pragma once

#include "marigoldstep/verdict.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace marigoldstep::router {

// Metrics of the router. The registry must outlive this object.
class router_metrics {
public:
  explicit router_metrics(prometheus::Registry& registry);

  // Counts a request that has ended. code is "ok", "caller_gone", "cancel" or the name
  // of an errc.
  void count_request(std::string_view verdict, std::string_view code);
  void count_retry() { retries_.Increment(); }
  void count_resume() { resumes_.Increment(); }
  void count_stale_frame() { stale_frames_.Increment(); }
  void add_response_bytes(std::size_t n) { response_bytes_.Increment(double(n)); }
  // Records the time from receiving the complete request to sending its first start
  // message.
  void observe_added_latency(std::chrono::nanoseconds spent);

  struct gauges {
    std::size_t requests_open = 0;
    std::size_t connections_open = 0;
    std::uint64_t control_sent = 0;
    std::uint64_t control_received = 0;
    std::uint64_t config_version = 0;
  };
  void set_gauges(const gauges& now);

private:
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Counter& retries_;
  prometheus::Counter& resumes_;
  prometheus::Counter& stale_frames_;
  prometheus::Counter& response_bytes_;
  prometheus::Counter& control_sent_;
  prometheus::Counter& control_received_;
  prometheus::Gauge& requests_open_;
  prometheus::Gauge& connections_open_;
  prometheus::Gauge& config_version_;
  prometheus::Histogram& added_latency_;
};

} // namespace marigoldstep::router
