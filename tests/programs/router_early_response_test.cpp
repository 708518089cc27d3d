#include <catch2/catch.hpp>

#include "early_server.h"
#include "loopback_address.h"
#include "program_process.h"
#include "router_fixture.h"

// Guards against a part of a response, or bytes without a valid status line, that a
// caller of mstep-router takes for a whole answer (MIXED), while the agent still sends
// the request's body and after it. Real processes.

using namespace marigoldstep;
using marigoldstep::test::connection_end;
using marigoldstep::test::early_response;
using marigoldstep::test::early_server;
using marigoldstep::test::raw_caller;

namespace {

constexpr std::size_t upload_bytes = 3U << 20U;
// Above what a router buffers before it forwards a response.
constexpr std::size_t large_part_bytes = 700'000;

const std::string configuration = R"(
fleet: test
pools: [{name: pool, models: [m]}]
workspaces: [{name: w, models: [m], short_deadline_ms: 8000}]
limits: {max_body_bytes: 8388608}
)";

// mstep-router and mstep-agent between a caller and the backend server.
class router_processes {
public:
  router_processes() {
    control_.text = configuration;
    const auto agent_port = free_port_on_own_host();
    agent_ = std::make_unique<program_process>(
        "mstep-agent",
        "node_id: a\nzone: a\nservice: pool\nmodels: [m]\nlisten: " +
            address(agent_port) + "admin: " + address(free_port_on_own_host()) +
            "backend: \"127.0.0.1:" + std::to_string(server.address().port) + "\"\n" +
            control_setting(),
        "event=listening");
    REQUIRE(agent_->wait_for_log("event=configuration_applied"));
    server_info entry;
    entry.node_id = "a";
    entry.incarnation = incarnation_of(agent_->log());
    entry.service = "pool";
    entry.host = own_loopback_host();
    entry.port = agent_port;
    entry.models = {"m"};
    control_.servers = {entry};
  }

  // Sends a large chat and checks what its caller gets.
  void check(const early_response& response, bool stream, const std::string& version) {
    CAPTURE(response.name, stream, version, server.reads_body);
    server.response = response;
    const auto before = server.requests;
    // A router of its own, which has yet to see its server fail.
    const io::endpoint callers{own_loopback_host(), free_port_on_own_host()};
    program_process router("mstep-router",
                           "node_id: r\nzone: a\nlisten: " + address(callers.port) +
                               "admin: " + address(free_port_on_own_host()) +
                               control_setting());
    REQUIRE(router.wait_for_log("event=configuration_applied"));
    raw_caller caller(callers);
    const auto body = R"({"model":"m","stream":)" +
                      std::string(stream ? "true" : "false") +
                      R"(,"messages":[{"role":"user","content":")" +
                      std::string(upload_bytes, 'u') + R"("}]})";
    const auto ended = caller.exchange(
        "POST /v1/chat/completions HTTP/" + version +
        "\r\nHost: r\r\nX-Marigoldstep-Workspace: w\r\nX-Marigoldstep-Chat: c\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
    REQUIRE(ended);
    CHECK(server.requests > before);
    const auto part = caller.received.substr(0, caller.received.find("\r\n\r\n"));
    CAPTURE(part, caller.is_closed, caller.is_reset);
    if (!response.whole_body.empty()) {
      CHECK(caller.status() == 200);
      CHECK(caller.is_whole());
      CHECK((caller.body() == response.whole_body));
    } else if (caller.is_whole()) {
      CHECK(caller.status() == 502);
      CHECK(caller.received.find(R"("verdict":"may_have_run")") != std::string::npos);
    } else {
      CHECK(caller.status() == 200); // begun before the end of the response was known
    }
  }

  early_server server;

private:
  static std::string address(std::uint16_t port) {
    return "\"" + own_loopback_host() + ":" + std::to_string(port) + "\"\n";
  }
  [[nodiscard]] std::string control_setting() const {
    return "control: [\"127.0.0.1:" + std::to_string(control_.listener.port()) + "\"]\n";
  }
  static incarnation incarnation_of(const std::string& log) {
    const std::string field = "incarnation=";
    const auto at = log.find(field);
    REQUIRE(at != std::string::npos);
    return std::stoull(log.substr(at + field.size()));
  }

  QCoreApplication& application_ = test_application(); // before any socket
  router::test::fake_control control_;
  std::unique_ptr<program_process> agent_;
};

} // namespace

TEST_CASE("a response that ends early never looks whole to a caller of mstep-router") {
  router_processes it;
  it.server.reads_body = GENERATE(false, true);
  const std::string small = "data: x\n\n";
  const std::string large = "data: " + std::string(large_part_bytes, 'x') + "\n\n";
  const std::string end_marker = "data: [DONE]\n\n";
  for (const bool stream : {true, false}) {
    const auto head = std::string("HTTP/1.1 200 OK\r\n") +
                      (stream ? "Content-Type: text/event-stream\r\n" : "");
    for (const auto& part : {small, large}) {
      auto responses = marigoldstep::test::truncated_responses(head, part);
      // The end of a connection does not prove to an agent that a response is whole.
      responses.push_back(
          {"no length, closed", head + "\r\n" + part, connection_end::in_order, {}});
      responses.push_back(
          {"whole",
           head + "Content-Length: " + std::to_string(part.size() + end_marker.size()) +
               "\r\n\r\n" + part + end_marker,
           connection_end::stays_open, part + end_marker});
      for (const auto& response : responses) {
        it.check(response, stream, "1.1");
        if (part.size() > small.size()) { // nothing of a small one is forwarded
          it.check(response, stream, "1.0");
        }
      }
    }
  }
}

TEST_CASE("a response without a valid status line is no answer of mstep-router") {
  router_processes it;
  it.server.reads_body = GENERATE(false, true);
  for (const bool stream : {true, false}) {
    const std::string version = stream ? "1.1" : "1.0";
    for (const auto& response : marigoldstep::test::invalid_status_lines("")) {
      it.check(response, stream, version);
    }
    it.check({"valid", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalid",
              connection_end::stays_open, "valid"},
             stream, version);
  }
}
