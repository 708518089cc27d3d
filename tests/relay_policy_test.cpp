#include "marigoldstep/event_splitter.h"
#include "marigoldstep/relay_policy.h"
#include "marigoldstep/retry_share.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace marigoldstep;

namespace {

const time_point start{duration(100'000)};

request_progress make_state(route_kind kind, std::uint32_t attempts) {
  request_progress out;
  out.kind = kind;
  out.max_attempts = attempts;
  out.deadline = start + duration(1000);
  return out;
}

relay_step after(request_progress& state, attempt_end end, bool budget = true) {
  return decide_relay_step(state, end, start, [budget] { return budget; });
}

} // namespace

TEST_CASE("a request that may not be repeated is never sent after it may have run") {
  for (const auto kind : {route_kind::once, route_kind::stream}) {
    auto broken = make_state(kind, 3);
    CHECK(after(broken, attempt_end::broken) == relay_step::answer_unknown);
    auto failed = make_state(kind, 3);
    CHECK(after(failed, attempt_end::failed) == relay_step::pass_on);
  }
}

TEST_CASE("proof that a request did not run allows another attempt") {
  auto state = make_state(route_kind::once, 2);
  CHECK(after(state, attempt_end::not_run) == relay_step::try_again);
  CHECK(after(state, attempt_end::not_run) == relay_step::answer_not_run);
}

TEST_CASE("connections that never opened don't use up attempts") {
  auto state = make_state(route_kind::once, 1);
  CHECK(after(state, attempt_end::not_connected) == relay_step::try_again);
  CHECK(after(state, attempt_end::not_connected) == relay_step::try_again);
  CHECK(after(state, attempt_end::not_connected) == relay_step::answer_not_run);
}

TEST_CASE("a second server at a wrong address says that the list is out of date") {
  auto state = make_state(route_kind::once, 1);
  CHECK(after(state, attempt_end::wrong_server) == relay_step::try_again);
  CHECK(after(state, attempt_end::wrong_server) == relay_step::answer_not_run);
}

TEST_CASE("what follows a wrong server draws on the budget like any repeat") {
  auto state = make_state(route_kind::once, 1);
  CHECK(after(state, attempt_end::wrong_server, false) == relay_step::answer_not_run);
}

TEST_CASE("a repeatable request is sent again within attempts and budget") {
  auto state = make_state(route_kind::repeatable, 2);
  CHECK(after(state, attempt_end::broken) == relay_step::try_again);
  CHECK(after(state, attempt_end::failed) == relay_step::pass_on);
  auto poor = make_state(route_kind::repeatable, 2);
  CHECK(after(poor, attempt_end::broken, false) == relay_step::answer_unknown);
}

TEST_CASE("\"not run\" is never said after an attempt that may have run") {
  rc::prop("for every series of ends", [] {
    const auto kind = *rc::gen::element(route_kind::repeatable, route_kind::once,
                                        route_kind::stream, route_kind::resumable_stream);
    auto state = make_state(kind, *rc::gen::inRange(1U, 5U));
    bool may_have_run = false;
    std::uint32_t sent = 0;
    for (int i = 0; i < 20; ++i) {
      const auto end = *rc::gen::element(attempt_end::not_connected, attempt_end::not_run,
                                         attempt_end::wrong_server, attempt_end::failed,
                                         attempt_end::broken);
      may_have_run =
          may_have_run || end == attempt_end::failed || end == attempt_end::broken;
      sent +=
          end == attempt_end::not_connected || end == attempt_end::wrong_server ? 0 : 1;
      const auto step = after(state, end, *rc::gen::arbitrary<bool>());
      RC_ASSERT(step != relay_step::answer_not_run || !may_have_run);
      RC_ASSERT(step != relay_step::try_again || !may_have_run || is_repeatable(kind));
      RC_ASSERT(step != relay_step::try_again || sent < state.max_attempts);
      if (step != relay_step::try_again) {
        return;
      }
    }
  });
}

TEST_CASE("no attempt begins when no time is left") {
  auto state = make_state(route_kind::repeatable, 9);
  const auto step = decide_relay_step(state, attempt_end::not_run, start + duration(995),
                                      [] { return true; });
  CHECK(step == relay_step::answer_not_run);
}

TEST_CASE("a refusal's delay is short against the time left, and spread") {
  dispatch_choice full;
  full.reason = dispatch_reason::all_full;
  std::set<duration> seen;
  for (std::uint64_t ticket = 0; ticket < 100; ++ticket) {
    const auto delay = refusal_delay(full, duration(3000), ticket * 7919);
    CHECK(delay >= duration(100));
    CHECK(delay <= duration(1000));
    seen.insert(delay);
  }
  CHECK(seen.size() > 20);
}

TEST_CASE("the fleet's repeats stay within its budget in every window") {
  // Routers that see unequal parts of the requests and never talk to each other.
  constexpr std::uint32_t routers = 5;
  const retry_limits limits{0.2, 58, duration(10'000)};
  std::vector<retry_share> shares(routers);
  for (auto& it : shares) {
    it.limits = limits;
    set_routers(it, routers);
  }
  std::mt19937_64 random(3);
  std::deque<time_point> requests;
  std::deque<time_point> repeats;
  for (int ms = 0; ms < 60'000; ms += 5) {
    const auto now = start + duration(ms);
    auto& share = shares[std::min<std::size_t>(random() % 9, routers - 1)];
    record_request(share, "s", now);
    requests.push_back(now);
    if (take_shared_retry(share, "s", now)) { // every request would like a repeat
      repeats.push_back(now);
    }
    while (now - requests.front() > limits.window) {
      requests.pop_front();
    }
    while (!repeats.empty() && now - repeats.front() > limits.window) {
      repeats.pop_front();
    }
    REQUIRE(static_cast<double>(repeats.size()) <=
            limits.ratio * static_cast<double>(requests.size()) + limits.base_retries);
  }
  CHECK(repeats.size() > 100);
}

TEST_CASE("without knowing the number of routers only the ratio counts") {
  retry_share share;
  share.limits = {0.2, 1000, duration(10'000)};
  CHECK_FALSE(take_shared_retry(share, "s", start));
  for (int i = 0; i < 10; ++i) {
    record_request(share, "s", start);
  }
  CHECK(take_shared_retry(share, "s", start));
}

TEST_CASE("events are passed on whole") {
  event_splitter state;
  CHECK(split_events(state, "id: 1\ndata: a\n").empty());
  CHECK(split_events(state, "\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(state.last_event == 1);
  CHECK(split_events(state, "ta: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(state.last_event == 2);
}

TEST_CASE("a resumed stream repeats no event") {
  event_splitter state;
  split_events(state, "id: 5\ndata: a\n\nid: 6\nda");
  state.partial.clear();
  CHECK(split_events(state, "id: 5\ndata: a\n\nid: 6\ndata: b\n\n") ==
        "id: 6\ndata: b\n\n");
}

TEST_CASE("events arrive in the same pieces however the stream is cut") {
  const std::string stream = "id: 1\r\ndata: a\r\n\r\n: note\n\nid: 2\ndata: b\n\n";
  for (std::size_t piece = 1; piece <= stream.size(); ++piece) {
    event_splitter state;
    std::string out;
    for (std::size_t at = 0; at < stream.size(); at += piece) {
      out += split_events(state, std::string_view(stream).substr(at, piece));
    }
    CHECK(out == stream);
    CHECK(state.last_event == 2);
    CHECK(state.partial.empty());
  }
}
