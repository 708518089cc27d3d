#pragma once

#include "marigoldstep/verdict.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

namespace marigoldstep::agent {

// Metrics of the agent, with names that end in their unit. The registry must outlive this
// object.
class agent_metrics {
public:
  explicit agent_metrics(prometheus::Registry& registry);

  prometheus::Gauge& running;
  prometheus::Gauge& queued;
  prometheus::Gauge& limit;
  prometheus::Gauge& mean;
  prometheus::Gauge& retained_bytes;
  prometheus::Counter& admitted;
  prometheus::Counter& prompt_tokens;
  prometheus::Counter& cached_tokens;
  prometheus::Histogram& queue_seconds;
  prometheus::Histogram& claim_seconds;
  prometheus::Histogram& service_seconds;

  void count_refusal(const std::error_code& code);
  void count_end(const outcome& result);

private:
  prometheus::Family<prometheus::Counter>& refusals_;
  prometheus::Family<prometheus::Counter>& ends_;
};

} // namespace marigoldstep::agent
