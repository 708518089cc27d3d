#include "stand_in/response_writer.h"

namespace marigoldstep::stand_in {

response_writer::response_writer(QHttpServerResponder responder, QTcpSocket* socket,
                                 const fault_settings& faults, QObject* parent)
    : QObject(parent), responder_(std::move(responder)), socket_(socket),
      faults_(faults) {
  connect(socket, &QTcpSocket::disconnected, this, [this] {
    const auto callback = std::exchange(on_caller_disconnected, nullptr);
    release();
    if (callback) {
      callback();
    }
  });
}

void response_writer::start(int status, const QByteArray& content_type,
                            std::int64_t body_size) {
  chunked_ = body_size < 0;
  responder_.writeStatusLine(static_cast<QHttpServerResponder::StatusCode>(status));
  responder_.writeHeader("Content-Type", content_type);
  if (chunked_) {
    responder_.writeHeader("Transfer-Encoding", "chunked");
  } else {
    responder_.writeHeader("Content-Length", QByteArray::number(qlonglong{
                                                 body_size + faults_.length_error}));
  }
  responder_.writeBody(QByteArray()); // ends the header section
}

void response_writer::write(const QByteArray& data) {
  if (stopped_ || !socket_) {
    return;
  }
  const auto n = sendable_bytes(faults_, sent_, data.size());
  write_body(data.left(static_cast<qsizetype>(n)));
  sent_ += n;
  stopped_ = n < data.size();
  if (stopped_ && faults_.cut_after_bytes == sent_) {
    close_connection();
  }
}

void response_writer::write_body(const QByteArray& data) {
  if (data.isEmpty()) {
    return; // an empty chunk would end the response
  }
  if (!chunked_) {
    responder_.writeBody(data);
    return;
  }
  responder_.writeBody(QByteArray::number(data.size(), 16) + "\r\n" + data + "\r\n");
}

void response_writer::finish() {
  if (stopped_) {
    return; // a stalled response stays open until the caller closes the connection
  }
  on_caller_disconnected = nullptr;
  if (socket_ && chunked_) {
    responder_.writeBody(QByteArray("0\r\n\r\n"));
  } else if (faults_.length_error != 0) {
    close_connection();
  }
  release();
}

void response_writer::send_response(int status, const QByteArray& content_type,
                                    const QByteArray& body) {
  start(status, content_type, body.size());
  write(body);
  finish();
}

void response_writer::close_connection() {
  if (!socket_) {
    return;
  }
  // Deferred to the event loop, because closing the connection calls back into the code
  // that is writing the response.
  QMetaObject::invokeMethod(
      socket_, [socket = socket_.data()] { socket->disconnectFromHost(); },
      Qt::QueuedConnection);
}

void response_writer::release() {
  if (socket_) {
    socket_->disconnect(this);
  }
  stopped_ = true;
  deleteLater();
}

} // namespace marigoldstep::stand_in
