#pragma once

#include "marigoldstep/io/http_connection.h"
#include "marigoldstep/types.h"
#include "router/settings.h"

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
  io::http_connection* http = nullptr;
  caller_handler* handler = nullptr; // set while a request is in progress
};

// HTTP server for callers. Limits the number of connections, the time without a complete
// request, and the size of a request. A request that arrives before the response to the
// one before it isn't run.
class caller_server : public QObject {
public:
  caller_server(const router_limits& limits, std::shared_ptr<io::request_memory> memory,
                QObject* parent);
  ~caller_server() override;
  caller_server(const caller_server&) = delete;
  caller_server& operator=(const caller_server&) = delete;

  // Called with a complete request, on a connection without another one in progress.
  std::function<void(const io::http_request&, caller_connection&)> on_request;

  // In bytes; of requests that begin later.
  void set_max_body_bytes(std::uint64_t n) { listener_.limits.message.body_bytes = n; }
  std::error_code start(const io::endpoint& listen);
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  void stop_accepting() { listener_.stop_accepting(); }
  [[nodiscard]] std::size_t connections() const { return listener_.connections(); }

  // Ends the request in progress; the connection can be used for the next one.
  static void release(caller_connection& connection) { connection.handler = nullptr; }

private:
  void handle_request(io::http_connection& from, const io::http_request& request);
  caller_connection& find_or_add(io::http_connection& from);

  std::unordered_map<io::http_connection*, std::unique_ptr<caller_connection>>
      connections_; // that have sent a request
  io::http_listener listener_;
};

} // namespace marigoldstep::router
