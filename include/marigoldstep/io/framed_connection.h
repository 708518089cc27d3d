#pragma once

#include "marigoldstep/types.h"

#include <QObject>
#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <system_error>

namespace marigoldstep::io {

// A connection over TCP, or mutual TLS when tls_enabled(), that carries size-prefixed
// frames. A frame longer than wire::max_frame_bytes closes it. Callbacks run on the
// thread that owns the connection and may destroy it with deleteLater().
class framed_connection : public QObject {
public:
  // Starts connecting; on_open or on_closed follows.
  framed_connection(const QString& host, std::uint16_t port, QObject* parent);
  // Takes ownership of an accepted socket.
  framed_connection(QTcpSocket* accepted, QObject* parent);

  // Called with each complete frame, prefix included. The view is valid during the
  // call only.
  std::function<void(byte_view)> on_frame;
  std::function<void()> on_open;
  // Called once, when the connection failed, the peer closed it, or the peer sent a
  // frame over the size limit.
  std::function<void(std::error_code)> on_closed;
  // Called when all queued output was passed to the operating system.
  std::function<void()> on_drained;

  // Queues a frame. Returns false, and writes nothing, when the connection is not open.
  bool send(const bytes& frame);
  [[nodiscard]] bool is_open() const;
  // Bytes queued and not yet passed to the operating system.
  [[nodiscard]] std::size_t queued_bytes() const;
  // Sends what is queued and closes.
  void close();
  // Closes at once, discards queued output and calls none of the callbacks any more.
  void abort();
  // Aborts, and deletes the connection from the event loop. The callbacks live until
  // then: one of them may be running, and what it captured with it.
  void discard();
  // Bytes sent and received since the connection began.
  [[nodiscard]] std::uint64_t bytes_sent() const { return sent_; }
  [[nodiscard]] std::uint64_t bytes_received() const { return received_; }

private:
  void connect_signals();
  void handle_open();
  void read_frames();
  void fail(std::error_code ec);

  QTcpSocket* socket_;
  QByteArray input_;
  std::uint64_t sent_ = 0;
  std::uint64_t received_ = 0;
  bool closed_ = false;
};

// Listens for framed connections. Peers that fail the TLS handshake never reach
// on_connection. Port 0 picks a free port, which port() returns.
class framed_listener : public QObject {
public:
  explicit framed_listener(QObject* parent);

  // The listener is the parent of the new connection until the owner sets another.
  std::function<void(framed_connection*)> on_connection;

  // Returns an error when the address cannot be bound.
  std::error_code listen(const QString& host, std::uint16_t port);
  [[nodiscard]] std::uint16_t port() const;
  void close();

private:
  QTcpServer* server_;
};

} // namespace marigoldstep::io
