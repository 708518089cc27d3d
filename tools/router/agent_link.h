#pragma once

#include "marigoldstep/io/deadline_timer.h"
#include "marigoldstep/io/framed_connection.h"
#include "marigoldstep/wire.h"

#include <QTimer>

#include <memory>
#include <unordered_map>

namespace marigoldstep::router {

// Receives events of the link for a request with an attempt at the agent.
class attempt_handler {
public:
  virtual ~attempt_handler() = default;
  // The connection is ready; agent is the incarnation of the agent. Called again after
  // each reconnect.
  virtual void on_link_ready(incarnation agent) = 0;
  // The agent cannot be reached. The attempt is already detached.
  virtual void on_link_lost() = 0;
  // Another request has attached to the attempt, which is detached from this one.
  virtual void on_replaced() = 0;
  virtual void on_agent_frame(wire::DataFrameT& frame) = 0;
  // Whether the start message was written. An attempt without it fails when the
  // connection is lost, instead of waiting for a reconnect.
  [[nodiscard]] virtual bool is_started() const = 0;
};

struct agent_address {
  std::string node_id;
  std::string host;
  std::uint16_t port = 0;

  friend bool operator==(const agent_address&, const agent_address&) = default;
};

// Connection to one agent, shared by all requests with an attempt there. A connection
// that falls silent while attempts are attached is replaced.
class agent_link : public QObject {
public:
  agent_link(agent_address address, std::string router_id, QObject* parent);

  // Called with each received frame, before the handlers.
  std::function<void(const wire::DataFrameT&)> on_frame;
  // Returns the configuration version to put into each frame; 0 is sent if unset.
  std::function<std::uint64_t()> config_version;

  // Connects if necessary. Calls handler.on_link_ready when the connection is ready,
  // which can be before attach returns. Replaces a handler attached to the same attempt.
  void attach(const attempt_id& id, attempt_handler& handler);
  void detach(const attempt_id& id);
  // Returns false and writes nothing if the connection is not ready.
  template <typename Body> bool send(Body body) {
    if (!ready_) {
      return false;
    }
    return connection_->send(wire::encode(wire::data_frame(std::move(body), version())));
  }

  // Reconnects if the address has changed.
  void set_address(const agent_address& address);
  // Drops the connection, if there is one, and connects again if attempts are attached.
  void reconnect();

  // Whether attempts are attached and no frame was received for the silence timeout.
  [[nodiscard]] bool is_silent(time_point now) const;

  [[nodiscard]] const agent_address& address() const { return address_; }
  [[nodiscard]] std::size_t attempts() const { return handlers_.size(); }

private:
  [[nodiscard]] std::uint64_t version() const;
  void connect_now();
  void drop_connection();
  void send_hello();
  void handle_closed();
  void handle_frame(byte_view buf);
  void handle_hello(const wire::HelloT& hello);
  void fail_attempts(bool include_started);
  // Starts the timer of check_liveness() if attempts wait for an agent that acknowledges.
  void watch_liveness();
  void check_liveness();
  std::vector<attempt_id> attempt_ids() const;

  agent_address address_;
  std::string router_id_;
  io::framed_connection* connection_ = nullptr;
  bool ready_ = false; // the agent's Hello was received
  incarnation agent_incarnation_ = 0;
  bool acknowledges_ = false; // the agent acknowledges bytes while none are due
  io::deadline_timer timer_;
  QTimer liveness_timer_;
  time_point heard_at_{};            // when the latest bytes were noticed
  std::uint64_t bytes_received_ = 0; // at that time
  time_point disconnected_at_{};
  time_point last_frame_at_{};
  unsigned failures_ = 0;
  std::unordered_map<attempt_id, attempt_handler*, attempt_id_hash> handlers_;
};

} // namespace marigoldstep::router
