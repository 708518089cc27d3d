#include "router/metrics.h"

namespace marigoldstep::router {

namespace {

prometheus::Family<prometheus::Counter>&
add_counter_family(prometheus::Registry& registry, const std::string& name,
                   const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Gauge& add_gauge(prometheus::Registry& registry, const std::string& name,
                             const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Histogram& add_latency_histogram(prometheus::Registry& registry) {
  const prometheus::Histogram::BucketBoundaries bounds = {
      0.00005, 0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.25, 1.0};
  return prometheus::BuildHistogram()
      .Name("marigoldstep_router_added_latency_seconds")
      .Help("Time from a whole request to its first start message")
      .Register(registry)
      .Add({}, bounds);
}

// Counters can only be incremented, so the difference to the total is added.
void raise_to(prometheus::Counter& counter, std::uint64_t value) {
  const auto missing = static_cast<double>(value) - counter.Value();
  if (missing > 0) {
    counter.Increment(missing);
  }
}

} // namespace

router_metrics::router_metrics(prometheus::Registry& registry)
    : requests_(add_counter_family(registry, "marigoldstep_router_requests_total",
                                   "Requests answered, by verdict and error code")),
      retries_(add_counter_family(registry, "marigoldstep_router_retries_total",
                                  "Attempts after the first of a request")
                   .Add({})),
      resumes_(
          add_counter_family(registry, "marigoldstep_router_resumes_total",
                             "Attempts continued after a lost connection to an agent")
              .Add({})),
      stale_frames_(
          add_counter_family(registry, "marigoldstep_router_stale_frames_total",
                             "Late, repeated or crossed frames that were dropped")
              .Add({})),
      response_bytes_(add_counter_family(registry,
                                         "marigoldstep_router_answer_bytes_total",
                                         "Bytes of answers received from agents")
                          .Add({})),
      control_sent_(add_counter_family(registry,
                                       "marigoldstep_router_control_sent_bytes_total",
                                       "Bytes sent to the control group")
                        .Add({})),
      control_received_(
          add_counter_family(registry, "marigoldstep_router_control_received_bytes_total",
                             "Bytes received from the control group")
              .Add({})),
      requests_open_(add_gauge(registry, "marigoldstep_router_requests_open",
                               "Requests in progress, streams included")),
      connections_open_(add_gauge(registry, "marigoldstep_router_connections_open",
                                  "Open connections of callers")),
      config_version_(add_gauge(registry, "marigoldstep_router_config_version",
                                "Version of the configuration in effect here")),
      added_latency_(add_latency_histogram(registry)) {}

void router_metrics::count_request(std::string_view verdict, std::string_view code) {
  requests_.Add({{"verdict", std::string(verdict)}, {"code", std::string(code)}})
      .Increment();
}

void router_metrics::observe_added_latency(std::chrono::nanoseconds spent) {
  added_latency_.Observe(std::chrono::duration<double>(spent).count());
}

void router_metrics::set_gauges(const gauges& now) {
  requests_open_.Set(static_cast<double>(now.requests_open));
  connections_open_.Set(static_cast<double>(now.connections_open));
  config_version_.Set(static_cast<double>(now.config_version));
  raise_to(control_sent_, now.control_sent);
  raise_to(control_received_, now.control_received);
}

} // namespace marigoldstep::router
