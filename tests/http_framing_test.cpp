// The end of an HTTP message, after RFC 9112, section 6.3. The programs' tests send the
// same requests to each of their listeners (programs/http_framing_programs_test.cpp).
#include "framing_cases.h"
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
  bool has_head = false;
  bool is_done = false;
};

// Feeds a message in pieces of the given size and, if ends, the end of the connection.
parse_result parse(http_role role, const std::string& text, std::size_t piece,
                   bool body_expected = true, bool ends = false) {
  http_parser parser(role, {}, body_expected);
  parse_result out;
  for (std::size_t at = 0; at < text.size() && !out.ec; at += piece) {
    out.rest += text.substr(at, piece);
    out.rest.erase(0, parser.feed(out.rest, out.ec));
    out.body += parser.take_body();
  }
  if (ends && !out.ec) {
    parser.finish(out.ec);
  }
  out.has_head = parser.has_head();
  out.is_done = parser.is_done();
  return out;
}

constexpr auto whole = std::size_t{4096};

// No error for errc::ok.
std::error_code error_of(errc code) {
  return code == errc::ok ? std::error_code() : make_error_code(code);
}

struct response_case {
  const char* name;
  std::string head; // status line and fields
  std::string body;
  // Errors of a response whose framing is unknown.
  errc error = errc::ok;
  std::string content = {}; // of a response without error
  // Whether the response is complete only when its connection ends.
  bool ends_with_connection = false;
  bool is_head_request = false;
};

const std::vector<response_case>& response_cases() {
  static const std::string ok = "HTTP/1.1 200 OK\r\n";
  static const std::string chunked = "Transfer-Encoding: chunked\r\n";
  static const std::string chunks = "2\r\nok\r\n0\r\n\r\n";
  static const std::vector<response_case> cases = {
      {"length", ok + "Content-Length: 2\r\n", "ok", errc::ok, "ok"},
      {"chunks", ok + chunked, chunks, errc::ok, "ok"},
      {"neither", ok, "ok", errc::ok, "ok", true},
      {"response to HEAD", ok + "Content-Length: 2\r\n", "", errc::ok, "", false, true},
      {"chunked response to HEAD", ok + chunked, "", errc::ok, "", false, true},
      {"no content", "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n", ""},
      {"not modified", "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n", ""},
      {"interim", "HTTP/1.1 100 Continue\r\n", ""},
      {"protocol switch", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n", "",
       errc::malformed_message},
      {"chunked not last", ok + "Transfer-Encoding: chunked, identity\r\n", "ok",
       errc::malformed_message},
      {"no chunked", ok + "Transfer-Encoding: gzip\r\n", "ok", errc::malformed_message},
      {"identity beside a length",
       ok + "Transfer-Encoding: identity\r\nContent-Length: 2\r\n", "ok",
       errc::malformed_message},
      {"length beside identity",
       ok + "Content-Length: 2\r\nTransfer-Encoding: identity\r\n", "ok",
       errc::malformed_message},
      {"coding before chunked", ok + "Transfer-Encoding: gzip, chunked\r\n", chunks,
       errc::not_implemented},
      {"chunked twice", ok + "Transfer-Encoding: chunked, chunked\r\n", chunks,
       errc::malformed_message},
      {"chunks and a length", ok + chunked + "Content-Length: 2\r\n", chunks,
       errc::malformed_message},
      {"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + chunked, chunks,
       errc::malformed_message},
      {"lengths that differ", ok + "Content-Length: 2\r\nContent-Length: 3\r\n", "ok",
       errc::malformed_message},
      {"signed length", ok + "Content-Length: +2\r\n", "ok", errc::malformed_message},
      {"empty length", ok + "Content-Length: \r\n", "ok", errc::malformed_message},
  };
  return cases;
}

} // namespace

// Guards against a body that is taken for the next request of its connection.
TEST_CASE("a request is accepted only if the end of its body is certain") {
  for (const auto& it : test::framing_cases()) {
    const auto text = test::framing_request("POST", "/x", it, "", "");
    for (const auto piece : {std::size_t{1}, std::size_t{7}, whole}) {
      CAPTURE(it.name, piece);
      const auto result = parse(http_role::request, text, piece);
      CHECK(result.ec == error_of(it.error));
      if (it.error == errc::ok) {
        CHECK(result.is_done);
        CHECK(result.body == it.content);
        CHECK(result.rest.empty());
      }
    }
  }
}

// Guards against a truncated or misread response that counts as whole, and against
// response bytes that are taken for the next response.
TEST_CASE("a response is accepted only if the end of its body is certain") {
  for (const auto& it : response_cases()) {
    const auto text = it.head + "\r\n" + it.body;
    for (const auto piece : {std::size_t{1}, whole}) {
      CAPTURE(it.name, piece);
      const bool body_expected = !it.is_head_request;
      const auto result = parse(http_role::response, text, piece, body_expected);
      CHECK(result.ec == error_of(it.error));
      if (it.error != errc::ok) {
        CHECK_FALSE(result.has_head);
        continue;
      }
      CHECK(result.body == it.content);
      CHECK(result.rest.empty());
      CHECK(result.is_done == !it.ends_with_connection);
      const auto ended = parse(http_role::response, text, piece, body_expected, true);
      CHECK_FALSE(ended.ec);
      CHECK(ended.is_done);
    }
  }
}

// Guards against a caller that sets a header field, such as its credentials, after the
// body, where checks of the header have not seen it (RFC 9110, section 6.5.1).
TEST_CASE("trailers are not merged into the header") {
  http_parser parser(http_role::request, {});
  std::error_code ec;
  parser.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
              "0\r\nAuthorization: Bearer k\r\n\r\n",
              ec);
  REQUIRE_FALSE(ec);
  REQUIRE(parser.is_done());
  CHECK(find_field(parser.head(), "authorization") == nullptr);
}
