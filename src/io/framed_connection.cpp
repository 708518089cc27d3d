#include "marigoldstep/io/framed_connection.h"

#include "marigoldstep/io/tls.h"
#include "marigoldstep/wire.h"

#include <QHostAddress>
#include <QSslServer>
#include <QSslSocket>

namespace marigoldstep::io {

namespace {

// Limits how long a peer that never completes the handshake occupies a socket.
constexpr int handshake_timeout_ms = 2000;

// Uses the current TLS configuration for each connection.
class tls_server : public QSslServer {
public:
  using QSslServer::QSslServer;

private:
  void incomingConnection(qintptr descriptor) override {
    setSslConfiguration(tls_configuration());
    QSslServer::incomingConnection(descriptor);
  }
};

std::errc to_errc(QAbstractSocket::SocketError error) {
  switch (error) {
  case QAbstractSocket::ConnectionRefusedError:
    return std::errc::connection_refused;
  case QAbstractSocket::RemoteHostClosedError:
    return std::errc::connection_reset;
  case QAbstractSocket::SocketTimeoutError:
    return std::errc::timed_out;
  default:
    return std::errc::io_error;
  }
}

QTcpServer* make_server(QObject* parent) {
  if (!tls_enabled()) {
    return new QTcpServer(parent);
  }
  auto* server = new tls_server(parent);
  server->setHandshakeTimeout(handshake_timeout_ms);
  return server;
}

} // namespace

framed_connection::framed_connection(const QString& host, std::uint16_t port,
                                     QObject* parent)
    : QObject(parent),
      socket_(tls_enabled() ? new QSslSocket(this) : new QTcpSocket(this)) {
  connect_signals();
  if (auto* secure = qobject_cast<QSslSocket*>(socket_)) {
    secure->setSslConfiguration(tls_configuration());
    secure->connectToHostEncrypted(host, port, QString(fleet_certificate_name));
  } else {
    socket_->connectToHost(host, port);
  }
}

framed_connection::framed_connection(QTcpSocket* accepted, QObject* parent)
    : QObject(parent), socket_(accepted) {
  socket_->setParent(this);
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  connect_signals();
  // Bytes that arrived before the signals were connected are read from the event loop,
  // after the owner has set its callbacks.
  QMetaObject::invokeMethod(
      this, [this] { read_frames(); }, Qt::QueuedConnection);
}

void framed_connection::connect_signals() {
  if (auto* secure = qobject_cast<QSslSocket*>(socket_)) {
    connect(secure, &QSslSocket::encrypted, this, [this] { handle_open(); });
  } else {
    connect(socket_, &QTcpSocket::connected, this, [this] { handle_open(); });
  }
  connect(socket_, &QTcpSocket::readyRead, this, [this] { read_frames(); });
  connect(socket_, &QTcpSocket::bytesWritten, this, [this](qint64) {
    if (on_drained && socket_->bytesToWrite() == 0) {
      on_drained();
    }
  });
  connect(socket_, &QTcpSocket::disconnected, this,
          [this] { fail(std::make_error_code(std::errc::connection_reset)); });
  connect(socket_, &QTcpSocket::errorOccurred, this,
          [this](QAbstractSocket::SocketError it) {
            fail(std::make_error_code(to_errc(it)));
          });
}

void framed_connection::handle_open() {
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  if (on_open) {
    on_open();
  }
}

void framed_connection::read_frames() {
  if (closed_) {
    return;
  }
  const auto chunk = socket_->readAll();
  received_ += static_cast<std::uint64_t>(chunk.size());
  input_.append(chunk);
  const auto size = static_cast<std::size_t>(input_.size());
  const auto* data = reinterpret_cast<const std::uint8_t*>(input_.constData());
  // Keeps the bytes alive when a callback reenters this function.
  const QByteArray received = input_;
  input_.clear();
  std::size_t used = 0;
  while (!closed_) {
    std::error_code ec;
    const byte_view rest(data + used, size - used);
    const auto n = wire::frame_size(rest, ec);
    if (ec) {
      fail(ec);
      return;
    }
    if (n == 0) {
      break;
    }
    used += n;
    if (on_frame) {
      on_frame(rest.first(n));
    }
  }
  input_ = received.mid(static_cast<qsizetype>(used)) + input_;
}

bool framed_connection::send(const bytes& frame) {
  if (!is_open()) {
    return false;
  }
  sent_ += frame.size();
  socket_->write(reinterpret_cast<const char*>(frame.data()),
                 static_cast<qint64>(frame.size()));
  return true;
}

bool framed_connection::is_open() const {
  if (closed_ || socket_->state() != QAbstractSocket::ConnectedState) {
    return false;
  }
  const auto* secure = qobject_cast<const QSslSocket*>(socket_);
  return secure == nullptr || secure->isEncrypted();
}

std::size_t framed_connection::queued_bytes() const {
  return static_cast<std::size_t>(socket_->bytesToWrite());
}

void framed_connection::close() {
  socket_->disconnectFromHost();
}

void framed_connection::abort() {
  closed_ = true;
  socket_->abort();
}

void framed_connection::discard() {
  abort();
  deleteLater();
}

void framed_connection::fail(std::error_code ec) {
  if (closed_) {
    return;
  }
  closed_ = true;
  socket_->abort();
  if (on_closed) {
    on_closed(ec);
  }
}

framed_listener::framed_listener(QObject* parent)
    : QObject(parent), server_(make_server(this)) {
  // QSslServer adds a connection after its handshake, without emitting newConnection.
  connect(server_, &QTcpServer::pendingConnectionAvailable, this, [this] {
    while (auto* socket = server_->nextPendingConnection()) {
      auto* connection = new framed_connection(socket, this);
      if (on_connection) {
        on_connection(connection);
      }
    }
  });
}

std::error_code framed_listener::listen(const QString& host, std::uint16_t port) {
  if (server_->listen(QHostAddress(host), port)) {
    return {};
  }
  return std::make_error_code(server_->serverError() == QAbstractSocket::AddressInUseError
                                  ? std::errc::address_in_use
                                  : std::errc::address_not_available);
}

std::uint16_t framed_listener::port() const {
  return server_->serverPort();
}

void framed_listener::close() {
  server_->close();
}

} // namespace marigoldstep::io
