#include "marigoldstep/types.h"

#include <array>
#include <charconv>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace marigoldstep {

namespace {

constexpr std::size_t hex_digits_per_word = 16;

std::optional<std::uint64_t> parse_hex_word(std::string_view text) {
  std::uint64_t value = 0;
  const auto* end = text.data() + text.size();
  auto [rest, ec] = std::from_chars(text.data(), end, value, 16);
  if (ec != std::errc{} || rest != end) {
    return std::nullopt;
  }
  return value;
}

void append_hex_word(std::string& out, std::uint64_t word) {
  std::array<char, hex_digits_per_word> buf{};
  auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), word, 16);
  const auto n = static_cast<std::size_t>(end - buf.data());
  out.append(hex_digits_per_word - n, '0');
  out.append(buf.data(), n);
}

} // namespace

std::string to_string(const attempt_id& id) {
  std::string out;
  out.reserve(2 * hex_digits_per_word);
  append_hex_word(out, id.hi);
  append_hex_word(out, id.lo);
  return out;
}

std::optional<attempt_id> parse_attempt_id(std::string_view text) {
  if (text.size() != 2 * hex_digits_per_word) {
    return std::nullopt;
  }
  auto hi = parse_hex_word(text.substr(0, hex_digits_per_word));
  auto lo = parse_hex_word(text.substr(hex_digits_per_word));
  if (!hi || !lo) {
    return std::nullopt;
  }
  return attempt_id{*hi, *lo};
}

std::string_view name(priority value) {
  return value == priority::short_call ? "short" : "patient";
}

std::string_view name(server_state value) {
  switch (value) {
  case server_state::serving:
    return "serving";
  case server_state::draining:
    return "draining";
  case server_state::suspect:
    return "suspect";
  case server_state::dead:
    return "dead";
  }
  return "dead";
}

std::uint64_t stable_hash(byte_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) {
  return stable_hash(as_bytes(text), seed);
}

} // namespace marigoldstep
