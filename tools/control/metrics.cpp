#include "control/metrics.h"

#include "marigoldstep/io/clock.h"

namespace marigoldstep::control {

namespace {

// Upper bounds in seconds, from a fast SSD to a stalled disk.
const prometheus::Histogram::BucketBoundaries sync_buckets{
    0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 5};

prometheus::Histogram& sync_histogram(prometheus::Registry& registry) {
  return prometheus::BuildHistogram()
      .Name("marigoldstep_control_sync_seconds")
      .Help("Time of one write and sync of the log")
      .Register(registry)
      .Add({}, sync_buckets);
}

} // namespace

control_metrics::control_metrics(io::admin_server& admin, replica& group,
                                 const service& nodes)
    : admin_(admin), group_(group), nodes_(nodes), term_(gauge("term", "Current term")),
      is_leader_(gauge("leader", "1 while this process leads the group")),
      commit_index_(gauge("commit_index", "Index of the last committed entry")),
      accepted_version_(gauge("accepted_version", "Accepted configuration version")),
      out_of_service_(gauge("out_of_service", "1 after a storage failure")),
      connections_(gauge("connections", "Open connections of nodes and operators")),
      bytes_sent_(gauge("sent_bytes", "Bytes sent to nodes and operators")),
      bytes_received_(gauge("received_bytes", "Bytes received from nodes and operators")),
      peer_bytes_sent_(gauge("peer_sent_bytes", "Bytes sent to members")),
      peer_bytes_received_(gauge("peer_received_bytes", "Bytes received from members")),
      sync_seconds_(sync_histogram(admin.registry())),
      link_silence_(prometheus::BuildGauge()
                        .Name("marigoldstep_control_member_link_silence_seconds")
                        .Help("Time since the latest bytes on an open link to a member")
                        .Register(admin.registry())) {
  admin_.before_collect = [this] { collect(); };
  admin_.is_ready = [this] { return group_.is_ready(); };
  group_.on_sync_time = [this](double seconds) { sync_seconds_.Observe(seconds); };
}

prometheus::Gauge& control_metrics::gauge(const std::string& name,
                                          const std::string& help) {
  return prometheus::BuildGauge()
      .Name("marigoldstep_control_" + name)
      .Help(help)
      .Register(admin_.registry())
      .Add({});
}

void control_metrics::collect() {
  const auto* node = group_.node();
  term_.Set(static_cast<double>(group_.term()));
  is_leader_.Set(group_.is_leader() ? 1 : 0);
  commit_index_.Set(node == nullptr ? 0 : static_cast<double>(node->commit_index));
  accepted_version_.Set(static_cast<double>(group_.state().accepted_version));
  out_of_service_.Set(group_.out_of_service() ? 1 : 0);
  connections_.Set(static_cast<double>(nodes_.connections()));
  bytes_sent_.Set(static_cast<double>(nodes_.bytes_sent()));
  bytes_received_.Set(static_cast<double>(nodes_.bytes_received()));
  peer_bytes_sent_.Set(static_cast<double>(group_.network().bytes_sent()));
  peer_bytes_received_.Set(static_cast<double>(group_.network().bytes_received()));
  collect_links();
}

// Exports only open links: the absence of a member's gauge says that its link is closed.
void control_metrics::collect_links() {
  for (auto* it : link_silences_) {
    link_silence_.Remove(it);
  }
  link_silences_.clear();
  for (const auto& it : group_.network().links(io::now())) {
    if (it.is_open) {
      auto& silence = link_silence_.Add({{"peer", to_string(it.peer)}});
      silence.Set(std::chrono::duration<double>(it.silence).count());
      link_silences_.push_back(&silence);
    }
  }
}

} // namespace marigoldstep::control
