#include "router/agent_link.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

#include <algorithm>
#include <utility>

namespace marigoldstep::router {

namespace {

// One-way latency within a region is about 1 ms, so a connect or Hello that takes this
// long has failed.
constexpr auto connect_timeout = milliseconds(500);
constexpr auto initial_reconnect_delay = milliseconds(10);
constexpr auto max_reconnect_delay = milliseconds(200);
// Time for which running attempts wait for a reconnect. Short enough to leave a
// repeatable request time for another server and to stay within the agent's resume
// window.
constexpr auto reconnect_timeout = milliseconds(2000);
// Agents send chunks of running responses much more often than this.
constexpr auto silence_timeout = milliseconds(1000);
constexpr auto liveness_interval = std::chrono::milliseconds(250);
// An agent may have nothing to send for long. After this time without a byte the router
// sends a Hello, which the agent acknowledges within 250 ms.
constexpr auto probe_delay = milliseconds(1000);
constexpr auto acknowledgement_timeout = milliseconds(2000);

} // namespace

agent_link::agent_link(agent_address address, std::string router_id, QObject* parent)
    : QObject(parent), address_(std::move(address)), router_id_(std::move(router_id)),
      timer_([this] {
        if (connection_ == nullptr) {
          connect_now();
        } else if (!ready_) {
          drop_connection();
          handle_closed();
        }
      }) {
  connect(&liveness_timer_, &QTimer::timeout, this, [this] { check_liveness(); });
}

std::uint64_t agent_link::version() const {
  return config_version ? config_version() : 0;
}

std::vector<attempt_id> agent_link::attempt_ids() const {
  std::vector<attempt_id> out;
  out.reserve(handlers_.size());
  for (const auto& [id, handler] : handlers_) {
    out.push_back(id);
  }
  return out;
}

void agent_link::attach(const attempt_id& id, attempt_handler& handler) {
  auto* replaced = std::exchange(handlers_[id], &handler);
  if (replaced != nullptr) {
    replaced->on_replaced();
  }
  if (ready_) {
    watch_liveness();
    handler.on_link_ready(agent_incarnation_);
  } else if (connection_ == nullptr && !timer_.is_active()) {
    connect_now();
  }
}

void agent_link::detach(const attempt_id& id) {
  handlers_.erase(id);
}

void agent_link::connect_now() {
  drop_connection();
  connection_ = new io::framed_connection(QString::fromStdString(address_.host),
                                          address_.port, this);
  // A dropped connection may still emit events until it is deleted.
  auto* opened = connection_;
  connection_->on_open = [this, opened] {
    if (opened == connection_) {
      send_hello();
    }
  };
  connection_->on_frame = [this, opened](byte_view buf) {
    if (opened == connection_) {
      handle_frame(buf);
    }
  };
  connection_->on_closed = [this, opened](std::error_code) {
    if (opened == connection_) {
      drop_connection();
      handle_closed();
    }
  };
  timer_.start(connect_timeout);
}

void agent_link::drop_connection() {
  timer_.stop();
  liveness_timer_.stop();
  ready_ = false;
  if (connection_ == nullptr) {
    return;
  }
  auto* dropped = connection_;
  connection_ = nullptr;
  dropped->close();
  dropped->deleteLater();
}

void agent_link::send_hello() {
  wire::HelloT hello;
  hello.node_id = router_id_;
  hello.incarnation = io::process_incarnation();
  hello.protocol = wire::data_protocol;
  connection_->send(wire::encode(wire::data_frame(std::move(hello), version())));
}

void agent_link::handle_closed() {
  const auto current = io::now();
  if (failures_ == 0) {
    disconnected_at_ = current;
  }
  ++failures_;
  // Requests whose start message was not written try another server immediately.
  fail_attempts(false);
  if (current - disconnected_at_ >= reconnect_timeout) {
    fail_attempts(true);
  }
  if (handlers_.empty()) {
    failures_ = 0;
    return;
  }
  constexpr unsigned max_shift = 8;
  const auto delay = initial_reconnect_delay * (1 << std::min(failures_, max_shift));
  if (connection_ == nullptr && !timer_.is_active()) {
    timer_.start(std::min<milliseconds>(delay, max_reconnect_delay));
  }
}

void agent_link::fail_attempts(bool include_started) {
  for (const auto& id : attempt_ids()) {
    auto it = handlers_.find(id);
    if (it == handlers_.end() || (!include_started && it->second->is_started())) {
      continue;
    }
    auto* handler = it->second;
    handlers_.erase(it);
    handler->on_link_lost();
  }
}

void agent_link::handle_frame(byte_view buf) {
  std::error_code ec;
  auto frame = wire::decode_data(buf, ec);
  if (!frame) {
    drop_connection();
    handle_closed();
    return;
  }
  last_frame_at_ = io::now();
  if (on_frame) {
    on_frame(*frame);
  }
  if (const auto* hello = frame->body.AsHello()) {
    handle_hello(*hello);
    return;
  }
  const wire::AttemptId* id = nullptr;
  if (const auto* head = frame->body.AsAttemptHead()) {
    id = head->attempt_id.get();
  } else if (const auto* data = frame->body.AsAttemptData()) {
    id = data->attempt_id.get();
  } else if (const auto* end = frame->body.AsAttemptEnd()) {
    id = end->attempt_id.get();
  }
  if (id == nullptr) {
    return;
  }
  // Late frames of attempts that were given up have no handler.
  auto it = handlers_.find(wire::from_wire(*id));
  if (it != handlers_.end()) {
    it->second->on_agent_frame(*frame);
  }
}

void agent_link::handle_hello(const wire::HelloT& hello) {
  if (ready_) {
    return; // acknowledges that bytes arrived
  }
  timer_.stop();
  if (hello.node_id != address_.node_id) {
    // Another process uses the address now, so the agent no longer exists there.
    drop_connection();
    fail_attempts(true);
    return;
  }
  ready_ = true;
  failures_ = 0;
  agent_incarnation_ = hello.incarnation;
  acknowledges_ = hello.protocol >= wire::acknowledging_data_protocol;
  watch_liveness();
  for (const auto& id : attempt_ids()) {
    auto it = handlers_.find(id);
    if (it != handlers_.end()) {
      it->second->on_link_ready(agent_incarnation_);
    }
  }
}

void agent_link::watch_liveness() {
  if (acknowledges_ && !handlers_.empty() && !liveness_timer_.isActive()) {
    heard_at_ = io::now();
    liveness_timer_.start(liveness_interval);
  }
}

void agent_link::check_liveness() {
  if (!ready_ || handlers_.empty()) {
    liveness_timer_.stop();
    return;
  }
  const auto now = io::now();
  if (connection_->bytes_received() != bytes_received_) {
    bytes_received_ = connection_->bytes_received();
    heard_at_ = now;
  } else if (now - heard_at_ >= acknowledgement_timeout) {
    io::log_event(io::log_level::warning, "agent_link_lost",
                  {{"agent", address_.node_id},
                   {"reason", "not acknowledged"},
                   {"attempts", std::to_string(handlers_.size())}});
    reconnect();
  } else if (now - heard_at_ >= probe_delay) {
    send_hello();
  }
}

void agent_link::set_address(const agent_address& address) {
  if (address != address_) {
    address_ = address;
    reconnect();
  }
}

bool agent_link::is_silent(time_point now) const {
  return ready_ && !handlers_.empty() && now - last_frame_at_ >= silence_timeout;
}

void agent_link::reconnect() {
  if (connection_ == nullptr) {
    return;
  }
  drop_connection();
  handle_closed();
}

} // namespace marigoldstep::router
