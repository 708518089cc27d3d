#include <catch2/catch.hpp>

#include "gateway_fixture.h"

// Which bytes of a server's connection a gateway takes for the response to a request.

using namespace marigoldstep;
using namespace marigoldstep::gateway::test;

namespace {

std::string without_id(std::string text) {
  const std::string field = "Marigoldstep-Request-Id: {id}\r\n";
  const auto at = text.find(field);
  return text.erase(at, field.size());
}

// The response to an earlier request.
std::string with_other_id(std::string text) {
  const std::string id = "{id}";
  return text.replace(text.find(id), id.size(), "earlier");
}

std::string body_of(const std::string& response) {
  const auto head_end = response.find("\r\n\r\n");
  return head_end == std::string::npos ? "" : response.substr(head_end + 4);
}

// Sends one request and returns the whole response.
std::string exchange(gateway_fixture& it, const std::string& method,
                     const std::string& path, const std::string& id) {
  test_caller caller(it.address);
  caller.send(request_text(method, path, id, "Connection: close\r\n"));
  caller.wait_closed();
  return caller.received;
}

// Announces the second server instead of the first, at the first one's address.
void replace_first_server(gateway_fixture& it) {
  auto next = it.control.servers[0];
  next.id = "next";
  next.started = 2;
  it.control.servers = {next};
  it.control.broadcast_servers();
}

} // namespace

TEST_CASE("a response without a request id is not forwarded as the caller's own") {
  const std::string body = GENERATE("other", "x");
  gateway_fixture it({{{write_text(without_id(response_text(body)))}},
                      {{write_text(response_text("own"))}}});
  SECTION("a repeatable request is sent to another server") {
    CHECK(body_of(exchange(it, "GET", "/safe/", "r1")) == "own");
  }
  SECTION("another request gets no success") {
    CHECK(exchange(it, "GET", "/once/", "r1").starts_with("HTTP/1.1 502 "));
    CHECK(it.servers[1]->requests.empty());
  }
}

TEST_CASE("a refusal without a request id doesn't prove that the request did not run") {
  gateway_fixture it({{{write_text(without_id(not_executed_text()))}},
                      {{write_text(response_text("second run"))}}});
  CHECK(exchange(it, "GET", "/once/", "r1").starts_with("HTTP/1.1 502 "));
  CHECK(it.servers[1]->requests.empty());
}

TEST_CASE("the second response to an attempt isn't taken for that of the next attempt") {
  const auto first = response_text("first attempt", "500 Internal Server Error");
  gateway_fixture it({{{pause_script(100), write_text(first)},
                       {write_text(first), write_text(response_text("own"))}}});
  test_caller caller(it.address);
  caller.send(request_text("GET", "/safe/", "r1", "Connection: close\r\n"));
  REQUIRE(wait_until([&] { return it.servers[0]->requests.size() == 1; }));
  replace_first_server(it);
  caller.wait_closed();
  REQUIRE(it.servers[0]->requests.size() == 2);
  CHECK(it.subject->pool.connects() == 2);
}

TEST_CASE("a request and one without a response body don't share a connection") {
  const auto head_only = response_text("12345").substr(0, response_text("").size());
  const bool head_first = GENERATE(true, false);
  gateway_fixture it({{{write_text(head_first ? head_only : response_text("12345"))},
                       {write_text(head_first ? response_text("own") : head_only)}}});
  exchange(it, head_first ? "HEAD" : "GET", "/once/", "r1");
  exchange(it, head_first ? "GET" : "HEAD", "/once/", "r2");
  REQUIRE(it.servers[0]->requests.size() == 2);
  CHECK(it.subject->pool.connects() == 2);
}

TEST_CASE("an attempt ends when a response to another request has no end") {
  const auto endless = "HTTP/1.1 200 OK\r\nMarigoldstep-Request-Id: earlier\r\n"
                       "Marigoldstep-Response-Seal: seal\r\n\r\nbody";
  gateway_fixture it({{{write_text(endless), write_text(response_text("lost"))}},
                      {{write_text(response_text("own"))}}});
  CHECK(body_of(exchange(it, "GET", "/safe/", "r1")) == "own");
}

TEST_CASE("late second responses never reach a caller of the same connection") {
  const std::string path = GENERATE("/safe/", "/once/", "/resume/", "/stream/");
  const bool is_stream = path == "/resume/" || path == "/stream/";
  const auto whole = [&](const std::string& text) {
    return is_stream ? stream_head() + chunk(text) + "0\r\n\r\n" : response_text(text);
  };
  const auto own = whole(event(1));
  const auto second = with_other_id(
      GENERATE_COPY(response_text("earlier"), response_text("earlier", "500 Error"),
                    stream_head() + chunk("id: 1\ndata: earlier\n\n") + "0\r\n\r\n",
                    not_executed_text()));
  // Where the second response is split over two writes: in its head, after it, in its
  // body.
  const auto head_size = second.find("\r\n\r\n") + 4;
  const auto split = GENERATE_COPY(std::size_t{5}, head_size, second.size() - 1);
  gateway_fixture it({{{write_text(own)},
                       {write_text(second.substr(0, split)), pause_script(20),
                        write_text(second.substr(split) + own)}}});
  exchange(it, "GET", path, "r1");
  const auto response = exchange(it, "GET", path, "r2");
  CHECK(it.subject->pool.connects() == 1);
  CHECK(response.starts_with("HTTP/1.1 200 "));
  CHECK(response.find("earlier") == std::string::npos);
  CHECK(response.find(event(1)) != std::string::npos);
}

// Callers choose their ids, so two of them may choose the same one.
TEST_CASE("a late second response doesn't reach a request with the same id") {
  gateway_fixture it({{{write_text(response_text("first")), pause_script(100),
                        write_text(response_text("first"))},
                       {pause_script(300), write_text(response_text("own"))}}});
  REQUIRE(body_of(exchange(it, "GET", "/safe/a", "r1")) == "first");
  CHECK(body_of(exchange(it, "GET", "/safe/b", "r1")) == "own");
}

TEST_CASE("a status below 100 doesn't begin a response whose body reaches the caller") {
  const std::string begin = "HTTP/1.1 099 X\r\nMarigoldstep-Request-Id: {id}\r\n";
  const auto junk = GENERATE_COPY(begin + "Content-Length: 4\r\n\r\njunk",
                                  begin + "Content-Length: 0\r\n\r\n");
  gateway_fixture it({{{write_text(junk + response_text("first"))}},
                      {{write_text(response_text("own"))}}});
  CHECK(body_of(exchange(it, "GET", "/safe/", "r1")) == "own");
}
