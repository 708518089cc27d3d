#pragma once

#include "agent/backend_call.h"
#include "marigoldstep/error.h"
#include "marigoldstep/io/http_connection.h"

#include <QPointer>

#include <deque>
#include <memory>
#include <optional>

namespace marigoldstep::agent {

// Command for the backend server, such as loading a model.
struct order {
  std::string kind;
  std::string argument;
  std::uint64_t fencing = 0; // fencing token, increases with each order

  friend bool operator==(const order&, const order&) = default;
};

// Returns nothing if the body is not a JSON object with valid fields kind, argument and
// fencing.
std::optional<order> parse_order(const QByteArray& body);

// Forwards orders to the backend server one at a time, so that their order is kept.
class order_forwarder : public QObject {
public:
  order_forwarder(backend_client& backend, QObject* parent)
      : QObject(parent), backend_(backend) {}

  // Returns whether the backend server checks fencing tokens itself. Stale tokens are
  // otherwise refused here.
  std::function<bool()> server_checks_fencing;

  // Responds with the status and body of the backend server's response, or with an error.
  void submit(const QByteArray& body, io::http_connection& from);

private:
  struct pending_order {
    order command;
    QPointer<io::http_connection> from;
    std::uint16_t status = 0;
    std::string response;
  };

  void send_next();
  void finish(backend_result result);

  backend_client& backend_;
  std::uint64_t last_fencing_ = 0;
  std::deque<pending_order> pending_;
  backend_call* call_ = nullptr;
};

} // namespace marigoldstep::agent
