#include "stand_in/service_server.h"

#include <QTimer>

namespace marigoldstep::stand_in {

service_server::service_server(const stand_in_settings& settings, QObject* parent)
    : stand_in_server(settings, parent), work_(settings.work) {
  on_call = [this](const http_call& call, response_writer* writer) {
    handle(call, writer);
  };
}

void service_server::handle(const http_call& call, response_writer* writer) {
  if (call.path == "/runs") {
    const auto key = call.query.queryItemValue("key").toStdString();
    writer->send_response(200, json_type, render_runs(runs_, key));
    return;
  }
  service_call made;
  made.method = call.method.toStdString();
  made.path = call.path.toStdString();
  made.key = call.idempotency_key.toStdString();
  made.body = call.body;
  // The call runs now even when its caller leaves before the answer.
  const auto response = run_call(runs_, made);
  QTimer::singleShot(work_, Qt::PreciseTimer, writer, [writer, response] {
    writer->send_response(200, json_type, response);
  });
}

} // namespace marigoldstep::stand_in
