#include "marigoldstep/admission.h"
#include "marigoldstep/load_limit.h"
#include "marigoldstep/response_buffer.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

using namespace marigoldstep;

// Guards against a skipped or reordered check, which would report the wrong reason to
// the router and make it retry in vain.
TEST_CASE("a refusal reports the first admission check that fails") {
  admission_request request{5, 77, milliseconds(100)};
  admission_inputs inputs;
  inputs.newest_version = 5;
  const auto result = [&] {
    const auto decision = decide_admission(request, inputs);
    CHECK((decision.action == admission::admit ||
           decision.refusal.result == verdict::not_run));
    return decision.action == admission::hold    ? std::string("hold")
           : decision.action == admission::admit ? std::string("admit")
                                                 : decision.refusal.error.message();
  };
  const auto message_of = [](errc it) { return make_error_code(it).message(); };
  // All checks fail at first and are made to pass one by one.
  inputs.queue_full = true;
  inputs.meets_deadline = false;
  inputs.draining = true;
  inputs.own_incarnation = 78;
  request.time_left = milliseconds(0);
  CHECK(result() == "hold");
  inputs.newest_version = 0;
  request.sender_version = 0;
  CHECK(result() == message_of(errc::no_configuration));
  inputs.applied_version = 6;
  request.sender_version = 5;
  CHECK(result() == message_of(errc::lease_expired));
  inputs.may_take_work = true;
  CHECK(result() == message_of(errc::stale_configuration));
  request.sender_version = 6;
  CHECK(result() == message_of(errc::wrong_incarnation));
  request.server_incarnation = 0;
  CHECK(result() == message_of(errc::server_draining));
  inputs.draining = false;
  CHECK(result() == message_of(errc::deadline_exceeded));
  request.time_left = milliseconds(1);
  CHECK(result() == message_of(errc::load_limit_reached));
  inputs.limit = 1;
  CHECK(result() == message_of(errc::queue_full));
  inputs.queue_full = false;
  CHECK(result() == message_of(errc::deadline_exceeded));
  inputs.meets_deadline = true;
  CHECK(result() == "admit");
  request.sender_version = 7;
  CHECK(result() == "hold");
}

// Guards against a limit above the bound for any mean that the pool can have had. The
// bound is stated in docs/decisions/load-bound.md.
TEST_CASE("the load limit never exceeds the bound for the pool's true mean") {
  CHECK(rc::check([] {
    const auto loads = *rc::gen::container<std::vector<std::uint32_t>>(
        5, rc::gen::inRange<std::uint32_t>(0, 40));
    const auto load_drop = *rc::gen::inRange<std::uint32_t>(0, loads[0] + 1);
    limit_settings limits;
    limits.load_floor = *rc::gen::inRange(1U, 5U);
    std::uint32_t sum = 0;
    for (const auto it : loads) {
      sum += it;
    }
    mean_history history;
    record_mean_report(history,
                       {sum * 1000 / 5, 5, loads[0], time_point(milliseconds(0))});
    const auto load = loads[0] - load_drop;
    const double mean_now = (sum - load_drop) / 5.0;
    const auto limit =
        current_limit(limits, history, load, time_point(milliseconds(2000)));
    RC_ASSERT(limit <= std::max<double>(limits.load_floor, 1.25 * mean_now));
    RC_ASSERT(current_limit(limits, history, load, time_point(milliseconds(2001))) ==
              limits.load_floor);
  }));
}

// Guards against a server that doubles its load after a change of leader: while the new
// leader has received heartbeats from this server only, the mean is the server's own
// load.
TEST_CASE("a report over fewer servers does not raise the limit") {
  limit_settings limits;
  limits.load_floor = 4;
  mean_history history;
  const auto at = [](int ms) { return time_point(milliseconds(ms)); };
  record_mean_report(history, {8000, 10, 10, at(0)});
  CHECK(current_limit(limits, history, 10, at(100)) == 10);
  record_mean_report(history, {20'000, 1, 20, at(500)});
  CHECK(current_limit(limits, history, 20, at(600)) == 10);
  record_mean_report(history, {2000, 3, 10, at(1000)}); // a lower mean applies at once
  CHECK(current_limit(limits, history, 10, at(1100)) == 4);
  record_mean_report(history, {12'000, 3, 10, at(2100)}); // the pool has shrunk
  CHECK(current_limit(limits, history, 10, at(2200)) == 15);
}

// Guards against bytes sent beyond the window, gaps, and invalid offsets from a peer.
TEST_CASE("chunks cover the response in order and within the send window") {
  CHECK(rc::check([] {
    response_buffer buffer;
    buffer.max_bytes = 900'000;
    std::uint64_t expected = 0;
    std::uint64_t acknowledged = 0;
    for (int step = 0; step < 60; ++step) {
      const auto action = *rc::gen::inRange(0, 4);
      const auto amount = *rc::gen::inRange<std::uint64_t>(0, 90'000);
      if (action == 0) {
        const bytes more(amount, static_cast<std::uint8_t>(step));
        const auto size = buffer.data.size();
        RC_ASSERT(append(buffer, more) == (size + amount <= buffer.max_bytes));
      } else if (action == 1) {
        const auto offset = acknowledged + amount;
        const bool valid = offset <= expected;
        RC_ASSERT(acknowledge(buffer, offset) == valid);
        acknowledged = valid ? offset : acknowledged;
        RC_ASSERT(acknowledged == 0 || !acknowledge(buffer, acknowledged - 1));
      } else if (action == 2) {
        RC_ASSERT_FALSE(resume_from(buffer, buffer.data.size() + 1));
        const auto offset = buffer.data.size() / (amount + 1);
        RC_ASSERT(resume_from(buffer, offset));
        expected = acknowledged = offset;
      }
      while (const auto chunk = take_chunk(buffer, 20'000)) {
        RC_ASSERT(chunk->offset == expected);
        RC_ASSERT(!chunk->data.empty() && chunk->data.size() <= 20'000);
        expected += chunk->data.size();
      }
      RC_ASSERT(expected == std::min<std::uint64_t>(buffer.data.size(),
                                                    acknowledged + send_window_bytes));
    }
  }));
}
