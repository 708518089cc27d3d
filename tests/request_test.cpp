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

request_fields make_chat_request() {
  request_fields out;
  out.workspace = "w";
  out.chat_id = "c";
  out.model = "m";
  out.method = "POST";
  return out;
}

request_fields make_booking_request(std::string key) {
  request_fields out;
  out.workspace = "w";
  out.service = "booking";
  out.method = "POST";
  out.path = "/bookings/7";
  out.idempotency_key = std::move(key);
  return out;
}

std::error_code error_of(const request_fields& fields) {
  return check_request(make_config(), fields, now).error;
}

template <typename Change> std::error_code chat_error(Change change) {
  auto fields = make_chat_request();
  change(fields);
  return error_of(fields);
}

} // namespace

// Guards against requests that reach an agent although the configuration does not allow
// them, and against unbounded header values.
TEST_CASE("requests that the configuration does not allow are rejected") {
  CHECK_FALSE(error_of(make_chat_request()));
  using fields = request_fields;
  CHECK(chat_error([](fields& it) { it.workspace = "x"; }) == errc::unknown_workspace);
  CHECK(chat_error([](fields& it) { it.workspace = ""; }) == errc::bad_request);
  CHECK(chat_error([](fields& it) { it.model = "hidden"; }) == errc::unknown_model);
  CHECK(chat_error([](fields& it) { it.model = "none"; }) == errc::unknown_model);
  CHECK(chat_error([](fields& it) { it.service = "none"; }) == errc::unknown_service);
  CHECK(chat_error([](fields& it) { it.body_bytes = 1025; }) == errc::body_too_large);
  CHECK(chat_error([](fields& it) { it.chat_id = std::string(257, 'c'); }) ==
        errc::bad_request);
  CHECK(chat_error([](fields& it) { it.chat_id = "a\nb"; }) == errc::bad_request);
  for (const auto* text : {"0", "-1", "x", "1e3", "99999999999999999999", "5 "}) {
    CHECK(chat_error([text](fields& it) { it.deadline_ms = text; }) == errc::bad_request);
  }
  CHECK(chat_error([](fields& it) { it.priority = "high"; }) == errc::bad_request);
}

// Guards against a default deadline of another priority.
TEST_CASE("the default deadline is that of the workspace and the priority") {
  auto fields = make_chat_request();
  fields.priority = "patient";
  CHECK(check_request(make_config(), fields, now).request.deadline ==
        milliseconds(90'000));
  fields.deadline_ms = "250";
  CHECK(check_request(make_config(), fields, now).request.deadline == milliseconds(250));
}

// Guards against a booking that is forwarded without a valid key and could be made
// twice, also with a path that evades the rule.
TEST_CASE("calls that are not repeatable need a key within the accepted age") {
  const auto make_key = [](long offset_s) {
    return std::to_string(now + static_cast<unix_seconds>(offset_s)) + "-abcdefgh";
  };
  CHECK_FALSE(error_of(make_booking_request(make_key(0))));
  CHECK_FALSE(check_request(make_config(), make_booking_request(make_key(0)), now)
                  .request.repeatable);
  CHECK(error_of(make_booking_request("")) == errc::missing_idempotency_key);
  CHECK(error_of(make_booking_request("nonsense")) == errc::bad_idempotency_key);
  CHECK_FALSE(error_of(make_booking_request(make_key(300))));
  CHECK(error_of(make_booking_request(make_key(301))) == errc::idempotency_key_in_future);
  CHECK_FALSE(error_of(make_booking_request(make_key(-86'400))));
  CHECK(error_of(make_booking_request(make_key(-86'401))) ==
        errc::idempotency_key_expired);
  const auto expired =
      check_idempotency_key(make_key(-86'401), now, milliseconds(86'400'000));
  CHECK(expired.result == verdict::may_have_run);
  auto evading = make_booking_request("");
  evading.path = "/x/../bookings/7";
  CHECK(error_of(evading) == errc::bad_request);
}
