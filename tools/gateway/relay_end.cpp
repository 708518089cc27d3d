// End of attempts and of the request: the decision about another attempt, the final
// response, log lines and counters.
#include "gateway/relay.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/http_status.h"
#include "marigoldstep/io/logging.h"
#include "platform/messages.h"

namespace marigoldstep::gateway {

namespace {

// After a refusal by a backend server: the other servers had no capacity a moment ago
// either.
constexpr auto refused_retry_delay = milliseconds(200);
// A quarantine lasts for minutes at least.
constexpr auto quarantine_retry_delay = milliseconds(60'000);
// For connections whose server states no keep-alive timeout.
constexpr auto default_idle_timeout = milliseconds(4000);

// Whether the attempt ended with a response of a server that may have run the request.
bool is_error_response(attempt_end end) {
  return end == attempt_end::failed || end == attempt_end::unproven_refusal;
}

std::string to_text(milliseconds value) {
  return std::to_string(value.count());
}

} // namespace

// Retry-After after attempts that did not run.
milliseconds relay::not_run_delay() const {
  const auto choice = owner_.choose_backend(make_dispatch_request());
  return choice.reopens_in
             ? refusal_delay(choice, time_left(), stable_hash(call_.request_id, 1))
             : refused_retry_delay;
}

// The caller may have nothing to do with the cause, but a server that gets the request
// ends with everything that runs there.
void relay::refuse_quarantined(const request_trait& trait) {
  owner_.metrics.quarantined_requests.Increment();
  io::log_decision({call_.request_id,
                    "refuse",
                    "",
                    "quarantined",
                    {to_string(trait), "prompt:" + to_string(call_.prompt),
                     "request:" + hex_id(fingerprint_),
                     "routing:" + std::to_string(table_->config.version)}});
  if (state_.response_started) {
    abort_response("quarantined");
  } else if (state_.may_have_run) {
    apply_step(relay_step::answer_unknown, attempt_end::not_connected, {});
  } else {
    respond_not_run("quarantined " + std::string(name(trait.kind)),
                    quarantine_retry_delay);
  }
}

ended_request relay::make_ended_request(bool is_whole) const {
  return {traits_, attempt_->has_head, is_whole};
}

// Outcome of an attempt whose response head arrived but can't be forwarded as a success.
attempt_end relay::classify_response() const {
  const auto& it = *attempt_;
  if (it.metadata.wrong_server) {
    return attempt_end::wrong_server;
  }
  if (it.metadata.not_run) {
    return attempt_end::not_run;
  }
  if (io::http_status::promises_not_run(it.head.status)) {
    return attempt_end::unproven_refusal;
  }
  const bool is_success =
      it.head.status >= io::http_status::ok && it.head.status < io::http_status::redirect;
  return is_success ? attempt_end::broken : attempt_end::failed;
}

void relay::handle_done() {
  if (!is_forwardable_response()) {
    const auto end = classify_response();
    const bool is_server_error = attempt_->head.status >= io::http_status::server_error;
    if (is_error_response(end) && !is_server_error) {
      // A client error doesn't count as a failure of the server.
      record_response(owner_.dispatch, attempt_->server.id, false, io::now());
    }
    end_attempt(end);
    return;
  }
  // A server that crashes may close its connection in order.
  const bool is_cut = is_inside_event(attempt_->events);
  const bool is_other_kind = state_.response_started && !attempt_->is_forwarding;
  if (is_cut || is_other_kind) {
    if (is_cut) {
      owner_.crashes.record_end(attempt_->server, make_ended_request(false));
    }
    end_attempt(attempt_end::broken);
    return;
  }
  record_response(owner_.dispatch, attempt_->server.id, false, io::now());
  forward_held_events("the stream ended");
  record_completed();
  finish_response();
}

// A response that ends with its connection may also have ended with its server.
void relay::record_completed() {
  const bool is_delimited = attempt_->head.length || attempt_->head.is_chunked;
  const auto request = make_ended_request(true);
  if (is_delimited) {
    marigoldstep::record_completed(owner_.traits, request.traits, io::now());
  } else {
    owner_.crashes.record_end(attempt_->server, request);
  }
}

void relay::finish_response() {
  owner_.metrics.attempt_ended("answered").Increment();
  attempt_->is_complete = true;
  const auto server = attempt_->server.id;
  if (has_caller()) {
    if (state_.response_started || attempt_->is_stream) {
      begin_response();
      if (route_->kind == route_kind::resumable_stream) {
        caller_->write_body(attempt_->events.partial);
      }
      caller_->finish();
    } else {
      owner_.metrics.first_byte_seconds.Observe(
          std::chrono::duration<double>(io::now() - started_at_).count());
      caller_->respond(attempt_->head.status,
                       platform::make_response_fields(attempt_->head), attempt_->body);
    }
  }
  // Both have no effect if the end of the response met a caller that has disconnected.
  release_attempt(true);
  finish("answered", server);
}

void relay::handle_failure(io::exchange_failure why) {
  io::log_event(
      io::log_level::info, "exchange_failed",
      {{"request_id", call_.request_id},
       {"server", attempt_->server.id},
       {"why", std::string(io::name(why))},
       {"new_connection", attempt_->connection->is_first_exchange() ? "true" : "false"},
       {"head", attempt_->has_head ? "true" : "false"}});
  if (why == io::exchange_failure::closed) {
    owner_.crashes.record_end(attempt_->server, make_ended_request(false));
  } else if (why == io::exchange_failure::refused) {
    owner_.crashes.record_refused(attempt_->server);
  }
  // The head alone proves a refusal, even if the body is truncated.
  const bool refused = attempt_->has_head && attempt_->metadata.not_run;
  if (io::is_unconnected(why)) {
    end_attempt(attempt_end::not_connected);
  } else if (why == io::exchange_failure::withheld) {
    end_attempt(attempt_end::withheld);
  } else if (refused) {
    end_attempt(classify_response());
  } else {
    end_attempt(attempt_end::broken);
  }
}

void relay::end_attempt(attempt_end end) {
  const auto now = io::now();
  const auto last = *attempt_;
  const bool answered = last.has_head && end != attempt_end::broken;
  if (end == attempt_end::not_connected || end == attempt_end::broken) {
    record_broken_connection(owner_.dispatch, last.server.id, now);
  } else if (is_error_response(end) &&
             last.head.status >= io::http_status::server_error) {
    record_response(owner_.dispatch, last.server.id, true, now);
  } else if (end == attempt_end::not_run) {
    record_refusal(owner_.dispatch, last.server.id, now);
  }
  owner_.metrics.attempt_ended(std::string(name(end))).Increment();
  release_attempt(answered);
  // Nothing is taken from the budget while no server could be tried.
  const auto step = decide_relay_step(state_, end, now, [&] {
    return has_candidate() && take_shared_retry(owner_.retries, service_, now);
  });
  io::log_event(io::log_level::info, "attempt_ended",
                {{"request_id", call_.request_id},
                 {"server", last.server.id},
                 {"end", std::string(name(end))},
                 {"status", std::to_string(last.head.status)},
                 {"step", std::string(name(step))},
                 {"time_left_ms", to_text(time_left())}});
  if (!has_caller()) {
    finish("left", name(end));
    return;
  }
  apply_step(step, end, last);
}

void relay::apply_step(relay_step step, attempt_end end, const attempt& last) {
  if (step == relay_step::try_again) {
    send_attempt();
    return;
  }
  if (state_.response_started) {
    abort_response(name(end));
    return;
  }
  if (step == relay_step::pass_on) {
    caller_->respond(last.head.status, platform::make_response_fields(last.head),
                     last.body);
    finish("failed", last.server.id);
  } else if (step == relay_step::answer_not_run) {
    respond_not_run(name(end), not_run_delay());
  } else {
    respond(io::http_status::bad_gateway, "the request may have run", std::nullopt);
  }
}

// Logs the part of a stream that one server contributed, unless it is a whole stream
// from the only server that was tried.
void relay::record_stream_part() {
  const auto& it = *attempt_;
  if (!it.is_forwarding || !it.is_stream) {
    return;
  }
  const bool is_cut = is_inside_event(it.events);
  owner_.metrics
      .stream_part_ended(is_cut           ? "inside_event"
                         : it.is_complete ? "complete"
                                          : "between_events")
      .Increment();
  if (it.is_complete && !is_cut && tried_servers_.size() == 1) {
    return;
  }
  io::log_event(io::log_level::info, "stream_part",
                {{"request_id", call_.request_id},
                 {"server", it.server.id},
                 {"complete", it.is_complete ? "true" : "false"},
                 {"last_event", last_event_ ? std::to_string(*last_event_) : "none"},
                 {"received_bytes", std::to_string(it.received_bytes)},
                 {"forwarded_bytes", std::to_string(it.forwarded_bytes)},
                 {"partial_bytes", std::to_string(it.events.partial.size())}});
}

void relay::release_attempt(bool reusable) {
  if (!attempt_) {
    return;
  }
  forward_held_events("the attempt ended");
  record_stream_part();
  record_finished(owner_.dispatch, attempt_->server.id, attempt_->tokens);
  if (reusable && !attempt_->metadata.leaving) {
    owner_.pool.release(attempt_->connection,
                        attempt_->metadata.idle_timeout.value_or(default_idle_timeout),
                        owner_.idle_connections(service_, attempt_->server.id));
  } else {
    owner_.pool.discard(attempt_->connection);
  }
  attempt_.reset();
  update_hold();
}

// The server may have begun to run the request, and may crash under it.
void relay::record_cancelled() {
  if (attempt_ && attempt_->connection->is_open()) {
    owner_.crashes.record_cancelled(attempt_->server, make_ended_request(false));
  }
}

void relay::handle_caller_disconnect() {
  caller_.clear();
  if (done_) {
    return;
  }
  // Requests of kind once run to their end; all others are cancelled, since they can
  // be repeated or are streams without a reader.
  if (attempt_ && route_->kind == route_kind::once) {
    return;
  }
  record_cancelled();
  release_attempt(false);
  finish("left",
         state_.response_started ? "after the answer began" : "before the answer");
}

void relay::handle_timeout() {
  if (waits_for_gateway_) {
    waits_for_gateway_ = false;
    refuse_without_configuration();
    return;
  }
  const bool sent = attempt_ && attempt_->connection->is_open();
  if (sent) {
    state_.may_have_run = true;
    record_cancelled();
  }
  release_attempt(false);
  if (!has_caller()) {
    finish("left", "deadline");
  } else if (state_.response_started) {
    abort_response("deadline passed");
  } else if (state_.may_have_run) {
    respond(io::http_status::gateway_timeout, "deadline passed", std::nullopt);
  } else {
    respond_not_run("deadline passed", refused_retry_delay);
  }
}

void relay::respond(unsigned status, std::string_view text,
                    std::optional<milliseconds> retry) {
  if (has_caller()) {
    std::vector<io::http_field> fields;
    if (retry) {
      fields.push_back(platform::make_retry_after_field(*retry));
    }
    caller_->respond(status, fields, std::string(text) + "\n");
  }
  const bool refused = status < io::http_status::server_error;
  finish(status == io::http_status::unavailable ? "not_run"
         : refused                              ? "rejected"
                                                : "unknown",
         text);
}

void relay::respond_not_run(std::string_view text, milliseconds retry) {
  respond(io::http_status::unavailable, text, retry);
}

// Aborts the connection, so that a caller with a part of the response detects the
// truncation.
void relay::abort_response(std::string_view why) {
  const auto caller = caller_;
  finish("cut", why);
  if (caller) {
    caller->abort();
  }
}

// Ends a request whose caller has left before it could be sent.
void relay::abandon() {
  const auto caller = caller_;
  finish("left", "before it was sent");
  if (caller) {
    caller->abort();
  }
}

void relay::finish(std::string_view outcome, std::string_view detail) {
  if (done_) {
    return;
  }
  done_ = true;
  deadline_timer_.stop();
  if (has_caller()) {
    caller_->on_closed = nullptr;
    caller_->on_drained = nullptr;
    caller_.clear();
  }
  const auto took = io::now() - started_at_;
  owner_.metrics.request_ended(std::string(outcome)).Increment();
  owner_.metrics.total_seconds.Observe(std::chrono::duration<double>(took).count());
  io::log_event(io::log_level::info, "request_ended",
                {{"request_id", call_.request_id},
                 {"end", std::string(outcome)},
                 {"detail", std::string(detail)},
                 {"route", route_ == nullptr ? "" : route_->name},
                 {"attempts", std::to_string(state_.sent + state_.failed_connects)},
                 {"ms", to_text(took)}});
  deleteLater();
}

} // namespace marigoldstep::gateway
