#include "marigoldstep/error.h"
#include "marigoldstep/io/http_parser.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;
using namespace marigoldstep::io;

namespace {

struct parse_result {
  std::error_code ec;
  std::string body;
  std::string rest;
  bool done = false;
};

// Feeds a message to a parser in pieces of the given size.
parse_result feed_in_pieces(http_role role, const http_limits& limits,
                            const std::string& text, std::size_t piece) {
  http_parser parser(role, limits);
  parse_result out;
  for (std::size_t at = 0; at < text.size() && !out.ec; at += piece) {
    out.rest += text.substr(at, piece);
    const auto n = parser.feed(out.rest, out.ec);
    out.rest.erase(0, n);
    out.body += parser.take_body();
  }
  out.done = parser.is_done();
  return out;
}

} // namespace

TEST_CASE("a response is parsed completely from pieces of any size") {
  const std::string with_length = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "2\r\nhe\r\n3\r\nllo\r\n0\r\nX-Sum: 1\r\n\r\n";
  for (const auto& text : {with_length, chunked}) {
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
      const auto result = feed_in_pieces(http_role::response, {}, text, piece);
      REQUIRE_FALSE(result.ec);
      REQUIRE(result.done);
      REQUIRE(result.body == "hello");
      REQUIRE(result.rest.empty());
    }
  }
}

// Guards against a parser that ends the process at some way to split the last chunk.
TEST_CASE("chunks are parsed from any three pieces") {
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string text =
      GENERATE("0\r\n\r\n", "00\r\n\r\n", "0;a=b\r\n\r\n", "0\r\nX: 1\r\n\r\n",
               "1\r\nx\r\n0\r\n\r\n", "3\r\n0\r\n\r\n0\r\nX: 1\r\nY: 2\r\n\r\n");
  const bool with_head = GENERATE(true, false);
  CAPTURE(text, with_head);
  for (std::size_t first = 0; first <= text.size(); ++first) {
    for (std::size_t second = first; second <= text.size(); ++second) {
      http_parser parser(http_role::response, {});
      std::error_code ec;
      std::string rest = with_head ? head : "";
      if (!with_head) {
        REQUIRE(parser.feed(head, ec) == head.size());
      }
      for (const auto& it : {text.substr(0, first), text.substr(first, second - first),
                             text.substr(second)}) {
        rest += it;
        rest.erase(0, parser.feed(rest, ec));
        REQUIRE_FALSE(ec);
      }
      REQUIRE(parser.is_done());
      REQUIRE(rest.empty());
    }
  }
}

TEST_CASE("bytes after a response are not consumed") {
  const auto result =
      feed_in_pieces(http_role::response, {},
                     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200", 4096);
  CHECK(result.done);
  CHECK(result.body == "ok");
  CHECK(result.rest == "HTTP/1.1 200");
}

TEST_CASE("a response without a length ends with its connection") {
  http_parser parser(http_role::response, {});
  std::error_code ec;
  const std::string text = "HTTP/1.1 200 OK\r\n\r\npart";
  parser.feed(text, ec);
  REQUIRE_FALSE(ec);
  CHECK_FALSE(parser.is_done());
  parser.finish(ec);
  CHECK_FALSE(ec);
  CHECK(parser.take_body() == "part");
}

TEST_CASE("a truncated response is an error") {
  for (const std::string text :
       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        "HTTP/1.1 200 OK\r\nContent-Le"}) {
    http_parser parser(http_role::response, {});
    std::error_code ec;
    parser.feed(text, ec);
    parser.finish(ec);
    CHECK(ec == errc::answer_truncated);
  }
}

TEST_CASE("exceeded limits and malformed requests yield distinct errors") {
  const http_limits limits{256, 8};
  const auto error_of = [&](const std::string& text) {
    return feed_in_pieces(http_role::request, limits, text, 64).ec;
  };
  CHECK(error_of("GET / HTTP/1.1\r\nX: " + std::string(300, 'a') + "\r\n\r\n") ==
        errc::message_too_large);
  CHECK(error_of("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n123456789") ==
        errc::body_too_large);
  CHECK(error_of("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "9\r\n123456789\r\n0\r\n\r\n") == errc::body_too_large);
  CHECK(error_of("nonsense\r\n\r\n") == errc::malformed_message);
  CHECK(error_of("POST / HTTP/1.1\r\nContent-Length: 4\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n") == errc::malformed_message);
  CHECK_FALSE(error_of("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
}

TEST_CASE("hop-by-hop fields are distinguished from other fields") {
  http_parser parser(http_role::request, {});
  std::error_code ec;
  parser.feed("GET / HTTP/1.1\r\nConnection: close, X-Local\r\nX-Local: 1\r\n"
              "X-Other: 2\r\n\r\n",
              ec);
  REQUIRE_FALSE(ec);
  const auto& head = parser.head();
  CHECK(is_hop_by_hop(head, "connection"));
  CHECK(is_hop_by_hop(head, "x-local"));
  CHECK(is_hop_by_hop(head, "Transfer-Encoding"));
  CHECK_FALSE(is_hop_by_hop(head, "X-Other"));
  REQUIRE(find_field(head, "x-other") != nullptr);
  CHECK(*find_field(head, "x-other") == "2");
}
