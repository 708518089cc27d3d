#pragma once

#include "marigoldstep/io/framed_connection.h"
#include "marigoldstep/wire.h"

#include <QTimer>

#include <memory>
#include <unordered_map>

namespace marigoldstep::router {

// A request that has an attempt at an agent.
class attempt_handler {
public:
  virtual ~attempt_handler() = default;
  // The connection is open and the agent runs in this incarnation. Called again
  // after each reconnect.
  virtual void on_link_ready(incarnation agent) = 0;
  // The agent can't be reached. The attempt is detached already.
  virtual void on_link_lost() = 0;
  virtual void on_agent_frame(wire::DataFrameT& frame) = 0;
  // Whether a start message was written; only then a reconnect makes sense.
  [[nodiscard]] virtual bool is_started() const = 0;
};

struct agent_address {
  std::string node_id;
  std::string host;
  std::uint16_t port = 0;

  friend bool operator==(const agent_address&, const agent_address&) = default;
};

// The connection to one agent, shared by all requests that go there.
class agent_link : public QObject {
public:
  agent_link(agent_address address, std::string router_id, QObject* parent);

  // Sees every frame before the sinks do.
  std::function<void(const wire::DataFrameT&)> on_frame;
  // The version that goes into each frame.
  std::function<std::uint64_t()> config_version;

  // Connects when needed; sink hears on_link_ready, at once when it is open.
  void attach(const attempt_id& id, attempt_handler& handler);
  void detach(const attempt_id& id);
  // False when the connection is not ready; nothing was written then.
  template <typename Body> bool send(Body body) {
    if (!ready_) {
      return false;
    }
    return connection_->send(wire::encode(wire::data_frame(std::move(body), version())));
  }

  // Follows a change of address or incarnation in the membership view.
  void set_address(const agent_address& address);
  // Drops the connection and looks anew whether the agent still answers.
  void reconnect();

  // Attempts wait here and no frame has come for a while.
  [[nodiscard]] bool is_silent(time_point now) const;

  [[nodiscard]] const agent_address& address() const { return address_; }
  [[nodiscard]] std::size_t attempts() const { return handlers_.size(); }

private:
  [[nodiscard]] std::uint64_t version() const;
  void connect_now();
  void drop_connection();
  void handle_open();
  void handle_closed();
  void handle_frame(byte_view buf);
  void handle_hello(const wire::HelloT& hello);
  void fail_attempts(bool include_started);
  std::vector<attempt_id> attempt_ids() const;

  agent_address address_;
  std::string router_id_;
  io::framed_connection* connection_ = nullptr;
  bool ready_ = false; // the agent's Hello has come
  incarnation agent_incarnation_ = 0;
  QTimer timer_;
  time_point disconnected_at_{};
  time_point last_frame_at_{};
  unsigned failures_ = 0;
  std::unordered_map<attempt_id, attempt_handler*, attempt_id_hash> handlers_;
};

} // namespace marigoldstep::router
