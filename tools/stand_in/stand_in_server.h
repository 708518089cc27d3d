#pragma once

#include "stand_in/response_writer.h"
#include "stand_in/settings.h"

#include <QUrlQuery>

namespace marigoldstep::stand_in {

// The parts of a request that the stand-ins use. Copied, because the HTTP server's
// request is only valid during its callback.
struct http_call {
  QByteArray method;
  QString path;
  QUrlQuery query;
  QByteArray body;
  QByteArray idempotency_key;
  QByteArray workspace;
  QByteArray chat;
  QByteArray priority;
};

// HTTP server common to both modes: fault injection and the health check.
class stand_in_server : public QObject {
public:
  stand_in_server(const stand_in_settings& settings, QObject* parent);

  // Handles a request other than /healthz and POST /admin/faults. The writer deletes
  // itself after the response.
  std::function<void(const http_call&, response_writer*)> on_call;
  // Called when the faults were changed.
  std::function<void(const fault_settings&)> on_faults;

  std::error_code start();
  [[nodiscard]] std::uint16_t port() const { return port_; }

private:
  void serve(const QHttpServerRequest& request, QTcpSocket* socket);
  void dispatch(const http_call& call, response_writer* writer);
  void set_faults(const QByteArray& body, response_writer* writer);
  void refuse_connections(milliseconds pause);

  io::endpoint listen_;
  http_server http_;
  std::uint16_t port_ = 0;
  fault_settings faults_;
};

inline constexpr auto json_type = "application/json";

} // namespace marigoldstep::stand_in
