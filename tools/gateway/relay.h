#pragma once

#include "gateway/gateway.h"
#include "marigoldstep/event_splitter.h"
#include "marigoldstep/io/deadline_timer.h"
#include "marigoldstep/relay_policy.h"

#include <QObject>
#include <QPointer>

#include <optional>
#include <string>

namespace marigoldstep::gateway {

// Relays one request of a caller: finds its route, sends it to one backend server
// after the other as the retry policy allows, and forwards the response. Deletes
// itself when the request has ended.
class relay : public QObject {
public:
  relay(gateway& owner, io::http_connection& caller, io::http_request request);
  ~relay() override;

  // Begins, or waits for the gateway if it has just started and is not ready yet.
  void start();

private:
  void begin();
  // One request sent to one server.
  struct attempt {
    io::backend_connection* connection = nullptr;
    announced_server server;
    std::uint64_t tokens = 0;
    response_metadata metadata;
    io::http_head head;
    std::string body; // of a response that is buffered before it is forwarded
    bool has_head = false;
    bool is_stream = false;     // the response consists of events
    bool is_forwarding = false; // the response is forwarded as it arrives
    bool is_complete = false;
    event_splitter events;
    // Of a stream's body: what the server sent, and what the caller got of it.
    std::uint64_t received_bytes = 0;
    std::uint64_t forwarded_bytes = 0;
  };

  bool resolve_target();
  [[nodiscard]] dispatch_request make_dispatch_request() const;
  void send_attempt();
  void refuse_quarantined(const request_trait& trait);
  // The attempt's request, whose connection has ended.
  [[nodiscard]] ended_request make_ended_request(bool is_whole) const;
  void send_to(const announced_server& server, const dispatch_choice& choice,
               const dispatch_request& request);
  io::backend_connection* open_connection(const io::endpoint& target);
  void handle_head(const io::http_head& head);
  void record_notice(const response_metadata& metadata);
  void handle_body(std::string piece);
  void end_large_response();
  void handle_done();
  void handle_failure(io::exchange_failure why);
  void forward_body(std::string_view piece);
  [[nodiscard]] bool resumes_stream() const;
  void find_version();
  void record_origin();
  void forward_held_events(std::string_view problem);
  void begin_response();
  void record_completed();
  void finish_response();
  void end_attempt(attempt_end end);
  void apply_step(relay_step step, attempt_end end, const attempt& last);
  void release_attempt(bool reusable);
  void update_hold();
  void record_stream_part();
  void record_cancelled();
  void handle_caller_disconnect();
  void handle_timeout();
  void refuse_without_configuration();
  void handle_drained();

  void respond(unsigned status, std::string_view text, std::optional<milliseconds> retry);
  void respond_not_run(std::string_view text, milliseconds retry);
  void abort_response(std::string_view why);
  void abandon();
  void finish(std::string_view outcome, std::string_view detail);

  [[nodiscard]] bool has_caller() const { return !caller_.isNull(); }
  [[nodiscard]] milliseconds time_left() const;
  // Whether another server could be tried now.
  [[nodiscard]] bool has_candidate() const;
  [[nodiscard]] milliseconds not_run_delay() const;
  [[nodiscard]] bool is_forwardable_response() const;
  [[nodiscard]] attempt_end classify_response() const;

  gateway& owner_;
  QPointer<io::http_connection> caller_;
  io::http_request request_;
  std::size_t request_bytes_; // allocated
  io::held_memory held_;
  call_metadata call_;
  std::shared_ptr<const routing_table> table_; // in force when the request arrived
  const route* route_ = nullptr;
  std::string service_;
  std::string workspace_;
  std::optional<int> priority_;
  std::uint64_t fingerprint_ = 0; // of the request
  request_traits traits_;
  request_progress state_;
  std::vector<std::string> tried_servers_;
  std::vector<io::endpoint> tried_addresses_;
  std::optional<attempt> attempt_;
  // Id of the last event that the caller has; another server continues after it.
  std::optional<std::uint64_t> last_event_;
  // Software version of the servers that may continue the stream; unset until it began.
  std::optional<std::string> version_;
  // Events that wait until control has recorded the version of the stream that they
  // begin.
  enum class origin_record {
    none,
    pending,
    settled
  } origin_record_ = origin_record::none;
  std::string held_events_;
  io::deadline_timer deadline_timer_;
  time_point started_at_{};
  bool waits_for_gateway_ = false;
  bool done_ = false;
};

} // namespace marigoldstep::gateway
