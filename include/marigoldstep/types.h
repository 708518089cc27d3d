#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldstep {

// Time in the core library: milliseconds since an arbitrary start, monotonic within a
// process. The core reads no clock; the programs pass the current time in.
using milliseconds = std::chrono::milliseconds;

struct core_clock {
  using rep = std::chrono::milliseconds::rep;
  using period = std::chrono::milliseconds::period;
  using duration = std::chrono::milliseconds;
  using time_point = std::chrono::time_point<core_clock>;
  static constexpr bool is_steady = true;
};
using time_point = core_clock::time_point;

// Wall clock time in seconds since 1970-01-01T00:00:00Z. Used only by idempotency keys
// and the replicated log.
using unix_seconds = std::uint64_t;

using bytes = std::vector<std::uint8_t>;
using byte_view = std::span<const std::uint8_t>;

inline byte_view as_bytes(std::string_view text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

inline std::string_view as_text(byte_view buf) {
  return {reinterpret_cast<const char*>(buf.data()), buf.size()};
}

// Random 128-bit id of one attempt to run a request. It can't be guessed, so it is also
// the secret part of a resume token.
struct attempt_id {
  std::uint64_t hi = 0;
  std::uint64_t lo = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
  friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

// 32 lower-case hexadecimal digits.
std::string to_string(const attempt_id& id);
std::optional<attempt_id> parse_attempt_id(std::string_view text);

struct attempt_id_hash {
  std::size_t operator()(const attempt_id& id) const noexcept {
    return static_cast<std::size_t>(id.hi ^ (id.lo * 0x9e3779b97f4a7c15ULL));
  }
};

// Identifies one run of a process on a node: the wall clock time of its start in
// microseconds. A higher number supersedes a lower one.
using incarnation = std::uint64_t;

enum class priority { short_call, patient };

enum class server_state { serving, draining, suspect, dead };

std::string_view name(priority value);
std::string_view name(server_state value);

// A backend server and its agent: what the agent reports in its heartbeats, with the
// state that the control leader derives from them.
struct server_info {
  std::string node_id;
  marigoldstep::incarnation incarnation = 0;
  std::string service;
  std::vector<std::string> models; // empty for a plain service
  std::string zone;
  std::string host;
  std::uint16_t port = 0;
  server_state state = server_state::serving;
  std::uint32_t weight_milli = 1000; // in thousandths of a full share of the load

  friend bool operator==(const server_info&, const server_info&) = default;
};

// 64-bit XXH3 hash. Stable across processes and builds, because routers compute the
// same placement without communicating with each other.
std::uint64_t stable_hash(byte_view data, std::uint64_t seed = 0);
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

} // namespace marigoldstep
