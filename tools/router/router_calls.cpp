// Handling of callers' HTTP requests up to the creation of a relay.
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"
#include "router/caller_request.h"
#include "router/router.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace marigoldstep::router {

namespace {

constexpr auto busy_retry_after = milliseconds(1000);
constexpr auto cancel_timeout = milliseconds(2000);
// Maximum wait for an agent that does not respond to a resume.
constexpr auto resume_deadline = milliseconds(10'000);

// The request as it arrived, and the message with its copy for the agent.
std::size_t needed_bytes(const io::http_request& request) {
  constexpr std::size_t copies = 3;
  return copies * (request.body.capacity() + io::allocated_bytes(request.head));
}

outcome cancel_outcome(const io::control_result& result) {
  const auto* reply = result.reply ? result.reply->body.AsClaimReply() : nullptr;
  if (reply == nullptr) {
    return may_have_run(errc::control_unavailable, busy_retry_after);
  }
  switch (reply->outcome) {
  case wire::ClaimOutcome::cancelled:
    return not_run(errc::request_cancelled);
  case wire::ClaimOutcome::completed:
    return completed();
  case wire::ClaimOutcome::expired:
    return may_have_run(errc::idempotency_key_expired);
  case wire::ClaimOutcome::in_future:
    return not_run(errc::idempotency_key_in_future);
  case wire::ClaimOutcome::unavailable:
    return may_have_run(errc::control_unavailable, busy_retry_after);
  default:
    return may_have_run(errc::already_running, busy_retry_after);
  }
}

// Head of the response to a cancel request with a final result. Other results are sent
// as errors.
wire::AttemptHeadT json_head() {
  constexpr int ok = 200;
  wire::AttemptHeadT head;
  head.status = ok;
  head.headers.push_back(std::make_unique<wire::HeaderT>());
  head.headers.back()->name = "Content-Type";
  head.headers.back()->value = "application/json";
  return head;
}

std::string cancel_body(const outcome& result, const std::string& request_id) {
  const auto verdict = name(result.result);
  QJsonObject body;
  body["verdict"] =
      QString::fromUtf8(verdict.data(), static_cast<qsizetype>(verdict.size()));
  body["request_id"] = QString::fromStdString(request_id);
  return QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString();
}

// Responds to a cancel request when the reply of the control group has arrived.
class cancel_call : public caller_handler {
public:
  cancel_call(std::string request_id, caller_response response)
      : request_id_(std::move(request_id)), response_(response) {}
  void on_caller_disconnected() override { response_.clear_connection(); }
  void on_bytes_sent() override {}

  void respond(const outcome& result) {
    const bool decided =
        result.result == verdict::completed || result.error == errc::request_cancelled;
    if (decided) {
      const auto body = cancel_body(result, request_id_);
      response_.write_complete(json_head(), as_bytes(body), {request_id_, {}});
    } else {
      response_.write_problem(result, request_id_);
    }
    response_.release();
  }

private:
  std::string request_id_;
  caller_response response_;
};

} // namespace

void router::refuse(caller_connection& connection, const std::string& request_id,
                    const outcome& result) {
  const auto code = name(errc_from_number(static_cast<unsigned>(result.error.value())));
  io::log_decision({request_id, "refuse", "", std::string(code), {}});
  metrics_.count_request(name(result.result), code);
  caller_response response(connection);
  response.write_problem(result, request_id);
}

void router::handle_request(const io::http_request& request,
                            caller_connection& connection) {
  auto request_id = to_string(io::make_attempt_id());
  const auto kind = classify_request(request);
  if (kind == call_kind::unknown) {
    refuse(connection, request_id, not_run(errc::bad_request));
  } else if (!session_.config()) {
    refuse(connection, request_id, not_run(errc::no_configuration, busy_retry_after));
  } else if (stopping_ && kind != call_kind::resume) {
    refuse(connection, request_id, not_run(errc::server_draining, busy_retry_after));
  } else if (relays_.size() >= settings_.limits.max_requests) {
    refuse(connection, request_id, not_run(errc::queue_full, busy_retry_after));
  } else if (const auto needed = needed_bytes(request); !memory_->make_room(needed)) {
    refuse(connection, request_id,
           not_run(errc::memory_full, memory_->retry_delay(needed)));
  } else if (kind == call_kind::resume) {
    handle_resume(request, connection, std::move(request_id));
  } else if (kind == call_kind::cancel) {
    handle_cancel(request, connection, std::move(request_id));
  } else {
    handle_call(request, connection, std::move(request_id));
  }
}

std::shared_ptr<relay> router::add_relay(relay_job job, caller_connection& connection) {
  auto made = std::make_shared<relay>(*this, std::move(job), caller_response(connection));
  connection.handler = made.get();
  relays_.emplace(made.get(), made);
  return made;
}

void router::handle_call(const io::http_request& request, caller_connection& connection,
                         std::string request_id) {
  auto call = parse_call(request, classify_request(request));
  if (call.error) {
    refuse(connection, request_id, {verdict::not_run, call.error, {}});
    return;
  }
  const auto wall_clock = io::wall_clock();
  auto checked = check_request(*session_.config(), call.fields, wall_clock);
  if (checked.error) {
    const bool expired = checked.error == errc::idempotency_key_expired;
    const auto result = expired ? verdict::may_have_run : verdict::not_run;
    refuse(connection, request_id, {result, checked.error, {}});
    return;
  }
  fill_start(call.start, checked.request);
  call.start.request_id = request_id;
  relay_job job{std::move(request_id), std::move(checked.request), std::move(call.start),
                io::now()};
  add_relay(std::move(job), connection)->begin();
}

void router::handle_resume(const io::http_request& request, caller_connection& connection,
                           std::string request_id) {
  const auto parsed = parse_resume(request);
  if (parsed.error) {
    refuse(connection, request_id, not_run(errc::bad_request));
    return;
  }
  relay_job job;
  job.request_id = std::move(request_id);
  job.received_at = io::now();
  job.request.stream = true;
  job.request.deadline = resume_deadline;
  if (const auto* server = find_member(parsed.token.agent)) {
    job.request.service = server->service;
  }
  add_relay(std::move(job), connection)->begin_resume(parsed.token, parsed.offset);
}

void router::handle_cancel(const io::http_request& request, caller_connection& connection,
                           std::string request_id) {
  const auto parsed = parse_cancel(request);
  const auto& config = *session_.config();
  auto problem = parsed.error;
  if (!problem && find_workspace(config, parsed.workspace) == nullptr) {
    problem = errc::unknown_workspace;
  }
  if (!problem && find_service(config, parsed.service) == nullptr) {
    problem = errc::unknown_service;
  }
  auto key =
      check_idempotency_key(parsed.key, io::wall_clock(), config.limits.claim_retention);
  if (problem) {
    key = {verdict::may_have_run, problem, {}};
  }
  if (key.error) {
    // Nothing was cancelled, so an earlier attempt may still run.
    key.result = verdict::may_have_run;
    refuse(connection, request_id, key);
    return;
  }
  wire::ClaimRequestT body;
  body.kind = wire::ClaimKind::cancel;
  body.workspace = parsed.workspace;
  body.service = parsed.service;
  body.key = parsed.key;
  auto call = std::make_shared<cancel_call>(request_id, caller_response(connection));
  connection.handler = call.get();
  client().request(std::move(body), cancel_timeout,
                   [this, call](const io::control_result& reply) {
                     const auto result = cancel_outcome(reply);
                     metrics_.count_request(name(result.result), "cancel");
                     call->respond(result);
                   });
}

} // namespace marigoldstep::router
