#include "load/report.h"
#include "load/runner.h"
#include "stand_in/engine_server.h"
#include "stand_in/service_server.h"

#include <QCoreApplication>

#include <catch2/catch.hpp>

using namespace marigoldstep;
using namespace marigoldstep::load;

namespace {

planned_request make_request(bool stream) {
  load_settings settings;
  settings.workspaces = {{"w", 1, {"m"}}};
  settings.stream_share = stream ? 1 : 0;
  return make_chat(settings, 7).request;
}

exchange_result make_response(const planned_request& request, std::uint32_t cached) {
  stand_in::token_usage usage{0, cached, request.chat.max_tokens};
  for (const auto& it : request.chat.messages) {
    usage.prompt_tokens += stand_in::count_tokens(it.content);
  }
  exchange_result out;
  out.status = 200;
  out.complete = true;
  out.sent = true;
  out.body = stand_in::render_body(request.chat, usage);
  return out;
}

exchange_result make_problem_response(const QByteArray& verdict) {
  exchange_result out;
  out.status = 503;
  out.complete = true;
  out.sent = true;
  out.content_type = "application/problem+json";
  out.body = R"({"code":"queue_full","verdict":")" + verdict + R"("})";
  return out;
}

// Runs the load against a stand-in engine and service and injects the faults into the
// service, or into the engine if the settings have no services.
load_report run_with_faults(load_settings settings, const QByteArray& faults) {
  stand_in::stand_in_settings engine_settings;
  engine_settings.listen = {"127.0.0.1", 0};
  auto service_settings = engine_settings;
  service_settings.mode = stand_in::stand_in_mode::service;
  stand_in::engine_server engine(engine_settings, nullptr);
  stand_in::service_server service(service_settings, nullptr);
  REQUIRE_FALSE(engine.start());
  REQUIRE_FALSE(service.start());
  const io::endpoint engine_endpoint{"127.0.0.1", engine.port()};
  const io::endpoint service_endpoint{"127.0.0.1", service.port()};
  settings.targets = settings.direct_targets = {engine_endpoint};
  settings.direct = true;
  settings.direct_share = 1;
  settings.workspaces = {{"w", 1, {"m"}}};
  settings.start_window = milliseconds(0);
  settings.median_pause = milliseconds(1);
  settings.resend.pause = milliseconds(10);
  settings.rechecked_calls = 0;
  for (auto& it : settings.services) {
    it.runs = it.direct_targets = {service_endpoint};
  }
  load_report out;
  runner run(settings, nullptr);
  run.on_done = [&out](const load_report& report) {
    out = report;
    QCoreApplication::quit();
  };
  const auto& faulty_endpoint =
      settings.services.empty() ? engine_endpoint : service_endpoint;
  auto* fault_request =
      new http_exchange({faulty_endpoint, "POST", "/admin/faults", {}, faults},
                        milliseconds(1000), nullptr);
  fault_request->on_done = [&run](const exchange_result& result) {
    CHECK(result.status == 200);
    run.start();
  };
  QCoreApplication::exec();
  return out;
}

struct event_loop {
  int argc = 1;
  std::string program = "load_checker_test";
  std::array<char*, 2> argv{program.data(), nullptr};
  QCoreApplication app{argc, argv.data()};
};

std::uint64_t count_ends(const request_totals& totals, request_end end) {
  return totals.ends.at(static_cast<std::size_t>(end));
}

} // namespace

// Guards against a checker that accepts corrupted responses.
TEST_CASE("any changed, missing or added byte of a response is detected") {
  const auto stream = GENERATE(false, true);
  const auto request = make_request(stream);
  const auto response = make_response(request, 17);
  REQUIRE(classify_result(request, response) == request_end::whole);
  for (qsizetype i = 0; i < response.body.size(); ++i) {
    CAPTURE(i);
    auto changed = response;
    changed.body[i] = char(changed.body[i] ^ 1);
    // The digits of cached_tokens are the only part that may differ.
    const auto digits = response.body.lastIndexOf("17,\"completion");
    if (i != digits && i != digits + 1) {
      CHECK(classify_result(request, changed) == request_end::wrong);
    }
    auto shorter = response;
    shorter.body.truncate(i);
    CHECK(classify_result(request, shorter) == request_end::wrong);
    shorter.complete = false;
    CHECK(classify_result(request, shorter) == request_end::cut);
  }
  auto longer = response;
  longer.body += " ";
  CHECK(classify_result(request, longer) == request_end::wrong);
}

// Guards against a checker that accepts the response to another chat.
TEST_CASE("a response to another chat is wrong, complete or truncated") {
  const auto request = make_request(true);
  auto other = request;
  other.chat.user = "w/another";
  auto misdirected = make_response(other, 0);
  CHECK(classify_result(request, misdirected) == request_end::wrong);
  misdirected.complete = false;
  misdirected.body.truncate(400);
  CHECK(classify_result(request, misdirected) == request_end::wrong);
}

// Guards against a load tool that hides runs which contradict the callers' verdicts.
TEST_CASE("runs that contradict the verdicts sent to callers are found") {
  run_counts counts;
  exchange_result response;
  response.status = 200;
  response.complete = true;
  response.body = R"({"keys":{"a":1,"b":1,"d":1},"bodies":{"1":1}})";
  add_run_counts(counts, response);
  response.body = R"({"keys":{"b":1},"bodies":{"5":2}})";
  add_run_counts(counts, response);
  response.complete = false;
  add_run_counts(counts, response);
  CHECK(counts.unreadable == 1);
  const std::vector<call_record> calls = {
      {"a", 1, request_end::not_run, true},      // verdict not_run, but ran
      {"b", 2, request_end::whole, false},       // ran on two replicas
      {"c", 3, request_end::whole, false},       // verdict completed, but never ran
      {"d", 4, request_end::not_run, false},     // an earlier send ran
      {"e", 5, request_end::may_have_run, false} // same body under two keys
  };
  const auto findings = check_runs(calls, counts);
  CHECK(findings.duplicate_runs == 2);
  CHECK(findings.ran_despite_not_run == 1);
  CHECK(findings.ran_despite_later_not_run == 1);
  CHECK(findings.completed_without_run == 1);
  CHECK(findings.contradictions.size() == 5);
}

// Guards against sends that the caller's rules do not allow, and against failing a
// request that can be resumed.
TEST_CASE("a caller resumes, resends or finishes as the response permits") {
  auto request = make_request(true);
  CHECK(choose_next_action(request, make_problem_response("not_run"), 3) ==
        next_action::resend);
  request.resend_not_run = false;
  CHECK(choose_next_action(request, make_problem_response("not_run"), 3) ==
        next_action::finish);
  CHECK(classify_result(request, make_problem_response("not_run")) ==
        request_end::not_run);
  CHECK(classify_result(request, make_problem_response("may_have_run")) ==
        request_end::may_have_run);
  auto truncated = make_response(request, 0);
  truncated.complete = false;
  CHECK(choose_next_action(request, truncated, 3) == next_action::resend);
  truncated.resume_token = "agent.token";
  CHECK(choose_next_action(request, truncated, 3) == next_action::resume);
  CHECK(choose_next_action(request, truncated, 0) == next_action::finish);
}

// Guards against a fault that goes unnoticed on the path from the engine's socket to the
// report.
TEST_CASE("the load report shows the faults of a backend server") {
  event_loop loop;
  load_settings settings;
  settings.chats = 4;
  settings.turns = 2;
  settings.idle_timeout = milliseconds(300);
  settings.resend.max_sends = 2;

  SECTION("no fault") {
    const auto report = run_with_faults(settings, "{}");
    CHECK(count_ends(report.chats, request_end::whole) == 8);
    CHECK(report.returning_cached_tokens > 0);
    CHECK(has_passed(report));
  }
  SECTION("connections closed within the response") {
    const auto report = run_with_faults(settings, R"({"cut_after_bytes":300})");
    CHECK(count_ends(report.chats, request_end::cut) == 4);
    CHECK(report.not_started == 4);
  }
  SECTION("stalled responses") {
    const auto report =
        run_with_faults(settings, R"({"stall_after_bytes":300,"requests":4})");
    CHECK(report.chats.sends == 12);
    CHECK(count_ends(report.chats, request_end::whole) == 8);
  }
  SECTION("a Content-Length that is too short") {
    settings.stream_share = 0;
    const auto report = run_with_faults(settings, R"({"length_error":-5})");
    CHECK(count_ends(report.chats, request_end::wrong) == 4);
    CHECK_FALSE(has_passed(report));
  }
  SECTION("calls that run twice because their responses are lost") {
    settings.chats = 0;
    settings.services = {{"s", "/bookings", 3, 0, {}, {}}};
    const auto report =
        run_with_faults(settings, R"({"cut_after_bytes":0,"requests":3})");
    CHECK(count_ends(report.calls, request_end::whole) == 3);
    CHECK(report.findings.duplicate_runs == 3);
    CHECK_FALSE(has_passed(report));
  }
}
