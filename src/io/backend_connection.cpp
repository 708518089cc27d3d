#include "marigoldstep/io/backend_connection.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/http_status.h"
#include "marigoldstep/io/logging.h"

#include <QHostAddress>

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marigoldstep::io {

namespace {

// Closes a connection when sent bytes stay unacknowledged this long, as for a peer
// that vanished without a reset.
constexpr auto lost_peer_timeout = milliseconds(1500);
constexpr auto watch_interval = milliseconds(250);
// Detects a vanished peer while waiting for a response.
constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;
constexpr qint64 read_buffer_bytes = 1 << 16;
// Bytes of the kernel's, for what a server sends while its caller doesn't read.
constexpr int receive_buffer_bytes = 1 << 16;
// Smaller bodies are written together with the head.
constexpr std::size_t small_body_bytes = 16U << 10U;
// Of a larger body, for a server that reads slowly.
constexpr qint64 max_queued_bytes = 256 << 10;
constexpr std::size_t body_piece_bytes = 64U << 10U;
// Other numbers are no status codes (RFC 9110, section 15).
constexpr unsigned first_status = 100;
constexpr unsigned last_status = 599;
// Interim responses and responses to other requests that may precede a response, and the
// bytes of their bodies.
constexpr unsigned max_skipped_responses = 100;
constexpr std::uint64_t max_skipped_bytes = 16U << 20U;
// Of one connection; bounds what it keeps of their ids.
constexpr std::size_t max_exchanges = 1024;

// Whether the body of the response whose head was read has no other end.
bool ends_with_connection(const http_parser& parser) {
  return !parser.is_done() && !parser.head().length && !parser.head().is_chunked;
}

void set_option(int fd, int level, int name, int value) {
  // On failure a lost peer is only detected later.
  [[maybe_unused]] const int rc = ::setsockopt(fd, level, name, &value, sizeof(value));
}

void enable_dead_peer_detection(QTcpSocket& socket) {
  const int fd = static_cast<int>(socket.socketDescriptor());
  set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
  set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
  set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

// The kernel's timeout also ends a connection whose server acknowledges but leaves a body
// unread, so that a large body needs another one.
void set_kernel_timeout(QTcpSocket& socket, milliseconds timeout) {
  set_option(static_cast<int>(socket.socketDescriptor()), IPPROTO_TCP, TCP_USER_TIMEOUT,
             static_cast<int>(timeout.count()));
}

std::optional<transport_state> read_transport_state(const QTcpSocket& socket) {
  struct tcp_info info {};
  socklen_t n = sizeof(info);
  if (::getsockopt(static_cast<int>(socket.socketDescriptor()), IPPROTO_TCP, TCP_INFO,
                   &info, &n) != 0) {
    return std::nullopt;
  }
  return transport_state{info.tcpi_unacked > 0 || info.tcpi_probes > 0,
                         milliseconds(info.tcpi_last_ack_recv)};
}

} // namespace

detail::file_descriptor::~file_descriptor() {
  if (fd_ >= 0) {
    ::close(fd_);
  }
}

std::string_view name(exchange_failure why) {
  switch (why) {
  case exchange_failure::not_connected:
    return "not_connected";
  case exchange_failure::refused:
    return "refused";
  case exchange_failure::withheld:
    return "withheld";
  case exchange_failure::closed:
    return "closed";
  case exchange_failure::malformed:
    return "malformed";
  }
  return "malformed";
}

bool is_unconnected(exchange_failure why) {
  return why == exchange_failure::not_connected || why == exchange_failure::refused;
}

backend_connection::backend_connection(endpoint target, milliseconds connect_timeout,
                                       QObject* parent)
    : QObject(parent), socket_(new QTcpSocket(this)),
      connect_timer_([this] { fail(exchange_failure::not_connected); }),
      watch_timer_([this] { watch_peer(); }), target_(std::move(target)),
      parser_(http_role::response, {}) {
  socket_->setReadBufferSize(read_buffer_bytes);
  connect(socket_, &QTcpSocket::connected, this, [this] { handle_connected(); });
  connect(socket_, &QTcpSocket::readyRead, this, [this] { read(); });
  connect(socket_, &QTcpSocket::bytesWritten, this, [this](qint64) { write_body(); });
  connect(socket_, &QTcpSocket::disconnected, this, [this] {
    if (!is_writing_) {
      handle_end();
    }
  });
  connect(socket_, &QTcpSocket::errorOccurred, this,
          [this](QAbstractSocket::SocketError error) {
            if (is_writing_) {
              QMetaObject::invokeMethod(
                  this, [this] { fail(exchange_failure::closed); }, Qt::QueuedConnection);
              return;
            }
            // An orderly close is handled on disconnected, after the last bytes.
            if (error == QAbstractSocket::RemoteHostClosedError) {
              return;
            }
            if (state_ != state::connecting) {
              fail(exchange_failure::closed);
              return;
            }
            fail(error == QAbstractSocket::ConnectionRefusedError
                     ? exchange_failure::refused
                     : exchange_failure::not_connected);
          });
  connect_timer_.start(connect_timeout);
  socket_->connectToHost(QHostAddress(QString::fromStdString(target_.host)),
                         target_.port);
}

void backend_connection::handle_connected() {
  if (state_ != state::connecting) {
    return;
  }
  state_ = state::open;
  connect_timer_.stop();
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  set_option(static_cast<int>(socket_->socketDescriptor()), SOL_SOCKET, SO_RCVBUF,
             receive_buffer_bytes);
  if (detects_lost_peer) {
    enable_dead_peer_detection(*socket_);
    set_kernel_timeout(*socket_, lost_peer_timeout);
  }
  if (busy_ && may_send && !may_send()) {
    fail(exchange_failure::withheld);
    return;
  }
  if (busy_) {
    write_request();
  }
}

// A failure is reported later, since the sender may not expect a callback.
void backend_connection::write(std::string_view text) {
  is_writing_ = true;
  socket_->write(text.data(), static_cast<qint64>(text.size()));
  socket_->flush();
  is_writing_ = false;
}

void backend_connection::write_request() {
  if (unsent_body_.size() <= small_body_bytes) {
    request_ += unsent_body_;
    unsent_body_ = {};
  }
  const bool has_large_body = !unsent_body_.empty();
  if (detects_lost_peer && has_large_body != is_watched_) {
    is_watched_ = has_large_body;
    set_kernel_timeout(*socket_, is_watched_ ? milliseconds(0) : lost_peer_timeout);
  }
  write(request_);
  request_ = std::string();
  write_body();
  if (is_watched_) {
    watch_ = {io::now()};
    watch_timer_.start(watch_interval);
  }
}

void backend_connection::watch_peer() {
  if (!busy_ || state_ != state::open) {
    return;
  }
  const auto seen = read_transport_state(*socket_);
  if (seen && is_peer_lost(watch_, *seen, io::now(), lost_peer_timeout)) {
    log_event(log_level::info, "server_machine_lost",
              {{"server", target_.host + ":" + std::to_string(target_.port)},
               {"unacknowledged_ms", std::to_string(lost_peer_timeout.count())}});
    fail(exchange_failure::closed);
    return;
  }
  watch_timer_.start(watch_interval);
}

void backend_connection::write_body() {
  while (!unsent_body_.empty() && state_ == state::open && !is_writing_ &&
         socket_->bytesToWrite() < max_queued_bytes) {
    const auto piece = unsent_body_.substr(0, body_piece_bytes);
    unsent_body_.remove_prefix(piece.size());
    write(piece);
  }
}

std::size_t backend_connection::held_bytes() const {
  return request_.capacity() + input_.capacity() +
         static_cast<std::size_t>(socket_->bytesToWrite() + socket_->bytesAvailable());
}

void backend_connection::send(std::string request, bool is_head_request,
                              std::string_view body) {
  busy_ = true;
  is_request_whole_ = true;
  unsent_body_ = body;
  is_head_request_ = is_head_request;
  head_reported_ = false;
  skipping_ = false;
  skipped_responses_ = 0;
  skipped_bytes_ = 0;
  keep_alive_ = false;
  ++exchange_count_;
  parser_ = http_parser(http_role::response, {}, !is_head_request);
  duplicate_fd_ = detail::file_descriptor();
  request_ = std::move(request);
  if (state_ == state::open) {
    write_request();
  } else if (state_ != state::connecting) {
    QMetaObject::invokeMethod(
        this, [this] { fail(exchange_failure::not_connected); }, Qt::QueuedConnection);
  }
}

void backend_connection::set_paused(bool paused) {
  const bool resume = paused_ && !paused;
  paused_ = paused;
  if (resume) {
    QMetaObject::invokeMethod(
        this, [this] { read(); }, Qt::QueuedConnection);
  }
}

void backend_connection::read() {
  if (state_ == state::closed || paused_) {
    return;
  }
  const auto chunk = socket_->readAll();
  if (chunk.isEmpty()) {
    return;
  }
  input_.append(chunk.constData(), static_cast<std::size_t>(chunk.size()));
  if (!busy_) {
    // No request is in progress, so these bytes belong to none.
    log_unexpected_bytes("idle", input_.size());
    abort();
    if (on_idle_closed) {
      on_idle_closed();
    }
    return;
  }
  read_response();
}

void backend_connection::read_response() {
  while (busy_ && state_ != state::closed && !input_.empty()) {
    std::error_code ec;
    const auto n = parser_.feed(input_, ec);
    input_.erase(0, n);
    if (!parser_.has_head()) {
      if (ec) {
        fail(exchange_failure::malformed);
      }
      return;
    }
    if (parser_.head().status < first_status || parser_.head().status > last_status) {
      fail(exchange_failure::malformed);
      return;
    }
    const bool is_interim = parser_.head().status < http_status::ok;
    if (!head_reported_ && !is_interim) {
      head_reported_ = true;
      if (ends_with_connection(parser_)) {
        duplicate_fd_ =
            detail::file_descriptor(::dup(static_cast<int>(socket_->socketDescriptor())));
      }
      if (on_head) {
        on_head(parser_.head());
      }
    }
    if (state_ == state::closed || !busy_) {
      return;
    }
    if (skipping_ && ends_with_connection(parser_)) {
      // Every further byte belongs to the skipped response.
      fail(exchange_failure::closed);
      return;
    }
    auto body = parser_.take_body();
    skipped_bytes_ += skipping_ ? body.size() : 0;
    if (skipped_bytes_ > max_skipped_bytes) {
      fail(exchange_failure::malformed);
      return;
    }
    if (!body.empty() && !skipping_ && on_body) {
      on_body(std::move(body));
    }
    if (state_ == state::closed || !busy_) {
      return;
    }
    if (ec) {
      fail(exchange_failure::malformed);
      return;
    }
    if (!parser_.is_done()) {
      return;
    }
    if (is_interim || skipping_) {
      if (++skipped_responses_ > max_skipped_responses) {
        fail(exchange_failure::malformed);
        return;
      }
      head_reported_ = false;
      skipping_ = false;
      parser_ = http_parser(http_role::response, {}, !is_head_request_);
      continue;
    }
    keep_alive_ = parser_.head().keep_alive;
    if (!input_.empty()) {
      log_unexpected_bytes("after a response", input_.size());
    }
    end_exchange();
    return;
  }
}

// The connection is not used again after such bytes.
void backend_connection::log_unexpected_bytes(std::string_view when,
                                              std::size_t n) const {
  log_event(log_level::warning, "unexpected_bytes",
            {{"server", target_.host + ":" + std::to_string(target_.port)},
             {"when", std::string(when)},
             {"bytes", std::to_string(n)},
             {"exchanges", std::to_string(exchange_count_)}});
}

// The callbacks are cleared first, because on_done may send the next request.
void backend_connection::end_exchange() {
  busy_ = false;
  drop_unsent();
  const auto done = std::move(on_done);
  clear_callbacks();
  if (done) {
    done();
  }
}

// An orderly close by the server ends a response without a length.
void backend_connection::handle_end() {
  if (state_ == state::closed) {
    return;
  }
  paused_ = false;
  read();
  if (state_ == state::closed) {
    return;
  }
  if (busy_ && parser_.has_head() && !skipping_) {
    std::error_code ec;
    parser_.finish(ec);
    if (!ec && was_closed_orderly()) {
      state_ = state::closed;
      end_exchange();
      return;
    }
  }
  fail(exchange_failure::closed);
}

// Qt reports a reset like an orderly close, and closes its descriptor before it does,
// so the TCP state is read from a duplicate.
bool backend_connection::was_closed_orderly() const {
  struct tcp_info info {};
  socklen_t n = sizeof(info);
  return ::getsockopt(duplicate_fd_.get(), IPPROTO_TCP, TCP_INFO, &info, &n) == 0 &&
         info.tcpi_state == TCP_CLOSE_WAIT;
}

void backend_connection::fail(exchange_failure why) {
  if (state_ == state::closed && !busy_) {
    return;
  }
  state_ = state::closed;
  socket_->abort();
  if (!busy_) {
    if (on_idle_closed) {
      on_idle_closed();
    }
    return;
  }
  busy_ = false;
  drop_unsent();
  const auto failed = std::move(on_failed);
  clear_callbacks();
  if (failed) {
    failed(why);
  }
}

void backend_connection::abort() {
  clear_callbacks();
  busy_ = false;
  drop_unsent();
  state_ = state::closed;
  socket_->abort();
}

void backend_connection::drop_unsent() {
  is_request_whole_ = unsent_body_.empty();
  unsent_body_ = {};
  request_ = std::string();
}

void backend_connection::clear_callbacks() {
  may_send = nullptr;
  on_head = nullptr;
  on_body = nullptr;
  on_done = nullptr;
  on_failed = nullptr;
}

bool backend_connection::has_carried(std::uint64_t id_hash) const {
  return std::find(request_ids_.begin(), request_ids_.end(), id_hash) !=
         request_ids_.end();
}

bool backend_connection::is_reusable() const {
  return state_ == state::open && request_ids_.size() < max_exchanges && !busy_ &&
         keep_alive_ && !is_head_request_ && is_request_whole_ && input_.empty() &&
         socket_->bytesAvailable() == 0 && socket_->bytesToWrite() == 0;
}

} // namespace marigoldstep::io
