#pragma once

#include "agent/attempt_runner.h"
#include "agent/orders.h"
#include "marigoldstep/io/admin_server.h"

#include <map>

namespace marigoldstep::agent {

// The agent process beside one backend server. All requests to the server go through it.
class agent : public QObject {
public:
  agent(agent_settings settings, QObject* parent);
  ~agent() override;
  agent(const agent&) = delete;
  agent& operator=(const agent&) = delete;

  // Listens on the router and admin ports and starts sending heartbeats.
  std::error_code start();
  // Refuses new attempts. on_drained is called when the others have been delivered, or
  // after the configured drain limit.
  void drain();
  std::function<void()> on_drained;

  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  [[nodiscard]] std::uint16_t admin_port() const { return admin_.port(); }
  [[nodiscard]] attempt_runner& runner() { return runner_; }
  // Open connections from routers.
  [[nodiscard]] std::size_t links() const { return links_.size(); }

private:
  void set_up_session();
  void set_up_admin();
  void fill_heartbeat(wire::HeartbeatT& body);
  void request_mean();
  void handle_ack(const wire::HeartbeatAckT& ack);
  void add_link(io::framed_connection* connection);
  void drop_link(router_link* link);
  void drop_replaced_links(const router_link& by);
  void send_hello(router_link& link);
  void acknowledge_bytes();
  void handle_frame(router_link& link, byte_view buf);
  void handle_body(router_link& link, wire::DataFrameT& frame);
  [[nodiscard]] frame_metadata make_frame_metadata() const;
  void log_summary();
  void serve_post(io::http_connection& from, std::string_view path, std::string body);
  void check_drained();

  agent_settings settings_;
  io::admin_server admin_;
  agent_metrics metrics_;
  io::node_session session_;
  attempt_runner runner_;
  backend_client order_backend_;
  order_forwarder orders_;
  io::framed_listener listener_;
  std::map<io::framed_connection*, std::unique_ptr<router_link>> links_;
  mean_report sent_report_; // load and time of the last heartbeat, mean of the last ack
  bool draining_ = false;
  bool leaving_announced_ = false;
  time_point drain_deadline_{};
  QTimer drain_timer_;
  QTimer mean_timer_;
  QTimer summary_timer_;
  QTimer acknowledgement_timer_;
  double logged_prompt_tokens_ = 0;
  double logged_cached_tokens_ = 0;
};

} // namespace marigoldstep::agent
