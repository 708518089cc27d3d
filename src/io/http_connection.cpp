#include "marigoldstep/io/http_connection.h"

#include "marigoldstep/error.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/http_status.h"
#include "marigoldstep/io/logging.h"

#include <QHostAddress>
#include <QTimer>

#include <array>
#include <cerrno>
#include <cstdio>
#include <sys/socket.h>

namespace marigoldstep::io {

namespace {

// Time for a client to read the response before the connection is reset, when its
// request was rejected before it was read in full.
constexpr auto linger_time = milliseconds(1000);
constexpr auto tick_interval = std::chrono::milliseconds(100);
// Of a body, in each header timeout.
constexpr std::size_t min_body_bytes = 16U << 10U;
// Limits what is read ahead while a response is in progress.
constexpr qint64 read_buffer_bytes = 1 << 16;
constexpr int accept_backlog = 512;
constexpr auto limit_log_interval = milliseconds(1000);

unsigned status_of(std::error_code ec) {
  if (ec == errc::message_too_large) {
    return http_status::header_too_large;
  }
  if (ec == errc::not_implemented) {
    return http_status::not_implemented;
  }
  return ec == errc::body_too_large ? http_status::content_too_large
                                    : http_status::bad_request;
}

// Without a reset the client takes a body that ends with its connection for whole.
void reset_on_close(const QTcpSocket& socket) {
  const linger reset{1, 0};
  if (::setsockopt(static_cast<int>(socket.socketDescriptor()), SOL_SOCKET, SO_LINGER,
                   &reset, sizeof(reset)) != 0) {
    log_event(log_level::warning, "reset_failed", {{"errno", std::to_string(errno)}});
  }
}

} // namespace

http_connection::http_connection(QTcpSocket* socket, const http_server_limits& limits,
                                 QObject* parent)
    : QObject(parent), socket_(socket), limits_(limits),
      parser_(http_role::request, limits.message), phase_since_(io::now()) {
  socket_->setParent(this);
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  socket_->setReadBufferSize(read_buffer_bytes);
  connect(socket_, &QTcpSocket::readyRead, this, [this] { read(); });
  connect(socket_, &QTcpSocket::disconnected, this, [this] {
    if (!is_flushing_) {
      handle_closed();
      return;
    }
    is_lost_ = true;
    QMetaObject::invokeMethod(
        this, [this] { handle_closed(); }, Qt::QueuedConnection);
  });
  connect(socket_, &QTcpSocket::bytesWritten, this, [this](qint64) {
    if (phase_ == phase::idle || phase_ == phase::lingering) {
      phase_since_ = io::now(); // the client still reads the last response
    }
    if (on_drained) {
      on_drained();
    }
  });
  QMetaObject::invokeMethod(
      this, [this] { read(); }, Qt::QueuedConnection);
}

void http_connection::read() {
  if (phase_ == phase::closed) {
    return;
  }
  if (phase_ == phase::lingering) {
    socket_->readAll();
    return;
  }
  if (phase_ == phase::responding) {
    return; // pipelined requests stay in the socket
  }
  const auto chunk = socket_->readAll();
  input_.append(chunk.constData(), static_cast<std::size_t>(chunk.size()));
  read_request();
}

void http_connection::read_request() {
  if (input_.empty() || phase_ == phase::responding) {
    return;
  }
  if (phase_ == phase::idle) {
    phase_ = phase::reading;
    phase_since_ = io::now();
  }
  std::error_code ec;
  const auto n = parser_.feed(input_, ec);
  input_.erase(0, n);
  body_ += parser_.take_body();
  record_progress(n);
  if (ec) {
    reject(ec);
  } else if (parser_.is_done()) {
    handle_request();
  } else if (!report_buffered()) {
    log_event(log_level::warning, "request_buffers_full",
              {{"client", socket_->peerAddress().toString().toStdString()}});
    abort();
  } else if (parser_.has_head()) {
    send_continue();
  }
}

bool http_connection::report_buffered() {
  const auto n = phase_ == phase::closed ? 0 : buffered_bytes();
  const auto before = std::exchange(reported_bytes_, n);
  return !on_buffered || on_buffered(before, n);
}

// Gives a body that arrives steadily the time that it needs.
void http_connection::record_progress(std::size_t n) {
  const bool is_first = parser_.has_head() && !has_head_;
  has_head_ = parser_.has_head();
  bytes_since_ = has_head_ ? bytes_since_ + n : 0;
  if (is_first || bytes_since_ >= min_body_bytes) {
    phase_since_ = io::now();
    bytes_since_ = 0;
  }
}

void http_connection::send_continue() {
  const auto* expect = find_field(parser_.head(), "expect");
  if (expect != nullptr && !continue_sent_ &&
      equal_ignoring_case(*expect, "100-continue")) {
    continue_sent_ = true;
    socket_->write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void http_connection::handle_request() {
  http_request request{parser_.head(), std::move(body_)};
  body_.clear();
  static_cast<void>(report_buffered());
  has_head_ = false;
  phase_ = phase::responding;
  begun_ = false;
  continue_sent_ = false;
  has_no_body_ = request.head.method == "HEAD";
  close_after_ = close_after_ || !request.head.keep_alive;
  version_ = request.head.version;
  parser_ = http_parser(http_role::request, limits_.message);
  if (on_request) {
    on_request(*this, std::move(request));
  }
}

void http_connection::reject(std::error_code ec) {
  phase_ = phase::responding;
  close_after_ = true;
  const auto code = ec.category() == marigoldstep_category()
                        ? static_cast<errc>(ec.value())
                        : errc::malformed_message;
  log_event(log_level::warning, "request_rejected",
            {{"client", socket_->peerAddress().toString().toStdString()},
             {"error", std::string(name(code))}});
  if (make_rejection) {
    const auto rejection = make_rejection(code);
    respond(rejection.status, rejection.fields, rejection.body);
  } else {
    respond(status_of(ec), {}, std::string(name(code)) + "\n");
  }
}

void http_connection::write_head(unsigned status, const std::vector<http_field>& fields) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out += reason_phrase(status);
  out += "\r\n";
  for (const auto& it : fields) {
    out += it.name + ": " + it.value + "\r\n";
  }
  if (close_after_) {
    out += "Connection: close\r\n";
  }
  out += "\r\n";
  socket_->write(out.data(), static_cast<qint64>(out.size()));
}

// A failure is reported later, since the writer of a piece goes on using the connection.
void http_connection::flush() {
  is_flushing_ = true;
  socket_->flush();
  is_flushing_ = false;
}

void http_connection::respond(unsigned status, const std::vector<http_field>& fields,
                              std::string_view body) {
  if (phase_ != phase::responding) {
    return;
  }
  begin(status, fields, body.size());
  append_body(body);
  finish();
}

void http_connection::begin(unsigned status, const std::vector<http_field>& fields,
                            std::optional<std::uint64_t> length) {
  if (phase_ != phase::responding) {
    return;
  }
  auto all = fields;
  const bool never_has_body =
      status == http_status::no_content || status == http_status::not_modified;
  // The body of the GET that corresponds to a HEAD may have any length.
  const bool is_length_unknown = has_no_body_ && length.value_or(0) == 0;
  has_no_body_ = has_no_body_ || never_has_body;
  chunked_ = !length && !has_no_body_ && version_ >= http_1_1;
  if (chunked_) {
    all.push_back({"Transfer-Encoding", "chunked"});
  } else if (length && !never_has_body && !is_length_unknown) {
    all.push_back({"Content-Length", std::to_string(*length)});
  }
  ends_with_connection_ = !chunked_ && !length && !has_no_body_;
  close_after_ = close_after_ || ends_with_connection_;
  begun_ = true;
  write_head(status, all);
}

void http_connection::write_body(std::string_view piece) {
  append_body(piece);
  flush();
}

void http_connection::append_body(std::string_view piece) {
  if (phase_ != phase::responding || piece.empty() || has_no_body_ || is_lost_) {
    return;
  }
  if (!chunked_) {
    socket_->write(piece.data(), static_cast<qint64>(piece.size()));
    return;
  }
  std::array<char, 20> size{};
  const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
  std::string chunk(size.data(), static_cast<std::size_t>(n));
  chunk.append(piece);
  chunk += "\r\n";
  socket_->write(chunk.data(), static_cast<qint64>(chunk.size()));
}

void http_connection::finish() {
  if (phase_ != phase::responding) {
    return;
  }
  if (chunked_ && !is_lost_) {
    socket_->write("0\r\n\r\n");
  }
  flush();
  if (is_lost_) {
    handle_closed(); // before the response can count as sent
  } else {
    end_response();
  }
}

void http_connection::end_response() {
  begun_ = false;
  has_no_body_ = false;
  phase_since_ = io::now();
  if (close_after_) {
    linger();
    return;
  }
  phase_ = phase::idle;
  if (input_.empty() && socket_->bytesAvailable() == 0) {
    return;
  }
  if (!limits_.allows_pipelining) {
    log_event(log_level::warning, "pipelined_request_dropped",
              {{"client", socket_->peerAddress().toString().toStdString()}});
    linger();
    return;
  }
  QMetaObject::invokeMethod(
      this,
      [this] {
        if (phase_ == phase::idle) {
          read();
        }
      },
      Qt::QueuedConnection);
}

// Closing a socket with unread bytes resets the connection, which can discard the
// response before the client reads it.
void http_connection::linger() {
  phase_ = phase::lingering;
  phase_since_ = io::now();
  socket_->flush();
  if (socket_->bytesToWrite() == 0) {
    ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
  }
}

void http_connection::abort() {
  if (phase_ == phase::closed) {
    return;
  }
  // QTcpSocket::abort() discards what is not written yet.
  socket_->flush();
  if (phase_ == phase::responding && ends_with_connection_) {
    reset_on_close(*socket_);
  }
  socket_->abort();
  handle_closed();
}

void http_connection::close_if_idle() {
  if (phase_ == phase::idle && input_.empty() && socket_->bytesAvailable() == 0) {
    linger();
  }
}

void http_connection::tick(time_point now) {
  const auto age = now - phase_since_;
  if (phase_ == phase::idle && age > limits_.idle_timeout) {
    linger();
  } else if (phase_ == phase::reading && age > limits_.header_timeout) {
    phase_ = phase::responding;
    close_after_ = true;
    respond(http_status::request_timeout, {}, "request timeout\n");
  } else if (phase_ == phase::lingering) {
    if (socket_->bytesToWrite() == 0) {
      ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
    }
    if (age > linger_time) {
      abort();
    }
  }
}

bool http_connection::has_client_left() const {
  char byte = 0;
  const auto n = ::recv(static_cast<int>(socket_->socketDescriptor()), &byte, 1,
                        MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::size_t http_connection::queued_bytes() const {
  return static_cast<std::size_t>(socket_->bytesToWrite());
}

void http_connection::handle_closed() {
  if (phase_ == phase::closed) {
    return;
  }
  phase_ = phase::closed;
  static_cast<void>(report_buffered());
  if (on_closed) {
    on_closed();
  }
  deleteLater();
}

http_listener::http_listener(QObject* parent) : QObject(parent) {
  server_.setListenBacklogSize(accept_backlog);
  server_.setMaxPendingConnections(accept_backlog);
  connect(&server_, &QTcpServer::newConnection, this, [this] { accept(); });
  auto* timer = new QTimer(this);
  connect(timer, &QTimer::timeout, this, [this] { tick(); });
  timer->start(tick_interval);
}

std::error_code http_listener::listen(const std::string& host, std::uint16_t port) {
  if (server_.listen(QHostAddress(QString::fromStdString(host)), port)) {
    return {};
  }
  return std::make_error_code(std::errc::address_not_available);
}

std::uint16_t http_listener::port() const {
  return server_.serverPort();
}

void http_listener::stop_accepting() {
  server_.close();
}

void http_listener::close_after_responses() {
  closing_ = true;
  for (auto* it : open_) {
    it->close_after_response();
  }
}

void http_listener::close_idle() {
  const auto open = open_;
  for (auto* it : open) {
    it->close_if_idle();
  }
}

std::size_t http_listener::busy_connections() const {
  std::size_t n = 0;
  for (const auto* it : open_) {
    n += it->is_responding() ? 1 : 0;
  }
  return n;
}

void http_listener::accept() {
  while (auto* socket = server_.nextPendingConnection()) {
    if (open_.size() >= limits.max_connections) {
      log_limit_reached();
      socket->abort();
      socket->deleteLater();
      continue;
    }
    auto* connection = new http_connection(socket, limits, this);
    open_.insert(connection);
    connect(connection, &QObject::destroyed, this,
            [this, connection] { open_.erase(connection); });
    connection->make_rejection = make_rejection;
    connection->on_buffered = [this](std::size_t before, std::size_t n) {
      buffered_bytes_ = buffered_bytes_ - before + n;
      return !limits.max_buffered_bytes || buffered_bytes_ <= *limits.max_buffered_bytes;
    };
    connection->on_request = [this](http_connection& from, http_request request) {
      if (on_request) {
        on_request(from, std::move(request));
      }
    };
    if (closing_) {
      connection->close_after_response();
    }
  }
}

void http_listener::log_limit_reached() {
  const auto now = io::now();
  if (now - limit_logged_at_ > limit_log_interval) {
    limit_logged_at_ = now;
    log_event(log_level::warning, "connection_limit_reached",
              {{"port", std::to_string(port())}, {"open", std::to_string(open_.size())}});
  }
}

void http_listener::tick() {
  const auto now = io::now();
  const std::vector<http_connection*> open(open_.begin(), open_.end());
  for (auto* it : open) {
    it->tick(now);
  }
}

} // namespace marigoldstep::io
