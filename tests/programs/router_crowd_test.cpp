#include <catch2/catch.hpp>

#include "crowd_check.h"
#include "router_fixture.h"

// Guards against clients that end mstep-router by the memory or descriptors that their
// requests take, or that keep ordinary callers from being served. Real processes, with
// low limits.

using namespace marigoldstep;

namespace {

constexpr std::size_t memory_mb = 72;
constexpr std::size_t max_fds = 400;
constexpr std::size_t clients = 60;
constexpr std::size_t max_body = 2U << 20U;
constexpr std::size_t max_head = 64U << 10U;

const std::string configuration = R"(
fleet: test
pools: [{name: pool, models: [m]}]
services:
  - name: booking
    rules: [{method: POST, path: /bookings, repeatable: false}]
workspaces: [{name: w, models: [m], short_deadline_ms: 5000}]
limits: {max_body_bytes: 2097152}
)";

class router_process {
public:
  router_process() {
    control_.text = configuration;
    agent_.on_start = [this](const wire::StartAttemptT& start) {
      if (start.chat_id == "ordinary") {
        agent_.send_complete_response(*start.attempt_id, "done");
      }
    };
    server_info entry;
    entry.node_id = agent_.node_id;
    entry.incarnation = agent_.started;
    entry.service = "pool";
    entry.host = "127.0.0.1";
    entry.port = agent_.port;
    entry.models = {"m"};
    control_.servers = {entry};
    program_ = std::make_unique<program_process>("mstep-router", settings());
  }

  [[nodiscard]] io::endpoint callers() const { return {host(), port_}; }
  [[nodiscard]] io::endpoint admin() const { return {host(), admin_port_}; }
  [[nodiscard]] crowd_target caller_target() {
    return {*program_, callers(),        memory_mb,     max_fds,
            callers(), ordinary_request, "\r\n\r\ndone"};
  }
  [[nodiscard]] crowd_target admin_target() {
    const auto request = [](int) {
      return std::string("GET /healthz HTTP/1.1\r\nHost: r\r\n\r\n");
    };
    return {*program_, admin(), memory_mb, max_fds, admin(), request, "\r\n\r\nok"};
  }

private:
  static std::string host() { return own_network_host(1); }
  static std::string ordinary_request(int /*n*/) {
    const std::string body = R"({"model":"m","messages":[]})";
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n"
           "X-Marigoldstep-Workspace: w\r\nX-Marigoldstep-Chat: ordinary\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  [[nodiscard]] std::string settings() const {
    return "node_id: r\nzone: a\nlisten: \"" + host() + ":" + std::to_string(port_) +
           "\"\nadmin: \"" + host() + ":" + std::to_string(admin_port_) +
           "\"\ncontrol: [\"127.0.0.1:" + std::to_string(control_.listener.port()) +
           "\"]\nmemory_mb: " + std::to_string(memory_mb) +
           "\nmax_fds: " + std::to_string(max_fds) + "\n";
  }

  QCoreApplication& application_ = test_application(); // before any socket
  router::test::fake_control control_;
  router::test::fake_agent agent_{"a"};
  std::uint16_t port_ = gateway::test::gateway_fixture::free_address().port;
  std::uint16_t admin_port_ = gateway::test::gateway_fixture::free_address().port;
  std::unique_ptr<program_process> program_;
};

} // namespace

TEST_CASE("mstep-router bears crowds at its port for callers") {
  const auto kinds = crowd_kinds("POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n"
                                 "X-Marigoldstep-Workspace: w\r\n",
                                 "/nowhere", max_body, max_head);
  const auto i = GENERATE_COPY(range(std::size_t{0}, kinds.size()));
  router_process it;
  check_crowd(it.caller_target(), kinds[i], clients);
}

TEST_CASE("mstep-router bears crowds at its admin port") {
  const auto kinds =
      crowd_kinds("POST /x HTTP/1.1\r\nHost: r\r\n", "/metrics", max_body, max_head);
  const auto i = GENERATE_COPY(range(std::size_t{0}, kinds.size()));
  router_process it;
  check_crowd(it.admin_target(), kinds[i], clients);
}
