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

  // Of the process; set it before listen().
  void use_memory(std::shared_ptr<io::request_memory> memory);
  // The port must be the same on every control process, since redirects use it.
  std::error_code listen(const io::endpoint& address);
  void stop();

private:
  using connection = QPointer<io::http_connection>;

  void handle_request(io::http_connection& from, const io::http_request& request);
  void handle_report(const connection& from, const announced_server& server);
  void handle_store(const connection& from, const io::http_request& request);
  // Takes the reason why a change was not stored; empty when it was.
  using store_callback = std::function<void(const std::string& problem)>;
  void store(std::uint64_t version, bytes packed_text, store_callback done);
  bool forward(const connection& from, std::uint64_t version, const bytes& packed_text);
  void handle_read(const connection& from, const std::string& target);
  void handle_evacuation(const connection& from, const std::string& zone, bool evacuated);
  void complete_when_applied(std::uint64_t version, store_callback done);
  void redirect(const connection& from, const std::string& target);
  void redirect_to(const connection& from, const io::endpoint& to,
                   const std::string& target);
  bool redirect_read(const connection& from, const std::string& target);

  replica& group_;
  link_service& links_;
  io::http_listener listener_;
  std::uint16_t port_ = 0;
};

} // namespace marigoldstep::control
