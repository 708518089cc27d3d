#pragma once

#include "marigoldstep/io/http_server.h"
#include "marigoldstep/types.h"
#include "router/settings.h"

#include <QTcpServer>
#include <QTimer>

#include <memory>
#include <unordered_map>

namespace marigoldstep::router {

// Told about the connection on which a request is being answered.
class caller_handler {
public:
  virtual ~caller_handler() = default;
  virtual void on_caller_disconnected() = 0;
  // Bytes of the answer left the socket's buffer.
  virtual void on_bytes_sent() = 0;
};

// One connection of a caller.
struct caller_connection {
  QTcpSocket* socket = nullptr;
  time_point last_active_at{};
  std::uint64_t unparsed_bytes = 0;  // received since the last whole request
  caller_handler* handler = nullptr; // while a request is being answered
  // A second request came before the first was answered. Answering it could mix
  // the answers up, so the connection is closed after the first one.
  bool pipelined = false;
  bool discarding = false; // refused; input is dropped until it is closed
};

// Accepts callers and bounds what one of them can hold: connections, time
// without a whole request, bytes of one request.
class caller_server : public QObject {
public:
  caller_server(const router_limits& limits, QObject* parent);
  ~caller_server() override;

  // A whole request, on a connection that has no other request in progress.
  std::function<void(const QHttpServerRequest&, caller_connection&)> on_request;
  // Largest accepted request, headers included.
  std::uint64_t max_request_bytes = 2U << 20U;

  std::error_code start(const io::endpoint& listen);
  [[nodiscard]] std::uint16_t port() const;
  void stop_accepting();
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }

  QHttpServerResponder responder(const QHttpServerRequest& request,
                                 const caller_connection& connection) {
    return http_.responder(request, connection.socket);
  }
  // The answer on this connection is done.
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
