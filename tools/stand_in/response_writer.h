#pragma once

#include "stand_in/faults.h"
#include "stand_in/http_server.h"

#include <QPointer>

namespace marigoldstep::stand_in {

// Writes one response to a caller's connection and injects the given faults. Deletes
// itself when the response or the connection ends.
class response_writer : public QObject {
public:
  response_writer(QHttpServerResponder responder, QTcpSocket* socket,
                  const fault_settings& faults, QObject* parent);

  // Called once if the connection ends before the response.
  std::function<void()> on_caller_disconnected;

  // Starts a response of body_size bytes; a negative size selects chunked encoding.
  void start(int status, const QByteArray& content_type, std::int64_t body_size);
  void write(const QByteArray& data);
  // Ends the response; the object must not be used afterwards.
  void finish();
  // Sends a complete response.
  void send_response(int status, const QByteArray& content_type, const QByteArray& body);

private:
  void write_body(const QByteArray& data);
  void close_connection();
  void release();

  QHttpServerResponder responder_;
  QPointer<QTcpSocket> socket_;
  fault_settings faults_;
  std::int64_t sent_ = 0;
  bool chunked_ = false;
  bool stopped_ = false; // a fault ended the output, or the writer was released
};

} // namespace marigoldstep::stand_in
