#include "marigoldstep/io/control_client.h"

#include "marigoldstep/io/clock.h"

#include <charconv>

namespace marigoldstep::io {

namespace {

constexpr auto tick_interval = milliseconds(20);
// Pause before trying the next endpoint, so that an unreachable group does not cause
// a busy loop.
constexpr auto reconnect_delay = milliseconds(50);
// Slower connects count as failed: an isolated VM may not even reject them.
constexpr auto connect_timeout = milliseconds(500);

} // namespace

endpoint parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  endpoint out;
  if (colon == std::string_view::npos || colon == 0) {
    return out;
  }
  const auto digits = text.substr(colon + 1);
  const auto* end = digits.data() + digits.size();
  auto [rest, ec] = std::from_chars(digits.data(), end, out.port);
  if (ec != std::errc{} || rest != end) {
    out.port = 0;
    return out;
  }
  out.host = std::string(text.substr(0, colon));
  return out;
}

std::string to_string(const endpoint& address) {
  return address.host + ":" + std::to_string(address.port);
}

control_client::control_client(std::vector<endpoint> endpoints, QObject* parent)
    : QObject(parent), endpoints_(std::move(endpoints)) {
  // Starts at a random endpoint, to spread the nodes over the control processes.
  if (!endpoints_.empty()) {
    next_endpoint_ = random_engine()() % endpoints_.size();
  }
  connect(&timer_, &QTimer::timeout, this, [this] { expire(); });
  timer_.start(tick_interval);
}

std::uint64_t control_client::bytes_sent() const {
  return closed_sent_ + (connection_ != nullptr ? connection_->bytes_sent() : 0);
}

std::uint64_t control_client::bytes_received() const {
  return closed_received_ + (connection_ != nullptr ? connection_->bytes_received() : 0);
}

void control_client::start(bytes frame, milliseconds timeout, callback done) {
  const auto correlation = next_correlation_++;
  pending_[correlation] = {std::move(frame), now() + timeout, false, false,
                           std::move(done)};
  if (connection_ == nullptr && now() >= retry_at_) {
    connect_next();
  }
  send_pending();
}

void control_client::connect_next() {
  if (endpoints_.empty()) {
    return;
  }
  const auto target = endpoints_[next_endpoint_ % endpoints_.size()];
  ++next_endpoint_;
  connect_to(target);
}

void control_client::connect_to(const endpoint& target) {
  close_connection();
  retry_at_ = now() + connect_timeout;
  connection_ =
      new framed_connection(QString::fromStdString(target.host), target.port, this);
  connection_->on_open = [this] { send_pending(); };
  connection_->on_frame = [this](byte_view buf) { handle_frame(buf); };
  connection_->on_closed = [this](std::error_code) {
    close_connection();
    retry_at_ = now() + reconnect_delay;
  };
}

void control_client::close_connection() {
  if (connection_ == nullptr) {
    return;
  }
  closed_sent_ += connection_->bytes_sent();
  closed_received_ += connection_->bytes_received();
  connection_->on_closed = nullptr;
  connection_->on_frame = nullptr;
  connection_->on_open = nullptr;
  connection_->close();
  connection_->deleteLater();
  connection_ = nullptr;
  for (auto& [correlation, it] : pending_) {
    it.sent = false;
  }
}

void control_client::send_pending() {
  if (connection_ == nullptr || !connection_->is_open()) {
    return;
  }
  for (auto& [correlation, it] : pending_) {
    if (!it.sent && connection_->send(it.frame)) {
      it.sent = true;
      it.may_have_arrived = true;
    }
  }
}

void control_client::handle_frame(byte_view buf) {
  std::error_code ec;
  auto frame = wire::decode_control(buf, ec);
  if (!frame) {
    close_connection();
    retry_at_ = now() + reconnect_delay;
    return;
  }
  if (const auto* hint = frame->body.AsNotLeader()) {
    handle_redirect(frame->correlation, *hint);
    return;
  }
  auto it = pending_.find(frame->correlation);
  if (it == pending_.end()) {
    return; // reply to a request that has timed out
  }
  auto done = std::move(it->second.done);
  pending_.erase(it);
  done({{}, true, std::move(frame)});
}

void control_client::handle_redirect(std::uint64_t correlation,
                                     const wire::NotLeaderT& hint) {
  if (!pending_.contains(correlation)) {
    return;
  }
  if (hint.leader_port != 0) {
    connect_to({hint.leader_host, hint.leader_port});
    return;
  }
  close_connection();
  retry_at_ = now() + reconnect_delay;
}

void control_client::expire() {
  const auto current = now();
  std::vector<std::pair<callback, bool>> expired;
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (it->second.deadline <= current) {
      expired.emplace_back(std::move(it->second.done), it->second.may_have_arrived);
      it = pending_.erase(it);
    } else {
      ++it;
    }
  }
  const bool connecting_too_long =
      connection_ != nullptr && !connection_->is_open() && current >= retry_at_;
  const bool silent = !expired.empty() && connection_ != nullptr;
  if (connecting_too_long || silent) {
    close_connection();
  }
  if (connection_ == nullptr && !pending_.empty() && current >= retry_at_) {
    connect_next();
  }
  for (auto& [done, may_have_arrived] : expired) {
    done({make_error_code(errc::control_unavailable), may_have_arrived, nullptr});
  }
}

} // namespace marigoldstep::io
