#pragma once

#include "marigoldstep/dispatch.h"
#include "marigoldstep/routing.h"
#include "marigoldstep/types.h"

#include <optional>
#include <string>
#include <vector>

// What a router does with one request that it relays to backend servers itself:
// facts of the request and of each answer, and the decision after each attempt.
namespace marigoldstep {

// What the router needs to know of a caller's request, besides its bytes.
struct call_metadata {
  std::string request_id;
  std::string key;                  // of a workspace; empty when none was sent
  std::optional<duration> deadline; // how long the caller waits
  std::vector<prompt_part> prompt;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;         // the most that the answer may have
  std::optional<std::uint64_t> last_event; // the caller resumes a stream after this
};

// What the router needs to know of a backend server's answer.
struct response_metadata {
  std::string request_id;    // empty when the answer names none
  bool is_signed = false;    // a server made it; without, its bytes aren't an answer
  bool not_run = false;      // the server says that it didn't run the request
  bool wrong_server = false; // another server has the address; it didn't run it
  std::optional<std::uint32_t> load;    // running and waiting requests
  std::optional<duration> idle_timeout; // of the connection
};

// How an attempt ended without an answer that can be passed on.
enum class attempt_end {
  not_connected, // nothing was sent
  not_run,       // the server refused it, or left it out
  wrong_server,  // another server has the address
  failed,        // the server ran it and answered with a server error
  broken,        // it may have run; no usable answer came
};
std::string_view name(attempt_end end);

enum class relay_step {
  try_again,
  pass_on,        // the failed answer is the final one
  answer_not_run, // tell the caller that it certainly did not run
  answer_unknown, // tell the caller that it may have run
};
std::string_view name(relay_step step);

// The attempts of one request so far.
struct request_progress {
  route_kind kind = route_kind::once;
  std::uint32_t max_attempts = 1;
  std::uint32_t sent = 0;            // attempts whose request was sent to a server
  std::uint32_t failed_connects = 0; // attempts that got no connection
  std::uint32_t wrong_servers = 0;   // attempts that met another server
  bool may_have_run = false;         // of any attempt
  time_point deadline{};
};

// Counts the attempt's end and decides. budget_left says whether the fleet's
// budget allows another one; it is asked for only when it matters.
template <typename Budget>
relay_step decide_relay_step(request_progress& state, attempt_end end, time_point now,
                             Budget budget_left);

namespace detail {
// Connections are cheap to try; more than this many say that the service is down.
inline constexpr std::uint32_t max_failed_connects = 3;
// One address may just have changed hands; a second says that the list is out of
// date.
inline constexpr std::uint32_t max_wrong_servers = 2;
// With less time left another attempt can't bring an answer.
inline constexpr duration min_time_left{20};

bool has_attempts_left(const request_progress& state, time_point now);
void count_end(request_progress& state, attempt_end end);
relay_step give_up(const request_progress& state, attempt_end end);
} // namespace detail

template <typename Budget>
relay_step decide_relay_step(request_progress& state, attempt_end end, time_point now,
                             Budget budget_left) {
  detail::count_end(state, end);
  const bool safe = !state.may_have_run || is_repeatable(state.kind);
  if (!safe || !detail::has_attempts_left(state, now)) {
    return detail::give_up(state, end);
  }
  // A request that no server received isn't a repeat.
  const bool is_repeat = state.sent + state.wrong_servers > 0;
  if (is_repeat && !budget_left()) {
    return detail::give_up(state, end);
  }
  return relay_step::try_again;
}

// After how long it pays to come back when all servers are busy: the time for a
// part of what runs to end, spread so that callers don't return in one wave.
// random_value is any evenly spread number.
duration refusal_delay(const dispatch_choice& choice, duration left,
                       std::uint64_t random_value);

} // namespace marigoldstep
