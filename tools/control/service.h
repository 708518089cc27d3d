#pragma once

#include "control/replica.h"
#include "marigoldstep/io/framed_connection.h"
#include "marigoldstep/membership.h"

#include <QPointer>
#include <QTimer>

#include <map>
#include <string>

namespace marigoldstep::control {

// State of a router or agent from its latest heartbeat.
struct node_record {
  wire::NodeRole role = wire::NodeRole::router;
  incarnation started = 0;
  std::uint64_t config_version = 0;
  time_point last_seen{};
};

// Serves nodes and operators, with one reply frame for each request frame.
class service : public QObject {
public:
  service(replica& group, std::vector<operator_account> operators, QObject* parent);

  // 340 nodes have one connection each; the rest is headroom for reconnects. At the limit
  // a new connection replaces the one that has been silent longest.
  std::size_t max_connections = 2000;

  std::error_code listen(const io::endpoint& address);
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  // Stops accepting connections and closes the open ones after their queued replies
  // are sent.
  void stop();

  [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }
  [[nodiscard]] std::uint64_t bytes_received() const { return bytes_received_; }
  [[nodiscard]] std::size_t connections() const { return clients_.size(); }

private:
  using link = QPointer<io::framed_connection>;

  struct client {
    time_point window_start{};
    std::uint32_t requests = 0;       // since window_start
    time_point heard_at{};            // when the latest bytes were noticed
    std::uint64_t bytes_received = 0; // at that time
  };

  void accept(io::framed_connection* connection);
  void close_silent_clients();
  // Returns false when no connection is silent.
  bool replace_silent_client();
  void handle_frame(io::framed_connection* connection, byte_view buf);
  bool is_within_rate(io::framed_connection* connection);
  void close(io::framed_connection* connection);
  void dispatch(const link& to, const wire::ControlFrameT& frame);

  void handle_heartbeat(const link& to, std::uint64_t correlation,
                        const wire::HeartbeatT& body);
  void handle_fetch(const link& to, std::uint64_t correlation);
  void handle_history(const link& to, std::uint64_t correlation,
                      const wire::HistoryRequestT& body);
  void handle_status(const link& to, std::uint64_t correlation);
  void handle_operator(const link& to, const wire::ControlFrameT& frame);
  void handle_operator_keys(const link& to, const wire::ControlFrameT& frame,
                            const wire::OperatorRequestT& body);
  void handle_command(const link& to, const wire::ControlFrameT& frame);
  void handle_change(const link& to, const wire::ControlFrameT& frame,
                     const wire::ChangeRequestT& body);
  void handle_member(const link& to, std::uint64_t correlation,
                     const wire::MemberRequestT& body);
  void send_rate_limited(const link& to, const wire::ControlFrameT& request);
  // Whether the key belongs to the operator; an empty name means any operator.
  [[nodiscard]] bool is_authorized(const std::string& name, std::string_view key) const;

  [[nodiscard]] wire::HeartbeatAckT make_ack(const wire::HeartbeatT& body);
  [[nodiscard]] wire::StatusReplyT make_status();
  void update_in_force();
  void handle_new_term();
  void add_member_status(wire::StatusReplyT& reply) const;

  // Sends the result of reply once a quorum has confirmed this leader, and NotLeader
  // if it doesn't.
  template <typename Reply>
  void when_confirmed(const link& to, std::uint64_t correlation, Reply reply) {
    group_.confirm([this, to, correlation, reply](std::error_code ec) {
      if (ec) {
        send_not_leader(to, correlation);
      } else {
        send(to, wire::control_frame(reply(), correlation));
      }
    });
  }
  void send(const link& to, const wire::ControlFrameT& frame);
  void send_not_leader(const link& to, std::uint64_t correlation);

  replica& group_;
  std::vector<operator_account> operators_;
  io::framed_listener listener_;
  QTimer timer_;
  std::map<io::framed_connection*, client> clients_;
  time_point limit_logged_at_{};
  membership_table membership_;
  std::uint64_t membership_term_ = 0;
  time_point leader_since_{};
  std::map<std::string, node_record> nodes_;
  std::uint64_t observed_version_ = 0;
  time_point version_changed_at_{};
  std::uint32_t in_force_after_ms_ = 0;
  bool in_force_ = false;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
};

} // namespace marigoldstep::control
