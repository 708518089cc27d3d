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
  const auto finish = [this, service, request_id, done = std::move(done)](
                          std::string_view origin, std::optional<std::string> version) {
    metrics.stream_resumed(std::string(origin)).Increment();
    io::log_event(io::log_level::info, "stream_resumed",
                  {{"resumes", request_id},
                   {"service", service},
                   {"origin", std::string(origin)},
                   {"version", version.value_or("")}});
    done(std::move(version));
  };
  if (auto own = find_origin(origins_, stream, io::now())) {
    finish("recorded", std::move(own));
    return;
  }
  // A record that this process doesn't find may still exist, so without one the leader
  // has to prove that the servers had one version all the time. This gateway may know of
  // another one that was announced since.
  links_.find_stream({stream, service, window}, [this, service, window, finish](
                                                    const io::stream_version& found) {
    if (found.version) {
      finish("recorded", found.version);
      return;
    }
    const auto known = sole_version(versions_, service, io::now() - window);
    const bool is_sole = found.sole && known == found.sole;
    finish(is_sole ? "sole" : "unknown", is_sole ? found.sole : std::nullopt);
  });
}

} // namespace marigoldstep::gateway
