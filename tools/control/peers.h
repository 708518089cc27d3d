#pragma once

#include "marigoldstep/io/control_client.h"
#include "marigoldstep/io/framed_connection.h"
#include "marigoldstep/link_liveness.h"
#include "marigoldstep/raft_types.h"

#include <QObject>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace marigoldstep::control {

// Another control process, as described in its PeerHello.
struct peer_info {
  member_id id = 0;
  io::endpoint peer;   // address for members
  io::endpoint client; // address for nodes and operators
  bool has_group = false;
};

// State of the connection that this process opened to another one.
struct member_link {
  io::endpoint peer;
  bool is_open = false;
  milliseconds silence{0}; // since the peer's latest answer, or since it opened
};

// Connections between control processes. Each process sends on the connections that it
// opened and receives on those that it accepted, where it answers each PeerHello. A
// connection without answers is replaced as soon as another one has opened. Lost frames
// are not resent here; Raft recovers from them.
class peer_network : public QObject {
public:
  explicit peer_network(QObject* parent);

  std::function<void(raft_message)> on_message;
  // Called for each PeerHello received.
  std::function<void(const peer_info&)> on_peer;

  std::error_code listen(const io::endpoint& address);
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  void set_self(peer_info self);
  // Sets the addresses to keep connections to.
  void set_targets(std::set<io::endpoint> targets);
  // Sends to the process at an address; drops the message when it is not connected.
  void send(const io::endpoint& target, const raft_message& message);
  // Reconnects and sends PeerHello periodically; call every few milliseconds.
  void tick(time_point now);
  void close();

  // Latest PeerHello of a member; null when none was received.
  [[nodiscard]] const peer_info* find(member_id id) const;
  // Process at an address; null when it sent no PeerHello.
  [[nodiscard]] const peer_info* find(const io::endpoint& peer) const;
  [[nodiscard]] std::vector<member_link> links(time_point now) const;
  [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }
  [[nodiscard]] std::uint64_t bytes_received() const { return bytes_received_; }

private:
  struct outgoing {
    io::framed_connection* connection = nullptr;
    // Opens while connection is silent; a slow network may still deliver what that one
    // carries.
    io::framed_connection* replacement = nullptr;
    time_point retry_at{}; // when an attempt to connect has failed, or the next begins
    bool has_opened = false;
    bool is_silent = false; // as logged
    link_liveness liveness; // of connection
  };
  struct incoming {
    std::uint64_t bytes_received = 0; // when it was last looked at
    time_point heard_at{};            // when the latest bytes arrived
  };

  io::framed_connection* connect_to(const io::endpoint& target, outgoing& it);
  void close_outgoing(outgoing& it, time_point retry_at);
  void handle_open(const io::endpoint& target, io::framed_connection* connection);
  void handle_closed(const io::endpoint& target, io::framed_connection* connection,
                     std::error_code ec);
  void check_outgoing(const io::endpoint& target, outgoing& it, time_point now);
  void accept(io::framed_connection* connection);
  void drop_incoming(io::framed_connection* connection);
  void check_incoming(time_point now);
  void make_room_for_incoming();
  bool handle_frame(io::framed_connection* connection, byte_view buf);
  void send_hello(io::framed_connection* connection);
  void record_peer(const wire::PeerHelloT& hello);

  io::framed_listener listener_;
  std::map<io::endpoint, outgoing> outgoing_;
  std::map<io::framed_connection*, incoming> incoming_;
  std::map<member_id, peer_info> peers_;
  peer_info self_;
  time_point next_hello_{};
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
};

// Writes links as "host:port silent 200 ms, host:port closed".
std::string describe(const std::vector<member_link>& links);

} // namespace marigoldstep::control
