#pragma once

#include "control/replica.h"
#include "control/service.h"
#include "marigoldstep/io/admin_server.h"

#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <vector>

namespace marigoldstep::control {

// Provides /metrics and /readyz of a control process.
class control_metrics {
public:
  control_metrics(io::admin_server& admin, replica& group, const service& nodes);

private:
  void collect();
  prometheus::Gauge& gauge(const std::string& name, const std::string& help);
  void collect_links();

  io::admin_server& admin_;
  replica& group_;
  const service& nodes_;
  prometheus::Gauge& term_;
  prometheus::Gauge& is_leader_;
  prometheus::Gauge& commit_index_;
  prometheus::Gauge& accepted_version_;
  prometheus::Gauge& out_of_service_;
  prometheus::Gauge& connections_;
  prometheus::Gauge& bytes_sent_;
  prometheus::Gauge& bytes_received_;
  prometheus::Gauge& peer_bytes_sent_;
  prometheus::Gauge& peer_bytes_received_;
  prometheus::Histogram& sync_seconds_;
  // One gauge per link, which carries the peer's address as a label.
  prometheus::Family<prometheus::Gauge>& link_silence_;
  std::vector<prometheus::Gauge*> link_silences_;
};

} // namespace marigoldstep::control
