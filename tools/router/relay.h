#pragma once

#include "marigoldstep/attempt.h"
#include "marigoldstep/request.h"
#include "router/agent_link.h"
#include "router/caller_response.h"
#include "router/fleet_view.h"

#include <memory>
#include <optional>

namespace marigoldstep::router {

class router;

// A caller's request to be relayed.
struct relay_job {
  std::string request_id;
  checked_request request;
  wire::StartAttemptT start; // template without attempt id, deadline and incarnation
  time_point received_at{};
  std::chrono::steady_clock::time_point latency_start = std::chrono::steady_clock::now();
};

// Relays one request from its caller to agents, and the response back. The functions on
// relay_state decide how frames, ends of attempts and lost connections are handled; this
// class performs the I/O.
class relay : public attempt_handler,
              public caller_handler,
              public std::enable_shared_from_this<relay> {
public:
  relay(router& owner, relay_job job, caller_response response);

  // Credits the request to the retry budget and starts the first attempt.
  void begin();
  // Resumes at offset the response of an attempt started by another relay.
  void begin_resume(const resume_token& token, std::uint64_t offset);
  // Called at the time next_wakeup().
  void on_wakeup(time_point now);
  // Called when a newer configuration was applied.
  void on_configuration();
  // Ends the request because the router is stopping.
  void abort();

  void on_link_ready(incarnation agent) override;
  void on_link_lost() override;
  void on_replaced() override;
  void on_agent_frame(wire::DataFrameT& frame) override;
  [[nodiscard]] bool is_started() const override { return state_.start_written; }
  void on_caller_disconnected() override;
  void on_bytes_sent() override;

  [[nodiscard]] time_point next_wakeup() const { return next_wakeup_; }

private:
  void try_next_server();
  void start_attempt(const server_info& server);
  void send_start();
  void send_resume();
  void abandon_attempt();
  void wait_until(time_point when);
  void detach_link();
  void apply(const relay_decision& decision);
  void handle_retry(const outcome& why);
  void wait_for_server(std::error_code why);
  void wait_for_version();
  [[nodiscard]] bool may_wait_for_version() const;
  void handle_data(const wire::AttemptDataT& data);
  void handle_end(const wire::AttemptEndT& end);
  void forward_data(byte_view data);
  void begin_response();
  void update_hold();
  void acknowledge(std::uint64_t step);
  template <typename Body> void send_about_attempt(Body body);
  void finish_response();
  void send_error(const outcome& result);
  void close_caller(const outcome& result);
  void request_claim(wire::ClaimKind kind, const outcome& why);
  void handle_claim_reply(const io::control_result& result, const outcome& why);
  void finish_request(const outcome& result, std::string_view code);
  [[nodiscard]] response_ids make_response_ids() const;
  [[nodiscard]] bool may_buffer_response() const;
  // Whether the backend server ran the request and responded with a status that promises
  // the contrary. Such a response is not forwarded.
  [[nodiscard]] bool has_unproven_refusal() const;
  wire::AttemptHeadT& ensure_head();

  router& owner_;
  relay_job job_;
  caller_response response_;
  relay_state state_;
  agent_link* link_ = nullptr;
  std::string server_id_;
  incarnation server_incarnation_ = 0; // from the membership view
  incarnation agent_incarnation_ = 0;  // to which the start message was written
  std::unique_ptr<wire::AttemptHeadT> head_;
  std::string buffered_;    // response bytes not forwarded yet
  std::size_t start_bytes_; // allocated by job_.start
  io::held_memory held_;
  std::vector<tried_server> tried_;
  outcome last_refusal_;
  time_point deadline_{};
  time_point next_wakeup_{};
  time_point last_progress_at_{};
  std::uint64_t acknowledged_ = 0;
  unsigned backoff_rounds_ = 0;
  unsigned failed_attempts_ = 0;
  unsigned version_waits_ = 0;
  bool waits_for_version_ = false;
  bool is_free_retry_ = false; // the next attempt is not taken from the retry budget
  bool is_resume_ = false;
  bool has_server_error_ = false; // the backend server's response has a 5xx status
  bool finished_ = false;
};

} // namespace marigoldstep::router
