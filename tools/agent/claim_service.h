#pragma once

#include "agent/attempt.h"
#include "marigoldstep/io/node_session.h"

#include <prometheus/histogram.h>

#include <memory>

namespace marigoldstep::agent {

// What to do with a not repeatable call after its claim was answered.
enum class claim_action {
  run,     // granted to this attempt
  deliver, // ran before; the stored answer is attached
  refuse,  // ends with the outcome, without a call
};

struct claim_decision {
  claim_action action = claim_action::refuse;
  outcome result;
  std::unique_ptr<wire::StoredAnswerT> stored_response;
};

claim_decision decide_claim(const wire::ClaimReplyT& reply);

// Larger answers are not stored with a claim, only the fact that the call
// completed. Equals the bound of the control group.
inline constexpr std::size_t max_stored_response_bytes = 64U << 10U;

// Claims of not repeatable calls, made in the name of this agent.
class claim_service : public QObject {
public:
  claim_service(io::node_session& session, duration timeout, QObject* parent)
      : QObject(parent), session_(session), timeout_(timeout) {}

  // Seconds until a claim was decided; may be null.
  prometheus::Histogram* claim_seconds = nullptr;

  // Asks for the claim of an attempt. Without an answer in time the claim is
  // taken back, and the decision says whether the request certainly did not run.
  void acquire(const attempt& it, std::function<void(claim_decision)> done);

  // Stores the answer. done gets false when the group did not commit it.
  void complete(const attempt& it, std::function<void(bool)> done);

  // Gives a claim back whose call certainly did not reach the backend server.
  void release(const attempt& it, std::function<void()> done);

private:
  struct claim_update {
    wire::ClaimRequestT request;
    time_point give_up_at;
    std::function<void(const wire::ClaimReplyT*)> done; // null: no answer
  };

  [[nodiscard]] wire::ClaimRequestT make_request(const attempt& it,
                                                 wire::ClaimKind kind) const;
  void release_unconfirmed(wire::ClaimRequestT request,
                           std::function<void(claim_decision)> done);
  // Repeats a request until it is answered by other than unavailable.
  void retry_until_final(const std::shared_ptr<claim_update>& job);

  io::node_session& session_;
  duration timeout_;
};

} // namespace marigoldstep::agent
