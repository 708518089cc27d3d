#include "marigoldstep/io/frame_forwarder.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

namespace marigoldstep::io {

namespace {

constexpr auto check_interval = std::chrono::milliseconds(1000);
// Changes come in bursts; a connection that stays silent for long is often dead.
constexpr auto keep_unused = duration(5000);
// A frame that waits longer was sent again by its sender meanwhile.
constexpr std::size_t max_waiting = 16;
// A receiver that doesn't read loses its connection and what is queued.
constexpr std::size_t max_queued_bytes = 1U << 20U;
// Bounds the descriptors that other routers can take.
constexpr std::size_t max_inlets = 512;

} // namespace

frame_forwarder::frame_forwarder(std::uint16_t port, QObject* parent)
    : QObject(parent), port_(port), listener_(this) {
  listener_.on_connection = [this](framed_connection* it) { accept(it); };
  connect(&timer_, &QTimer::timeout, this, [this] { close_unused(); });
}

std::error_code frame_forwarder::listen(const std::string& host) {
  timer_.start(check_interval);
  return listener_.listen(QString::fromStdString(host), port_);
}

void frame_forwarder::accept(framed_connection* connection) {
  const auto drop = [this, connection] {
    inlets_.erase(connection);
    connection->abort();
    connection->deleteLater();
  };
  if (inlets_.size() >= max_inlets) {
    log_event(log_level::warning, "forwarder_refused",
              {{"open", std::to_string(inlets_.size())}});
    drop();
    return;
  }
  inlets_[connection] = io::now();
  connection->on_frame = [this, connection](byte_view buf) {
    inlets_[connection] = io::now();
    on_frame(buf);
  };
  connection->on_closed = [drop](std::error_code) { drop(); };
}

void frame_forwarder::open(const std::string& host, outlet& it) {
  it.connection = new framed_connection(QString::fromStdString(host), port_, this);
  it.connection->on_open = [this, host] {
    auto& opened = outlets_.at(host);
    for (const auto& frame : opened.waiting) {
      opened.connection->send(frame);
    }
    opened.waiting.clear();
  };
  it.connection->on_closed = [this, host](std::error_code ec) {
    log_event(log_level::info, "forwarding_failed",
              {{"host", host}, {"reason", ec.message()}});
    close(host);
  };
}

void frame_forwarder::close(const std::string& host) {
  const auto it = outlets_.find(host);
  if (it == outlets_.end()) {
    return;
  }
  auto* connection = it->second.connection;
  outlets_.erase(it);
  connection->on_open = nullptr;
  connection->on_closed = nullptr;
  connection->abort();
  connection->deleteLater();
}

void frame_forwarder::send(const std::vector<std::string>& hosts, const bytes& frame) {
  for (const auto& host : hosts) {
    const auto known = outlets_.find(host);
    if (known != outlets_.end() &&
        (known->second.waiting.size() >= max_waiting ||
         known->second.connection->queued_bytes() > max_queued_bytes)) {
      log_event(log_level::info, "forwarding_failed",
                {{"host", host}, {"reason", "the receiver is silent"}});
      close(host);
    }
    auto& it = outlets_[host];
    it.used_at = io::now();
    if (it.connection == nullptr) {
      open(host, it);
    }
    if (!it.connection->send(frame)) {
      it.waiting.push_back(frame);
    }
  }
}

void frame_forwarder::close_unused() {
  const auto now = io::now();
  std::vector<std::string> unused;
  for (const auto& [host, it] : outlets_) {
    if (now - it.used_at > keep_unused) {
      unused.push_back(host);
    }
  }
  for (const auto& host : unused) {
    close(host);
  }
  // The other side closes after the same time; this one only finds lost senders.
  std::vector<framed_connection*> silent;
  for (const auto& [connection, heard_at] : inlets_) {
    if (now - heard_at > 2 * keep_unused) {
      silent.push_back(connection);
    }
  }
  for (auto* it : silent) {
    inlets_.erase(it);
    it->on_frame = nullptr;
    it->on_closed = nullptr;
    it->abort();
    it->deleteLater();
  }
}

} // namespace marigoldstep::io
