#pragma once

#include "load/checker.h"
#include "marigoldstep/io/deadline_timer.h"

#include <QTcpSocket>

#include <functional>
#include <memory>

namespace marigoldstep::load {

struct http_header {
  QByteArray name;
  QByteArray value;
};

struct http_request {
  io::endpoint target;
  QByteArray method;
  QByteArray path;
  std::vector<http_header> headers;
  QByteArray body;
};

// Sends one request on its own connection. QNetworkAccessManager is not used: Qt 6.4.2
// silently resends a POST when the connection closes before the status line, even with
// "Connection: close" on a new connection.
class http_exchange : public QObject {
public:
  // The exchange ends when no byte is received for idle_timeout.
  http_exchange(http_request request, milliseconds idle_timeout, QObject* parent);
  ~http_exchange() override;

  // Called when the first bytes of the response body are received.
  std::function<void()> on_first_byte;
  // Called once; the object deletes itself afterwards.
  std::function<void(exchange_result)> on_done;

private:
  struct parser_state;

  void send_request();
  void read_response();
  void on_connection_end();
  void finish();

  http_request request_;
  QTcpSocket socket_;
  milliseconds idle_timeout_;
  io::deadline_timer idle_timer_;
  std::unique_ptr<parser_state> parser_;
  QByteArray input_;
  bool sent_ = false;
  bool first_byte_seen_ = false;
  bool done_ = false;
};

} // namespace marigoldstep::load
