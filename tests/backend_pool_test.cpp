#include "marigoldstep/io/backend_pool.h"

#include "event_loop.h"
#include "scripted_server.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;
using namespace marigoldstep::io;

namespace {

struct exchange_result {
  std::vector<unsigned> statuses;
  std::string body;
  bool done = false;
  std::optional<exchange_failure> failure;
  [[nodiscard]] bool ended() const { return done || failure; }
};

void record_events(backend_connection& connection, exchange_result& result) {
  connection.on_head = [&](const http_head& head) {
    result.statuses.push_back(head.status);
  };
  connection.on_body = [&](const std::string& piece) { result.body += piece; };
  connection.on_done = [&] { result.done = true; };
  connection.on_failed = [&](exchange_failure why) { result.failure = why; };
}

// Sends one request to a server that responds with the script.
exchange_result exchange(const std::vector<server_step>& script) {
  scripted_server server({script});
  backend_pool pool(nullptr);
  exchange_result result;
  auto* connection = pool.acquire(server.address(), "r1");
  record_events(*connection, result);
  connection->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", false);
  REQUIRE(wait_until([&] { return result.ended(); }));
  pool.discard(connection);
  return result;
}

} // namespace

TEST_CASE("a response without a length is complete when its connection is closed") {
  const auto result =
      exchange({write_text("HTTP/1.1 200 OK\r\n\r\nwhole"), close_in_order()});
  CHECK(result.done);
  CHECK(result.body == "whole");
}

TEST_CASE("a response without a length is incomplete when its connection is reset") {
  const auto result = exchange(
      {write_text("HTTP/1.1 200 OK\r\n\r\npart"), pause_script(50), reset_connection()});
  CHECK_FALSE(result.done);
  CHECK(result.failure == exchange_failure::closed);
}

TEST_CASE("an exchange fails if the response is truncated") {
  const auto result = exchange(
      {write_text("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"), close_in_order()});
  CHECK(result.failure == exchange_failure::closed);
}

TEST_CASE("an exchange fails if the response is not valid HTTP") {
  const auto result = exchange({write_text("what is this\r\n\r\n")});
  CHECK(result.failure == exchange_failure::malformed);
}

// Guards against a number that is no status code and reaches a caller as an answer
// (MIXED).
TEST_CASE("an exchange fails if the response's status is out of range") {
  const std::string status = GENERATE("000", "099", "600", "999");
  const auto result =
      exchange({write_text("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok")});
  CHECK(result.failure == exchange_failure::malformed);
  CHECK(result.statuses.empty());
}

TEST_CASE("an interim response does not end the exchange") {
  const auto result = exchange({write_text(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")});
  CHECK(result.done);
  CHECK(result.statuses == std::vector<unsigned>{200});
  CHECK(result.body == "ok");
}

TEST_CASE("an exchange fails as refused if nothing listens at the address") {
  endpoint target;
  {
    const scripted_server server({});
    target = server.address();
  }
  backend_pool pool(nullptr);
  exchange_result result;
  auto* connection = pool.acquire(target, "r2");
  record_events(*connection, result);
  connection->send("GET / HTTP/1.1\r\n\r\n", false);
  REQUIRE(wait_until([&] { return result.ended(); }));
  REQUIRE(result.failure);
  CHECK(*result.failure == exchange_failure::refused);
  CHECK(is_unconnected(*result.failure));
  pool.discard(connection);
}

TEST_CASE("a response to another request can be skipped") {
  scripted_server server(
      {{write_text("HTTP/1.1 200 OK\r\nX: other\r\nContent-Length: 3\r\n\r\nbad"
                   "HTTP/1.1 200 OK\r\nX: mine\r\nContent-Length: 4\r\n\r\ngood")}});
  backend_pool pool(nullptr);
  exchange_result result;
  auto* connection = pool.acquire(server.address(), "r3");
  record_events(*connection, result);
  connection->on_head = [&](const http_head& head) {
    if (*find_field(head, "X") == "other") {
      connection->skip_response();
    }
  };
  connection->send("GET / HTTP/1.1\r\n\r\n", false);
  REQUIRE(wait_until([&] { return result.ended(); }));
  CHECK(result.done);
  CHECK(result.body == "good");
  pool.discard(connection);
}

TEST_CASE("a connection is reused unless it received unexpected bytes while idle") {
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  const std::string extra = GENERATE(std::string(), std::string("HTTP/1.1 200 OK\r\n"));
  scripted_server server({{write_text(response), pause_script(50), write_text(extra)}});
  backend_pool pool(nullptr);
  exchange_result result;
  auto* first = pool.acquire(server.address(), "r4");
  record_events(*first, result);
  first->send("GET / HTTP/1.1\r\n\r\n", false);
  REQUIRE(wait_until([&] { return result.ended(); }));
  pool.release(first, milliseconds(5000), 1);
  run_event_loop(std::chrono::milliseconds(150));
  auto* second = pool.acquire(server.address(), "r5");
  CHECK((pool.connects() == 1) == extra.empty());
  pool.discard(second);
}

TEST_CASE("a pool keeps at most the given number of idle connections per server") {
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  scripted_server server({{write_text(response), pause_script(500)},
                          {write_text(response), pause_script(500)}});
  backend_pool pool(nullptr);
  exchange_result results[2];
  backend_connection* connections[2];
  for (int i = 0; i < 2; ++i) {
    connections[i] = pool.acquire(server.address(), "r6");
    record_events(*connections[i], results[i]);
    connections[i]->send("GET / HTTP/1.1\r\n\r\n", false);
  }
  REQUIRE(wait_until([&] { return results[0].ended() && results[1].ended(); }));
  pool.release(connections[0], milliseconds(5000), 1);
  pool.release(connections[1], milliseconds(5000), 1);
  CHECK(pool.acquire(server.address(), "r7") == connections[0]);
  CHECK(pool.connects() == 2);
  pool.acquire(server.address(), "r8");
  CHECK(pool.connects() == 3);
}

// A server may close itself to requests while a connection to it is being opened.
TEST_CASE("a request is withheld if it may not be sent once the connection is open") {
  scripted_server server({{write_text("HTTP/1.1 200 OK\r\n\r\n")}});
  backend_pool pool(nullptr);
  exchange_result result;
  auto* connection = pool.acquire(server.address(), "r9");
  record_events(*connection, result);
  connection->may_send = [] { return false; };
  connection->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", false);
  REQUIRE(wait_until([&] { return result.ended(); }));
  CHECK(result.failure == exchange_failure::withheld);
  CHECK(server.requests.empty());
  pool.discard(connection);
}

namespace {

constexpr std::size_t large_body_bytes = 16U << 20U; // more than socket buffers hold

std::string large_request_head() {
  return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(large_body_bytes) + "\r\n\r\n";
}

// A server that reads nothing before it is told to.
struct waiting_server {
  QCoreApplication& application = test_application();
  QTcpServer listener;
  QTcpSocket* socket = nullptr;
  std::string received;

  waiting_server() {
    REQUIRE(listener.listen(QHostAddress::LocalHost, 0));
    QObject::connect(&listener, &QTcpServer::newConnection, &listener, [this] {
      socket = listener.nextPendingConnection();
      socket->setReadBufferSize(1);
    });
  }
  [[nodiscard]] endpoint address() const { return {"127.0.0.1", listener.serverPort()}; }
  void read_all() {
    socket->setReadBufferSize(0);
    wait_until([&] {
      received += socket->readAll().toStdString();
      return received.size() >= large_request_head().size() + large_body_bytes;
    });
  }
};

} // namespace

// Guards against copies of large requests, held for servers that read slowly.
TEST_CASE("a body is written as the server reads it, and arrives whole") {
  constexpr std::size_t max_held_bytes = 400U << 10U;
  waiting_server server;
  backend_pool pool(nullptr);
  exchange_result result;
  std::string body(large_body_bytes, 'x');
  body.back() = 'y';
  auto* connection = pool.acquire(server.address(), "r1");
  connection->detects_lost_peer = false; // it would end the connection of such a server
  record_events(*connection, result);
  connection->send(large_request_head(), false, body);
  REQUIRE(wait_until([&] { return server.socket != nullptr; }));
  run_event_loop(std::chrono::milliseconds(300));
  CHECK(connection->held_bytes() <= max_held_bytes);
  server.read_all();
  CHECK(server.received == large_request_head() + body);
  pool.discard(connection);
}

// Guards against the rest of a body that the server takes for the next request.
TEST_CASE("a connection is not reused if the response came before the whole request") {
  waiting_server server;
  backend_pool pool(nullptr);
  exchange_result result;
  const std::string body(large_body_bytes, 'x');
  auto* connection = pool.acquire(server.address(), "r1");
  record_events(*connection, result);
  connection->send(large_request_head(), false, body);
  REQUIRE(wait_until([&] { return server.socket != nullptr; }));
  server.socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  REQUIRE(wait_until([&] { return result.ended(); }));
  CHECK(result.done);
  CHECK_FALSE(connection->is_reusable());
  pool.discard(connection);
}
