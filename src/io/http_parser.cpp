#include "marigoldstep/io/http_parser.h"

#include "marigoldstep/error.h"
#include "marigoldstep/io/http_status.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <optional>

namespace marigoldstep::io {

namespace http = boost::beast::http;

namespace {

std::string to_string(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

char lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

// Removes the first element of a comma-separated list, and returns it without the blanks
// around it.
std::string_view take_element(std::string_view& list) {
  const auto comma = std::min(list.find(','), list.size());
  auto out = list.substr(0, comma);
  list.remove_prefix(std::min(comma + 1, list.size()));
  while (!out.empty() && (out.front() == ' ' || out.front() == '\t')) {
    out.remove_prefix(1);
  }
  while (!out.empty() && (out.back() == ' ' || out.back() == '\t')) {
    out.remove_suffix(1);
  }
  return out;
}

bool has_token(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    if (equal_ignoring_case(take_element(list), token)) {
      return true;
    }
  }
  return false;
}

bool is_chunked_coding(std::string_view coding) {
  return equal_ignoring_case(coding, "chunked");
}

// The codings of all Transfer-Encoding fields, in the order in which they were applied;
// nothing if there is no such field.
std::optional<std::vector<std::string_view>> transfer_codings(const http_head& head) {
  std::optional<std::vector<std::string_view>> out;
  for (const auto& it : head.fields) {
    if (!equal_ignoring_case(it.name, "transfer-encoding")) {
      continue;
    }
    if (!out) {
      out.emplace();
    }
    for (std::string_view list = it.value; !list.empty();) {
      out->push_back(take_element(list));
    }
  }
  return out;
}

// Whether more bytes must arrive before Beast may see a last chunk: Boost 1.74 ends the
// process when it gets fewer than five bytes after it has read the chunk's size.
bool is_cut_last_chunk(std::string_view buf) {
  constexpr std::string_view shortest = "0\r\n\r\n";
  return buf.size() < shortest.size() && buf.starts_with('0') &&
         buf.find("\r\n") != std::string_view::npos;
}

} // namespace

namespace detail {

// Common base of the request and response parsers; Beast's callbacks fill the fields.
class parser_base {
public:
  virtual ~parser_base() = default;
  virtual std::size_t put(std::string_view buf, boost::beast::error_code& ec) = 0;
  virtual void put_eof(boost::beast::error_code& ec) = 0;
  // Whether the header was read and found valid.
  [[nodiscard]] bool has_head() const { return is_header_read() && !framing_error; }
  // Whether the next bytes are a chunk header, not the data of a chunk.
  [[nodiscard]] bool is_between_chunks() const {
    return has_head() && head.is_chunked && chunk_bytes_left == 0;
  }
  [[nodiscard]] virtual bool is_header_read() const = 0;
  [[nodiscard]] virtual bool is_done() const = 0;

  http_head head;
  std::error_code framing_error; // of the header
  std::string body;
  std::uint64_t chunk_bytes_left = 0;
};

template <bool is_request>
class beast_parser final : public parser_base, private http::basic_parser<is_request> {
  using base = http::basic_parser<is_request>;
  using beast_view = boost::beast::string_view;
  using error = boost::beast::error_code;

public:
  beast_parser(const http_limits& limits, bool body_expected) {
    base::eager(true);
    base::header_limit(limits.header_bytes);
    // Boost 1.74 treats an unset limit as 0 for bodies with a length.
    base::body_limit(
        limits.body_bytes.value_or(std::numeric_limits<std::uint64_t>::max()));
    base::skip(!body_expected);
  }

  std::size_t put(std::string_view buf, error& ec) override {
    return base::put(boost::asio::const_buffer(buf.data(), buf.size()), ec);
  }
  void put_eof(error& ec) override { base::put_eof(ec); }
  [[nodiscard]] bool is_header_read() const override { return base::is_header_done(); }
  [[nodiscard]] bool is_done() const override { return base::is_done(); }

private:
  void on_request_impl(http::verb /*verb*/, beast_view method, beast_view target,
                       int version, error& /*ec*/) override {
    head.version = static_cast<unsigned>(version);
    head.method = to_string(method);
    head.target = to_string(target);
  }
  void on_response_impl(int code, beast_view /*reason*/, int version,
                        error& /*ec*/) override {
    head.version = static_cast<unsigned>(version);
    head.status = static_cast<unsigned>(code);
  }
  void on_field_impl(http::field /*field*/, beast_view name, beast_view value,
                     error& /*ec*/) override {
    // A trailer, which checks of the header have not seen.
    if (is_header_read()) {
      return;
    }
    head.fields.push_back({to_string(name), to_string(value)});
  }
  void on_header_impl(error& ec) override {
    head.keep_alive = base::keep_alive();
    head.is_chunked = base::chunked();
    const auto length = base::content_length();
    if (length) {
      head.length = *length;
    }
    framing_error =
        check_framing(is_request ? http_role::request : http_role::response, head);
    if (framing_error) {
      ec = http::error::bad_transfer_encoding;
    }
  }
  void on_body_init_impl(boost::optional<std::uint64_t> const& /*length*/,
                         error& /*ec*/) override {}
  std::size_t on_body_impl(beast_view text, error& /*ec*/) override {
    body.append(text.data(), text.size());
    return text.size();
  }
  void on_chunk_header_impl(std::uint64_t size, beast_view /*extensions*/,
                            error& /*ec*/) override {
    chunk_bytes_left = size;
  }
  std::size_t on_chunk_body_impl(std::uint64_t remain, beast_view text,
                                 error& /*ec*/) override {
    body.append(text.data(), text.size());
    chunk_bytes_left = remain - text.size();
    return text.size();
  }
  void on_finish_impl(error& /*ec*/) override {}
};

} // namespace detail

bool equal_ignoring_case(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return lower(a) == lower(b); });
}

std::size_t allocated_bytes(const http_head& head) {
  const auto text_bytes = [](const std::string& it) {
    // Short texts need no allocation.
    return it.capacity() < sizeof(std::string) / 2 ? 0 : it.capacity() + 1;
  };
  auto n = head.fields.capacity() * sizeof(http_field) + text_bytes(head.method) +
           text_bytes(head.target);
  for (const auto& it : head.fields) {
    n += text_bytes(it.name) + text_bytes(it.value);
  }
  return n;
}

const std::string* find_field(const http_head& head, std::string_view name) {
  const auto it =
      std::find_if(head.fields.begin(), head.fields.end(),
                   [&](const auto& f) { return equal_ignoring_case(f.name, name); });
  return it == head.fields.end() ? nullptr : &it->value;
}

std::error_code check_framing(http_role role, const http_head& head) {
  // A response to CONNECT has no body, and what follows the header of a response 101 is
  // no HTTP.
  if (role == http_role::request && head.method == "CONNECT") {
    return errc::not_implemented;
  }
  if (role == http_role::response && head.status == http_status::switching_protocols) {
    return errc::malformed_message;
  }
  const auto codings = transfer_codings(head);
  if (!codings) {
    return {};
  }
  const bool is_chunked_last_only =
      !codings->empty() && is_chunked_coding(codings->back()) &&
      std::count_if(codings->begin(), codings->end(), is_chunked_coding) == 1;
  if (!is_chunked_last_only || head.length || head.version < http_1_1) {
    return errc::malformed_message;
  }
  if (codings->size() > 1) {
    return errc::not_implemented;
  }
  return {};
}

bool is_hop_by_hop(const http_head& head, std::string_view name) {
  static constexpr std::array<std::string_view, 9> names = {
      "connection",        "keep-alive", "proxy-connection", "proxy-authenticate", "te",
      "transfer-encoding", "trailer",    "upgrade",          "proxy-authorization"};
  const bool listed = std::any_of(names.begin(), names.end(), [&](std::string_view it) {
    return equal_ignoring_case(it, name);
  });
  return listed ||
         std::any_of(head.fields.begin(), head.fields.end(), [&](const auto& f) {
           return equal_ignoring_case(f.name, "connection") && has_token(f.value, name);
         });
}

std::string_view reason_phrase(unsigned status) {
  const auto text = http::obsolete_reason(static_cast<http::status>(status));
  return {text.data(), text.size()};
}

http_parser::http_parser(http_role role, const http_limits& limits, bool body_expected)
    : max_framing_bytes_(limits.header_bytes) {
  if (role == http_role::request) {
    parser_ = std::make_unique<detail::beast_parser<true>>(limits, body_expected);
  } else {
    parser_ = std::make_unique<detail::beast_parser<false>>(limits, body_expected);
  }
}

http_parser::~http_parser() = default;
http_parser::http_parser(http_parser&&) noexcept = default;
http_parser& http_parser::operator=(http_parser&&) noexcept = default;

std::size_t http_parser::feed(std::string_view buf, std::error_code& ec) {
  ec = parser_->framing_error;
  if (ec) {
    return 0;
  }
  const auto used = parse(buf, ec);
  // Beast consumes a chunk header and the trailers only as a whole, and limits neither.
  if (!ec && !parser_->is_done() && buf.size() - used > max_framing_bytes_) {
    ec = make_error_code(errc::message_too_large);
  }
  return used;
}

std::size_t http_parser::parse(std::string_view buf, std::error_code& ec) {
  std::size_t used = 0;
  while (used < buf.size() && !parser_->is_done()) {
    if (parser_->is_between_chunks() && is_cut_last_chunk(buf.substr(used))) {
      return used;
    }
    boost::beast::error_code problem;
    const auto n = parser_->put(buf.substr(used), problem);
    used += n;
    if (parser_->framing_error) {
      ec = parser_->framing_error;
      return used;
    }
    if (problem == http::error::need_more) {
      return used;
    }
    if (problem == http::error::header_limit) {
      ec = make_error_code(errc::message_too_large);
      return used;
    }
    if (problem == http::error::body_limit) {
      ec = make_error_code(errc::body_too_large);
      return used;
    }
    if (problem) {
      ec = make_error_code(errc::malformed_message);
      return used;
    }
    if (n == 0) {
      return used;
    }
  }
  return used;
}

void http_parser::finish(std::error_code& ec) {
  ec.clear();
  if (parser_->is_done()) {
    return;
  }
  boost::beast::error_code problem;
  if (parser_->has_head()) {
    parser_->put_eof(problem);
  }
  if (!parser_->has_head() || problem || !parser_->is_done()) {
    ec = make_error_code(errc::answer_truncated);
  }
}

bool http_parser::has_head() const {
  return parser_->has_head();
}

bool http_parser::is_done() const {
  return parser_->is_done();
}

const http_head& http_parser::head() const {
  return parser_->head;
}

std::string http_parser::take_body() {
  return std::exchange(parser_->body, {});
}

} // namespace marigoldstep::io
