#include "agent/agent_metrics.h"

namespace marigoldstep::agent {

namespace {

prometheus::Gauge& add_gauge(prometheus::Registry& registry, const char* name,
                             const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Histogram& add_histogram(prometheus::Registry& registry, const char* name,
                                     const char* help) {
  const prometheus::Histogram::BucketBoundaries bounds = {0.001, 0.005, 0.02, 0.1,
                                                          0.5,   2,     10,   60};
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add(
      {}, bounds);
}

prometheus::Counter& add_counter(prometheus::Registry& registry, const char* name,
                                 const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

std::string code_of(const std::error_code& code) {
  return std::string(name(errc_from_number(static_cast<unsigned>(code.value()))));
}

} // namespace

agent_metrics::agent_metrics(prometheus::Registry& registry)
    : running(add_gauge(registry, "marigoldstep_agent_running_attempts",
                        "Attempts that hold a slot of the backend server")),
      queued(add_gauge(registry, "marigoldstep_agent_queued_attempts",
                       "Attempts that wait for a slot")),
      limit(add_gauge(registry, "marigoldstep_agent_limit_attempts",
                      "Load bound on running plus queued attempts")),
      mean(add_gauge(registry, "marigoldstep_agent_mean_attempts",
                     "Mean load of the pool that the load bound is taken from")),
      retained_bytes(add_gauge(registry, "marigoldstep_agent_retained_bytes",
                               "Memory held by answers kept for delivery and resume")),
      admitted(add_counter(registry, "marigoldstep_agent_admitted_attempts_total",
                           "Attempts admitted")),
      prompt_tokens(add_counter(registry, "marigoldstep_agent_prompt_tokens_total",
                                "Prompt tokens of whole answers")),
      cached_tokens(add_counter(registry, "marigoldstep_agent_cached_tokens_total",
                                "Prompt tokens that the engine found cached")),
      queue_seconds(add_histogram(registry, "marigoldstep_agent_queue_seconds",
                                  "Time from admission until a slot was free")),
      claim_seconds(add_histogram(registry, "marigoldstep_agent_claim_seconds",
                                  "Time until the claim of a call was decided")),
      service_seconds(add_histogram(registry, "marigoldstep_agent_service_seconds",
                                    "Time that the backend server took for a call")),
      refusals_(prometheus::BuildCounter()
                    .Name("marigoldstep_agent_refused_attempts_total")
                    .Help("Attempts refused at admission, by code")
                    .Register(registry)),
      ends_(prometheus::BuildCounter()
                .Name("marigoldstep_agent_ended_attempts_total")
                .Help("Admitted attempts that ended, by verdict and code")
                .Register(registry)) {}

void agent_metrics::count_refusal(const std::error_code& code) {
  refusals_.Add({{"code", code_of(code)}}).Increment();
}

void agent_metrics::count_end(const outcome& result) {
  ends_
      .Add({{"verdict", std::string(name(result.result))},
            {"code", code_of(result.error)}})
      .Increment();
}

} // namespace marigoldstep::agent
