#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace marigoldstep::io {

// HTTP versions, as ten times their number.
inline constexpr unsigned http_1_0 = 10;
inline constexpr unsigned http_1_1 = 11;

struct http_field {
  std::string name;
  std::string value;

  friend bool operator==(const http_field&, const http_field&) = default;
};

// Start line and header of a message. method and target are set for requests, status
// for responses.
struct http_head {
  unsigned version = http_1_1;
  std::string method;
  std::string target;
  unsigned status = 0;
  std::vector<http_field> fields;
  bool keep_alive = true;
  bool is_chunked = false;
  std::optional<std::uint64_t> length; // of the body, if declared
};

// Bytes that a head occupies in memory.
std::size_t allocated_bytes(const http_head& head);

// Value of the first field of that name, ignoring case; null when there is none.
const std::string* find_field(const http_head& head, std::string_view name);

// Whether a field applies to one connection only and must not be forwarded: those of
// RFC 9110, section 7.6.1, and those that the Connection field names.
bool is_hop_by_hop(const http_head& head, std::string_view name);

// The standard reason phrase of a status code.
std::string_view reason_phrase(unsigned status);

bool equal_ignoring_case(std::string_view left, std::string_view right);

namespace detail {
class parser_base;
}

enum class http_role { request, response };

// Checks that the end of the body is certain, so that no part of it can be taken for the
// next message of the connection (RFC 9112, sections 6.1 to 6.3). The only transfer
// coding that is understood is chunked. Errors: errc::malformed_message;
// errc::not_implemented for another coding under chunked, and for CONNECT.
std::error_code check_framing(http_role role, const http_head& head);

// Limits of one message. An unset body_bytes allows any size.
struct http_limits {
  std::uint32_t header_bytes = 16U
                               << 10U; // also of each chunk header, and of the trailers
  std::optional<std::uint64_t> body_bytes;
};

// Incremental parser of one HTTP/1.1 message, on top of Boost.Beast.
class http_parser {
public:
  // body_expected is false for the response to a HEAD request.
  http_parser(http_role role, const http_limits& limits, bool body_expected = true);
  ~http_parser();
  http_parser(http_parser&&) noexcept;
  http_parser& operator=(http_parser&&) noexcept;

  // Parses bytes and returns how many were consumed. The caller passes the rest again,
  // followed by newly received bytes. Errors: errc::message_too_large for a header, a
  // chunk header or trailers over the limit, errc::body_too_large,
  // errc::malformed_message and the errors of check_framing(). A message with an error
  // has no head, unless the error is in its body, and no certain end.
  std::size_t feed(std::string_view buf, std::error_code& ec);
  // Call when the connection was closed in an orderly way. Completes a body without a
  // length; sets ec to errc::answer_truncated if the message is still incomplete.
  void finish(std::error_code& ec);

  [[nodiscard]] bool has_head() const;
  [[nodiscard]] bool is_done() const;
  [[nodiscard]] const http_head& head() const;
  // Body bytes read since the last call.
  std::string take_body();

private:
  std::size_t parse(std::string_view buf, std::error_code& ec);

  std::unique_ptr<detail::parser_base> parser_;
  std::uint32_t max_framing_bytes_;
};

} // namespace marigoldstep::io
