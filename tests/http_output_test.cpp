#include <catch2/catch.hpp>

#include "event_loop.h"
#include "loopback_address.h"
#include "marigoldstep/io/backend_pool.h"
#include "marigoldstep/io/http_connection.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <array>
#include <functional>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

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

namespace {

// Bytes that a listener sends in response to one request, and how its connection ended.
struct raw_response {
  std::string text;
  bool is_reset = false;
};

raw_response exchange(const std::string& request,
                      const std::function<void(io::http_connection&)>& respond) {
  test_application();
  const auto host = own_loopback_host();
  const auto port = free_port_on_own_host();
  io::http_listener listener(nullptr);
  listener.on_request = [&](io::http_connection& from, const io::http_request&) {
    respond(from);
  };
  REQUIRE_FALSE(listener.listen(host, port));
  QTcpSocket caller;
  raw_response out;
  // Qt reports a reset like an orderly close, and closes its descriptor before it does.
  int duplicate_fd = -1;
  QObject::connect(&caller, &QTcpSocket::connected, &caller, [&] {
    duplicate_fd = ::dup(static_cast<int>(caller.socketDescriptor()));
  });
  caller.connectToHost(QString::fromStdString(host), port);
  caller.write(QByteArray::fromStdString(request));
  REQUIRE(wait_until([&] {
    out.text += caller.readAll().toStdString();
    return duplicate_fd >= 0 && caller.state() == QAbstractSocket::UnconnectedState;
  }));
  struct tcp_info info {};
  socklen_t n = sizeof(info);
  REQUIRE(::getsockopt(duplicate_fd, IPPROTO_TCP, TCP_INFO, &info, &n) == 0);
  out.is_reset = info.tcpi_state == TCP_CLOSE;
  ::close(duplicate_fd);
  return out;
}

std::string body_of(const std::string& response) {
  return response.substr(response.find("\r\n\r\n") + 4);
}

} // namespace

// Guards against bytes after a response that has no body, which the client takes for the
// next response of its connection (RFC 9112, section 6.3, point 1).
TEST_CASE("a response that never has a body ends with its header") {
  const unsigned status = GENERATE(204U, 304U);
  const bool is_streamed = GENERATE(true, false);
  const auto got = exchange("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
                            [&](io::http_connection& from) {
                              if (is_streamed) {
                                from.begin(status, {}, std::nullopt);
                                from.write_body("piece");
                                from.finish();
                              } else {
                                from.respond(status, {}, "text");
                              }
                            });
  CHECK(got.text.starts_with("HTTP/1.1 " + std::to_string(status)));
  CHECK(got.text.find("Transfer-Encoding") == std::string::npos);
  CHECK(got.text.find("Content-Length") == std::string::npos);
  CHECK(body_of(got.text).empty());
}

// Guards against a caller that stores a wrong length from the response to HEAD.
TEST_CASE("a response to HEAD has no body and no length that isn't known") {
  const auto got =
      exchange("HEAD / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
               [&](io::http_connection& from) { from.respond(200, {}, ""); });
  CHECK(got.text.find("Content-Length") == std::string::npos);
  CHECK(body_of(got.text).empty());
}

// Guards against chunk sizes that a client without chunked coding takes for the body (RFC
// 9112, section 6.1), and against a response that looks whole although it was cut.
TEST_CASE("a streamed response to an HTTP/1.0 client ends with its connection") {
  const bool is_whole = GENERATE(true, false);
  const auto got = exchange("GET / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n",
                            [&](io::http_connection& from) {
                              from.begin(200, {}, std::nullopt);
                              from.write_body("one ");
                              from.write_body("two");
                              if (is_whole) {
                                from.finish();
                              } else {
                                from.abort();
                              }
                            });
  CHECK(got.text.find("Transfer-Encoding") == std::string::npos);
  CHECK(got.is_reset != is_whole);
  if (is_whole) {
    CHECK(body_of(got.text) == "one two");
  }
}
