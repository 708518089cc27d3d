#pragma once

#include "agent/agent.h"
#include "marigoldstep/io/clock.h"

#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

// Fakes of the control group, a backend server and a router for an agent that runs in
// the test process.
namespace agent_harness {

using namespace marigoldstep;

inline void ensure_application() {
  static int argc = 1;
  static char name[] = "agent_test";
  static char* argv[] = {name, nullptr};
  static QCoreApplication app(argc, argv);
}

// Runs the event loop until done() holds. Returns false on timeout.
inline bool wait_for(const std::function<bool()>& done,
                     milliseconds limit = milliseconds(5000)) {
  const auto until = io::now() + limit;
  while (!done()) {
    if (io::now() >= until) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
  }
  return true;
}

struct fake_control {
  fake_control() {
    listener.on_connection = [this](io::framed_connection* it) {
      it->on_frame = [this, it](byte_view buf) { handle(*it, buf); };
      it->on_closed = [it](std::error_code) { it->deleteLater(); };
    };
    REQUIRE_FALSE(listener.listen("127.0.0.1", 0));
  }

  void handle(io::framed_connection& from, byte_view buf) {
    std::error_code ec;
    const auto frame = wire::decode_control(buf, ec);
    REQUIRE(frame);
    if (const auto* body = frame->body.AsHeartbeat()) {
      last_heartbeat = *body;
      wire::HeartbeatAckT ack;
      ack.accepted_version = version;
      ack.lease_ms = 2000;
      ack.pool_mean_milli = mean_milli;
      ack.pool_servers = 3;
      ++heartbeats;
      reply(from, frame->correlation, std::move(ack));
    } else if (frame->body.AsFetchConfig() != nullptr) {
      wire::ConfigReplyT config;
      config.version = version;
      config.text = text;
      reply(from, frame->correlation, std::move(config));
    } else if (const auto* claim = frame->body.AsClaimRequest()) {
      claims.push_back(*claim);
      const auto claim_result = on_claim(*claim);
      if (claim_result) {
        reply(from, frame->correlation, wire::ClaimReplyT(*claim_result));
      }
    }
  }

  template <typename Body>
  void reply(io::framed_connection& to, std::uint64_t correlation, Body body) {
    to.send(wire::encode(wire::control_frame(std::move(body), correlation)));
  }

  std::size_t count_claims(wire::ClaimKind kind) const {
    return static_cast<std::size_t>(
        std::count_if(claims.begin(), claims.end(),
                      [kind](const auto& it) { return it.kind == kind; }));
  }

  static std::unique_ptr<wire::ClaimReplyT> claim_reply(wire::ClaimOutcome outcome) {
    auto out = std::make_unique<wire::ClaimReplyT>();
    out->outcome = outcome;
    return out;
  }

  // By default grants every claim and commits every response; null sends no reply.
  std::function<std::unique_ptr<wire::ClaimReplyT>(const wire::ClaimRequestT&)> on_claim =
      [](const wire::ClaimRequestT& request) {
        switch (request.kind) {
        case wire::ClaimKind::claim:
          return claim_reply(wire::ClaimOutcome::granted);
        case wire::ClaimKind::complete:
          return claim_reply(wire::ClaimOutcome::completed);
        default:
          return claim_reply(wire::ClaimOutcome::unknown);
        }
      };

  io::framed_listener listener{nullptr};
  std::uint64_t version = 3;
  std::uint32_t mean_milli = 4000;
  std::string text = "fleet: test\n"
                     "pools: [{name: engines, models: [m]}]\n"
                     "services: [{name: pool, rules: [{method: POST, path: /book, "
                     "repeatable: false}, {method: '*', path: /, repeatable: true}]}]\n"
                     "workspaces: [{name: w}]\n"
                     "limits: {load_floor: 4, engine_slots: 2, resume_window_ms: 400, "
                     "drain_limit_ms: 5000, max_answer_bytes: 2000000}\n";
  std::size_t heartbeats = 0;
  wire::HeartbeatT last_heartbeat;
  std::vector<wire::ClaimRequestT> claims;
};

// A backend server that writes scripted bytes as its responses.
struct fake_backend {
  struct call {
    QByteArray head;
    QByteArray body;
    QTcpSocket* socket = nullptr;
    bool closed = false;
  };

  fake_backend() {
    QObject::connect(&server, &QTcpServer::newConnection, &server, [this] { accept(); });
    REQUIRE(server.listen(QHostAddress::LocalHost, 0));
  }

  void accept() {
    while (auto* socket = server.nextPendingConnection()) {
      auto it = std::make_shared<call>();
      it->socket = socket;
      QObject::connect(socket, &QTcpSocket::readyRead, socket,
                       [this, it] { read(*it, it); });
      QObject::connect(socket, &QTcpSocket::disconnected, socket, [it] {
        it->closed = true;
        it->socket->deleteLater();
      });
    }
  }

  void read(call& it, const std::shared_ptr<call>& shared) {
    it.body += it.socket->readAll();
    const auto end = it.body.indexOf("\r\n\r\n");
    if (it.head.isEmpty() && end >= 0) {
      it.head = it.body.left(end);
      it.body = it.body.mid(end + 4);
    }
    const auto field = it.head.toLower().indexOf("content-length: ");
    const auto line = it.head.mid(field + 16);
    const auto body_size = field < 0 ? 0 : line.left(line.indexOf('\r')).toInt();
    if (!it.head.isEmpty() && it.body.size() >= body_size) {
      calls.push_back(shared);
      on_call(it);
    }
  }

  static void write(call& it, const QByteArray& text, bool close) {
    it.socket->write(text);
    if (close) {
      it.socket->disconnectFromHost();
    }
  }

  static QByteArray complete_response(const QByteArray& body) {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " +
           QByteArray::number(body.size()) + "\r\n\r\n" + body;
  }

  std::function<void(call&)> on_call = [](call& it) {
    write(it, complete_response("hello"), true);
  };
  QTcpServer server;
  std::vector<std::shared_ptr<call>> calls;
};

struct fake_router {
  explicit fake_router(std::uint16_t port, const std::string& host = "127.0.0.1")
      : connection(std::make_unique<io::framed_connection>(QString::fromStdString(host),
                                                           port, nullptr)) {
    connection->on_frame = [this](byte_view buf) { handle(buf); };
    REQUIRE(wait_for([this] { return received_hello; }));
  }

  void handle(byte_view buf) {
    std::error_code ec;
    auto frame = wire::decode_data(buf, ec);
    REQUIRE(frame);
    load = *frame->load;
    if (const auto* head = frame->body.AsAttemptHead()) {
      status = head->status;
    } else if (const auto* data = frame->body.AsAttemptData()) {
      REQUIRE(data->offset == first_offset + body.size());
      body.append(data->data.begin(), data->data.end());
      if (auto_acknowledge) {
        acknowledge(from_wire(*data->attempt_id), first_offset + body.size());
      }
    } else if (const auto* end = frame->body.AsAttemptEnd()) {
      ends.push_back(*end);
    } else if (const auto* notice = frame->body.AsServerNotice()) {
      received_draining = notice->draining;
    }
    received_hello = received_hello || frame->body.AsHello() != nullptr;
  }

  template <typename Body> void send(Body body) {
    connection->send(wire::encode(wire::data_frame(std::move(body), version)));
  }

  wire::StartAttemptT make_start(const attempt_id& id) const {
    wire::StartAttemptT out;
    out.attempt_id = std::make_unique<wire::AttemptId>(wire::to_wire(id));
    out.request_id = "r";
    out.workspace = "w";
    out.model = "m";
    out.service = "pool";
    out.method = "POST";
    out.path = "/v1/chat/completions";
    out.body = {'q'};
    out.deadline_ms = 8000;
    out.repeatable = true;
    out.server_incarnation = io::process_incarnation();
    return out;
  }

  wire::StartAttemptT make_non_repeatable_start(const attempt_id& id) const {
    auto out = make_start(id);
    out.path = "/book";
    out.repeatable = false;
    out.idempotency_key = std::to_string(io::wall_clock()) + "-k";
    return out;
  }

  void acknowledge(const attempt_id& id, std::uint64_t offset) {
    wire::AttemptAckT body;
    body.attempt_id = std::make_unique<wire::AttemptId>(wire::to_wire(id));
    body.offset = offset;
    send(std::move(body));
  }

  template <typename Body> void send_for_attempt(const attempt_id& id) {
    Body out;
    out.attempt_id = std::make_unique<wire::AttemptId>(wire::to_wire(id));
    send(std::move(out));
  }

  void resume(const attempt_id& id, std::uint64_t offset) {
    first_offset = offset;
    wire::ResumeAttemptT out;
    out.attempt_id = std::make_unique<wire::AttemptId>(wire::to_wire(id));
    out.offset = offset;
    send(std::move(out));
  }

  bool wait_for_end() {
    return wait_for([this] { return !ends.empty(); });
  }

  // "verdict/code" of the last ended attempt; "none" before one has ended.
  std::string last_result() const {
    if (ends.empty()) {
      return "none";
    }
    const auto code = errc_from_number(ends.back().error_code);
    return std::string(name(static_cast<verdict>(ends.back().verdict))) + "/" +
           std::string(name(code));
  }

  std::unique_ptr<io::framed_connection> connection;
  std::uint64_t version = 3;
  bool auto_acknowledge = true;
  bool received_hello = false;
  bool received_draining = false;
  std::uint16_t status = 0;
  std::uint64_t first_offset = 0;
  std::string body;
  std::vector<wire::AttemptEndT> ends;
  wire::LoadFacts load;
};

// The three fakes and, after start(), an agent that accepts attempts.
struct agent_fixture {
  agent_fixture() {
    ensure_application();
    control = std::make_unique<fake_control>();
    backend = std::make_unique<fake_backend>();
    settings.node_id = "agent-1";
    settings.zone = "z";
    settings.listen = {"127.0.0.1", 0};
    settings.admin = {"127.0.0.1", 0};
    settings.backend = {"127.0.0.1", backend->server.serverPort()};
    settings.control = {{"127.0.0.1", control->listener.port()}};
    settings.service = "pool";
    settings.models = {"m"};
    settings.idle_timeout = milliseconds(300);
    settings.claim_timeout = milliseconds(300);
  }

  // Starts the agent and waits until it has a lease and the mean load.
  agent::agent& start() {
    node = std::make_unique<agent::agent>(settings, nullptr);
    REQUIRE_FALSE(node->start());
    REQUIRE(wait_for([this] { return node->runner().mean_milli() > 0; }));
    return *node;
  }

  std::unique_ptr<fake_control> control;
  std::unique_ptr<fake_backend> backend;
  agent::agent_settings settings;
  std::unique_ptr<agent::agent> node;
};

} // namespace agent_harness
