#pragma once

#include "marigoldstep/io/http_server.h"
#include "stand_in/faults.h"

#include <QPointer>

namespace marigoldstep::stand_in {

// Writes one answer to a caller's connection and shows the faults asked for.
// Deletes itself after the end of the answer or of the connection.
class response_writer : public QObject {
public:
  response_writer(QHttpServerResponder responder, QTcpSocket* socket,
                  const fault_settings& faults, QObject* parent);

  // Called once when the connection ended before the answer did.
  std::function<void()> on_caller_gone;

  // Starts an answer of body_size bytes; a negative size means chunked.
  void start(int status, const QByteArray& content_type, std::int64_t body_size);
  void write(const QByteArray& data);
  // Ends the answer; the object must not be used afterwards.
  void finish();
  // A whole answer in one call.
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
  bool stopped_ = false; // by a fault
};

} // namespace marigoldstep::stand_in
