#include "marigoldstep/io/framed_connection.h"

#include "marigoldstep/wire.h"

#include <QHostAddress>

namespace marigoldstep::io {

framed_connection::framed_connection(const QString& host, std::uint16_t port,
                                     QObject* parent)
    : QObject(parent), socket_(new QTcpSocket(this)) {
  connect_signals();
  socket_->connectToHost(host, port);
}

framed_connection::framed_connection(QTcpSocket* accepted, QObject* parent)
    : QObject(parent), socket_(accepted) {
  socket_->setParent(this);
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  connect_signals();
  // Bytes that came before the signals were connected are read from the event
  // loop, when the owner has set its callbacks.
  QMetaObject::invokeMethod(
      this, [this] { read_frames(); }, Qt::QueuedConnection);
}

void framed_connection::connect_signals() {
  connect(socket_, &QTcpSocket::connected, this, [this] {
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    if (on_open) {
      on_open();
    }
  });
  connect(socket_, &QTcpSocket::readyRead, this, [this] { read_frames(); });
  connect(socket_, &QTcpSocket::bytesWritten, this, [this](qint64) {
    if (on_drained && socket_->bytesToWrite() == 0) {
      on_drained();
    }
  });
  connect(socket_, &QTcpSocket::disconnected, this,
          [this] { fail(std::make_error_code(std::errc::connection_reset)); });
  connect(socket_, &QTcpSocket::errorOccurred, this,
          [this](QAbstractSocket::SocketError) {
            fail(std::make_error_code(std::errc::connection_refused));
          });
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
  // Keeps the bytes alive when a callback leads back into this function.
  const QByteArray hold = input_;
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
  input_ = hold.mid(static_cast<qsizetype>(used)) + input_;
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
  return !closed_ && socket_->state() == QAbstractSocket::ConnectedState;
}

std::size_t framed_connection::queued_bytes() const {
  return static_cast<std::size_t>(socket_->bytesToWrite());
}

void framed_connection::close() {
  socket_->disconnectFromHost();
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
    : QObject(parent), server_(new QTcpServer(this)) {
  connect(server_, &QTcpServer::newConnection, this, [this] {
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
  return std::make_error_code(std::errc::address_not_available);
}

std::uint16_t framed_listener::port() const {
  return server_->serverPort();
}

void framed_listener::close() {
  server_->close();
}

} // namespace marigoldstep::io
