#pragma once

#include "marigoldstep/error.h"

#include <string>
#include <vector>

// Requests whose framing is certain, and requests whose framing is not (RFC 9112,
// sections 6.1 to 6.3 and 7.1). Each carries a body of which a part reads like another
// request.
namespace marigoldstep::test {

struct framing_case {
  const char* name;
  std::string fields; // that declare the body
  std::string body;
  errc error = errc::ok;
  std::string content = {}; // of a request without error
  const char* version = "1.1";
};

// The body of each faulty request: a request that no caller sent.
inline std::string inner_request() {
  return "POST /services/booking/inner HTTP/1.1\r\nHost: h\r\n"
         "Marigoldstep-Request-Id: inner\r\nAuthorization: Bearer KEY\r\n"
         "X-Marigoldstep-Workspace: w\r\nContent-Length: 0\r\n\r\n";
}

inline std::string hex_size(std::size_t n) {
  constexpr const char* digits = "0123456789abcdef";
  constexpr std::size_t base = 16;
  std::string out;
  do {
    out.insert(out.begin(), digits[n % base]);
    n /= base;
  } while (n > 0);
  return out;
}

inline const std::vector<framing_case>& framing_cases() {
  static const std::string inner = inner_request();
  static const std::string length =
      "Content-Length: " + std::to_string(inner.size()) + "\r\n";
  static const std::string chunked = "Transfer-Encoding: chunked\r\n";
  static const std::string chunk = hex_size(inner.size()) + "\r\n" + inner + "\r\n";
  static const std::string chunks = chunk + "0\r\n\r\n";
  static const auto coding = [](const std::string& value) {
    return "Transfer-Encoding: " + value + "\r\n";
  };
  constexpr auto bad = errc::malformed_message;
  static const std::vector<framing_case> cases = {
      // Certain.
      {"length", length, inner, errc::ok, inner},
      {"length 0", "Content-Length: 0\r\n", ""},
      {"neither", "", ""},
      {"chunks", chunked, chunks, errc::ok, inner},
      {"chunked in capitals", coding("CHUNKED"), chunks, errc::ok, inner},
      {"blanks around chunked", "Transfer-Encoding: \t chunked \t\r\n", chunks, errc::ok,
       inner},
      {"chunk extension", chunked, "2;a=b\r\nok\r\n0;c=\"d\"\r\n\r\n", errc::ok, "ok"},
      {"zeros before a chunk's size", chunked, "0002\r\nok\r\n000\r\n\r\n", errc::ok,
       "ok"},
      {"trailers", chunked, chunk + "0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n", errc::ok,
       inner},
      {"length in HTTP/1.0", length, inner, errc::ok, inner, "1.0"},
      // The codings don't end in chunked.
      {"gzip", coding("gzip"), inner, bad},
      {"identity", coding("identity"), inner, bad},
      {"unknown coding", coding("xchunked"), inner, bad},
      {"no coding", coding(""), inner, bad},
      {"only a comma", coding(","), inner, bad},
      {"chunked not last", coding("chunked, identity"), inner, bad},
      {"chunked in the first field only", chunked + coding("gzip"), chunks, bad},
      {"chunked twice", coding("chunked, chunked"), chunks, bad},
      {"chunked in two fields", chunked + chunked, chunks, bad},
      {"chunked with a parameter", coding("chunked;q=1"), chunks, bad},
      {"chunked in quotes", coding("\"chunked\""), chunks, bad},
      {"a blank within chunked", coding("chunk ed"), chunks, bad},
      // The end is certain, but not the content.
      {"gzip before chunked", coding("gzip, chunked"), chunks, errc::not_implemented},
      {"gzip before chunked, in two fields", coding("gzip") + chunked, chunks,
       errc::not_implemented},
      // Transfer-Encoding where none may be.
      {"chunks and a length", chunked + length, chunks, bad},
      {"a length and chunks", length + chunked, chunks, bad},
      {"identity and length 0", coding("identity") + "Content-Length: 0\r\n", inner, bad},
      {"length 0 and identity", "Content-Length: 0\r\n" + coding("identity"), inner, bad},
      {"chunks in HTTP/1.0", chunked, chunks, bad, {}, "1.0"},
      // A length that isn't one number.
      {"lengths that differ", "Content-Length: 0\r\n" + length, inner, bad},
      {"list of lengths that differ", "Content-Length: 0, 5\r\n", inner, bad},
      {"signed length", "Content-Length: +0\r\n", inner, bad},
      {"negative length", "Content-Length: -1\r\n", inner, bad},
      {"no length", "Content-Length: \r\n", inner, bad},
      {"hexadecimal length", "Content-Length: 0x0\r\n", inner, bad},
      {"length with a blank", "Content-Length: 0 0\r\n", inner, bad},
      {"length over 64 bits", "Content-Length: 18446744073709551616\r\n", inner, bad},
      {"blank before the colon", "Content-Length : 0\r\n", inner, bad},
      {"blank before the colon of a coding", "Transfer-Encoding : chunked\r\n", chunks,
       bad},
      // Chunks that can't be told apart.
      {"chunk without a size", chunked, "\r\n" + inner, bad},
      {"signed chunk size", chunked, "+0\r\n\r\n" + inner, bad},
      {"negative chunk size", chunked, "-1\r\n\r\n" + inner, bad},
      {"chunk size with a prefix", chunked, "0x0\r\n\r\n" + inner, bad},
      {"chunk size over 64 bits", chunked, "10000000000000000\r\n\r\n" + inner, bad},
      {"chunk size with a blank", chunked, "0 0\r\n\r\n" + inner, bad},
      {"bare line feed after a chunk size", chunked, "0\n\n" + inner, bad},
      {"chunk longer than its size", chunked, "1\r\nokay\r\n0\r\n\r\n" + inner, bad},
      {"chunk without an end of line", chunked, "2\r\nok0\r\n\r\n" + inner, bad},
      {"length in the trailers", chunked, "0\r\nContent-Length: 5\r\n\r\n" + inner, bad},
      {"coding in the trailers", chunked,
       "0\r\nTransfer-Encoding: chunked\r\n\r\n" + inner, bad},
  };
  return cases;
}

// How the response to a faulty request begins.
inline std::string rejection_line(const framing_case& it) {
  return it.error == errc::not_implemented ? "HTTP/1.1 501 " : "HTTP/1.1 400 ";
}

inline std::size_t count_responses(const std::string& received) {
  const std::string status_line = "HTTP/1.1 ";
  std::size_t n = 0;
  for (auto at = received.find(status_line); at != std::string::npos;
       at = received.find(status_line, at + 1)) {
    ++n;
  }
  return n;
}

// Text of a request; more are header fields, each with its end of line.
inline std::string framing_request(const std::string& method, const std::string& target,
                                   const framing_case& it, const std::string& host,
                                   const std::string& more) {
  return method + " " + target + " HTTP/" + it.version + "\r\nHost: " + host + "\r\n" +
         more + it.fields + "\r\n" + it.body;
}

} // namespace marigoldstep::test
