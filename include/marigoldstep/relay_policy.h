#pragma once

#include "marigoldstep/dispatch.h"
#include "marigoldstep/routing.h"
#include "marigoldstep/types.h"

#include <optional>
#include <string>
#include <vector>

// Retry policy of a router that connects to backend servers directly: metadata of a
// request and of each response, and the decision after each attempt.
namespace marigoldstep {

// Metadata of a caller's request.
struct call_metadata {
  std::string request_id;
  std::string key;                      // of a workspace; empty when none was sent
  std::optional<milliseconds> deadline; // time that the caller waits
  std::vector<prompt_part> prompt;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_response_tokens = 0;
  std::optional<std::uint64_t> last_event; // id after which the caller resumes a stream
  // Id of the caller's request that brought the first event of that stream; empty when
  // none was sent.
  std::string resumed_request;
};

// Metadata of a backend server's response.
struct response_metadata {
  std::string request_id;    // empty when the response has none
  bool is_signed = false;    // a backend server made it; otherwise it is not forwarded
  bool not_run = false;      // the server reports that it did not run the request
  bool wrong_server = false; // another server has the address and did not run it
  std::optional<std::uint32_t> load;        // running and queued requests
  std::optional<milliseconds> idle_timeout; // of the connection
  bool leaving = false;                     // the server takes no more requests
  // The server refused the request and wants none from this router for so long.
  std::optional<milliseconds> backoff;
  // Requests a second that the server takes from all routers together.
  std::optional<double> request_limit;
  std::string problem; // why a field's value was ignored or limited; empty if none was
};

// How an attempt ended without a response that can be forwarded.
enum class attempt_end {
  not_connected, // nothing was sent
  withheld,      // nothing was sent: the server closed itself to requests meanwhile
  not_run,       // the server refused it or did not run it
  wrong_server,  // another server has the address
  failed,        // the server ran it and responded with an error that may be passed on
  // The server may have run it, and responded with a status that promises the contrary.
  unproven_refusal,
  broken, // it may have run; there was no usable response
};
std::string_view name(attempt_end end);
// Whether the server may have run the request of an attempt that ended so.
bool may_have_run(attempt_end end);

enum class relay_step {
  try_again,
  pass_on,        // forward the error response of the server
  answer_not_run, // respond that the request certainly did not run
  answer_unknown, // respond that the request may have run
};
std::string_view name(relay_step step);

// State of one request across its attempts.
struct request_progress {
  route_kind kind = route_kind::once;
  std::uint32_t max_attempts = 1;
  std::uint32_t sent = 0;            // attempts whose request was sent to a server
  std::uint32_t failed_connects = 0; // attempts that got no connection
  std::uint32_t wrong_servers = 0;   // attempts that reached another server
  bool may_have_run = false;         // of any attempt
  bool response_started = false;     // the caller has a part of the response
  // Another server can continue the response after that part.
  bool is_continuable = false;
  time_point deadline{};
};

// Records the end of an attempt and decides the next step. budget_left() returns
// whether the retry budget of the fleet allows another attempt, and consumes from it; it
// is called only when a retry is otherwise allowed.
template <typename Budget>
relay_step decide_relay_step(request_progress& state, attempt_end end, time_point now,
                             Budget budget_left);

namespace detail {
// Failed connection attempts are cheap, but this many mean that the service is down.
inline constexpr std::uint32_t max_failed_connects = 3;
// A single address may just have been reassigned to another server; a second one means
// that the server directory is out of date.
inline constexpr std::uint32_t max_wrong_servers = 2;
// With less time left, another attempt cannot produce a response.
inline constexpr milliseconds min_time_left{20};

bool has_attempts_left(const request_progress& state, time_point now);
void count_end(request_progress& state, attempt_end end);
relay_step give_up(const request_progress& state, attempt_end end);
} // namespace detail

template <typename Budget>
relay_step decide_relay_step(request_progress& state, attempt_end end, time_point now,
                             Budget budget_left) {
  detail::count_end(state, end);
  const bool safe = !state.may_have_run || is_repeatable(state.kind);
  const bool is_possible = !state.response_started || state.is_continuable;
  if (!safe || !is_possible || !detail::has_attempts_left(state, now)) {
    return detail::give_up(state, end);
  }
  // A request that no server has received does not count against the retry budget.
  const bool is_retry = state.sent + state.wrong_servers > 0;
  if (is_retry && !budget_left()) {
    return detail::give_up(state, end);
  }
  return relay_step::try_again;
}

// Retry-After for a caller when no server takes the request: the time until the first
// one opens again where the servers said it, otherwise the time in which some running
// requests end; with jitter so that callers do not all retry at once. left is the time
// until the deadline; random_value is uniformly distributed.
milliseconds refusal_delay(const dispatch_choice& choice, milliseconds left,
                           std::uint64_t random_value);

} // namespace marigoldstep
