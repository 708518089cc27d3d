#include <catch2/catch.hpp>

#include "crowd_check.h"

// Guards against clients that end a gateway by the memory or descriptors that their
// requests take, or that keep ordinary callers from being served. Real processes, with
// low limits.

using namespace marigoldstep;
using namespace marigoldstep::gateway::test;

namespace {

constexpr std::size_t memory_mb = 72;
constexpr std::size_t max_fds = 400;
constexpr std::size_t clients = 40;
constexpr std::size_t max_body = 4U << 20U;
constexpr std::size_t max_head = 16U << 10U;

// Long enough that no request of a crowd ends by its timeout first.
const std::string limits = R"({"header_bytes":16384,"body_bytes":4194304,)"
                           R"("header_timeout_ms":30000,"idle_timeout_ms":30000})";

class gateway_process {
public:
  gateway_process() {
    server_.make_script = [](const std::string& request) {
      const bool is_ordinary = request.find(" /safe/") != std::string::npos;
      return is_ordinary ? server_script{write_text(response_text("done"))}
                         : server_script{};
    };
    announced_server entry;
    entry.id = "s0";
    entry.started = entry.sequence = 1;
    entry.service = "s";
    entry.host = server_.address().host;
    entry.port = server_.address().port;
    entry.zone = "a";
    entry.slots = 64;
    control_.servers = {entry};
    control_.limits = limits;
    program_ = std::make_unique<program_process>("mstep-gateway", settings());
    REQUIRE(program_->wait_for_log("event=ready"));
  }

  [[nodiscard]] crowd_target caller_target() {
    return {*program_, callers(),        memory_mb, max_fds,
            callers(), ordinary_request, "done"};
  }
  // Of a port that takes GET requests.
  [[nodiscard]] crowd_target target(const io::endpoint& port, const std::string& path,
                                    const std::string& response) {
    const auto request = [path](int) {
      return "GET " + path + " HTTP/1.1\r\nHost: g\r\n\r\n";
    };
    return {*program_, port, memory_mb, max_fds, port, request, response};
  }
  static std::string host() { return own_network_host(1); }
  [[nodiscard]] io::endpoint callers() const { return {host(), port_}; }
  [[nodiscard]] io::endpoint readiness() const { return {host(), ready_port_}; }
  [[nodiscard]] io::endpoint fleet_port(io::fleet_port which) const {
    return {host(), io::port_of(control_.first_port(), which)};
  }
  // Whether the request of this client of a crowd reached the server in full.
  [[nodiscard]] bool has_arrived(std::size_t client) const {
    const auto id = ": crowd" + std::to_string(client) + "\r\n";
    return std::any_of(server_.requests.begin(), server_.requests.end(),
                       [&](const auto& it) { return it.find(id) != std::string::npos; });
  }

private:
  static std::string ordinary_request(int n) {
    return request_text("GET", "/safe/x", "ordinary" + std::to_string(n));
  }

  [[nodiscard]] std::string settings() const {
    const auto first = control_.first_port();
    return "node_id: g\nzone: a\nhost: " + host() + "\nlisten: " + host() + ":" +
           std::to_string(port_) + "\nlisten_ready: " + host() + ":" +
           std::to_string(ready_port_) + "\nports: [\"" + std::to_string(first) +
           "\", \"" + std::to_string(first + 9) +
           "\"]\nseeds: [\"127.0.0.1:1\"]\nretry_budget: {ratio: 1, extra: 100}\n" +
           "memory_mb: " + std::to_string(memory_mb) +
           "\nmax_fds: " + std::to_string(max_fds) + "\n";
  }

  scripted_server server_{std::vector<server_script>()};
  fake_control control_;
  std::uint16_t port_ = gateway_fixture::free_address().port;
  std::uint16_t ready_port_ = gateway_fixture::free_address().port;
  std::unique_ptr<program_process> program_;
};

const std::string caller_head =
    "POST /once/x HTTP/1.1\r\nHost: h\r\nMarigoldstep-Request-Id: crowd{n}\r\n"
    "Marigoldstep-Deadline-Ms: 30000\r\nAuthorization: Bearer KEY\r\n";
const std::string other_head = "POST /x HTTP/1.1\r\nHost: h\r\n";

} // namespace

TEST_CASE("a gateway bears crowds at its port for callers") {
  const auto kinds = crowd_kinds(caller_head, "/nowhere", max_body, max_head);
  const auto i = GENERATE_COPY(range(std::size_t{0}, kinds.size()));
  gateway_process it;
  const auto results = check_crowd(it.caller_target(), kinds[i], clients);
  for (std::size_t n = 0; n < results.size(); ++n) {
    const auto& [response, is_closed] = results[n];
    CAPTURE(n, response, is_closed);
    const bool is_refused = response.starts_with("HTTP/1.1 503 ");
    const bool is_cut = is_closed && response.empty();
    const bool has_arrived = it.has_arrived(n);
    // What was refused, or is incomplete, has not run; what runs is not cut off.
    CHECK_FALSE((has_arrived && (is_refused || is_cut || kinds[i].name != "whole")));
  }
}

TEST_CASE("a gateway bears crowds at its port for readiness checks") {
  const auto kinds = crowd_kinds(other_head, "/nowhere", max_body, max_head);
  const auto i = GENERATE_COPY(range(std::size_t{0}, kinds.size()));
  gateway_process it;
  check_crowd(it.target(it.readiness(), "/v1/ready", "HTTP/1.1 200 "), kinds[i], clients);
}

TEST_CASE("a gateway bears crowds at its port for servers' reports") {
  const auto kinds = crowd_kinds(other_head, "/nowhere", max_body, max_head);
  const auto i = GENERATE_COPY(range(std::size_t{0}, kinds.size()));
  gateway_process it;
  check_crowd(it.target(it.fleet_port(io::fleet_port::reports), "/x", "no such call"),
              kinds[i], clients);
}

TEST_CASE("a gateway bears crowds at its admin port") {
  const auto kinds = crowd_kinds(other_head, "/metrics", max_body, max_head);
  const auto i = GENERATE_COPY(range(std::size_t{0}, kinds.size()));
  gateway_process it;
  check_crowd(it.target(it.fleet_port(io::fleet_port::metrics), "/healthz", "\r\n\r\nok"),
              kinds[i], clients);
}
