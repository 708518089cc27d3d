#include "marigoldstep/io/frame_forwarder.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/wire.h"

#include <utility>

namespace marigoldstep::io {

namespace {

constexpr auto check_interval = std::chrono::milliseconds(500);
// Changes come in bursts; a connection that was idle for long is often dead.
constexpr auto idle_timeout = milliseconds(5000);
// Replaces a connection on which nothing came back for so long after a frame. Receivers
// acknowledge within check_interval; to those of older builds, which never do, this
// bounds how many frames a dead connection loses.
constexpr auto acknowledgement_timeout = milliseconds(1500);
// Time for a replaced or idle connection to send what it has queued.
constexpr auto flush_timeout = milliseconds(30'000);
// By the time that more frames wait, the origin has resent the oldest.
constexpr std::size_t max_pending_frames = 16;
// A receiver that does not read its data loses the connection and all queued frames.
constexpr std::size_t max_queued_bytes = 1U << 20U;
// Limits the file descriptors that other routers can use up.
constexpr std::size_t max_incoming_connections = 512;

} // namespace

frame_forwarder::frame_forwarder(std::uint16_t port, QObject* parent)
    : QObject(parent), port_(port), listener_(this) {
  listener_.on_connection = [this](framed_connection* it) { accept(it); };
  connect(&timer_, &QTimer::timeout, this, [this] { tick(); });
}

std::error_code frame_forwarder::listen(const std::string& host) {
  timer_.start(check_interval);
  return listener_.listen(QString::fromStdString(host), port_);
}

void frame_forwarder::accept(framed_connection* connection) {
  if (incoming_.size() >= max_incoming_connections) {
    log_event(log_level::warning, "forwarder_refused",
              {{"open", std::to_string(incoming_.size())}});
    connection->discard();
    return;
  }
  incoming_[connection].last_bytes_at = io::now();
  connection->on_frame = [this](byte_view buf) { on_frame(buf); };
  connection->on_closed = [this, connection](std::error_code) {
    incoming_.erase(connection);
    connection->discard();
  };
}

void frame_forwarder::open(const std::string& host, outgoing_link& it) {
  it.bytes_received = 0;
  it.connection = new framed_connection(QString::fromStdString(host), port_, this);
  it.connection->on_open = [this, host] {
    auto& opened = outgoing_.at(host);
    for (const auto& frame : opened.pending) {
      opened.connection->send(frame);
    }
    opened.pending.clear();
  };
  it.connection->on_closed = [this, host](std::error_code ec) {
    log_event(log_level::info, "forwarding_failed",
              {{"host", host}, {"reason", ec.message()}});
    close(host);
  };
}

void frame_forwarder::close(const std::string& host) {
  const auto it = outgoing_.find(host);
  if (it == outgoing_.end()) {
    return;
  }
  auto* connection = it->second.connection;
  outgoing_.erase(it);
  if (connection != nullptr) {
    connection->discard();
  }
}

void frame_forwarder::retire(const std::string& host, outgoing_link& it) {
  auto* connection = std::exchange(it.connection, nullptr);
  it.unanswered_since.reset();
  if (!connection->is_open() || connection->queued_bytes() == 0) {
    connection->discard(); // the kernel still sends what it has
    return;
  }
  connection->on_closed = [this, host](std::error_code) { discard_flushing(host); };
  flushing_[host] = {connection, io::now() + flush_timeout};
  connection->close();
}

void frame_forwarder::discard_flushing(const std::string& host) {
  const auto it = flushing_.find(host);
  if (it != flushing_.end()) {
    auto* connection = it->second.connection;
    flushing_.erase(it);
    connection->discard();
  }
}

void frame_forwarder::send(const std::vector<std::string>& hosts, const bytes& frame) {
  for (const auto& host : hosts) {
    const auto known = outgoing_.find(host);
    if (known != outgoing_.end() && known->second.connection != nullptr &&
        (known->second.pending.size() >= max_pending_frames ||
         known->second.connection->queued_bytes() > max_queued_bytes)) {
      log_event(log_level::info, "forwarding_failed",
                {{"host", host}, {"reason", "the receiver does not read its data"}});
      close(host);
    }
    auto& it = outgoing_[host];
    it.last_used_at = io::now();
    if (!it.unanswered_since) {
      it.unanswered_since = it.last_used_at;
    }
    if (it.connection == nullptr) {
      open(host, it);
    }
    if (!it.connection->send(frame)) {
      it.pending.push_back(frame);
    }
  }
}

void frame_forwarder::tick() {
  const auto now = io::now();
  check_outgoing(now);
  check_incoming(now);
  std::vector<std::string> late;
  for (const auto& [host, it] : flushing_) {
    if (now >= it.deadline) {
      late.push_back(host);
    }
  }
  for (const auto& host : late) {
    discard_flushing(host);
  }
}

void frame_forwarder::check_outgoing(time_point now) {
  std::vector<std::string> idle;
  for (auto& [host, it] : outgoing_) {
    if (it.connection != nullptr && it.connection->bytes_received() > it.bytes_received) {
      it.bytes_received = it.connection->bytes_received();
      it.unanswered_since.reset();
      it.last_used_at = now; // the receiver may still be reading a large frame
    }
    // While an earlier connection still sends, a slow link rather than silence explains
    // a missing acknowledgement.
    if (it.connection != nullptr && it.unanswered_since &&
        now - *it.unanswered_since > acknowledgement_timeout &&
        !flushing_.contains(host)) {
      log_event(it.bytes_received > 0 ? log_level::info : log_level::debug,
                "forwarding_failed", {{"host", host}, {"reason", "not acknowledged"}});
      retire(host, it);
    }
    if (now - it.last_used_at > idle_timeout && !flushing_.contains(host)) {
      idle.push_back(host);
    } else if (it.connection == nullptr && !it.pending.empty()) {
      it.unanswered_since = now;
      open(host, it);
    }
  }
  for (const auto& host : idle) {
    if (auto& it = outgoing_.at(host); it.connection != nullptr) {
      retire(host, it);
    }
    outgoing_.erase(host);
  }
}

// Senders close idle connections after idle_timeout; twice that only finds senders that
// vanished without closing.
void frame_forwarder::check_incoming(time_point now) {
  static const auto acknowledgement = wire::encode_link(wire::UpdateAckT{});
  std::vector<framed_connection*> silent;
  for (auto& [connection, it] : incoming_) {
    // Bytes count rather than frames: a large one takes long over a slow link.
    if (connection->bytes_received() != it.bytes_received) {
      it.bytes_received = connection->bytes_received();
      it.last_bytes_at = now;
      connection->send(acknowledgement);
    } else if (now - it.last_bytes_at > 2 * idle_timeout) {
      silent.push_back(connection);
    }
  }
  for (auto* it : silent) {
    incoming_.erase(it);
    it->discard();
  }
}

} // namespace marigoldstep::io
