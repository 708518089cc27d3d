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

exchange_result make_answer(const planned_request& request, std::uint32_t cached) {
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

exchange_result make_problem(const QByteArray& verdict) {
  exchange_result out;
  out.status = 503;
  out.complete = true;
  out.sent = true;
  out.content_type = "application/problem+json";
  out.body = R"({"code":"queue_full","verdict":")" + verdict + R"("})";
  return out;
}

// Runs the settings against an engine and a service that show these faults.
load_report run_with_faults(load_settings settings, const QByteArray& faults) {
  stand_in::stand_in_settings engine_settings;
  engine_settings.listen = {"127.0.0.1", 0};
  auto service_settings = engine_settings;
  service_settings.mode = stand_in::stand_in_mode::service;
  stand_in::engine_server engine(engine_settings, nullptr);
  stand_in::service_server service(service_settings, nullptr);
  REQUIRE_FALSE(engine.start());
  REQUIRE_FALSE(service.start());
  const io::endpoint engine_at{"127.0.0.1", engine.port()};
  const io::endpoint service_at{"127.0.0.1", service.port()};
  settings.targets = settings.direct_targets = {engine_at};
  settings.direct = true;
  settings.direct_share = 1;
  settings.workspaces = {{"w", 1, {"m"}}};
  settings.start_window = duration(0);
  settings.median_pause = duration(1);
  settings.resend.pause = duration(10);
  settings.rechecked_calls = 0;
  for (auto& it : settings.services) {
    it.runs = it.direct_targets = {service_at};
  }
  load_report out;
  runner run(settings, nullptr);
  run.on_done = [&out](const load_report& report) {
    out = report;
    QCoreApplication::quit();
  };
  const auto& faulty = settings.services.empty() ? engine_at : service_at;
  auto* set = new http_exchange({faulty, "POST", "/admin/faults", {}, faults},
                                duration(1000), nullptr);
  set->on_done = [&run](const exchange_result& result) {
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

std::uint64_t count(const request_totals& totals, request_end end) {
  return totals.ends.at(static_cast<std::size_t>(end));
}

} // namespace

// Guards against a checker that passes damaged answers.
TEST_CASE("any changed, missing or added byte is reported") {
  const auto stream = GENERATE(false, true);
  const auto request = make_request(stream);
  const auto answer = make_answer(request, 17);
  REQUIRE(classify_result(request, answer) == request_end::whole);
  for (qsizetype i = 0; i < answer.body.size(); ++i) {
    CAPTURE(i);
    auto changed = answer;
    changed.body[i] = char(changed.body[i] ^ 1);
    // The digits of cached_tokens are the only part that may differ.
    const auto digits = answer.body.lastIndexOf("17,\"completion");
    if (i != digits && i != digits + 1) {
      CHECK(classify_result(request, changed) == request_end::wrong);
    }
    auto shorter = answer;
    shorter.body.truncate(i);
    CHECK(classify_result(request, shorter) == request_end::wrong);
    shorter.complete = false;
    CHECK(classify_result(request, shorter) == request_end::cut);
  }
  auto longer = answer;
  longer.body += " ";
  CHECK(classify_result(request, longer) == request_end::wrong);
}

// Guards against taking the answer of another chat for the right one.
TEST_CASE("a crossed answer is wrong, whole or cut") {
  const auto request = make_request(true);
  auto other = request;
  other.chat.user = "w/another";
  auto crossed = make_answer(other, 0);
  CHECK(classify_result(request, crossed) == request_end::wrong);
  crossed.complete = false;
  crossed.body.truncate(400);
  CHECK(classify_result(request, crossed) == request_end::wrong);
}

// Guards against a load tool that hides a broken promise about runs.
TEST_CASE("runs that contradict what callers were told are found") {
  run_counts counts;
  exchange_result answer;
  answer.status = 200;
  answer.complete = true;
  answer.body = R"({"keys":{"a":1,"b":1,"d":1},"bodies":{"1":1}})";
  add_run_counts(counts, answer);
  answer.body = R"({"keys":{"b":1},"bodies":{"5":2}})";
  add_run_counts(counts, answer);
  answer.complete = false;
  add_run_counts(counts, answer);
  CHECK(counts.unreadable == 1);
  const std::vector<call_record> calls = {
      {"a", 1, request_end::not_run, true},      // told not run, ran
      {"b", 2, request_end::whole, false},       // ran on two replicas
      {"c", 3, request_end::whole, false},       // told completed, never ran
      {"d", 4, request_end::not_run, false},     // an earlier send ran
      {"e", 5, request_end::may_have_run, false} // same body under two keys
  };
  const auto found = check_runs(calls, counts);
  CHECK(found.duplicate_runs == 2);
  CHECK(found.ran_despite_not_run == 1);
  CHECK(found.ran_despite_later_not_run == 1);
  CHECK(found.completed_without_run == 1);
  CHECK(found.contradictions.size() == 5);
}

// Guards against sends that the caller's rules do not allow, and against giving
// up on what can be resumed.
TEST_CASE("a caller resumes, sends again or stops as the answer says") {
  auto request = make_request(true);
  CHECK(choose_next_action(request, make_problem("not_run"), 3) == next_action::resend);
  request.resend_not_run = false;
  CHECK(choose_next_action(request, make_problem("not_run"), 3) == next_action::finish);
  CHECK(classify_result(request, make_problem("not_run")) == request_end::not_run);
  CHECK(classify_result(request, make_problem("may_have_run")) ==
        request_end::may_have_run);
  auto cut = make_answer(request, 0);
  cut.complete = false;
  CHECK(choose_next_action(request, cut, 3) == next_action::resend);
  cut.resume_token = "agent.token";
  CHECK(choose_next_action(request, cut, 3) == next_action::resume);
  CHECK(choose_next_action(request, cut, 0) == next_action::finish);
}

// Guards against a fault that the whole path, from the engine's socket to the
// report, loses.
TEST_CASE("the run reports what a faulty backend server did") {
  event_loop loop;
  load_settings settings;
  settings.chats = 4;
  settings.turns = 2;
  settings.idle_timeout = duration(300);
  settings.resend.max_sends = 2;

  SECTION("no fault") {
    const auto report = run_with_faults(settings, "{}");
    CHECK(count(report.chats, request_end::whole) == 8);
    CHECK(report.returning_cached_tokens > 0);
    CHECK(has_passed(report));
  }
  SECTION("connections cut within the answer") {
    const auto report = run_with_faults(settings, R"({"cut_after_bytes":300})");
    CHECK(count(report.chats, request_end::cut) == 4);
    CHECK(report.not_started == 4);
  }
  SECTION("a stalled answer") {
    const auto report =
        run_with_faults(settings, R"({"stall_after_bytes":300,"requests":4})");
    CHECK(report.chats.sends == 12);
    CHECK(count(report.chats, request_end::whole) == 8);
  }
  SECTION("a length that is too short ends the answer falsely") {
    settings.stream_share = 0;
    const auto report = run_with_faults(settings, R"({"length_error":-5})");
    CHECK(count(report.chats, request_end::wrong) == 4);
    CHECK_FALSE(has_passed(report));
  }
  SECTION("calls that run and whose answers are lost run twice when sent again") {
    settings.chats = 0;
    settings.services = {{"s", "/bookings", 3, 0, {}, {}}};
    const auto report =
        run_with_faults(settings, R"({"cut_after_bytes":0,"requests":3})");
    CHECK(count(report.calls, request_end::whole) == 3);
    CHECK(report.findings.duplicate_runs == 3);
    CHECK_FALSE(has_passed(report));
  }
}
