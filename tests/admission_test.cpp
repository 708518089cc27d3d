#include "marigoldstep/admission.h"
#include "marigoldstep/load_limit.h"
#include "marigoldstep/response_buffer.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

using namespace marigoldstep;

// Guards against a check that is skipped or runs out of order, which would give a
// router the wrong reason and make it retry in vain.
TEST_CASE("the first failing check names the refusal") {
  admission_request request{5, 77, duration(100)};
  admission_inputs facts;
  facts.newest_version = 5;
  const auto code = [&] {
    const auto decision = decide_admission(request, facts);
    CHECK((decision.action == admission::admit ||
           decision.refusal.result == verdict::not_run));
    return decision.action == admission::hold    ? std::string("hold")
           : decision.action == admission::admit ? std::string("admit")
                                                 : decision.refusal.error.message();
  };
  const auto text = [](errc it) { return make_error_code(it).message(); };
  // Every check fails at first; they are mended one by one.
  facts.queue_full = true;
  facts.meets_deadline = false;
  facts.draining = true;
  facts.own_incarnation = 78;
  request.time_left = duration(0);
  CHECK(code() == "hold");
  facts.newest_version = 0;
  request.sender_version = 0;
  CHECK(code() == text(errc::no_configuration));
  facts.applied_version = 6;
  request.sender_version = 5;
  CHECK(code() == text(errc::lease_expired));
  facts.may_take_work = true;
  CHECK(code() == text(errc::stale_configuration));
  request.sender_version = 6;
  CHECK(code() == text(errc::wrong_incarnation));
  request.server_incarnation = 0;
  CHECK(code() == text(errc::server_draining));
  facts.draining = false;
  CHECK(code() == text(errc::deadline_exceeded));
  request.time_left = duration(1);
  CHECK(code() == text(errc::load_limit_reached));
  facts.limit = 1;
  CHECK(code() == text(errc::queue_full));
  facts.queue_full = false;
  CHECK(code() == text(errc::deadline_exceeded));
  facts.meets_deadline = true;
  CHECK(code() == "admit");
  request.sender_version = 7;
  CHECK(code() == "hold");
}

// Guards against a limit above the bound for any mean that the pool can have had,
// as docs/decisions/load-bound.md states it.
TEST_CASE("the limit never exceeds the bound for the true mean") {
  CHECK(rc::check([] {
    const auto loads = *rc::gen::container<std::vector<std::uint32_t>>(
        5, rc::gen::inRange<std::uint32_t>(0, 40));
    const auto fall = *rc::gen::inRange<std::uint32_t>(0, loads[0] + 1);
    limit_settings limits;
    limits.load_floor = *rc::gen::inRange(1U, 5U);
    std::uint32_t sum = 0;
    for (const auto it : loads) {
      sum += it;
    }
    mean_history report;
    record_mean_report(report, {sum * 1000 / 5, 5, loads[0], time_point(duration(0))});
    const auto load = loads[0] - fall;
    const double mean_now = (sum - fall) / 5.0;
    const auto limit = current_limit(limits, report, load, time_point(duration(2000)));
    RC_ASSERT(limit <= std::max<double>(limits.load_floor, 1.25 * mean_now));
    RC_ASSERT(current_limit(limits, report, load, time_point(duration(2001))) ==
              limits.load_floor);
  }));
}

// Guards against a leader that has only heard this server letting it double its
// load: its own load would be the mean.
TEST_CASE("a report over fewer servers does not raise the limit") {
  limit_settings limits;
  limits.load_floor = 4;
  mean_history history;
  const auto at = [](int ms) { return time_point(duration(ms)); };
  record_mean_report(history, {8000, 10, 10, at(0)});
  CHECK(current_limit(limits, history, 10, at(100)) == 10);
  record_mean_report(history, {20'000, 1, 20, at(500)});
  CHECK(current_limit(limits, history, 20, at(600)) == 10);
  record_mean_report(history, {2000, 3, 10, at(1000)}); // a lower one counts at once
  CHECK(current_limit(limits, history, 10, at(1100)) == 4);
  record_mean_report(history, {12'000, 3, 10, at(2100)}); // the pool did shrink
  CHECK(current_limit(limits, history, 10, at(2200)) == 15);
}

// Guards against bytes beyond the window, gaps, and offsets made up by a peer.
TEST_CASE("chunks cover the answer in order and within the window") {
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
      RC_ASSERT(expected ==
                std::min<std::uint64_t>(buffer.data.size(), acknowledged + send_window));
    }
  }));
}
