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

void watch(backend_connection& connection, exchange_result& result) {
  connection.on_head = [&](const http_head& head) {
    result.statuses.push_back(head.status);
  };
  connection.on_body = [&](const std::string& piece) { result.body += piece; };
  connection.on_done = [&] { result.done = true; };
  connection.on_failed = [&](exchange_failure why) { result.failure = why; };
}

// Sends one request to a server that answers with the script.
exchange_result exchange(const std::vector<server_step>& script) {
  scripted_server server({script});
  backend_pool pool(nullptr);
  exchange_result result;
  auto* connection = pool.acquire(server.address());
  watch(*connection, result);
  connection->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", false);
  REQUIRE(wait_until([&] { return result.ended(); }));
  pool.discard(connection);
  return result;
}

} // namespace

TEST_CASE("an answer without a length is whole when its connection ends in order") {
  const auto result =
      exchange({write_text("HTTP/1.1 200 OK\r\n\r\nwhole"), close_in_order()});
  CHECK(result.done);
  CHECK(result.body == "whole");
}

TEST_CASE("an answer without a length isn't whole when its connection is reset") {
  const auto result = exchange(
      {write_text("HTTP/1.1 200 OK\r\n\r\npart"), pause_script(50), reset_connection()});
  CHECK_FALSE(result.done);
  CHECK(result.failure == exchange_failure::closed);
}

TEST_CASE("a truncated answer fails") {
  const auto result = exchange(
      {write_text("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"), close_in_order()});
  CHECK(result.failure == exchange_failure::closed);
}

TEST_CASE("bytes that are no answer fail") {
  const auto result = exchange({write_text("what is this\r\n\r\n")});
  CHECK(result.failure == exchange_failure::malformed);
}

TEST_CASE("an interim answer isn't the answer") {
  const auto result = exchange({write_text(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")});
  CHECK(result.done);
  CHECK(result.statuses == std::vector<unsigned>{200});
  CHECK(result.body == "ok");
}

TEST_CASE("nothing was sent when nobody listens") {
  endpoint target;
  {
    const scripted_server server({});
    target = server.address();
  }
  backend_pool pool(nullptr);
  exchange_result result;
  auto* connection = pool.acquire(target);
  watch(*connection, result);
  connection->send("GET / HTTP/1.1\r\n\r\n", false);
  REQUIRE(wait_until([&] { return result.ended(); }));
  CHECK(result.failure == exchange_failure::not_connected);
  pool.discard(connection);
}

TEST_CASE("an answer to another request can be skipped") {
  scripted_server server(
      {{write_text("HTTP/1.1 200 OK\r\nX: other\r\nContent-Length: 3\r\n\r\nbad"
                   "HTTP/1.1 200 OK\r\nX: mine\r\nContent-Length: 4\r\n\r\ngood")}});
  backend_pool pool(nullptr);
  exchange_result result;
  auto* connection = pool.acquire(server.address());
  watch(*connection, result);
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

TEST_CASE("a connection is used again, unless bytes came that nobody asked for") {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  const std::string extra = GENERATE(std::string(), std::string("HTTP/1.1 200 OK\r\n"));
  scripted_server server({{write_text(answer), pause_script(50), write_text(extra)}});
  backend_pool pool(nullptr);
  exchange_result result;
  auto* first = pool.acquire(server.address());
  watch(*first, result);
  first->send("GET / HTTP/1.1\r\n\r\n", false);
  REQUIRE(wait_until([&] { return result.ended(); }));
  pool.release(first, duration(5000), 1);
  run_event_loop(std::chrono::milliseconds(150));
  auto* second = pool.acquire(server.address());
  CHECK((pool.connects() == 1) == extra.empty());
  pool.discard(second);
}

TEST_CASE("no more connections stay idle than the server's part allows") {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  scripted_server server(
      {{write_text(answer), pause_script(500)}, {write_text(answer), pause_script(500)}});
  backend_pool pool(nullptr);
  exchange_result results[2];
  backend_connection* connections[2];
  for (int i = 0; i < 2; ++i) {
    connections[i] = pool.acquire(server.address());
    watch(*connections[i], results[i]);
    connections[i]->send("GET / HTTP/1.1\r\n\r\n", false);
  }
  REQUIRE(wait_until([&] { return results[0].ended() && results[1].ended(); }));
  pool.release(connections[0], duration(5000), 1);
  pool.release(connections[1], duration(5000), 1);
  CHECK(pool.acquire(server.address()) == connections[0]);
  CHECK(pool.connects() == 2);
  pool.acquire(server.address());
  CHECK(pool.connects() == 3);
}
