#include "marigoldstep/io/http_connection.h"

#include "marigoldstep/error.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/http_status.h"
#include "marigoldstep/io/logging.h"

#include <QHostAddress>
#include <QTimer>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <sys/ioctl.h>
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
// The next request isn't read while more of earlier responses is unread.
constexpr std::size_t max_unread_bytes = 64U << 10U;
// Less of what follows a request in progress may stay also while memory is scarce.
constexpr std::size_t min_discarded_bytes = 4U << 10U;
// A larger buffer isn't kept between requests.
constexpr std::size_t max_kept_buffer_bytes = 4U << 10U;

unsigned status_of(std::error_code ec) {
  if (ec == errc::message_too_large) {
    return http_status::header_too_large;
  }
  if (ec == errc::not_implemented) {
    return http_status::not_implemented;
  }
  if (ec == errc::memory_full) {
    return http_status::unavailable;
  }
  return ec == errc::body_too_large ? http_status::content_too_large
                                    : http_status::bad_request;
}

// Appends a piece. Allocates at most as much again as is used, and no more than max_bytes
// need, since clients decide how large a body becomes.
void append_within(std::string& body, std::string piece, std::uint64_t max_bytes) {
  if (body.empty()) {
    body = std::move(piece);
    return;
  }
  const auto needed = body.size() + piece.size();
  if (needed > body.capacity()) {
    std::string grown;
    grown.reserve(std::max<std::size_t>(
        needed, std::min<std::uint64_t>(2 * body.capacity(), max_bytes)));
    grown += body;
    body = std::move(grown);
  }
  body += piece;
}

std::size_t unread_in_kernel(const QTcpSocket& socket) {
  int n = 0;
  return ::ioctl(static_cast<int>(socket.socketDescriptor()), FIONREAD, &n) == 0
             ? static_cast<std::size_t>(n)
             : 0;
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

http_field make_retry_after_field(milliseconds delay) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(delay);
  return {"Retry-After", std::to_string(seconds.count())};
}

http_rejection default_rejection(errc code) {
  return {status_of(make_error_code(code)), {}, std::string(name(code)) + "\n"};
}

http_connection::http_connection(QTcpSocket* socket, const http_server_limits& limits,
                                 std::shared_ptr<request_memory> memory, QObject* parent)
    : QObject(parent), socket_(socket), limits_(limits),
      held_(std::move(memory), [this](reclaim_reason why) { give_way(why); }),
      parser_(http_role::request, limits.message), phase_since_(io::now()),
      held_since_(phase_since_) {
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
      update_hold();
    }
    const bool has_input = !input_.empty() || socket_->bytesAvailable() > 0;
    if (phase_ == phase::idle && socket_->bytesToWrite() == 0 && has_input) {
      read(); // the request waited for this
    }
    if (on_drained) {
      on_drained();
    }
  });
  update_hold();
  QMetaObject::invokeMethod(
      this, [this] { read(); }, Qt::QueuedConnection);
}

void http_connection::read() {
  if (phase_ == phase::closed) {
    return;
  }
  if (phase_ == phase::lingering) {
    const bool has_more = !socket_->readAll().isEmpty();
    const auto now = io::now();
    // A client that is still sending a request that was refused for want of memory reads
    // the response afterwards.
    if (has_more && is_refused_ && now - held_since_ < limits_.header_timeout) {
      phase_since_ = now;
    }
    return;
  }
  if (phase_ == phase::responding) {
    if (is_discarding_) {
      socket_->readAll();
    }
    return; // pipelined requests stay in the socket
  }
  if (phase_ == phase::idle && queued_bytes() > max_unread_bytes) {
    return;
  }
  if (phase_ == phase::idle && !input_.empty()) {
    // More is read only once the requests that were read are handled.
    read_request();
    if (phase_ != phase::reading) {
      return;
    }
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
    held_since_ = phase_since_;
  }
  std::error_code ec;
  const auto n = parser_.feed(input_, ec);
  input_.erase(0, n);
  if (input_.empty() && input_.capacity() > max_kept_buffer_bytes) {
    input_ = std::string();
  }
  append_within(body_, parser_.take_body(),
                parser_.head().length.value_or(limits_.message.body_bytes.value_or(
                    std::numeric_limits<std::uint64_t>::max())));
  record_progress(n);
  if (ec) {
    reject(ec);
    return;
  }
  if (parser_.is_done()) {
    handle_request();
    return;
  }
  update_hold();
  if (phase_ == phase::reading && parser_.has_head()) {
    send_continue();
  }
}

memory_hold http_connection::current_hold() const {
  memory_hold out;
  if (phase_ == phase::closed) {
    return out;
  }
  out.connections = 1;
  out.since = held_since_;
  const auto queued = queued_bytes();
  const auto read_ahead = static_cast<std::size_t>(socket_->bytesAvailable());
  out.bytes = queued + read_ahead + input_.capacity() + body_.capacity() + head_bytes_;
  switch (phase_) {
  case phase::idle:
    out.kind = queued > 0    ? hold_kind::unread
               : has_served_ ? hold_kind::idle
                             : hold_kind::incomplete;
    break;
  case phase::reading:
    out.kind = hold_kind::incomplete;
    break;
  case phase::responding:
    out.kind = hold_kind::running;
    // The kernel holds bytes only once the socket's own buffer is full.
    out.bytes += read_ahead >= read_buffer_bytes ? unread_in_kernel(*socket_) : 0;
    break;
  case phase::lingering:
  case phase::closed:
    out.kind = hold_kind::unread;
    break;
  }
  return out;
}

void http_connection::update_hold() {
  static_cast<void>(held_.set(current_hold()));
}

void http_connection::drop_request() {
  input_ = std::string();
  body_ = std::string();
  head_bytes_ = 0;
  has_head_ = false;
  parser_ = http_parser(http_role::request, limits_.message);
}

// Ends a request that has not arrived in full, or a response that is read slowly.
void http_connection::give_way(reclaim_reason why) {
  const auto held = current_hold();
  log_event(
      log_level::warning, "request_given_up",
      {{"client", socket_->peerAddress().toString().toStdString()},
       {"reason", std::string(name(why))},
       {"phase", phase_ == phase::reading ? "incomplete" : "waiting for the client"},
       {"bytes", std::to_string(held.bytes)},
       {"age_ms", std::to_string((io::now() - held.since).count())}});
  if (phase_ == phase::reading) {
    reject(errc::memory_full);
    if (why == reclaim_reason::memory) {
      return;
    }
  }
  abort();
}

// Frees what follows the request in progress. It won't be handled: the connection closes
// after the response.
void http_connection::discard_read_ahead() {
  const auto n = static_cast<std::size_t>(socket_->bytesAvailable()) + input_.size();
  if (n < min_discarded_bytes || is_discarding_) {
    return;
  }
  log_event(log_level::warning, "read_ahead_discarded",
            {{"client", socket_->peerAddress().toString().toStdString()},
             {"bytes", std::to_string(n)}});
  is_discarding_ = true;
  close_after_ = true;
  input_ = std::string();
  socket_->readAll();
}

// Gives a body that arrives steadily the time that it needs.
void http_connection::record_progress(std::size_t n) {
  const bool is_first = parser_.has_head() && !has_head_;
  has_head_ = parser_.has_head();
  if (is_first) {
    head_bytes_ = allocated_bytes(parser_.head());
  }
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
  body_ = std::string();
  head_bytes_ = 0;
  has_head_ = false;
  has_served_ = true;
  phase_ = phase::responding;
  begun_ = false;
  continue_sent_ = false;
  has_no_body_ = request.head.method == "HEAD";
  close_after_ = close_after_ || !request.head.keep_alive;
  version_ = request.head.version;
  parser_ = http_parser(http_role::request, limits_.message);
  update_hold();
  if (on_request) {
    on_request(*this, std::move(request));
  }
}

void http_connection::reject(std::error_code ec) {
  const auto held_bytes = current_hold().bytes;
  drop_request();
  phase_ = phase::responding;
  close_after_ = true;
  const auto code = ec.category() == marigoldstep_category()
                        ? static_cast<errc>(ec.value())
                        : errc::malformed_message;
  log_event(log_level::warning, "request_rejected",
            {{"client", socket_->peerAddress().toString().toStdString()},
             {"error", std::string(name(code))}});
  std::optional<milliseconds> retry_after;
  if (code == errc::memory_full) {
    is_refused_ = true;
    retry_after = held_.memory().retry_delay(held_bytes);
  }
  auto rejection =
      make_rejection ? make_rejection(code, retry_after) : default_rejection(code);
  if (!make_rejection && retry_after) {
    rejection.fields.push_back(make_retry_after_field(*retry_after));
  }
  respond(rejection.status, rejection.fields, rejection.body);
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
  held_since_ = phase_since_;
  if (close_after_) {
    linger();
    return;
  }
  phase_ = phase::idle;
  update_hold();
  if (phase_ != phase::idle) {
    return; // the response was given up
  }
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
  held_since_ = phase_since_;
  input_ = std::string();
  update_hold();
  if (phase_ == phase::closed) {
    return;
  }
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

void http_connection::read_arrived() {
  if (unread_in_kernel(*socket_) > 0) {
    socket_->waitForReadyRead(0);
  }
}

void http_connection::close_if_idle() {
  if (phase_ == phase::idle) {
    read_arrived();
  }
  if (phase_ == phase::idle && input_.empty() && socket_->bytesAvailable() == 0) {
    linger();
  }
}

bool http_connection::is_timed_out(time_point now) const {
  const auto age = now - phase_since_;
  return (phase_ == phase::idle && age > limits_.idle_timeout) ||
         (phase_ == phase::reading && age > limits_.header_timeout);
}

void http_connection::tick(time_point now) {
  if (phase_ == phase::responding && held_.memory().is_scarce()) {
    discard_read_ahead();
  }
  update_hold();
  if (is_timed_out(now)) {
    read_arrived();
  }
  if (phase_ == phase::idle && is_timed_out(now)) {
    linger();
  } else if (is_timed_out(now)) {
    drop_request();
    phase_ = phase::responding;
    close_after_ = true;
    respond(http_status::request_timeout, {}, "request timeout\n");
  } else if (phase_ == phase::lingering) {
    if (socket_->bytesToWrite() == 0) {
      ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
    }
    if (now - phase_since_ > linger_time) {
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
  drop_request();
  update_hold();
  if (on_gone) {
    on_gone();
  }
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
    limit_receive_buffer();
    return {};
  }
  return std::make_error_code(std::errc::address_not_available);
}

// Accepted sockets inherit the limit. Without one a client could fill megabytes of the
// kernel's memory.
void http_listener::limit_receive_buffer() {
  const int n = static_cast<int>(memory->limits().receive_buffer_bytes);
  if (::setsockopt(static_cast<int>(server_.socketDescriptor()), SOL_SOCKET, SO_RCVBUF,
                   &n, sizeof(n)) != 0) {
    log_event(log_level::warning, "receive_buffer_not_limited",
              {{"port", std::to_string(port())}, {"errno", std::to_string(errno)}});
  }
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
    const bool has_room = memory->make_connection_room(
        open_.size(), limits.max_connections,
        [this](std::uint64_t id) { return hold_ids_.contains(id); });
    if (!has_room) {
      log_limit_reached();
      socket->abort();
      socket->deleteLater();
      continue;
    }
    auto* connection = new http_connection(socket, limits, memory, this);
    open_.insert(connection);
    hold_ids_.insert(connection->hold_id());
    const auto forget = [this, connection, id = connection->hold_id()] {
      open_.erase(connection);
      hold_ids_.erase(id);
    };
    connect(connection, &QObject::destroyed, this, forget);
    connection->on_gone = forget;
    connection->make_rejection = make_rejection;
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
