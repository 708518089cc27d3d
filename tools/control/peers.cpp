#include "control/peers.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

#include <algorithm>
#include <utility>

namespace marigoldstep::control {

namespace {

constexpr auto reconnect_delay = milliseconds(100);
// Packets to an isolated VM are lost without an error, and the kernel resends a lost
// SYN only after a second; a slower connect counts as failed.
constexpr auto connect_timeout = milliseconds(300);
constexpr auto hello_interval = milliseconds(500);
// Older builds send a PeerHello every second.
constexpr auto incoming_timeout = milliseconds(5000);
// Messages to a process that doesn't read are dropped above this; Raft resends what
// the process needs.
constexpr std::size_t max_queued_bytes = 16U << 20U;
// Enough for five voters, learners and reconnects.
constexpr std::size_t max_incoming_connections = 64;
// Bounds the map, which keeps the ids of replaced members for a while.
constexpr std::size_t max_known_peers = 256;

void discard(io::framed_connection* connection) {
  if (connection != nullptr) {
    connection->discard();
  }
}

} // namespace

peer_network::peer_network(QObject* parent) : QObject(parent), listener_(this) {
  listener_.on_connection = [this](io::framed_connection* it) { accept(it); };
}

std::error_code peer_network::listen(const io::endpoint& address) {
  return listener_.listen(QString::fromStdString(address.host), address.port);
}

void peer_network::set_self(peer_info self) {
  self_ = std::move(self);
  next_hello_ = {};
}

void peer_network::set_targets(std::set<io::endpoint> targets) {
  for (auto it = outgoing_.begin(); it != outgoing_.end();) {
    if (targets.contains(it->first)) {
      ++it;
      continue;
    }
    close_outgoing(it->second, {});
    it = outgoing_.erase(it);
  }
  for (const auto& it : targets) {
    outgoing_.try_emplace(it);
  }
}

io::framed_connection* peer_network::connect_to(const io::endpoint& target,
                                                outgoing& it) {
  it.retry_at = io::now() + connect_timeout;
  auto* connection =
      new io::framed_connection(QString::fromStdString(target.host), target.port, this);
  connection->on_open = [this, target, connection] { handle_open(target, connection); };
  connection->on_frame = [this, target, connection](byte_view buf) {
    const bool is_answer = handle_frame(connection, buf);
    // Handling the frame may have changed the targets.
    const auto known = outgoing_.find(target);
    if (is_answer && known != outgoing_.end() && known->second.connection == connection) {
      record_answer(known->second.liveness, io::now());
    }
  };
  connection->on_closed = [this, target, connection](std::error_code ec) {
    handle_closed(target, connection, ec);
  };
  return connection;
}

void peer_network::handle_open(const io::endpoint& target,
                               io::framed_connection* connection) {
  auto& it = outgoing_.at(target);
  const auto now = io::now();
  if (connection == it.replacement) {
    discard(it.connection);
    it.connection = std::exchange(it.replacement, nullptr);
    it.liveness = begin_replacement(it.liveness, now);
  } else {
    it.liveness = begin_link(now);
  }
  it.has_opened = true;
  it.is_silent = false;
  io::log_event(io::log_level::info, "member_link_opened", {{"peer", to_string(target)}});
  send_hello(connection);
  record_probe(it.liveness, now);
}

void peer_network::handle_closed(const io::endpoint& target,
                                 io::framed_connection* connection, std::error_code ec) {
  auto& it = outgoing_.at(target);
  if (connection == it.replacement) {
    discard(std::exchange(it.replacement, nullptr));
    it.retry_at = io::now() + reconnect_delay;
    return;
  }
  if (it.has_opened) {
    io::log_event(io::log_level::warning, "member_link_lost",
                  {{"peer", to_string(target)}, {"reason", ec.message()}});
  }
  close_outgoing(it, io::now() + reconnect_delay);
}

void peer_network::close_outgoing(outgoing& it, time_point retry_at) {
  discard(it.connection);
  discard(it.replacement);
  it = {};
  it.retry_at = retry_at;
}

// Replaces a silent connection only once another one has opened, since over a busy link
// answers and new connections are both late.
void peer_network::check_outgoing(const io::endpoint& target, outgoing& it,
                                  time_point now) {
  if (it.connection == nullptr || !it.connection->is_open()) {
    if (now >= it.retry_at) {
      close_outgoing(it, now);
      it.connection = connect_to(target, it);
    }
    return;
  }
  if (!is_silent(it.liveness, now)) {
    discard(std::exchange(it.replacement, nullptr));
    it.is_silent = false;
    return;
  }
  if (!it.is_silent) {
    it.is_silent = true;
    io::log_event(io::log_level::warning, "member_link_silent",
                  {{"peer", to_string(target)},
                   {"ms", std::to_string((now - it.liveness.answered_at).count())}});
  }
  if (now >= it.retry_at) {
    discard(it.replacement);
    it.replacement = connect_to(target, it);
  }
}

void peer_network::accept(io::framed_connection* connection) {
  make_room_for_incoming();
  incoming_[connection].heard_at = io::now();
  connection->on_frame = [this, connection](byte_view buf) {
    if (handle_frame(connection, buf)) {
      send_hello(connection);
    }
  };
  connection->on_closed = [this, connection](std::error_code) {
    drop_incoming(connection);
  };
}

void peer_network::drop_incoming(io::framed_connection* connection) {
  incoming_.erase(connection);
  discard(connection);
}

// Members send several times a second, so the connection that was silent for longest is
// the one most likely dead, and one that never carried bytes is no member's.
void peer_network::make_room_for_incoming() {
  if (incoming_.size() < max_incoming_connections) {
    return;
  }
  const auto oldest =
      std::min_element(incoming_.begin(), incoming_.end(), [](auto& left, auto& right) {
        return std::pair(left.second.bytes_received > 0, left.second.heard_at) <
               std::pair(right.second.bytes_received > 0, right.second.heard_at);
      });
  io::log_event(
      io::log_level::warning, "incoming_member_link_replaced",
      {{"open", std::to_string(incoming_.size())},
       {"silent_ms", std::to_string((io::now() - oldest->second.heard_at).count())}});
  drop_incoming(oldest->first);
}

void peer_network::check_incoming(time_point now) {
  std::vector<io::framed_connection*> silent;
  for (auto& [connection, it] : incoming_) {
    if (connection->bytes_received() != it.bytes_received) {
      it.bytes_received = connection->bytes_received();
      it.heard_at = now;
    } else if (now - it.heard_at > incoming_timeout) {
      silent.push_back(connection);
    }
  }
  for (auto* connection : silent) {
    io::log_event(io::log_level::warning, "incoming_member_link_silent",
                  {{"open", std::to_string(incoming_.size())}});
    drop_incoming(connection);
  }
}

// Returns whether the frame is a PeerHello.
bool peer_network::handle_frame(io::framed_connection* connection, byte_view buf) {
  bytes_received_ += buf.size();
  std::error_code ec;
  const auto frame = wire::decode_raft(buf, ec);
  if (!frame) {
    io::log_event(io::log_level::warning, "peer_frame_dropped",
                  {{"error", ec.message()}});
    connection->close();
    return false;
  }
  if (const auto* hello = frame->body.AsPeerHello()) {
    record_peer(*hello);
    return true;
  }
  auto message = from_wire(*frame, ec);
  if (!ec && on_message) {
    on_message(std::move(message));
  }
  return false;
}

void peer_network::record_peer(const wire::PeerHelloT& hello) {
  const peer_info info{hello.node_id,
                       {hello.peer_host, hello.peer_port},
                       {hello.client_host, hello.client_port},
                       hello.has_group};
  if (peers_.size() >= max_known_peers && !peers_.contains(info.id)) {
    peers_.erase(peers_.begin());
  }
  // A process with a new id replaces the previous one at its address.
  std::erase_if(peers_, [&](const auto& it) {
    return it.second.peer == info.peer && it.first != info.id;
  });
  peers_[info.id] = info;
  if (on_peer) {
    on_peer(info);
  }
}

void peer_network::send_hello(io::framed_connection* connection) {
  wire::PeerHelloT hello;
  hello.node_id = self_.id;
  hello.peer_host = self_.peer.host;
  hello.peer_port = self_.peer.port;
  hello.client_host = self_.client.host;
  hello.client_port = self_.client.port;
  hello.has_group = self_.has_group;
  wire::RaftFrameT frame;
  frame.from = self_.id;
  frame.body.Set(std::move(hello));
  const auto buf = wire::encode(frame);
  if (connection->send(buf)) {
    bytes_sent_ += buf.size();
  }
}

void peer_network::send(const io::endpoint& target, const raft_message& message) {
  const auto it = outgoing_.find(target);
  if (it == outgoing_.end() || it->second.connection == nullptr ||
      !it->second.connection->is_open() ||
      it->second.connection->queued_bytes() > max_queued_bytes) {
    return;
  }
  const auto buf = wire::encode(to_wire(message));
  if (it->second.connection->send(buf)) {
    bytes_sent_ += buf.size();
  }
}

void peer_network::tick(time_point now) {
  const bool hello_due = now >= next_hello_;
  if (hello_due) {
    next_hello_ = now + hello_interval;
  }
  for (auto& [target, it] : outgoing_) {
    if (hello_due && it.connection != nullptr && it.connection->is_open()) {
      send_hello(it.connection);
      record_probe(it.liveness, now);
    }
    check_outgoing(target, it, now);
  }
  check_incoming(now);
}

void peer_network::close() {
  listener_.close();
  set_targets({});
}

const peer_info* peer_network::find(member_id id) const {
  const auto it = peers_.find(id);
  return it == peers_.end() ? nullptr : &it->second;
}

const peer_info* peer_network::find(const io::endpoint& peer) const {
  const auto it = std::find_if(peers_.begin(), peers_.end(),
                               [&](const auto& k) { return k.second.peer == peer; });
  return it == peers_.end() ? nullptr : &it->second;
}

std::vector<member_link> peer_network::links(time_point now) const {
  std::vector<member_link> out;
  for (const auto& [target, it] : outgoing_) {
    const bool open = it.connection != nullptr && it.connection->is_open();
    out.push_back({target, open, open ? now - it.liveness.answered_at : milliseconds(0)});
  }
  return out;
}

std::string describe(const std::vector<member_link>& links) {
  std::string out;
  for (const auto& it : links) {
    out += (out.empty() ? "" : ", ") + to_string(it.peer) + " ";
    out += it.is_open ? "silent " + std::to_string(it.silence.count()) + " ms" : "closed";
  }
  return out;
}

} // namespace marigoldstep::control
