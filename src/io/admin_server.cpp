#include "marigoldstep/io/admin_server.h"

#include <prometheus/text_serializer.h>

namespace marigoldstep::io {

using status = QHttpServerResponder::StatusCode;

admin_server::admin_server(QObject* parent)
    : http_server(parent), registry_(std::make_shared<prometheus::Registry>()) {
  on_request = [this](const QHttpServerRequest& request, QTcpSocket* socket) {
    serve(request, socket);
  };
}

QByteArray admin_server::metrics_text() {
  if (before_collect) {
    before_collect();
  }
  const prometheus::TextSerializer serializer;
  return QByteArray::fromStdString(serializer.Serialize(registry_->Collect()));
}

void admin_server::serve(const QHttpServerRequest& request, QTcpSocket* socket) {
  auto reply = responder(request, socket);
  const auto path = request.url().path();
  if (request.method() == QHttpServerRequest::Method::Delete) {
    reply.write(on_delete && on_delete(path) ? status::Ok : status::NotFound);
  } else if (path == "/metrics") {
    reply.write(metrics_text(), "text/plain; version=0.0.4");
  } else if (path == "/healthz") {
    reply.write("ok\n", "text/plain");
  } else if (path == "/readyz") {
    const bool ready = !is_ready || is_ready();
    reply.write(ready ? "ready\n" : "not ready\n", "text/plain",
                ready ? status::Ok : status::ServiceUnavailable);
  } else if (auto text = extra ? extra(path) : QByteArray(); !text.isEmpty()) {
    reply.write(text, "application/json");
  } else {
    reply.write(status::NotFound);
  }
}

} // namespace marigoldstep::io
