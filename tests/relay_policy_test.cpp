#include "marigoldstep/event_splitter.h"
#include "marigoldstep/relay_policy.h"
#include "marigoldstep/retry_share.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <chrono>

using namespace marigoldstep;

namespace {

const time_point start{milliseconds(100'000)};

request_progress make_state(route_kind kind, std::uint32_t attempts) {
  request_progress out;
  out.kind = kind;
  out.max_attempts = attempts;
  out.deadline = start + milliseconds(1000);
  return out;
}

relay_step step_after(request_progress& state, attempt_end end, bool budget = true) {
  return decide_relay_step(state, end, start, [budget] { return budget; });
}

} // namespace

TEST_CASE("a request that is not repeatable is not sent again after it may have run") {
  for (const auto kind : {route_kind::once, route_kind::stream}) {
    auto broken = make_state(kind, 3);
    CHECK(step_after(broken, attempt_end::broken) == relay_step::answer_unknown);
    auto failed = make_state(kind, 3);
    CHECK(step_after(failed, attempt_end::failed) == relay_step::pass_on);
  }
}

// Guards against a server's 503 that reaches a caller although the request ran (REFUSED).
TEST_CASE("a status that promises \"not run\" without proof is never passed on") {
  for (const auto kind : {route_kind::once, route_kind::stream, route_kind::repeatable,
                          route_kind::resumable_stream}) {
    auto state = make_state(kind, 1);
    CHECK(step_after(state, attempt_end::unproven_refusal) == relay_step::answer_unknown);
    CHECK(state.may_have_run);
    auto with_retry = make_state(kind, 2);
    CHECK(step_after(with_retry, attempt_end::unproven_refusal) ==
          (is_repeatable(kind) ? relay_step::try_again : relay_step::answer_unknown));
  }
}

TEST_CASE("a request that certainly did not run may be sent again") {
  auto state = make_state(route_kind::once, 2);
  CHECK(step_after(state, attempt_end::not_run) == relay_step::try_again);
  CHECK(step_after(state, attempt_end::not_run) == relay_step::answer_not_run);
}

TEST_CASE("failed connection attempts do not count towards the maximum of attempts") {
  auto state = make_state(route_kind::once, 1);
  CHECK(step_after(state, attempt_end::not_connected) == relay_step::try_again);
  CHECK(step_after(state, attempt_end::not_connected) == relay_step::try_again);
  CHECK(step_after(state, attempt_end::not_connected) == relay_step::answer_not_run);
}

// A single wrong server may be an address that was just reassigned; a second one means
// that the server directory is out of date.
TEST_CASE("a request is given up after the second wrong server") {
  auto state = make_state(route_kind::once, 1);
  CHECK(step_after(state, attempt_end::wrong_server) == relay_step::try_again);
  CHECK(step_after(state, attempt_end::wrong_server) == relay_step::answer_not_run);
}

TEST_CASE("a retry after a wrong server requires retry budget") {
  auto state = make_state(route_kind::once, 1);
  CHECK(step_after(state, attempt_end::wrong_server, false) ==
        relay_step::answer_not_run);
}

TEST_CASE("a repeatable request is sent again within its attempts and the retry budget") {
  auto state = make_state(route_kind::repeatable, 2);
  CHECK(step_after(state, attempt_end::broken) == relay_step::try_again);
  CHECK(step_after(state, attempt_end::failed) == relay_step::pass_on);
  auto without_budget = make_state(route_kind::repeatable, 2);
  CHECK(step_after(without_budget, attempt_end::broken, false) ==
        relay_step::answer_unknown);
}

TEST_CASE(
    "a response that the caller has in part is continued only where that is possible") {
  for (const auto kind : {route_kind::repeatable, route_kind::resumable_stream}) {
    for (const bool is_continuable : {false, true}) {
      auto state = make_state(kind, 3);
      state.response_started = true;
      state.is_continuable = is_continuable;
      CHECK(step_after(state, attempt_end::broken) ==
            (is_continuable ? relay_step::try_again : relay_step::answer_unknown));
    }
  }
}

TEST_CASE("the result is never \"not run\" after an attempt that may have run") {
  rc::prop("for every sequence of attempt ends", [] {
    const auto kind = *rc::gen::element(route_kind::repeatable, route_kind::once,
                                        route_kind::stream, route_kind::resumable_stream);
    auto state = make_state(kind, *rc::gen::inRange(1U, 5U));
    bool may_have_run = false;
    std::uint32_t sent = 0;
    for (int i = 0; i < 20; ++i) {
      const auto end = *rc::gen::element(
          attempt_end::not_connected, attempt_end::not_run, attempt_end::wrong_server,
          attempt_end::failed, attempt_end::unproven_refusal, attempt_end::broken);
      may_have_run = may_have_run || end == attempt_end::failed ||
                     end == attempt_end::unproven_refusal || end == attempt_end::broken;
      sent +=
          end == attempt_end::not_connected || end == attempt_end::wrong_server ? 0 : 1;
      const auto step = step_after(state, end, *rc::gen::arbitrary<bool>());
      RC_ASSERT(step != relay_step::answer_not_run || !may_have_run);
      RC_ASSERT(step != relay_step::try_again || !may_have_run || is_repeatable(kind));
      RC_ASSERT(step != relay_step::try_again || sent < state.max_attempts);
      if (step != relay_step::try_again) {
        return;
      }
    }
  });
}

TEST_CASE("no attempt starts shortly before the deadline") {
  auto state = make_state(route_kind::repeatable, 9);
  const auto step = decide_relay_step(state, attempt_end::not_run,
                                      start + milliseconds(995), [] { return true; });
  CHECK(step == relay_step::answer_not_run);
}

TEST_CASE("the delay of a refusal is short compared to the time left, and has jitter") {
  dispatch_choice full;
  full.reason = dispatch_reason::all_full;
  std::set<milliseconds> delays;
  for (std::uint64_t random_value = 0; random_value < 100; ++random_value) {
    const auto delay = refusal_delay(full, milliseconds(3000), random_value * 7919);
    CHECK(delay >= milliseconds(100));
    CHECK(delay <= milliseconds(1000));
    delays.insert(delay);
  }
  CHECK(delays.size() > 20);
}

// Callers of a service whose servers all back off must not return before one reopens,
// nor all at that moment.
TEST_CASE("a refusal names the time when the first server reopens, with jitter") {
  dispatch_choice closed;
  closed.reason = dispatch_reason::all_closed;
  closed.reopens_in = milliseconds(2000);
  std::set<milliseconds> delays;
  for (std::uint64_t random_value = 0; random_value < 100; ++random_value) {
    const auto delay = refusal_delay(closed, milliseconds(3000), random_value * 7919);
    CHECK(delay >= milliseconds(2000));
    CHECK(delay <= milliseconds(3000));
    delays.insert(delay);
  }
  CHECK(delays.size() > 20);
}

TEST_CASE("the retries of all routers stay within the fleet's budget in every window") {
  // The routers receive unequal parts of the requests and do not communicate.
  constexpr std::uint32_t routers = 5;
  const retry_limits limits{0.2, 58, milliseconds(10'000)};
  std::vector<retry_share> shares(routers);
  for (auto& it : shares) {
    it.limits = limits;
    set_routers(it, routers);
  }
  std::mt19937_64 random(3);
  std::deque<time_point> requests;
  std::deque<time_point> retries;
  for (int ms = 0; ms < 60'000; ms += 5) {
    const auto now = start + milliseconds(ms);
    auto& share = shares[std::min<std::size_t>(random() % 9, routers - 1)];
    record_request(share, "s", now);
    requests.push_back(now);
    if (take_shared_retry(share, "s", now)) { // every request attempts a retry
      retries.push_back(now);
    }
    while (now - requests.front() > limits.window) {
      requests.pop_front();
    }
    while (!retries.empty() && now - retries.front() > limits.window) {
      retries.pop_front();
    }
    REQUIRE(static_cast<double>(retries.size()) <=
            limits.ratio * static_cast<double>(requests.size()) + limits.base_retries);
  }
  CHECK(retries.size() > 100);
}

TEST_CASE("while the number of routers is unknown only the ratio applies") {
  retry_share share;
  share.limits = {0.2, 1000, milliseconds(10'000)};
  CHECK_FALSE(take_shared_retry(share, "s", start));
  for (int i = 0; i < 10; ++i) {
    record_request(share, "s", start);
  }
  CHECK(take_shared_retry(share, "s", start));
}

TEST_CASE("only complete events are forwarded") {
  event_splitter state;
  CHECK(split_events(state, "id: 1\ndata: a\n").empty());
  CHECK(split_events(state, "\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(state.last_event == 1);
  CHECK(split_events(state, "ta: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(state.last_event == 2);
}

TEST_CASE("events repeated by a resumed stream are dropped") {
  event_splitter state;
  split_events(state, "id: 5\ndata: a\n\nid: 6\nda");
  state.partial.clear();
  CHECK(split_events(state, "id: 5\ndata: a\n\nid: 6\ndata: b\n\n") ==
        "id: 6\ndata: b\n\n");
}

TEST_CASE("the forwarded events do not depend on how the stream is divided") {
  const std::string stream = "id: 1\r\ndata: a\r\n\r\n: note\n\nid: 2\ndata: b\n\n";
  for (std::size_t chunk_size = 1; chunk_size <= stream.size(); ++chunk_size) {
    event_splitter state;
    std::string out;
    for (std::size_t at = 0; at < stream.size(); at += chunk_size) {
      out += split_events(state, std::string_view(stream).substr(at, chunk_size));
    }
    CHECK(out == stream);
    CHECK(state.last_event == 2);
    CHECK(state.partial.empty());
  }
}

TEST_CASE("the time to find the end of an event does not grow with its square") {
  constexpr std::size_t pieces = 16'384;
  constexpr auto allowed = std::chrono::seconds(5);
  const std::string piece(256, 'a');
  const auto began = std::chrono::steady_clock::now();
  event_splitter state;
  std::size_t n = 0;
  while (n < pieces && std::chrono::steady_clock::now() - began < allowed) {
    split_events(state, piece);
    ++n;
  }
  CHECK(n == pieces);
}
