#include "agent/claim_service.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

namespace marigoldstep::agent {

namespace {

using wire::ClaimKind;
using wire::ClaimOutcome;

constexpr auto claim_update_retry_interval = milliseconds(200);
// While a claim is unsettled every resend ends with may_have_run, so settling it is
// retried for longer than one election takes.
constexpr auto claim_update_timeout = milliseconds(30'000);

claim_decision refuse(const outcome& result) {
  return {claim_action::refuse, result, nullptr};
}

claim_decision deliver(const wire::ClaimReplyT& reply) {
  if (!reply.answer || !reply.answer->complete) {
    return refuse(may_have_run(errc::answer_too_large));
  }
  return {claim_action::deliver, completed(),
          std::make_unique<wire::StoredAnswerT>(*reply.answer)};
}

// Outcome if the group was unavailable. An error code in the reply means that it refused
// the request and changed nothing.
outcome refused_request(unsigned error_code) {
  const auto code = errc_from_number(error_code);
  return code == errc::ok ? may_have_run(errc::control_unavailable) : not_run(code);
}

// Whether a repeated request would get the same reply. Only "unavailable" without an
// error code is not final.
bool is_final(const wire::ClaimReplyT& reply) {
  return reply.outcome != ClaimOutcome::unavailable || reply.error_code != 0;
}

const wire::ClaimReplyT* claim_reply(const io::control_result& result) {
  return result.reply ? result.reply->body.AsClaimReply() : nullptr;
}

double seconds_since(time_point from) {
  return std::chrono::duration<double>(io::now() - from).count();
}

} // namespace

claim_decision decide_claim(const wire::ClaimReplyT& reply) {
  switch (reply.outcome) {
  case ClaimOutcome::granted:
    return {claim_action::run, {}, nullptr};
  case ClaimOutcome::completed:
    return deliver(reply);
  case ClaimOutcome::running:
    return refuse(may_have_run(errc::already_running));
  case ClaimOutcome::cancelled:
    return refuse(not_run(errc::request_cancelled));
  case ClaimOutcome::mismatch:
    return refuse(not_run(errc::idempotency_key_reused));
  case ClaimOutcome::expired:
    return refuse(may_have_run(errc::idempotency_key_expired));
  case ClaimOutcome::in_future:
    return refuse(not_run(errc::idempotency_key_in_future));
  case ClaimOutcome::may_have_run:
    return refuse(may_have_run(errc::already_running));
  case ClaimOutcome::unavailable:
    return refuse(refused_request(reply.error_code));
  case ClaimOutcome::unknown:
    break;
  }
  return refuse(may_have_run(errc::control_unavailable));
}

wire::ClaimRequestT claim_service::make_request(const attempt& it, ClaimKind kind) const {
  wire::ClaimRequestT out;
  out.kind = kind;
  out.workspace = it.start.workspace;
  out.service = it.start.service;
  out.key = it.start.idempotency_key;
  out.body_hash = it.body_hash;
  out.attempt_hi = it.id.hi;
  out.attempt_lo = it.id.lo;
  out.holder = session_.node_id();
  out.holder_incarnation = io::process_incarnation();
  return out;
}

void claim_service::acquire(const attempt& it, std::function<void(claim_decision)> done) {
  auto request = make_request(it, ClaimKind::claim);
  const auto started = io::now();
  const auto wait = std::min(timeout_, it.deadline - started);
  session_.client().request(
      wire::ClaimRequestT(request), std::max(wait, milliseconds(1)),
      [this, request, started, done = std::move(done)](const io::control_result& result) {
        if (claim_seconds != nullptr) {
          claim_seconds->Observe(seconds_since(started));
        }
        const auto* reply = claim_reply(result);
        if (reply != nullptr && is_final(*reply)) {
          done(decide_claim(*reply));
        } else if (!result.may_have_arrived) {
          done(refuse(not_run(errc::control_unavailable)));
        } else {
          release_unconfirmed(request, done);
        }
      });
}

// Releases a claim that may have been granted. The call was not made, so a committed
// release proves that it did not run, and allows the key to be used again.
void claim_service::release_unconfirmed(wire::ClaimRequestT request,
                                        std::function<void(claim_decision)> done) {
  request.kind = ClaimKind::release;
  session_.client().request(std::move(request), timeout_,
                            [done = std::move(done)](const io::control_result& result) {
                              const auto* reply = claim_reply(result);
                              if (reply == nullptr ||
                                  reply->outcome == ClaimOutcome::unavailable) {
                                done(refuse(may_have_run(errc::control_unavailable)));
                              } else if (reply->outcome == ClaimOutcome::unknown) {
                                done(refuse(not_run(errc::control_unavailable)));
                              } else {
                                done(decide_claim(*reply));
                              }
                            });
}

void claim_service::retry_until_final(const std::shared_ptr<claim_update>& update) {
  session_.client().request(wire::ClaimRequestT(update->request), timeout_,
                            [this, update](const io::control_result& result) {
                              const auto* reply = claim_reply(result);
                              const bool settled = reply != nullptr && is_final(*reply);
                              if (settled || io::now() >= update->give_up_at) {
                                update->done(settled ? reply : nullptr);
                                return;
                              }
                              QTimer::singleShot(
                                  claim_update_retry_interval, this,
                                  [this, update] { retry_until_final(update); });
                            });
}

void claim_service::complete(const attempt& it, std::function<void(bool)> done) {
  auto request = make_request(it, ClaimKind::complete);
  request.answer = std::make_unique<wire::StoredAnswerT>();
  request.answer->status = it.head.status;
  for (const auto& header : it.head.headers) {
    if (QByteArray::fromStdString(header.name).toLower() == "content-type") {
      request.answer->content_type = header.value;
    }
  }
  request.answer->complete = it.response.data.size() <= max_stored_response_bytes;
  if (request.answer->complete) {
    request.answer->body = it.response.data;
  }
  auto report = [done = std::move(done)](const wire::ClaimReplyT* reply) {
    done(reply != nullptr && reply->outcome == ClaimOutcome::completed);
  };
  retry_until_final(std::make_shared<claim_update>(claim_update{
      std::move(request), io::now() + claim_update_timeout, std::move(report)}));
}

void claim_service::release(const attempt& it, std::function<void()> done) {
  auto report = [done = std::move(done)](const wire::ClaimReplyT* /*reply*/) {
    if (done) {
      done();
    }
  };
  retry_until_final(std::make_shared<claim_update>(
      claim_update{make_request(it, ClaimKind::release), io::now() + claim_update_timeout,
                   std::move(report)}));
}

} // namespace marigoldstep::agent
