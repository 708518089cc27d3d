#include "marigoldstep.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;

namespace {

constexpr unix_seconds now = 1'750'000'000;

configuration make_config() {
  yaml_report report;
  auto out = parse_configuration(R"(
fleet: f
pools: [{name: pool, models: [m, hidden]}]
services:
  - name: booking
    rules: [{method: POST, path: /bookings, repeatable: false}]
workspaces: [{name: w, models: [m], patient_deadline_ms: 90000}]
limits: {max_body_bytes: 1024}
)",
                                 1, report);
  REQUIRE(report.problems.empty());
  return out;
}

request_fields chat() {
  request_fields out;
  out.workspace = "w";
  out.chat_id = "c";
  out.model = "m";
  out.method = "POST";
  return out;
}

request_fields booking(std::string key) {
  request_fields out;
  out.workspace = "w";
  out.service = "booking";
  out.method = "POST";
  out.path = "/bookings/7";
  out.idempotency_key = std::move(key);
  return out;
}

std::error_code error_of(const request_fields& facts) {
  return check_request(make_config(), facts, now).error;
}

template <typename Change> std::error_code chat_error(Change change) {
  auto facts = chat();
  change(facts);
  return error_of(facts);
}

} // namespace

// Guards against requests that reach an agent although the configuration does
// not allow them, and against header values that no limit bounds.
TEST_CASE("requests outside the configuration are refused") {
  CHECK_FALSE(error_of(chat()));
  using facts = request_fields;
  CHECK(chat_error([](facts& it) { it.workspace = "x"; }) == errc::unknown_workspace);
  CHECK(chat_error([](facts& it) { it.workspace = ""; }) == errc::bad_request);
  CHECK(chat_error([](facts& it) { it.model = "hidden"; }) == errc::unknown_model);
  CHECK(chat_error([](facts& it) { it.model = "none"; }) == errc::unknown_model);
  CHECK(chat_error([](facts& it) { it.service = "none"; }) == errc::unknown_service);
  CHECK(chat_error([](facts& it) { it.body_bytes = 1025; }) == errc::body_too_large);
  CHECK(chat_error([](facts& it) { it.chat_id = std::string(257, 'c'); }) ==
        errc::bad_request);
  CHECK(chat_error([](facts& it) { it.chat_id = "a\nb"; }) == errc::bad_request);
  for (const auto* text : {"0", "-1", "x", "1e3", "99999999999999999999", "5 "}) {
    CHECK(chat_error([text](facts& it) { it.deadline_ms = text; }) == errc::bad_request);
  }
  CHECK(chat_error([](facts& it) { it.priority = "high"; }) == errc::bad_request);
}

// Guards against a deadline of the wrong priority.
TEST_CASE("defaults come from the workspace") {
  auto facts = chat();
  facts.priority = "patient";
  CHECK(check_request(make_config(), facts, now).request.deadline == duration(90'000));
  facts.deadline_ms = "250";
  CHECK(check_request(make_config(), facts, now).request.deadline == duration(250));
}

// Guards against a booking that is sent on without a usable key and could be made
// twice, also by way of a path that evades the rule.
TEST_CASE("calls that may not be repeated need a key of the right age") {
  const auto at = [](long shift) {
    return std::to_string(now + static_cast<unix_seconds>(shift)) + "-abcdefgh";
  };
  CHECK_FALSE(error_of(booking(at(0))));
  CHECK_FALSE(check_request(make_config(), booking(at(0)), now).request.repeatable);
  CHECK(error_of(booking("")) == errc::missing_idempotency_key);
  CHECK(error_of(booking("nonsense")) == errc::bad_idempotency_key);
  CHECK_FALSE(error_of(booking(at(300))));
  CHECK(error_of(booking(at(301))) == errc::idempotency_key_in_future);
  CHECK_FALSE(error_of(booking(at(-86'400))));
  CHECK(error_of(booking(at(-86'401))) == errc::idempotency_key_expired);
  const auto expired = check_idempotency_key(at(-86'401), now, duration(86'400'000));
  CHECK(expired.result == verdict::may_have_run);
  auto evading = booking("");
  evading.path = "/x/../bookings/7";
  CHECK(error_of(evading) == errc::bad_request);
}
