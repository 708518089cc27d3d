#include <catch2/catch.hpp>

#include "event_loop.h"
#include "loopback_address.h"
#include "marigoldstep/io/backend_pool.h"
#include "marigoldstep/io/http_connection.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <array>
#include <sys/socket.h>

// Guards against output that waits for one more pass of the event loop. A pass of a
// router with hundreds of connections costs more than the write.

using namespace marigoldstep;

namespace {

std::string received_now(const QTcpSocket& from) {
  std::array<char, 4096> buf{};
  const auto n = ::recv(static_cast<int>(from.socketDescriptor()), buf.data(), buf.size(),
                        MSG_DONTWAIT);
  return n > 0 ? std::string(buf.data(), static_cast<std::size_t>(n)) : std::string();
}

} // namespace

TEST_CASE("responses and the pieces of a stream are sent at once") {
  test_application();
  const auto host = own_loopback_host();
  const auto port = free_port_on_own_host();
  io::http_listener listener(nullptr);
  io::http_connection* connection = nullptr;
  listener.on_request = [&](io::http_connection& from, const io::http_request&) {
    connection = &from;
  };
  REQUIRE_FALSE(listener.listen(host, port));
  QTcpSocket caller;
  caller.connectToHost(QString::fromStdString(host), port);
  caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(wait_until([&] { return connection != nullptr; }));
  SECTION("a response") {
    connection->respond(200, {}, "whole");
    CHECK(received_now(caller).ends_with("whole"));
  }
  SECTION("a piece of a stream") {
    connection->begin(200, {}, std::nullopt);
    connection->write_body("piece");
    CHECK(received_now(caller).ends_with("piece\r\n"));
    connection->finish();
    CHECK(received_now(caller) == "0\r\n\r\n");
  }
}

TEST_CASE("a request on an open connection is sent at once") {
  test_application();
  const auto host = own_loopback_host();
  QTcpServer server;
  REQUIRE(server.listen(QHostAddress(QString::fromStdString(host))));
  io::backend_pool pool(nullptr);
  const io::endpoint address{host, server.serverPort()};
  bool is_done = false;
  auto* connection = pool.acquire(address, "r1");
  connection->on_done = [&] { is_done = true; };
  connection->send("GET /1 HTTP/1.1\r\n\r\n", false);
  REQUIRE(wait_until([&] { return server.hasPendingConnections(); }));
  auto* peer = server.nextPendingConnection();
  REQUIRE(wait_until([&] { return peer->bytesAvailable() > 0; }));
  peer->readAll();
  peer->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(wait_until([&] { return is_done; }));
  pool.release(connection, milliseconds(5000), 1);
  const std::string request = "GET /2 HTTP/1.1\r\n\r\n";
  REQUIRE(pool.acquire(address, "r2") == connection);
  connection->send(request, false);
  CHECK(received_now(*peer) == request);
  pool.discard(connection);
}

TEST_CASE("a failed write is reported from the event loop, not to the sender") {
  test_application();
  const auto host = own_loopback_host();
  QTcpServer server;
  REQUIRE(server.listen(QHostAddress(QString::fromStdString(host))));
  io::backend_pool pool(nullptr);
  auto* connection = pool.acquire({host, server.serverPort()}, "r1");
  REQUIRE(wait_until(
      [&] { return server.hasPendingConnections() && connection->is_open(); }));
  auto* peer = server.nextPendingConnection();
  // Closes the connection with a reset, of which the sender hears by its first write.
  const linger reset{1, 0};
  const auto fd = static_cast<int>(peer->socketDescriptor());
  REQUIRE(::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset)) == 0);
  peer->abort();
  std::optional<io::exchange_failure> failure;
  connection->on_failed = [&](io::exchange_failure why) { failure = why; };
  connection->send("GET / HTTP/1.1\r\n\r\n", false);
  CHECK_FALSE(failure);
  REQUIRE(wait_until([&] { return failure.has_value(); }));
  CHECK(failure == io::exchange_failure::closed);
  pool.discard(connection);
}
