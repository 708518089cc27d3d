#include "stand_in/stand_in_server.h"

#include <QMetaEnum>
#include <QTimer>

namespace marigoldstep::stand_in {

namespace {

http_call make_call(const QHttpServerRequest& request) {
  http_call out;
  const auto methods = QMetaEnum::fromType<QHttpServerRequest::Method>();
  out.method = QByteArray(methods.valueToKey(int(request.method()))).toUpper();
  out.path = request.url().path();
  out.query = request.query();
  out.body = request.body();
  out.idempotency_key = request.value("Idempotency-Key");
  out.workspace = request.value("X-Marigoldstep-Workspace");
  out.chat = request.value("X-Marigoldstep-Chat");
  out.priority = request.value("X-Priority");
  return out;
}

bool is_admin(const http_call& call) {
  return call.path.startsWith("/admin/") || call.path == "/healthz" ||
         call.path == "/load" || call.path == "/events" || call.path == "/runs";
}

} // namespace

stand_in_server::stand_in_server(const stand_in_settings& settings, QObject* parent)
    : QObject(parent), listen_(settings.listen), http_(nullptr) {
  http_.on_request = [this](const QHttpServerRequest& request, QTcpSocket* socket) {
    serve(request, socket);
  };
}

std::error_code stand_in_server::start() {
  const auto ec = http_.start(QString::fromStdString(listen_.host),
                              port_ != 0 ? port_ : listen_.port);
  port_ = ec ? port_ : http_.port();
  return ec;
}

void stand_in_server::serve(const QHttpServerRequest& request, QTcpSocket* socket) {
  const auto call = make_call(request);
  socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  const auto faults = is_admin(call) ? fault_settings{} : consume_faults(faults_);
  auto* writer =
      new response_writer(http_.responder(request, socket), socket, faults, this);
  if (faults.fail) {
    writer->send_response(500, json_type, R"({"error":"fault on command"})");
  } else if (faults.delay.count() > 0) {
    QTimer::singleShot(faults.delay, Qt::PreciseTimer, writer,
                       [this, call, writer] { dispatch(call, writer); });
  } else {
    dispatch(call, writer);
  }
}

void stand_in_server::dispatch(const http_call& call, response_writer* writer) {
  if (call.path == "/healthz") {
    writer->send_response(200, "text/plain", "ok\n");
  } else if (call.path == "/admin/faults" && call.method == "POST") {
    set_faults(call.body, writer);
  } else {
    on_call(call, writer);
  }
}

void stand_in_server::set_faults(const QByteArray& body, response_writer* writer) {
  const auto parsed = parse_faults(body);
  if (!parsed) {
    writer->send_response(400, json_type, R"({"error":"unusable faults"})");
    return;
  }
  faults_ = *parsed;
  if (on_faults) {
    on_faults(faults_);
  }
  writer->send_response(200, json_type, "{}");
  if (faults_.refuse_for.count() > 0) {
    refuse_connections(faults_.refuse_for);
  }
}

void stand_in_server::refuse_connections(milliseconds pause) {
  http_.stop_accepting();
  QTimer::singleShot(pause, this, [this] {
    if (const auto ec = start()) {
      io::log_event(io::log_level::error, "listen_failed", {{"error", ec.message()}});
    }
  });
}

} // namespace marigoldstep::stand_in
