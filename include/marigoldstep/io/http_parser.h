#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace marigoldstep::io {

struct http_field {
  std::string name;
  std::string value;

  friend bool operator==(const http_field&, const http_field&) = default;
};

// Start line and header of a message. method and target belong to requests,
// status to answers.
struct http_head {
  std::string method;
  std::string target;
  unsigned status = 0;
  std::vector<http_field> fields;
  bool keep_alive = true;
  bool is_chunked = false;
  std::optional<std::uint64_t> length; // of the body; unset when not told
};

// Value of the first field of that name, in any case; null when there is none.
const std::string* find_field(const http_head& head, std::string_view name);

// Whether a field concerns only one connection and must not be passed on: those
// of RFC 9110, section 7.6.1, and those that the Connection field names.
bool is_hop_by_hop(const http_head& head, std::string_view name);

// The standard phrase of a status.
std::string_view reason_phrase(unsigned status);

bool equal_ignoring_case(std::string_view left, std::string_view right);

namespace detail {
class parser_base;
}

enum class http_role { request, response };

// Bounds of one message; a body without a bound may be of any size.
struct http_limits {
  std::uint32_t header_bytes = 16U << 10U;
  std::optional<std::uint64_t> body_bytes;
};

// Reads one HTTP/1.1 message from bytes as they come, by Boost.Beast's parser.
class http_parser {
public:
  // body_expected is false for the answer to a HEAD request.
  http_parser(http_role role, const http_limits& limits, bool body_expected = true);
  ~http_parser();
  http_parser(http_parser&&) noexcept;
  http_parser& operator=(http_parser&&) noexcept;

  // Takes bytes and returns how many belong to this message so far; the caller
  // shows the rest again with the bytes that follow. Errors:
  // errc::message_too_large for a header over the limit, errc::body_too_large,
  // errc::malformed_message.
  std::size_t feed(std::string_view buf, std::error_code& ec);
  // The connection ended in order. Ends a body that has no length; otherwise sets
  // ec to errc::answer_truncated.
  void finish(std::error_code& ec);

  [[nodiscard]] bool has_head() const;
  [[nodiscard]] bool is_done() const;
  [[nodiscard]] const http_head& head() const;
  // Body bytes read since the last call.
  std::string take_body();

private:
  std::unique_ptr<detail::parser_base> parser_;
};

} // namespace marigoldstep::io
