// The software versions that began streams which callers may resume at any gateway.
#include "gateway/gateway.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

namespace marigoldstep::gateway {

namespace {

// A new link brings all servers within some round trips, or after a message was lost and
// sent again. Control keeps servers that left for longer than a stream lasts.
constexpr auto directory_settle_time = milliseconds(1000);

} // namespace

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
  // A reply also proves that this gateway is in touch with control.
  links_.find_stream(
      stream, [this, service, window, finish](const io::stream_version& found) {
        if (found.version) {
          finish("recorded", found.version);
          return;
        }
        auto sole = found.is_answered ? find_sole_version(service, window) : std::nullopt;
        finish(sole ? "sole" : "unknown", std::move(sole));
      });
}

// The servers of other versions that a stream may have begun at are known here, unless
// contact with control has only just begun.
std::optional<std::string> gateway::find_sole_version(const std::string& service,
                                                      milliseconds window) const {
  return links_.has_leader_since(directory_settle_time)
             ? sole_version(versions_, service, io::now() - window)
             : std::nullopt;
}

} // namespace marigoldstep::gateway
