#include <catch2/catch.hpp>

#include "control_group.h"

#include <algorithm>

using namespace marigoldstep;
using namespace control::test;
using gateway::test::gateway_fixture;
using gateway::test::routing_text;
using gateway::test::test_caller;

namespace {

constexpr auto operator_wait = milliseconds(1000);
constexpr const char* read_call =
    "GET /v1/Config.Read HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n";
constexpr double control_bytes_per_ms = 100;
constexpr std::uint32_t gateway_bytes_per_ms = 1000;

// A configuration of about 200 kB, which takes 2 s over a link of control.
std::string large_routing_text(std::uint64_t version) {
  constexpr int extra_routes = 1200;
  std::string routes;
  for (int i = 0; i < extra_routes; ++i) {
    const auto name = "extra-" + std::to_string(i);
    routes += R"({"name":")" + name + R"(","host":"h","path_prefix":"/)" + name +
              R"(/","type":"safe","timeout_ms":800,"target_latency_ms":300,)"
              R"("service":"s","max_attempts":2},)";
  }
  auto out = routing_text(version);
  const std::string list = R"("routes":[)";
  out.insert(out.find(list) + list.size(), routes);
  return out;
}

bool is_whole(const std::string& response) {
  const std::string field = "Content-Length: ";
  const auto at = response.find(field);
  const auto head = response.find("\r\n\r\n");
  return head != std::string::npos && at < head &&
         response.size() - head - 4 == std::stoul(response.substr(at + field.size()));
}

// Response to one call over a link of this bandwidth; empty if it isn't complete when the
// operator moves on.
std::string read_over_link(const io::endpoint& from, double bytes_per_ms) {
  QTcpSocket socket;
  QElapsedTimer timer;
  timer.start();
  socket.connectToHost(QString::fromStdString(from.host), from.port);
  socket.write(read_call);
  std::string response;
  wait_until(
      [&] {
        const auto sent = bytes_per_ms * static_cast<double>(timer.elapsed());
        const auto left =
            static_cast<qint64>(sent) - static_cast<qint64>(response.size());
        response += socket.read(std::max<qint64>(left, 0)).toStdString();
        return is_whole(response);
      },
      operator_wait);
  return is_whole(response) ? response : std::string();
}

// Where a redirect leads to.
io::endpoint location_of(const std::string& response) {
  const std::string field = "Location: http://";
  const auto at = response.find(field) + field.size();
  const auto colon = response.find(':', at);
  return {response.substr(at, colon - at),
          static_cast<std::uint16_t>(std::stoul(response.substr(colon + 1)))};
}

// Reads the configuration as the operator does, who follows two redirects.
std::string read_as_operator(io::endpoint from) {
  for (int redirects = 0;; ++redirects) {
    const bool is_gateway = from.host == control_group::gateway_host(1);
    auto response =
        read_over_link(from, is_gateway ? gateway_bytes_per_ms : control_bytes_per_ms);
    if (!starts_with_status(response, "307") || redirects == 2) {
      return response;
    }
    from = location_of(response);
  }
}

// Three control processes on slow links and a gateway that holds a large configuration.
struct slow_control_fixture {
  control_group control;
  prometheus::Registry registry;
  std::unique_ptr<gateway::gateway> gateway;

  explicit slow_control_fixture(std::uint32_t link_bytes_per_ms) {
    test_application();
    control.limits.link_bytes_per_ms = control_bytes_per_ms;
    control.start_all(3);
    gateway::gateway_settings settings;
    settings.node_id = "g";
    settings.host = control_group::gateway_host(1);
    settings.listen = gateway_fixture::free_address();
    settings.listen_ready = gateway_fixture::free_address();
    settings.first_port = static_cast<std::uint16_t>(
        control.link_port - static_cast<std::uint16_t>(io::fleet_port::links));
    settings.seeds = {api_of(1), api_of(2), api_of(3)};
    settings.link_bytes_per_ms = link_bytes_per_ms;
    gateway = std::make_unique<gateway::gateway>(settings, registry, nullptr);
    REQUIRE_FALSE(gateway->start());
    REQUIRE(wait_until([&] {
      return starts_with_status(
          call_api(api_of(1), "POST", "/v1/Config.Replace", large_routing_text(5)),
          "200");
    }));
    REQUIRE(wait_until([&] { return gateway->is_ready(); }));
    // Until control has received the version of the gateway and of its followers.
    run_event_loop(milliseconds(1000));
  }

  [[nodiscard]] io::endpoint api_of(int i) const {
    return {control_group::host(i), control.api_port};
  }
  [[nodiscard]] io::endpoint gateway_address() const {
    return {control_group::gateway_host(1),
            io::port_of(gateway->settings().first_port, io::fleet_port::reports)};
  }
};

std::string read_from(const io::endpoint& address) {
  return call_api(address, "GET", "/v1/Config.Read");
}

} // namespace

TEST_CASE("a configuration too large for control's links is read within the operator's "
          "wait") {
  const slow_control_fixture it(gateway_bytes_per_ms);
  for (const int i : {1, 2, 3}) {
    CHECK(read_as_operator(it.api_of(i)).ends_with(large_routing_text(5)));
  }
}

TEST_CASE("reads aren't redirected to a gateway whose link is as slow as control's") {
  const auto bytes_per_ms = GENERATE(0U, 100U);
  const slow_control_fixture it(bytes_per_ms);
  CHECK(read_from(it.api_of(2)).ends_with(large_routing_text(5)));
}

TEST_CASE("a gateway refuses reads without a quorum of control") {
  slow_control_fixture it(gateway_bytes_per_ms);
  REQUIRE(starts_with_status(read_from(it.gateway_address()), "200"));
  it.control.kill(2);
  it.control.kill(3);
  CHECK(starts_with_status(read_from(it.gateway_address()), "503"));
}

TEST_CASE("a gateway refuses reads while it holds an older configuration") {
  gateway_fixture it(gateway::test::unresponsive_server());
  const io::endpoint reads{it.subject->settings().host,
                           io::port_of(it.control.first_port(), io::fleet_port::reports)};
  CHECK(read_from(reads).ends_with(routing_text(1)));
  it.control.version = 2;
  CHECK(starts_with_status(read_from(reads), "503"));
  it.control.broadcast_status();
  REQUIRE(wait_until([&] { return it.subject->table()->config.version == 2; }));
  CHECK(read_from(reads).ends_with(routing_text(2)));
}

TEST_CASE("a gateway serves one read at a time") {
  gateway_fixture it(gateway::test::unresponsive_server());
  const io::endpoint reads{it.subject->settings().host,
                           io::port_of(it.control.first_port(), io::fleet_port::reports)};
  it.control.confirms_versions = false;
  test_caller first(reads);
  first.send(read_call);
  run_event_loop(milliseconds(100));
  CHECK(read_from(reads).find("another read is in progress") != std::string::npos);
  CHECK(first.wait_for("no leader confirmed"));
  it.control.confirms_versions = true;
  CHECK(starts_with_status(read_from(reads), "200"));
}
