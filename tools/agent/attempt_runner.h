#pragma once

#include "agent/agent_metrics.h"
#include "agent/attempt_store.h"
#include "agent/claim_service.h"
#include "agent/settings.h"
#include "marigoldstep/admission.h"
#include "marigoldstep/fair_queue.h"
#include "marigoldstep/io/node_session.h"
#include "marigoldstep/load_limit.h"

#include <map>
#include <vector>

namespace marigoldstep::agent {

// Runs attempts from admission to their end: load bound, fair queue, claims and calls to
// the backend server.
class attempt_runner : public QObject {
public:
  attempt_runner(const agent_settings& settings, io::node_session& session,
                 agent_metrics& metrics, QObject* parent);

  // Called when the load bound is reached and a newer mean load is needed. Optional.
  std::function<void()> on_limit_reached;

  void start_attempt(wire::StartAttemptT start, std::uint64_t sender_version,
                     router_link& link);
  void resume(const attempt_id& id, std::uint64_t offset, router_link& link);
  void acknowledge(const attempt_id& id, std::uint64_t offset, const router_link& link);
  void detach(const attempt_id& id, const router_link& link);
  void cancel(const attempt_id& id, router_link& link);
  void close_link(const router_link& link);

  void apply_configuration(const configuration& config);
  void record_version(std::uint64_t version);
  void record_mean(const mean_report& report) { record_mean_report(means_, report); }
  // Refuses new attempts from now on.
  void start_draining() { draining_ = true; }
  // Ends the remaining attempts when the drain limit has passed.
  void abort_all();

  [[nodiscard]] std::uint32_t running() const;
  [[nodiscard]] std::uint32_t queued() const;
  [[nodiscard]] std::uint32_t load() const { return running() + queued(); }
  [[nodiscard]] std::uint32_t limit() const;
  [[nodiscard]] std::uint32_t mean_milli() const;
  [[nodiscard]] attempt_store& store() { return store_; }

private:
  // Waits for a newer configuration before the admission decision.
  struct held_attempt {
    wire::StartAttemptT start;
    std::uint64_t sender_version = 0;
    router_link* link = nullptr;
    time_point arrived_at{};
  };

  // Checks the fields of a request, independently of the state of this agent. Returns
  // errc::ok if they are valid.
  [[nodiscard]] errc check_request(const wire::StartAttemptT& start) const;
  [[nodiscard]] bool is_repeatable_here(const wire::StartAttemptT& start) const;
  [[nodiscard]] admission_decision decide(const wire::StartAttemptT& start,
                                          std::uint64_t sender_version,
                                          time_point arrived_at) const;
  // Decides on admission, then admits, holds or refuses.
  void process_start(wire::StartAttemptT start, std::uint64_t sender_version,
                     router_link& link, time_point arrived_at);
  void refuse(const wire::StartAttemptT& start, const outcome& result, router_link& link);
  void admit(wire::StartAttemptT start, router_link& link, time_point arrived_at);
  void hold(held_attempt held);
  void retry_held();
  void dispatch();
  void begin_attempt(attempt& it);
  void handle_claim(const attempt_id& id, claim_decision decision);
  void deliver_stored_response(attempt& it, const wire::StoredAnswerT& stored);
  void call_backend(attempt& it);
  void handle_data(const attempt_id& id, byte_view chunk);
  void handle_refusal(attempt& it, const backend_head& head);
  void handle_call_end(const attempt_id& id, backend_result result,
                       const std::string& detail);
  void handle_complete_response(attempt& it);
  void release_and_end(attempt& it, const outcome& result, const std::string& detail);
  void stop_call(attempt& it);
  // Ends an attempt that is cancelled, abandoned, past its deadline or stopped by a
  // drain. A call that is not repeatable continues until its claim is settled.
  void give_up(attempt& it, errc reason);
  void cancel_unknown(const attempt_id& id, router_link& link);
  void detach_until_settled(attempt& it, errc reason);
  void end_attempt(attempt& it, const outcome& result, const std::string& detail = {});
  void tick();
  void expire(time_point now);

  const agent_settings& settings_;
  io::node_session& session_;
  agent_metrics& metrics_;
  attempt_store store_;
  claim_service claims_;
  backend_client backend_;
  fair_queue queue_;
  mean_history means_;
  std::uint64_t newest_version_ = 0;
  std::uint32_t running_ = 0;
  bool draining_ = false;
  std::vector<held_attempt> held_;
  // Attempts cancelled before their start message arrived, with their expiry.
  std::map<attempt_id, time_point> early_cancels_;
  QTimer timer_;
};

} // namespace marigoldstep::agent
