#pragma once

#include "agent/backend_call.h"
#include "marigoldstep/error.h"

#include <QHttpServerResponder>
#include <QPointer>
#include <QTcpSocket>

#include <deque>
#include <memory>
#include <optional>

namespace marigoldstep::agent {

// A command for the backend server, such as loading a model.
struct order {
  std::string kind;
  std::string argument;
  std::uint64_t fencing = 0;

  friend bool operator==(const order&, const order&) = default;
};

// Nothing for a body that is not a JSON object with kind, argument and fencing.
std::optional<order> parse_order(const QByteArray& body);

// Passes orders on to the backend server, one at a time, so that a later one
// cannot overtake an earlier one.
class order_forwarder : public QObject {
public:
  order_forwarder(backend_client& backend, QObject* parent)
      : QObject(parent), backend_(backend) {}

  // Whether the backend server itself refuses stale fencing tokens; otherwise
  // they are refused here.
  std::function<bool()> server_checks_fencing;

  // Answers with the status of the backend server, or with a problem.
  void submit(const QByteArray& body, QHttpServerResponder responder, QTcpSocket* socket);

private:
  struct pending_order {
    order command;
    QHttpServerResponder responder;
    QPointer<QTcpSocket> socket;
    std::uint16_t status = 0;
    QByteArray response;
  };

  void send_next();
  void finish(backend_result result);

  backend_client& backend_;
  std::uint64_t last_fencing_ = 0;
  std::deque<pending_order> pending_;
  backend_call* call_ = nullptr;
};

} // namespace marigoldstep::agent
