#pragma once

#include "load/checker.h"

#include <QTcpSocket>
#include <QTimer>

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

// One request on a connection of its own. Qt's network access manager is not
// used: Qt 6.4.2 sends a POST a second time by itself when the connection closes
// before the status line, also with "Connection: close" on a fresh connection.
class http_exchange : public QObject {
public:
  // Fails after idle_timeout without a byte from the other side.
  http_exchange(http_request request, duration idle_timeout, QObject* parent);
  ~http_exchange() override;

  // First bytes of the answer's body.
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
  QTimer idle_timer_;
  std::unique_ptr<parser_state> parser_;
  QByteArray input_;
  bool sent_ = false;
  bool first_byte_seen_ = false;
  bool done_ = false;
};

} // namespace marigoldstep::load
