// The software version whose servers may continue a stream.
#include "gateway/relay.h"
#include "marigoldstep/io/logging.h"

namespace marigoldstep::gateway {

namespace {

// Control records the version of a stream within a round trip; events that arrive much
// later than their server made them count as late.
constexpr auto max_origin_wait = milliseconds(50);
// A caller may resume a stream until its own time has passed, which begins before the
// first event and may be renewed by one retry.
constexpr int resume_window_in_timeouts = 2;
constexpr auto unknown_version_retry_delay = milliseconds(200);

} // namespace

bool relay::resumes_stream() const {
  return route_->kind == route_kind::resumable_stream &&
         (call_.last_event || !call_.resumed_request.empty());
}

// A resume goes only to servers of the version that began the stream; where that isn't
// known, the request is refused.
void relay::find_version() {
  origin_record_ = origin_record::settled;
  const auto window = resume_window_in_timeouts * route_->timeout;
  owner_.find_stream(service_, call_.resumed_request, window,
                     [this, self = QPointer(this)](std::optional<std::string> version) {
                       if (self.isNull() || done_) {
                         return;
                       }
                       if (!version) {
                         respond_not_run("the version that began the stream is unknown",
                                         unknown_version_retry_delay);
                         return;
                       }
                       version_ = std::move(version);
                       send_attempt();
                     });
}

// The version has to be known elsewhere before the caller gets the first event: this
// process may be gone when the caller resumes the stream.
void relay::record_origin() {
  origin_record_ = origin_record::pending;
  version_ = attempt_->server.version;
  QTimer::singleShot(max_origin_wait, this, [this] { forward_held_events("timeout"); });
  owner_.record_stream(service_, call_.request_id, *version_,
                       resume_window_in_timeouts * route_->timeout,
                       [self = QPointer(this)](bool recorded) {
                         if (!self.isNull()) {
                           self->forward_held_events(recorded ? "" : "not recorded");
                         }
                       });
}

// Forwards the first events. problem: why control may lack the record; empty if it has
// it. Without it, the stream can be resumed only at this gateway.
void relay::forward_held_events(std::string_view problem) {
  if (origin_record_ != origin_record::pending || !attempt_) {
    return;
  }
  origin_record_ = origin_record::settled;
  if (!problem.empty()) {
    io::log_event(io::log_level::warning, "stream_origin_unconfirmed",
                  {{"request_id", call_.request_id},
                   {"version", *version_},
                   {"reason", std::string(problem)}});
  }
  if (has_caller()) {
    begin_response();
    caller_->write_body(held_events_);
  }
  held_events_.clear();
  handle_drained();
}

} // namespace marigoldstep::gateway
