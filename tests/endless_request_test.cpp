#include "endless_peer.h"
#include "event_loop.h"
#include "marigoldstep/io/http_connection.h"

#include <catch2/catch.hpp>

// Guards against clients whose requests never end and fill the memory of a process or
// stay connected. Gateways and control processes read their requests through this
// listener.

using namespace marigoldstep;
using namespace marigoldstep::io;

namespace {

// Of the whole process for one connection, with the client's side.
constexpr std::size_t max_growth_bytes = 8U << 20U;
constexpr auto header_timeout = milliseconds(500);
// The header timeout, the time for which a rejected client may read its response, and
// time for the test.
constexpr auto max_held = header_timeout + milliseconds(1000 + 500);

std::vector<endless_bytes> requests_without_end() {
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
  const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  return {{"GET /", "x"},
          {head + "X: ", "x"},
          {head, "X: x\r\n"},
          {chunked, "0"},
          {chunked + "5;a=", "x"},
          {chunked + "0\r\n", "X: x\r\n"},
          {chunked, "5\r\nhello\r\n"},
          {head + "Content-Length: 99999999\r\n\r\n", "x"},
          {"", "garbage\n"},
          {"", "\r\n"},
          {"GET / HTTP/1.1\r\n\r\n", "x"}};
}

} // namespace

TEST_CASE("requests without end are ended by a listener's limits") {
  const auto per_byte = std::chrono::milliseconds(GENERATE(0, 10));
  CAPTURE(per_byte.count());
  test_application();
  http_listener listener(nullptr);
  listener.limits.header_timeout = header_timeout;
  listener.on_request = [](http_connection& from, const http_request&) {
    from.respond(200, {}, "ok");
  };
  REQUIRE_FALSE(listener.listen("127.0.0.1", 0));
  const memory_watch memory;
  std::vector<std::unique_ptr<endless_client>> clients;
  for (auto what : requests_without_end()) {
    what.pause_per_byte = per_byte;
    clients.push_back(
        std::make_unique<endless_client>(endpoint{"127.0.0.1", listener.port()}, what));
  }
  const auto is_done = [](const auto& it) { return it->done.load(); };
  // A client may see the end before the listener's event loop does.
  CHECK(wait_until(
      [&] {
        return std::all_of(clients.begin(), clients.end(), is_done) &&
               listener.connections() == 0;
      },
      max_held));
  for (const auto& it : clients) {
    CHECK(it->closed_by_reader);
  }
  CHECK(memory.growth() < clients.size() * max_growth_bytes);
}
