#include "router/caller_server.h"

#include "marigoldstep/io/clock.h"

namespace marigoldstep::router {

namespace {

constexpr auto idle_check_interval = milliseconds(250);
// Time for the caller to read a 413 response before the connection is closed.
constexpr auto linger_time = milliseconds(1000);

// Written directly to the socket, because Qt's responder needs a complete request.
constexpr auto too_large_response =
    "HTTP/1.1 413 Payload Too Large\r\nContent-Type: application/problem+json\r\n"
    "Connection: close\r\nContent-Length: 129\r\n\r\n"
    R"({"type":"about:blank","title":"the request body exceeds the size limit",)"
    R"("status":413,"code":"body_too_large","verdict":"not_run"})";

// Qt's server reads within a transaction, which would keep the bytes in memory.
void discard_input(QTcpSocket* socket) {
  if (socket->isTransactionStarted()) {
    socket->commitTransaction();
  }
  socket->readAll();
}

} // namespace

void caller_server::listener::incomingConnection(qintptr descriptor) {
  auto* socket = new QTcpSocket(this);
  if (!socket->setSocketDescriptor(descriptor)) {
    delete socket;
    return;
  }
  if (owner_.connections() >= owner_.limits_.max_connections) {
    socket->abort();
    delete socket;
    return;
  }
  owner_.add(socket);
  addPendingConnection(socket);
}

caller_server::caller_server(const router_limits& limits, QObject* parent)
    : QObject(parent), limits_(limits), http_(this),
      listener_(std::make_unique<listener>(*this)) {
  http_.on_request = [this](const QHttpServerRequest& request, QTcpSocket* socket) {
    handle_request(request, socket);
  };
  connect(&timer_, &QTimer::timeout, this, [this] { close_idle(); });
}

caller_server::~caller_server() {
  // The sockets are closed by the destructor of listener_, after their handlers were
  // destroyed.
  for (const auto& [socket, connection] : connections_) {
    socket->disconnect(this);
  }
}

std::error_code caller_server::start(const io::endpoint& listen) {
  const QHostAddress address(QString::fromStdString(listen.host));
  constexpr int backlog = 1024;
  listener_->setListenBacklogSize(backlog);
  if (!listener_->listen(address, listen.port)) {
    return std::make_error_code(std::errc::address_not_available);
  }
  http_.bind(listener_.get());
  timer_.start(idle_check_interval);
  return {};
}

std::uint16_t caller_server::port() const {
  return listener_->serverPort();
}

void caller_server::stop_accepting() {
  listener_->close();
}

// Called before the socket is passed to Qt's server, so that these slots run before the
// server's own.
void caller_server::add(QTcpSocket* socket) {
  auto connection = std::make_unique<caller_connection>();
  connection->socket = socket;
  connection->last_active_at = io::now();
  connections_.emplace(socket, std::move(connection));
  socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  connect(socket, &QTcpSocket::readyRead, this, [this, socket] { handle_input(socket); });
  connect(socket, &QTcpSocket::bytesWritten, this, [this, socket](qint64) {
    auto it = connections_.find(socket);
    if (it != connections_.end() && it->second->handler != nullptr) {
      it->second->handler->on_bytes_sent();
    }
  });
  connect(socket, &QTcpSocket::disconnected, this, [this, socket] {
    auto node = connections_.extract(socket);
    total_unparsed_bytes_ -= node.empty() ? 0 : node.mapped()->unparsed_bytes;
    if (!node.empty() && node.mapped()->handler != nullptr) {
      node.mapped()->handler->on_caller_disconnected();
    }
  });
}

void caller_server::handle_input(QTcpSocket* socket) {
  auto it = connections_.find(socket);
  if (it == connections_.end()) {
    return;
  }
  auto& connection = *it->second;
  if (connection.discarding) {
    discard_input(socket);
    return;
  }
  const auto n = static_cast<std::uint64_t>(socket->bytesAvailable());
  connection.unparsed_bytes += n;
  total_unparsed_bytes_ += n;
  const bool total_too_large = total_unparsed_bytes_ > limits_.max_buffered_bytes;
  if (connection.unparsed_bytes <= max_request_bytes && !total_too_large) {
    return;
  }
  // Bytes received while a response is in progress will never be read.
  if (connection.handler != nullptr || total_too_large) {
    socket->abort();
    return;
  }
  // Closing a socket with unread input resets the connection, which could discard the
  // response before the caller reads it. The connection therefore stays open for
  // linger_time.
  connection.discarding = true;
  connection.last_active_at = io::now() - limits_.caller_idle_timeout + linger_time;
  socket->write(too_large_response);
  discard_input(socket);
}

void caller_server::handle_request(const QHttpServerRequest& request,
                                   QTcpSocket* socket) {
  auto it = connections_.find(socket);
  if (it == connections_.end()) {
    return;
  }
  auto& connection = *it->second;
  total_unparsed_bytes_ -= connection.unparsed_bytes;
  connection.unparsed_bytes = 0;
  connection.last_active_at = io::now();
  if (connection.handler != nullptr) {
    connection.pipelined = true;
    return;
  }
  on_request(request, connection);
}

void caller_server::release(caller_connection& connection) {
  connection.handler = nullptr;
  connection.last_active_at = io::now();
  if (connection.pipelined) {
    connection.socket->disconnectFromHost();
  }
}

void caller_server::close_idle() {
  const auto limit = io::now() - limits_.caller_idle_timeout;
  std::vector<QTcpSocket*> idle;
  for (const auto& [socket, connection] : connections_) {
    if (connection->handler == nullptr && connection->last_active_at < limit) {
      idle.push_back(socket);
    }
  }
  for (auto* socket : idle) {
    socket->abort();
  }
}

} // namespace marigoldstep::router
