#pragma once

#include "marigoldstep/io/http_server.h"
#include "marigoldstep/types.h"
#include "router/settings.h"

#include <QTcpServer>
#include <QTimer>

#include <memory>
#include <unordered_map>

namespace marigoldstep::router {

// Receives events of the connection whose request is in progress.
class caller_handler {
public:
  virtual ~caller_handler() = default;
  virtual void on_caller_disconnected() = 0;
  // Bytes of the response were written from the socket's buffer.
  virtual void on_bytes_sent() = 0;
};

// Connection from a caller.
struct caller_connection {
  QTcpSocket* socket = nullptr;
  time_point last_active_at{};
  std::uint64_t unparsed_bytes = 0;  // received since the last complete request
  caller_handler* handler = nullptr; // set while a request is in progress
  // Another request arrived while one was in progress. Their responses could be mixed up,
  // so the connection is closed after the first response.
  bool pipelined = false;
  bool discarding =
      false; // request refused; input is dropped until the connection closes
};

// HTTP server for callers. Limits the number of connections, the time without a complete
// request, and the size of a request.
class caller_server : public QObject {
public:
  caller_server(const router_limits& limits, QObject* parent);
  ~caller_server() override;

  // Called with a complete request, on a connection without another one in progress.
  std::function<void(const QHttpServerRequest&, caller_connection&)> on_request;
  // Maximum size of a request, including headers.
  std::uint64_t max_request_bytes = 2U << 20U;

  std::error_code start(const io::endpoint& listen);
  [[nodiscard]] std::uint16_t port() const;
  void stop_accepting();
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }

  QHttpServerResponder responder(const QHttpServerRequest& request,
                                 const caller_connection& connection) {
    return http_.responder(request, connection.socket);
  }
  // Ends the request in progress; the connection can be used for the next one.
  static void release(caller_connection& connection);

private:
  class listener : public QTcpServer {
  public:
    explicit listener(caller_server& owner) : owner_(owner) {}

  protected:
    void incomingConnection(qintptr descriptor) override;

  private:
    caller_server& owner_;
  };

  void add(QTcpSocket* socket);
  void handle_input(QTcpSocket* socket);
  void handle_request(const QHttpServerRequest& request, QTcpSocket* socket);
  void close_idle();

  router_limits limits_;
  io::http_server http_;
  std::unique_ptr<listener> listener_;
  QTimer timer_;
  std::uint64_t total_unparsed_bytes_ = 0; // of all connections
  std::unordered_map<QTcpSocket*, std::unique_ptr<caller_connection>> connections_;
};

} // namespace marigoldstep::router
