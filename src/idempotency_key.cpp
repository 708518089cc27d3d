#include "marigoldstep/idempotency_key.h"

#include <algorithm>
#include <charconv>

namespace marigoldstep {

namespace {

constexpr std::size_t uuid_chars = 36;
constexpr std::size_t uuid_version_at = 14;
constexpr std::size_t uuid_variant_at = 19;
constexpr std::size_t max_seconds_digits = 12;
constexpr std::size_t min_token_chars = 8;
constexpr std::size_t max_token_chars = 64;
constexpr std::uint64_t ms_per_second = 1000;

// std::isdigit and similar functions depend on the locale, but all replicas must get
// the same result.
bool is_digit(char c) {
  return c >= '0' && c <= '9';
}
bool is_hex(char c) {
  return is_digit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}
bool is_token_char(char c) {
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return letter || is_digit(c) || c == '_' || c == '-';
}

bool is_uuid_hyphen(std::size_t i) {
  return i == 8 || i == 13 || i == 18 || i == 23;
}

bool has_uuid_format(std::string_view key) {
  if (key.size() != uuid_chars) {
    return false;
  }
  for (std::size_t i = 0; i < key.size(); ++i) {
    if (is_uuid_hyphen(i) ? key[i] != '-' : !is_hex(key[i])) {
      return false;
    }
  }
  return true;
}

std::optional<unix_seconds> parse_uuid(std::string_view key) {
  const std::string_view variants = "89abAB";
  if (key[uuid_version_at] != '7' ||
      variants.find(key[uuid_variant_at]) == std::string_view::npos) {
    return std::nullopt;
  }
  // The first 48 bits hold milliseconds since the Unix epoch.
  const std::string digits =
      std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
  std::uint64_t ms = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), ms, 16);
  return ms / ms_per_second;
}

std::optional<unix_seconds> parse_seconds_and_token(std::string_view key) {
  const auto hyphen = key.find('-');
  if (hyphen == std::string_view::npos || hyphen == 0 || hyphen > max_seconds_digits) {
    return std::nullopt;
  }
  const auto digits = key.substr(0, hyphen);
  const auto token = key.substr(hyphen + 1);
  if (token.size() < min_token_chars || token.size() > max_token_chars ||
      !std::all_of(digits.begin(), digits.end(), is_digit) ||
      !std::all_of(token.begin(), token.end(), is_token_char)) {
    return std::nullopt;
  }
  unix_seconds value = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), value);
  return value;
}

} // namespace

std::optional<unix_seconds> parse_idempotency_key(std::string_view key) {
  return has_uuid_format(key) ? parse_uuid(key) : parse_seconds_and_token(key);
}

} // namespace marigoldstep
