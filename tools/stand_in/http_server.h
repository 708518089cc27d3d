#pragma once

#include <QAbstractHttpServer>
#include <QHttpServerRequest>
#include <QHttpServerResponder>

#include <functional>
#include <system_error>

namespace marigoldstep::stand_in {

// Qt's HTTP server, extended by the raw socket of each request, so that a handler can
// stream its response and detect that the client disconnected.
class http_server : public QAbstractHttpServer {
public:
  explicit http_server(QObject* parent) : QAbstractHttpServer(parent) {}

  // The request is valid during the call only. The socket emits disconnected when the
  // client closes the connection.
  std::function<void(const QHttpServerRequest&, QTcpSocket*)> on_request;

  // Listens on host:port; port 0 picks a free one.
  std::error_code start(const QString& host, std::uint16_t port);
  [[nodiscard]] std::uint16_t port() const { return port_; }
  // Stops accepting new connections; open ones continue.
  void stop_accepting();

  QHttpServerResponder responder(const QHttpServerRequest& request, QTcpSocket* socket) {
    return makeResponder(request, socket);
  }

private:
  bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) override;
  void missingHandler(const QHttpServerRequest& request, QTcpSocket* socket) override;

  std::uint16_t port_ = 0;
};

} // namespace marigoldstep::stand_in
