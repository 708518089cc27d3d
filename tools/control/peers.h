#pragma once

#include "marigoldstep/io/control_client.h"
#include "marigoldstep/io/framed_connection.h"
#include "marigoldstep/raft_types.h"

#include <QObject>

#include <map>
#include <set>
#include <string>

namespace marigoldstep::control {

// What another control process said about itself.
struct peer_info {
  member_id id = 0;
  io::endpoint peer;   // where members reach it
  io::endpoint client; // where nodes and operators reach it
  bool has_group = false;
};

// Connections between control processes. Frames go out on the own connection to
// a process and come in on the one it opened; lost frames are the algorithm's
// business.
class peer_network : public QObject {
public:
  explicit peer_network(QObject* parent);

  std::function<void(raft_message)> on_message;
  // A process introduced itself, the first time or with changes.
  std::function<void(const peer_info&)> on_peer;

  std::error_code listen(const io::endpoint& address);
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  void set_self(peer_info self);
  // The addresses to stay connected with.
  void set_targets(std::set<io::endpoint> targets);
  // Sends to where a member is; drops the message when that is not connected.
  void send(const io::endpoint& target, const raft_message& message);
  // Reconnects and repeats introductions; to be called every few milliseconds.
  void tick(time_point now);
  void close();

  // The newest introduction of a member; null when it has not been heard.
  [[nodiscard]] const peer_info* find(member_id id) const;
  // The process at an address; null when it has not been heard.
  [[nodiscard]] const peer_info* find(const io::endpoint& peer) const;
  [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }
  [[nodiscard]] std::uint64_t bytes_received() const { return bytes_received_; }

private:
  struct outgoing {
    io::framed_connection* connection = nullptr;
    time_point retry_at{};
  };

  void connect_to(const io::endpoint& target, outgoing& it);
  void close_outgoing(outgoing& it, time_point retry_at);
  void accept(io::framed_connection* connection);
  void handle_frame(io::framed_connection* connection, byte_view buf, bool reply);
  void send_hello(io::framed_connection* connection);
  void record_peer(const wire::PeerHelloT& hello);

  io::framed_listener listener_;
  std::map<io::endpoint, outgoing> outgoing_;
  std::set<io::framed_connection*> incoming_;
  std::map<member_id, peer_info> peers_;
  peer_info self_;
  time_point next_hello_{};
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
};

} // namespace marigoldstep::control
