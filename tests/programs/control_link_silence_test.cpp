#include "control_group.h"
#include "marigoldstep/io/control_links.h"

#include <catch2/catch.hpp>

// Guards against control links that stay in use after they fell silent, and against links
// that are cut while a large message is on its way.

using namespace marigoldstep;
using namespace control::test;
using direction = loopback_proxy::direction;

namespace {

constexpr auto stable_window = std::chrono::milliseconds(3000);
constexpr auto interval = std::chrono::milliseconds(20);
constexpr std::size_t bytes_per_interval = 500; // 0.2 Mbit/s
constexpr std::size_t text_bytes = 100'000;

// Writes the bytes at the rate of a slow link until all are sent or the connection ends.
bool write_slowly(QTcpSocket& to, const bytes& buf) {
  for (std::size_t at = 0; at < buf.size(); at += bytes_per_interval) {
    const auto n = std::min(bytes_per_interval, buf.size() - at);
    to.write(reinterpret_cast<const char*>(buf.data()) + at, static_cast<qint64>(n));
    run_event_loop(interval);
    if (to.state() != QAbstractSocket::ConnectedState) {
      return false;
    }
  }
  return true;
}

void write(QTcpSocket& to, const bytes& buf) {
  to.write(reinterpret_cast<const char*>(buf.data()), static_cast<qint64>(buf.size()));
}

} // namespace

TEST_CASE("a node confirms versions again soon after its control link falls silent") {
  test_application();
  control_group group;
  group.has_proxies = true;
  group.start_all(3);
  REQUIRE(wait_until([&] { return starts_with_status(group.store(1, 5), "200"); }));
  io::control_links links(
      {"n", false, "", group.link_port, "z", {control_group::host(1)}}, nullptr);
  REQUIRE_FALSE(links.start());
  REQUIRE(wait_until([&] { return links.has_leader_link(); }));
  const auto lost = GENERATE(direction::both, direction::to_target, direction::to_client);
  for (const auto& [i, it] : group.processes) {
    it.link_proxy->silence(lost);
  }
  bool confirmed = false;
  CHECK(wait_until(
      [&] {
        links.confirm_version([&](std::uint64_t version) { confirmed = version == 5; });
        run_event_loop(std::chrono::milliseconds(100));
        return confirmed;
      },
      stable_window));
}

TEST_CASE("a node's control link is not cut while a large text arrives slowly") {
  test_application();
  const auto host = own_loopback_host(50);
  const auto port = free_port_on_own_host();
  QTcpServer server;
  REQUIRE(server.listen(QHostAddress(QString::fromStdString(host)), port));
  io::control_links links({"n", false, "", port, "z", {host}}, nullptr);
  REQUIRE_FALSE(links.start());
  REQUIRE(wait_until([&] { return server.hasPendingConnections(); }));
  auto* socket = server.nextPendingConnection();
  write(*socket, wire::encode_link(wire::GroupStatusT()));
  wire::RoutingTextT text;
  text.packed_text.resize(text_bytes, 1);
  CHECK(write_slowly(*socket, wire::encode_link(std::move(text))));
}

TEST_CASE("a subscriber is not dropped while a large message of it arrives slowly") {
  test_application();
  control_group group;
  group.start(1, 1);
  QTcpSocket socket;
  socket.connectToHost(QString::fromStdString(control_group::host(1)), group.link_port);
  wire::SubscribeT hello;
  hello.node_id = "n";
  write(socket, wire::encode_link(std::move(hello)));
  REQUIRE(wait_until([&] { return socket.bytesAvailable() > 0; }));
  wire::ForwardRoutingT message;
  message.packed_text.resize(text_bytes, 1);
  CHECK(write_slowly(socket, wire::encode_link(std::move(message))));
}
