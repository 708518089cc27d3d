#include "control/service.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

#include <algorithm>

namespace marigoldstep::control {

namespace {

// An agent sends tens of requests a second at peak load.
constexpr std::uint32_t max_requests_per_second = 2000;
constexpr auto rate_window = milliseconds(1000);
// Closes the connection of a peer that doesn't read its replies.
constexpr std::size_t max_queued_bytes = 32U << 20U;
// A command and its envelope must fit into one frame between members.
constexpr std::size_t max_command_bytes = 12U << 20U;
constexpr auto failure_detection_interval = milliseconds(100);
// A peer that vanished without closing. Longer than operators wait for a reply.
constexpr auto idle_timeout = milliseconds(30'000);
// Nodes send a heartbeat every 500 ms.
constexpr auto silence_timeout = milliseconds(2000);
constexpr auto limit_log_interval = milliseconds(1000);

} // namespace

service::service(replica& group, std::vector<operator_account> operators, QObject* parent)
    : QObject(parent), group_(group), operators_(std::move(operators)), listener_(this) {
  listener_.on_connection = [this](io::framed_connection* it) { accept(it); };
  connect(&timer_, &QTimer::timeout, this, [this] {
    close_silent_clients();
    if (group_.is_leader()) {
      handle_new_term();
      detect_failures(membership_, io::now());
      update_in_force();
    }
  });
  timer_.start(failure_detection_interval);
}

std::error_code service::listen(const io::endpoint& address) {
  return listener_.listen(QString::fromStdString(address.host), address.port);
}

void service::stop() {
  listener_.close();
  // Copied, since close() may synchronously remove the connection from clients_.
  std::vector<io::framed_connection*> open;
  for (const auto& [it, state] : clients_) {
    open.push_back(it);
  }
  for (auto* it : open) {
    it->close();
  }
}

void service::accept(io::framed_connection* connection) {
  if (clients_.size() >= max_connections && !replace_silent_client()) {
    connection->close();
    connection->deleteLater();
    return;
  }
  clients_[connection] = {.heard_at = io::now()};
  connection->on_frame = [this, connection](byte_view buf) {
    handle_frame(connection, buf);
  };
  connection->on_closed = [this, connection](std::error_code) { close(connection); };
}

void service::close_silent_clients() {
  const auto now = io::now();
  std::vector<io::framed_connection*> silent;
  for (auto& [connection, it] : clients_) {
    // Bytes count rather than frames: a large one takes long over a slow link.
    if (connection->bytes_received() != it.bytes_received) {
      it.bytes_received = connection->bytes_received();
      it.heard_at = now;
    } else if (now - it.heard_at > idle_timeout) {
      silent.push_back(connection);
    }
  }
  for (auto* it : silent) {
    close(it);
  }
}

bool service::replace_silent_client() {
  const auto now = io::now();
  const auto oldest = std::min_element(
      clients_.begin(), clients_.end(),
      [](const auto& a, const auto& b) { return a.second.heard_at < b.second.heard_at; });
  const bool is_silent =
      oldest != clients_.end() && now - oldest->second.heard_at > silence_timeout;
  if (now - limit_logged_at_ > limit_log_interval) {
    limit_logged_at_ = now;
    io::log_event(io::log_level::warning, "connection_limit_reached",
                  {{"open", std::to_string(clients_.size())},
                   {"action", is_silent ? "replaces a silent one" : "refuses"}});
  }
  if (is_silent) {
    close(oldest->first);
  }
  return is_silent;
}

void service::close(io::framed_connection* connection) {
  if (clients_.erase(connection) == 0) {
    return;
  }
  connection->on_closed = nullptr;
  connection->close();
  connection->deleteLater();
}

bool service::is_within_rate(io::framed_connection* connection) {
  auto& it = clients_[connection];
  const auto now = io::now();
  if (now - it.window_start >= rate_window) {
    it.window_start = now;
    it.requests = 0;
  }
  return ++it.requests <= max_requests_per_second;
}

void service::handle_frame(io::framed_connection* connection, byte_view buf) {
  bytes_received_ += buf.size();
  if (!clients_.contains(connection)) {
    return;
  }
  std::error_code ec;
  const auto frame = wire::decode_control(buf, ec);
  if (!frame || !is_within_rate(connection) || buf.size() > max_command_bytes) {
    io::log_event(io::log_level::warning, "connection_refused",
                  {{"reason", frame ? "rate or size" : "malformed"}});
    close(connection);
    return;
  }
  dispatch(connection, *frame);
}

void service::dispatch(const link& to, const wire::ControlFrameT& frame) {
  if (!group_.is_leader()) {
    send_not_leader(to, frame.correlation);
    return;
  }
  if (const auto* heartbeat = frame.body.AsHeartbeat()) {
    handle_heartbeat(to, frame.correlation, *heartbeat);
  } else if (frame.body.AsFetchConfig() != nullptr) {
    handle_fetch(to, frame.correlation);
  } else if (frame.body.AsClaimRequest() != nullptr ||
             frame.body.AsOrderRequest() != nullptr) {
    handle_command(to, frame);
  } else if (frame.body.AsChangeRequest() != nullptr ||
             frame.body.AsMemberRequest() != nullptr ||
             frame.body.AsOperatorRequest() != nullptr) {
    handle_operator(to, frame);
  } else if (const auto* history = frame.body.AsHistoryRequest()) {
    handle_history(to, frame.correlation, *history);
  } else if (frame.body.AsStatusRequest() != nullptr) {
    handle_status(to, frame.correlation);
  } else {
    close(to);
  }
}

void service::handle_fetch(const link& to, std::uint64_t correlation) {
  when_confirmed(to, correlation, [this] {
    wire::ConfigReplyT reply;
    reply.version = group_.state().accepted_version;
    reply.text = group_.state().accepted_text;
    return reply;
  });
}

void service::handle_history(const link& to, std::uint64_t correlation,
                             const wire::HistoryRequestT& body) {
  when_confirmed(to, correlation, [this, limit = std::size_t{body.limit}] {
    wire::HistoryReplyT reply;
    const auto& all = group_.state().changes;
    const auto n = limit == 0 ? all.size() : std::min(limit, all.size());
    for (auto i = all.size() - n; i < all.size(); ++i) {
      reply.changes.push_back(std::make_unique<wire::ChangeRecordT>(all[i]));
    }
    return reply;
  });
}

void service::send(const link& to, const wire::ControlFrameT& frame) {
  if (to == nullptr) {
    return;
  }
  const auto buf = wire::encode(frame);
  if (to->queued_bytes() + buf.size() > max_queued_bytes) {
    close(to);
    return;
  }
  if (to->send(buf)) {
    bytes_sent_ += buf.size();
  }
}

void service::send_not_leader(const link& to, std::uint64_t correlation) {
  wire::NotLeaderT hint;
  // The hint names the known leader. It is empty if no leader is known, and also if this
  // process itself leads but could not confirm its leadership or commit the command.
  if (!group_.is_leader()) {
    const auto leader = group_.leader();
    hint.leader_host = leader.host;
    hint.leader_port = leader.port;
  }
  send(to, wire::control_frame(std::move(hint), correlation));
}

} // namespace marigoldstep::control
