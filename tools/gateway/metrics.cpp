#include "gateway/metrics.h"

namespace marigoldstep::gateway {

namespace {

// Upper bounds in seconds, from short lookups to long streams.
const prometheus::Histogram::BucketBoundaries latency_buckets{
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8, 16};

prometheus::Histogram& histogram(prometheus::Registry& registry, const std::string& name,
                                 const std::string& help) {
  return prometheus::BuildHistogram()
      .Name("marigoldstep_gateway_" + name)
      .Help(help)
      .Register(registry)
      .Add({}, latency_buckets);
}

prometheus::Gauge& gauge(prometheus::Registry& registry, const std::string& name,
                         const std::string& help) {
  return prometheus::BuildGauge()
      .Name("marigoldstep_gateway_" + name)
      .Help(help)
      .Register(registry)
      .Add({});
}

prometheus::Counter& counter(prometheus::Registry& registry, const std::string& name,
                             const std::string& help) {
  return prometheus::BuildCounter()
      .Name("marigoldstep_gateway_" + name)
      .Help(help)
      .Register(registry)
      .Add({});
}

} // namespace

gateway_metrics::gateway_metrics(prometheus::Registry& registry)
    : requests(prometheus::BuildCounter()
                   .Name("marigoldstep_gateway_requests_total")
                   .Help("Requests of callers by how they ended")
                   .Register(registry)),
      attempts(prometheus::BuildCounter()
                   .Name("marigoldstep_gateway_attempts_total")
                   .Help("Attempts at backend servers by how they ended")
                   .Register(registry)),
      stream_parts(prometheus::BuildCounter()
                       .Name("marigoldstep_gateway_stream_parts_total")
                       .Help("Parts of streams from one server by where they ended")
                       .Register(registry)),
      stream_resumes(prometheus::BuildCounter()
                         .Name("marigoldstep_gateway_stream_resumes_total")
                         .Help("Streams resumed by callers by how their version is known")
                         .Register(registry)),
      server_crashes(counter(registry, "server_crashes_total",
                             "Ends of server processes that cut off requests")),
      quarantined_requests(counter(registry, "quarantined_requests_total",
                                   "Requests refused because they are quarantined")),
      quarantined_parts(
          gauge(registry, "quarantined_parts", "Prompt parts in quarantine")),
      quarantined_whole_requests(
          gauge(registry, "quarantined_whole_requests", "Whole requests in quarantine")),
      first_byte_seconds(histogram(registry, "first_byte_seconds",
                                   "From the request to the answer's first byte")),
      total_seconds(
          histogram(registry, "total_seconds", "From the request to the answer's end")),
      routing_version(gauge(registry, "routing_version", "Routing version in force")),
      servers(gauge(registry, "servers", "Announced backend servers")),
      open_links(gauge(registry, "control_links", "Open links to control processes")),
      evacuated_zones(gauge(registry, "evacuated_zones", "Evacuated availability zones")),
      cold_servers(
          gauge(registry, "cold_servers", "Cold servers whose requests are limited")) {}

prometheus::Counter& gateway_metrics::request_ended(const std::string& outcome) {
  return requests.Add({{"end", outcome}});
}

prometheus::Counter& gateway_metrics::attempt_ended(const std::string& outcome) {
  return attempts.Add({{"end", outcome}});
}

prometheus::Counter& gateway_metrics::stream_part_ended(const std::string& state) {
  return stream_parts.Add({{"end", state}});
}

prometheus::Counter& gateway_metrics::stream_resumed(const std::string& origin) {
  return stream_resumes.Add({{"origin", origin}});
}

} // namespace marigoldstep::gateway
