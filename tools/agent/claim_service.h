#pragma once

#include "agent/attempt.h"
#include "marigoldstep/io/node_session.h"

#include <prometheus/histogram.h>

#include <memory>

namespace marigoldstep::agent {

// What to do with a call that is not repeatable after the reply to its claim.
enum class claim_action {
  run,     // the claim is granted to this attempt
  deliver, // completed by an earlier attempt; deliver its stored response
  refuse,  // end the attempt with the outcome, without a call
};

struct claim_decision {
  claim_action action = claim_action::refuse;
  outcome result;
  std::unique_ptr<wire::StoredAnswerT> stored_response;
};

// Maps the reply of the control group to a decision.
claim_decision decide_claim(const wire::ClaimReplyT& reply);

// Larger responses are not stored with a claim, only the fact that the call completed.
// Equal to the limit of the control group.
inline constexpr std::size_t max_stored_response_bytes = 64U << 10U;

// Makes, completes and releases claims for calls that are not repeatable, with this agent
// as the holder.
class claim_service : public QObject {
public:
  claim_service(io::node_session& session, milliseconds timeout, QObject* parent)
      : QObject(parent), session_(session), timeout_(timeout) {}

  // Records the seconds until a claim is decided. Optional.
  prometheus::Histogram* claim_seconds = nullptr;

  // Requests the claim for an attempt. Without a reply in time the claim is released, and
  // the verdict of the decision is not_run only if the call certainly did not run.
  void acquire(const attempt& it, std::function<void(claim_decision)> done);

  // Stores the response with the claim. done(false) means that the group did not commit
  // it.
  void complete(const attempt& it, std::function<void(bool)> done);

  // Releases a claim whose call certainly did not run on the backend server.
  void release(const attempt& it, std::function<void()> done);

private:
  struct claim_update {
    wire::ClaimRequestT request;
    time_point give_up_at;
    // Called with null if there was no final reply.
    std::function<void(const wire::ClaimReplyT*)> done;
  };

  [[nodiscard]] wire::ClaimRequestT make_request(const attempt& it,
                                                 wire::ClaimKind kind) const;
  void release_unconfirmed(wire::ClaimRequestT request,
                           std::function<void(claim_decision)> done);
  // Repeats a request until it gets a final reply or give_up_at has passed.
  void retry_until_final(const std::shared_ptr<claim_update>& update);

  io::node_session& session_;
  milliseconds timeout_;
};

} // namespace marigoldstep::agent
