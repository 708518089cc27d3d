#include "gateway/crash_monitor.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

#include <QHostAddress>

namespace marigoldstep::gateway {

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(50);
// A VM that is reachable accepts or refuses a connection within a few round trips.
constexpr auto check_timeout = milliseconds(400);
// Bounds the connections opened for checks of one server.
constexpr auto check_interval = milliseconds(200);
// A process that ended is replaced by one with another id or start time.
constexpr auto retention = milliseconds(5000);
// A server crashes shortly after it has begun a harmful request.
constexpr auto cancelled_retention = milliseconds(1000);
// Limits memory. A server runs about as many requests at once.
constexpr std::size_t max_ended = 256;

} // namespace

crash_monitor::crash_monitor(QObject* parent) : QObject(parent) {
  connect(&timer_, &QTimer::timeout, this, [this] { tick(); });
}

crash_monitor::observed_server& crash_monitor::find(const announced_server& server) {
  auto& it = servers_[server.id];
  if (it.server.started != server.started || it.server.id.empty()) {
    end_check(it);
    it.ended.clear();
    it.cancelled.clear();
    it.next_check = {};
    it.has_crashed = false;
  }
  it.server = server;
  it.used_at = io::now();
  if (!timer_.isActive()) {
    timer_.start(tick_interval);
  }
  return it;
}

void crash_monitor::record_end(const announced_server& server, ended_request request) {
  auto& it = find(server);
  if (it.has_crashed) {
    on_crash(it.server, {std::move(request)});
    return;
  }
  if (it.ended.size() < max_ended) {
    it.ended.push_back(std::move(request));
  }
  if (!it.check && io::now() >= it.next_check) {
    start_check(it);
  }
}

void crash_monitor::record_cancelled(const announced_server& server,
                                     ended_request request) {
  auto& it = find(server);
  if (!it.has_crashed && it.cancelled.size() < max_ended) {
    it.cancelled.emplace_back(io::now(), std::move(request));
  }
}

void crash_monitor::remove_outdated(observed_server& it) {
  const auto limit = io::now() - cancelled_retention;
  std::erase_if(it.cancelled, [&](const auto& entry) { return entry.first < limit; });
}

void crash_monitor::record_refused(const announced_server& server) {
  if (servers_.contains(server.id)) {
    auto& it = find(server);
    remove_outdated(it);
    if (!it.has_crashed && !(it.ended.empty() && it.cancelled.empty())) {
      handle_crash(it);
    }
  }
}

void crash_monitor::start_check(observed_server& it) {
  it.check = std::make_unique<QTcpSocket>();
  it.check_ends_at = io::now() + check_timeout;
  auto* socket = it.check.get();
  const auto id = it.server.id;
  connect(socket, &QTcpSocket::connected, this, [this, id] { handle_alive(id); });
  connect(socket, &QTcpSocket::errorOccurred, this,
          [this, id](QAbstractSocket::SocketError error) {
            if (error == QAbstractSocket::ConnectionRefusedError) {
              handle_crash(servers_.at(id));
            }
          });
  socket->connectToHost(QHostAddress(QString::fromStdString(it.server.host)),
                        it.server.port);
}

// Connections that ended after the check began may have ended by a crash since then, but
// a server that crashes breaks all of them, and the next check finds that out.
void crash_monitor::handle_alive(const std::string& id) {
  auto& it = servers_.at(id);
  end_check(it);
  const auto ended = std::move(it.ended);
  it.ended.clear();
  for (const auto& request : ended) {
    if (request.is_whole) {
      on_whole(request);
    }
  }
}

void crash_monitor::handle_crash(observed_server& it) {
  end_check(it);
  it.has_crashed = true;
  remove_outdated(it);
  auto ended = std::move(it.ended);
  it.ended.clear();
  for (auto& [at, request] : it.cancelled) {
    ended.push_back(std::move(request));
  }
  it.cancelled.clear();
  on_crash(it.server, ended);
}

// The socket may be the sender of the signal in progress.
void crash_monitor::end_check(observed_server& it) {
  if (it.check) {
    it.check->disconnect(this);
    it.check->abort();
    it.check.release()->deleteLater();
    it.next_check = io::now() + check_interval;
  }
}

void crash_monitor::tick() {
  const auto now = io::now();
  for (auto& [id, it] : servers_) {
    remove_outdated(it);
    if (it.check && now >= it.check_ends_at) {
      io::log_event(io::log_level::info, "crash_check_unanswered",
                    {{"server", id}, {"requests", std::to_string(it.ended.size())}});
      end_check(it);
      it.ended.clear();
    } else if (!it.check && !it.ended.empty() && now >= it.next_check) {
      start_check(it);
    }
  }
  std::erase_if(servers_, [&](const auto& it) {
    return !it.second.check && it.second.ended.empty() &&
           now - it.second.used_at > retention;
  });
  if (servers_.empty()) {
    timer_.stop();
  }
}

} // namespace marigoldstep::gateway
