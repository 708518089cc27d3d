#include "marigoldstep/io/frame_forwarder.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

namespace marigoldstep::io {

namespace {

constexpr auto check_interval = std::chrono::milliseconds(1000);
// Changes come in bursts; a connection that was idle for long is often dead.
constexpr auto idle_timeout = milliseconds(5000);
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
  connect(&timer_, &QTimer::timeout, this, [this] { close_idle(); });
}

std::error_code frame_forwarder::listen(const std::string& host) {
  timer_.start(check_interval);
  return listener_.listen(QString::fromStdString(host), port_);
}

void frame_forwarder::accept(framed_connection* connection) {
  const auto drop = [this, connection] {
    incoming_.erase(connection);
    connection->abort();
    connection->deleteLater();
  };
  if (incoming_.size() >= max_incoming_connections) {
    log_event(log_level::warning, "forwarder_refused",
              {{"open", std::to_string(incoming_.size())}});
    drop();
    return;
  }
  incoming_[connection] = io::now();
  connection->on_frame = [this, connection](byte_view buf) {
    incoming_[connection] = io::now();
    on_frame(buf);
  };
  connection->on_closed = [drop](std::error_code) { drop(); };
}

void frame_forwarder::open(const std::string& host, outgoing_link& it) {
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
  connection->on_open = nullptr;
  connection->on_closed = nullptr;
  connection->abort();
  connection->deleteLater();
}

void frame_forwarder::send(const std::vector<std::string>& hosts, const bytes& frame) {
  for (const auto& host : hosts) {
    const auto known = outgoing_.find(host);
    if (known != outgoing_.end() &&
        (known->second.pending.size() >= max_pending_frames ||
         known->second.connection->queued_bytes() > max_queued_bytes)) {
      log_event(log_level::info, "forwarding_failed",
                {{"host", host}, {"reason", "the receiver does not read its data"}});
      close(host);
    }
    auto& it = outgoing_[host];
    it.last_sent_at = io::now();
    if (it.connection == nullptr) {
      open(host, it);
    }
    if (!it.connection->send(frame)) {
      it.pending.push_back(frame);
    }
  }
}

void frame_forwarder::close_idle() {
  const auto now = io::now();
  std::vector<std::string> idle;
  for (const auto& [host, it] : outgoing_) {
    if (now - it.last_sent_at > idle_timeout) {
      idle.push_back(host);
    }
  }
  for (const auto& host : idle) {
    close(host);
  }
  // Senders close idle connections after idle_timeout; twice that only finds senders
  // that vanished without closing.
  std::vector<framed_connection*> silent;
  for (const auto& [connection, last_frame_at] : incoming_) {
    if (now - last_frame_at > 2 * idle_timeout) {
      silent.push_back(connection);
    }
  }
  for (auto* it : silent) {
    incoming_.erase(it);
    it->on_frame = nullptr;
    it->on_closed = nullptr;
    it->abort();
    it->deleteLater();
  }
}

} // namespace marigoldstep::io
