// End of a request: retries, the response to the caller, errors and claim requests.
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"
#include "router/relay.h"
#include "router/router.h"

#include <algorithm>
#include <array>

namespace marigoldstep::router {

namespace {

constexpr auto cancel_timeout = milliseconds(1000);
constexpr unsigned max_failed_attempts = 3;
constexpr auto default_avoid_time = milliseconds(100);

// Errors that would be the same at any other backend server.
bool is_final(std::error_code error) {
  constexpr std::array codes = {errc::bad_request,
                                errc::body_too_large,
                                errc::unknown_workspace,
                                errc::unknown_model,
                                errc::unknown_service,
                                errc::missing_idempotency_key,
                                errc::bad_idempotency_key,
                                errc::idempotency_key_expired,
                                errc::idempotency_key_reused,
                                errc::idempotency_key_in_future,
                                errc::request_cancelled,
                                errc::already_running,
                                errc::deadline_exceeded,
                                errc::answer_too_large,
                                errc::message_too_large};
  return std::any_of(codes.begin(), codes.end(),
                     [error](errc code) { return error == code; });
}

errc code_of(const outcome& result) {
  return errc_from_number(static_cast<unsigned>(result.error.value()));
}

} // namespace

void relay::apply(const relay_decision& decision) {
  switch (decision.action) {
  case relay_action::ignore:
  case relay_action::resume:
    break;
  case relay_action::finish:
    finish_response();
    break;
  case relay_action::retry:
    handle_retry(decision.result);
    break;
  case relay_action::request_cancel:
    request_claim(wire::ClaimKind::cancel, decision.result);
    break;
  case relay_action::request_lookup:
    request_claim(wire::ClaimKind::lookup, decision.result);
    break;
  case relay_action::send_error:
    send_error(decision.result);
    break;
  case relay_action::close_caller:
    close_caller(decision.result);
    break;
  }
}

void relay::handle_retry(const outcome& why) {
  const auto now = io::now();
  if (is_resume_ || is_final(why.error)) {
    apply(give_up(state_, why));
    return;
  }
  if (why.error == errc::stale_configuration && may_wait_for_version()) {
    // The refusal is not a sign of load or a fault, and the attempt did no work.
    is_free_retry_ = true;
    wait_for_version();
    return;
  }
  // Each of these attempts may have run completely on a backend server.
  if (why.result != verdict::not_run && ++failed_attempts_ >= max_failed_attempts) {
    apply(give_up(state_, why));
    return;
  }
  last_refusal_ = why;
  tried_.push_back({server_id_, code_of(why)});
  if (why.result == verdict::not_run) {
    const auto avoid = why.retry_after.count() > 0 ? why.retry_after : default_avoid_time;
    record_refusal(owner_.fleet(), job_.request.service, server_id_, now + avoid);
  }
  try_next_server();
}

void relay::finish_response() {
  if (has_unproven_refusal()) {
    acknowledge(1);
    send_error(may_have_run(errc::server_failed));
    return;
  }
  if (state_.response_forwarded) {
    response_.end();
  } else {
    response_.write_complete(ensure_head(), as_bytes(buffered_), {job_.request_id, {}});
  }
  // The final acknowledgement lets the agent drop the response, which it keeps for
  // resumes until it is delivered.
  if (finished_) {
    return; // the caller was found to be gone
  }
  acknowledge(1);
  response_.release();
  finish_request(completed(), "ok");
}

void relay::send_error(const outcome& result) {
  response_.write_problem(result, job_.request_id);
  response_.release();
  finish_request(result, name(code_of(result)));
}

void relay::close_caller(const outcome& result) {
  response_.close_incomplete();
  finish_request(result, name(code_of(result)));
}

void relay::request_claim(wire::ClaimKind kind, const outcome& why) {
  wire::ClaimRequestT body;
  body.kind = kind;
  body.workspace = job_.request.workspace;
  body.service = job_.request.service;
  body.key = job_.request.idempotency_key;
  body.body_hash =
      hash_call(job_.start.method, job_.start.path, byte_view(job_.start.body));
  body.attempt_hi = state_.current.hi;
  body.attempt_lo = state_.current.lo;
  owner_.client().request(
      std::move(body), cancel_timeout,
      [weak = weak_from_this(), why](const io::control_result& result) {
        auto self = weak.lock();
        if (self && !self->finished_) {
          self->handle_claim_reply(result, why);
        }
      });
}

void relay::handle_claim_reply(const io::control_result& result, const outcome& why) {
  auto* reply = result.reply ? result.reply->body.AsClaimReply() : nullptr;
  auto resolution = claim_resolution::undecided;
  // The group never replies "unknown" to a cancel. With "mismatch" this body never ran,
  // because the claim for the key was made with another body.
  const bool never_ran =
      reply != nullptr && (reply->outcome == wire::ClaimOutcome::cancelled ||
                           reply->outcome == wire::ClaimOutcome::unknown ||
                           reply->outcome == wire::ClaimOutcome::mismatch);
  if (never_ran) {
    resolution = claim_resolution::never_ran;
  } else if (reply != nullptr && reply->outcome == wire::ClaimOutcome::completed &&
             reply->answer != nullptr && reply->answer->complete) {
    resolution = claim_resolution::completed_with_response;
    head_ = std::make_unique<wire::AttemptHeadT>();
    head_->status = reply->answer->status;
    head_->headers.push_back(std::make_unique<wire::HeaderT>());
    head_->headers.back()->name = "Content-Type";
    head_->headers.back()->value = reply->answer->content_type;
    buffered_ = std::string(as_text(reply->answer->body));
  }
  apply(on_claim_reply(state_, resolution, why));
}

void relay::abort() {
  if (finished_) {
    return;
  }
  detach_link();
  if (state_.repeatable || state_.response_forwarded) {
    apply(give_up(state_, not_run(errc::server_draining)));
    return;
  }
  // There is no time left to look up the claim.
  apply(on_claim_reply(state_, claim_resolution::undecided,
                       may_have_run(errc::server_draining)));
}

void relay::finish_request(const outcome& result, std::string_view code) {
  if (finished_) {
    return;
  }
  finished_ = true;
  update_hold();
  detach_link();
  const auto verdict = name(result.result);
  owner_.metrics().count_request(verdict, code);
  if (!is_resume_) {
    count_verdict(owner_.summary(), job_.request.workspace, result.result);
  }
  io::log_event(io::log_level::info, "request_done",
                {{"request_id", job_.request_id},
                 {"verdict", std::string(verdict)},
                 {"code", std::string(code)},
                 {"server", server_id_},
                 {"attempts", std::to_string(state_.attempts)},
                 {"bytes", std::to_string(state_.next_offset)}});
  owner_.remove(*this);
}

} // namespace marigoldstep::router
