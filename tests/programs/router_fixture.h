#pragma once

#include "marigoldstep/io/clock.h"
#include "router/router.h"

#include <QCoreApplication>
#include <QElapsedTimer>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace marigoldstep::router::test {

inline QCoreApplication& application() {
  static int argc = 1;
  static char name[] = "router_test";
  static char* argv[] = {name, nullptr};
  static QCoreApplication app(argc, argv);
  return app;
}

// Runs the event loop until done() holds. Returns false on timeout.
inline bool wait_for(const std::function<bool()>& done, int limit_ms = 5000) {
  QElapsedTimer timer;
  timer.start();
  while (!done()) {
    if (timer.elapsed() > limit_ms) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 5);
  }
  return true;
}

inline const char* const test_configuration = R"(
fleet: test
pools: [{name: pool, models: [m]}]
services:
  - name: booking
    rules: [{method: POST, path: /bookings, repeatable: false}]
workspaces: [{name: w, models: [m], short_deadline_ms: 5000}]
limits: {max_body_bytes: 4096}
)";

// Replies to heartbeats, configuration fetches and claims with the values that a test
// sets.
struct fake_control {
  io::framed_listener listener{nullptr};
  std::uint64_t version = 1;
  std::string text = test_configuration;
  std::vector<server_info> servers;
  std::uint64_t membership_version = 1;
  std::vector<wire::ClaimRequestT> claims;
  wire::ClaimReplyT claim_reply;
  bool replies_to_claims = true;

  fake_control() {
    listener.listen("127.0.0.1", 0);
    listener.on_connection = [this](io::framed_connection* connection) {
      connection->on_frame = [this, connection](byte_view buf) {
        std::error_code ec;
        auto frame = wire::decode_control(buf, ec);
        respond(*connection, *frame);
      };
    };
  }

  void respond(io::framed_connection& to, const wire::ControlFrameT& frame) {
    const auto send = [&](auto body) {
      to.send(wire::encode(wire::control_frame(std::move(body), frame.correlation)));
    };
    if (frame.body.AsHeartbeat() != nullptr) {
      wire::HeartbeatAckT ack;
      ack.term = 1;
      ack.accepted_version = version;
      ack.lease_ms = 2000;
      ack.membership_term = 1;
      ack.membership_version = membership_version;
      ack.full = true;
      for (const auto& it : servers) {
        ack.changes.push_back(std::make_unique<wire::ServerEntryT>(io::to_wire(it)));
      }
      send(std::move(ack));
    } else if (frame.body.AsFetchConfig() != nullptr) {
      wire::ConfigReplyT reply;
      reply.version = version;
      reply.text = text;
      send(std::move(reply));
    } else if (const auto* claim = frame.body.AsClaimRequest()) {
      claims.push_back(*claim);
      if (replies_to_claims) {
        send(claim_reply);
      }
    }
  }
};

// An agent whose responses a test scripts.
struct fake_agent {
  std::unique_ptr<io::framed_listener> listener;
  io::framed_connection* connection = nullptr;
  const io::framed_connection* greeted = nullptr;
  std::string node_id;
  incarnation started = 1;
  std::uint16_t port = 0;
  std::vector<wire::StartAttemptT> starts;
  std::vector<wire::ResumeAttemptT> resumes;
  std::vector<wire::AttemptAckT> acks;
  int detach_count = 0;
  int cancel_count = 0;
  std::uint64_t config_version = 1;
  std::uint32_t protocol = 1;
  bool repeats_hello = true; // false: replies to the first Hello of a connection only
  // Called with each start; no response when unset.
  std::function<void(const wire::StartAttemptT&)> on_start;
  std::function<void(const wire::ResumeAttemptT&)> on_resume;

  explicit fake_agent(std::string id) : node_id(std::move(id)) { listen(); }

  void listen() {
    listener = std::make_unique<io::framed_listener>(nullptr);
    listener->listen("127.0.0.1", port);
    port = listener->port();
    listener->on_connection = [this](io::framed_connection* accepted) {
      connection = accepted;
      accepted->on_frame = [this](byte_view buf) { handle_frame(buf); };
      accepted->on_closed = [this, accepted](std::error_code) {
        if (connection == accepted) {
          connection = nullptr;
        }
      };
    };
  }

  void handle_frame(byte_view buf) {
    std::error_code ec;
    auto frame = wire::decode_data(buf, ec);
    if (frame->body.AsHello() != nullptr) {
      if (std::exchange(greeted, connection) == connection && !repeats_hello) {
        return;
      }
      wire::HelloT hello;
      hello.node_id = node_id;
      hello.incarnation = started;
      hello.protocol = protocol;
      send(std::move(hello));
    } else if (const auto* start = frame->body.AsStartAttempt()) {
      starts.push_back(*start);
      if (on_start) {
        on_start(*start);
      }
    } else if (const auto* resume = frame->body.AsResumeAttempt()) {
      resumes.push_back(*resume);
      if (on_resume) {
        on_resume(*resume);
      }
    } else if (const auto* ack = frame->body.AsAttemptAck()) {
      acks.push_back(*ack);
    } else if (frame->body.AsDetachAttempt() != nullptr) {
      ++detach_count;
    } else if (frame->body.AsCancelAttempt() != nullptr) {
      ++cancel_count;
    }
  }

  template <typename Body> void send(Body body) {
    auto frame = wire::data_frame(std::move(body), config_version);
    frame.load = std::make_unique<wire::LoadFacts>(1, 0, 100, 1000);
    connection->send(wire::encode(frame));
  }

  void send_head(const wire::AttemptId& id, std::uint16_t status = 200) {
    wire::AttemptHeadT head;
    head.attempt_id = std::make_unique<wire::AttemptId>(id);
    head.status = status;
    send(std::move(head));
  }
  void send_data(const wire::AttemptId& id, std::uint64_t offset, std::string_view text) {
    wire::AttemptDataT data;
    data.attempt_id = std::make_unique<wire::AttemptId>(id);
    data.offset = offset;
    data.data.assign(text.begin(), text.end());
    send(std::move(data));
  }
  void send_end(const wire::AttemptId& id, const outcome& result, std::uint64_t length) {
    wire::AttemptEndT end;
    end.attempt_id = std::make_unique<wire::AttemptId>(id);
    end.verdict = static_cast<wire::Verdict>(result.result);
    end.error_code = static_cast<std::uint16_t>(result.error.value());
    end.total_length = length;
    end.retry_after_ms = static_cast<std::uint32_t>(result.retry_after.count());
    send(std::move(end));
  }
  void send_complete_response(const wire::AttemptId& id, std::string_view text) {
    send_head(id);
    send_data(id, 0, text);
    send_end(id, completed(), text.size());
  }
  // Closes the connection as a network failure would, and continues to listen.
  void close_connection() {
    connection->close();
    connection = nullptr;
  }
  // Closes the listener and the connection, as when the process is killed.
  void stop_serving() {
    listener->close();
    if (connection != nullptr) {
      close_connection();
    }
  }
};

// A caller with its own connection.
struct fake_caller {
  QTcpSocket socket;
  std::string input;

  explicit fake_caller(std::uint16_t port) {
    QObject::connect(&socket, &QTcpSocket::readyRead, &socket,
                     [this] { input += socket.readAll().toStdString(); });
    socket.connectToHost("127.0.0.1", port);
    wait_for([this] { return socket.state() == QAbstractSocket::ConnectedState; });
  }

  void send(const std::string& method, const std::string& path,
            const std::string& headers, const std::string& body) {
    const auto text = method + " " + path + " HTTP/1.1\r\nHost: x\r\n" + headers +
                      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                      body;
    socket.write(text.data(), static_cast<qint64>(text.size()));
  }
  void send_chat(bool stream, const std::string& chat_id = "c1") {
    send("POST", "/v1/chat/completions",
         "X-Marigoldstep-Workspace: w\r\nX-Marigoldstep-Chat: " + chat_id + "\r\n",
         std::string(R"({"model":"m","messages":[],"stream":)") +
             (stream ? "true}" : "false}"));
  }
  void send_booking(const std::string& key) {
    send("POST", "/services/booking/bookings",
         "X-Marigoldstep-Workspace: w\r\nIdempotency-Key: " + key + "\r\n", "kettle 7");
  }

  [[nodiscard]] std::string body() const {
    const auto at = input.find("\r\n\r\n");
    return at == std::string::npos ? std::string() : input.substr(at + 4);
  }
  [[nodiscard]] bool is_closed() const {
    return socket.state() == QAbstractSocket::UnconnectedState;
  }
  // Whether the response is complete: Content-Length bytes or the last chunk arrived.
  [[nodiscard]] bool is_complete() const {
    const auto at = input.find("Content-Length: ");
    if (at != std::string::npos) {
      return body().size() >= std::stoul(input.substr(at + 16)) && !body().empty();
    }
    return body().ends_with("0\r\n\r\n");
  }
  [[nodiscard]] bool contains(std::string_view text) const {
    return input.find(text) != std::string::npos;
  }
  // Returns the joined data of the complete chunks.
  [[nodiscard]] std::string chunked_body() const {
    std::string out;
    const auto text = body();
    std::size_t at = 0;
    while (true) {
      const auto end = text.find("\r\n", at);
      if (end == std::string::npos) {
        return out;
      }
      const auto n = std::stoul(text.substr(at, end - at), nullptr, 16);
      if (n == 0 || end + 2 + n > text.size()) {
        return out;
      }
      out += text.substr(end + 2, n);
      at = end + 2 + n + 2;
    }
  }
  // Value of a response header; empty if it is missing.
  [[nodiscard]] std::string header(const std::string& name) const {
    const auto at = input.find(name + ": ");
    if (at == std::string::npos) {
      return {};
    }
    const auto from = at + name.size() + 2;
    return input.substr(from, input.find("\r\n", from) - from);
  }
};

// A router with two fake agents and a fake control group.
struct fleet_fixture {
  QCoreApplication& app = application();
  fake_control control;
  fake_agent agent_a{"a"};
  fake_agent agent_b{"b"};
  std::unique_ptr<router> daemon;

  server_info server(const fake_agent& agent, const std::string& service) const {
    server_info out;
    out.node_id = agent.node_id;
    out.incarnation = agent.started;
    out.service = service;
    out.host = "127.0.0.1";
    out.port = agent.port;
    if (service == "pool") {
      out.models = {"m"};
    }
    return out;
  }

  void start(std::vector<server_info> servers, router_limits limits = {}) {
    control.servers = std::move(servers);
    router_settings settings;
    settings.node_id = "r1";
    settings.listen = {"127.0.0.1", 0};
    settings.admin = {"127.0.0.1", 0};
    settings.control = {{"127.0.0.1", control.listener.port()}};
    settings.limits = limits;
    daemon = std::make_unique<router>(settings, nullptr);
    daemon->start();
    wait_for([this] { return daemon->is_ready() && !daemon->fleet().services.empty(); });
  }
  fake_caller caller() const { return fake_caller(daemon->port()); }
};

} // namespace marigoldstep::router::test
