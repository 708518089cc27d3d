#include "stand_in/http_server.h"

#include <QTcpServer>

namespace marigoldstep::stand_in {

std::error_code http_server::start(const QString& host, std::uint16_t port) {
  port_ = listen(QHostAddress(host), port);
  if (port_ == 0) {
    return std::make_error_code(std::errc::address_not_available);
  }
  return {};
}

void http_server::stop_accepting() {
  for (auto* it : servers()) {
    it->close();
  }
}

bool http_server::handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) {
  if (!on_request) {
    return false;
  }
  on_request(request, socket);
  return true;
}

void http_server::missingHandler(const QHttpServerRequest& request, QTcpSocket* socket) {
  responder(request, socket).write(QHttpServerResponder::StatusCode::NotFound);
}

} // namespace marigoldstep::stand_in
