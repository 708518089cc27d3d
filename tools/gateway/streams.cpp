// The software versions that began streams which callers may resume at any gateway.
#include "gateway/gateway.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

namespace marigoldstep::gateway {

void gateway::record_stream(const std::string& service, const std::string& request_id,
                            const std::string& version, milliseconds keep,
                            std::function<void(bool)> done) {
  const auto now = io::now();
  const auto stream = stream_key(service, request_id);
  record_origin(origins_, stream, version, now + keep, now);
  links_.record_stream(stream, version, keep, std::move(done));
}

void gateway::find_stream(const std::string& service, const std::string& request_id,
                          milliseconds window,
                          std::function<void(std::optional<std::string>)> done) {
  const auto stream = stream_key(service, request_id);
  auto finish = [this, service, request_id, window,
                 done = std::move(done)](std::optional<std::string> version) {
    const bool is_recorded = version.has_value();
    if (!is_recorded) {
      version = find_sole_version(service, window);
    }
    const std::string origin = is_recorded ? "recorded" : version ? "sole" : "unknown";
    metrics.stream_resumed(origin).Increment();
    io::log_event(io::log_level::info, "stream_resumed",
                  {{"resumes", request_id},
                   {"service", service},
                   {"origin", origin},
                   {"version", version.value_or("")}});
    done(version);
  };
  auto own = find_origin(origins_, stream, io::now());
  if (own || request_id.empty()) {
    finish(std::move(own));
    return;
  }
  links_.find_stream(stream, std::move(finish));
}

// Streams that began elsewhere may have begun at servers that this gateway hasn't heard
// of, unless it has been in contact with control for as long as they may last.
std::optional<std::string> gateway::find_sole_version(const std::string& service,
                                                      milliseconds window) const {
  return links_.has_leader_since(window)
             ? sole_version(versions_, service, io::now() - window)
             : std::nullopt;
}

} // namespace marigoldstep::gateway
