#include "stand_in/service_server.h"

#include <QTimer>

namespace marigoldstep::stand_in {

service_server::service_server(const stand_in_settings& settings, QObject* parent)
    : stand_in_server(settings, parent), call_duration_(settings.call_duration) {
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
  service_call service_request;
  service_request.method = call.method.toStdString();
  service_request.path = call.path.toStdString();
  service_request.key = call.idempotency_key.toStdString();
  service_request.body = call.body;
  // The call runs now, even if its caller disconnects before the response.
  const auto response = run_call(runs_, service_request);
  QTimer::singleShot(call_duration_, Qt::PreciseTimer, writer, [writer, response] {
    writer->send_response(200, json_type, response);
  });
}

} // namespace marigoldstep::stand_in
