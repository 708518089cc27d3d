#pragma once

#include "control/link_service.h"
#include "control/replica.h"
#include "marigoldstep/io/http_connection.h"

#include <QPointer>

namespace marigoldstep::control {

// HTTP API for backend servers, which send their reports, and for the operator, who
// stores and reads the routing configuration. Redirects requests to store it to the
// leader.
class api : public QObject {
public:
  api(replica& group, link_service& links, QObject* parent);

  // The port must be the same on every control process, since redirects use it.
  std::error_code listen(const io::endpoint& address);
  void stop();

private:
  using connection = QPointer<io::http_connection>;

  void handle_request(io::http_connection& from, const io::http_request& request);
  void handle_report(const connection& from, const announced_server& server);
  void handle_store(const connection& from, const io::http_request& request);
  void store(const connection& from, std::uint64_t version, const std::string& text);
  void handle_read(const connection& from);
  void respond_when_applied(const connection& from, std::uint64_t version);
  void redirect(const connection& from, const std::string& target);
  [[nodiscard]] bool tolerates_losses() const;

  replica& group_;
  link_service& links_;
  io::http_listener listener_;
  std::uint16_t port_ = 0;
};

} // namespace marigoldstep::control
