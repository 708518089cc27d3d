#include "programs/agent_harness.h"

using namespace agent_harness;

// Guards against an answer that is changed on its way, and against a duplicate
// start message running a call twice.
TEST_CASE("an answer is passed on whole and once") {
  fleet all;
  auto& node = all.start();
  fake_router router(node.port());
  const auto id = io::make_attempt_id();
  router.send(router.make_start(id));
  router.send(router.make_start(id));
  REQUIRE(router.wait_end());
  CHECK(router.last_end() == "completed/ok");
  CHECK(router.status == 200);
  CHECK(router.body == "hello");
  REQUIRE(all.backend->calls.size() == 1);
  CHECK(all.backend->calls[0]->head.contains("X-Priority: 0"));
  CHECK(all.backend->calls[0]->body == "q");
}

// Guards against work taken by a process other than the one the router chose, or
// under another configuration than the router's.
TEST_CASE("attempts for another process or configuration are refused") {
  fleet all;
  auto& node = all.start();
  fake_router router(node.port());
  auto start = router.make_start(io::make_attempt_id());
  std::string expected;
  SECTION("the process before a restart") {
    start.server_incarnation -= 1;
    expected = "not_run/wrong_incarnation";
  }
  SECTION("an older configuration") {
    router.version = 2;
    expected = "not_run/stale_configuration";
  }
  SECTION("a newer configuration that cannot be fetched") {
    router.version = 4;
    expected = "not_run/no_configuration";
  }
  SECTION("a deadline that has passed") {
    start.deadline_ms = 0;
    expected = "not_run/deadline_exceeded";
  }
  SECTION("a not repeatable call without a key, marked as repeatable") {
    start.path = "/book";
    expected = "not_run/missing_idempotency_key";
  }
  SECTION("a damaged path") {
    start.path = "/a b";
    expected = "not_run/bad_request";
  }
  router.send(std::move(start));
  REQUIRE(router.wait_end());
  CHECK(router.last_end() == expected);
  CHECK(all.backend->calls.empty());
}

// Guards against a refusal while the agent is only one round trip behind.
TEST_CASE("an attempt of a newer configuration waits until it is applied") {
  fleet all;
  auto& node = all.start();
  fake_router router(node.port());
  all.control->version = 4;
  router.version = 4;
  router.send(router.make_start(io::make_attempt_id()));
  REQUIRE(router.wait_end());
  CHECK(router.last_end() == "completed/ok");
}

// Guards against a part of an answer being reported as the whole, against
// "not run" for a call that reached the backend server, and against Qt sending a
// request again after its connection was lost.
TEST_CASE("a broken answer is never completed and never repeated") {
  struct fault {
    const char* what;
    QByteArray text;
    bool close;
  };
  const QByteArray ok = "HTTP/1.1 200 OK\r\n";
  const QByteArray events = ok + "Content-Type: text/event-stream\r\n";
  const QByteArray chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<fault> faults = {
      {"closed before the head", "", true},
      {"closed within the head", "HTTP/1.1 200 O", true},
      {"shorter than announced", ok + "Content-Length: 10\r\n\r\nhello", true},
      {"closed between chunks", ok + chunked + "5\r\nhello\r\n", true},
      {"closed within a chunk", ok + chunked + "9\r\nhello", true},
      {"failure status, cut", "HTTP/1.1 500 No\r\n" + chunked + "9\r\nhello", true},
      {"no length at all", ok + "\r\nhello", true},
      {"stream without its end mark", events + chunked + "9\r\ndata: 1\n\n\r\n0\r\n\r\n",
       true},
      {"stream cut within its end mark", events + "Content-Length: 10\r\n\r\ndata: [DON",
       true},
      {"silent before the head", "", false},
      {"silent within the body", ok + "Content-Length: 10\r\n\r\nhello", false},
  };
  fleet all;
  auto& node = all.start();
  const bool repeatable = GENERATE(true, false);
  for (const auto& it : faults) {
    INFO(it.what << ", repeatable " << repeatable);
    all.backend->calls.clear();
    all.backend->on_call = [&it](fake_backend::call& call) {
      fake_backend::write(call, it.text, it.close);
    };
    fake_router router(node.port());
    const auto id = io::make_attempt_id();
    auto start = repeatable ? router.make_start(id) : router.make_booking(id);
    if (repeatable) { // a request without a body takes another path through Qt
      start.method = "GET";
      start.body = {};
    }
    router.send(std::move(start));
    REQUIRE(router.wait_end());
    CHECK(router.last_end() == "may_have_run/answer_truncated");
    CHECK(all.backend->calls.size() == 1);
  }
  // The claims stay unsettled, because the outcome is unknown.
  CHECK(all.control->count_claims(wire::ClaimKind::release) == 0);
  CHECK(all.control->count_claims(wire::ClaimKind::complete) == 0);
}

// Guards against a failure status being taken for a broken answer, and against
// whole chunked answers and streams being refused.
TEST_CASE("whole answers of every form are completed") {
  const QByteArray chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const auto text = GENERATE_REF(
      fake_backend::whole_answer(""), QByteArray("HTTP/1.1 204 No Content\r\n\r\n"),
      QByteArray("HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno"),
      "HTTP/1.1 404 No\r\n" + chunked + "5\r\nhello\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + chunked +
          "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n");
  fleet all;
  auto& node = all.start();
  all.backend->on_call = [&text](fake_backend::call& call) {
    fake_backend::write(call, text, true);
  };
  fake_router router(node.port());
  router.send(router.make_start(io::make_attempt_id()));
  REQUIRE(router.wait_end());
  INFO(text.toStdString());
  CHECK(router.last_end() == "completed/ok");
  CHECK(router.status == text.mid(9, 3).toInt());
}

// Guards against a refused connection leaving a claim behind, and against a
// release for a call that may have run.
TEST_CASE("a backend server that cannot be reached leaves no claim") {
  fleet all;
  auto& node = all.start();
  all.backend->server.close();
  fake_router router(node.port());
  router.send(router.make_booking(io::make_attempt_id()));
  REQUIRE(router.wait_end());
  CHECK(router.last_end() == "not_run/server_unreachable");
  CHECK(all.control->count_claims(wire::ClaimKind::release) == 1);
}

// Guards against a call without a granted claim, and against a wrong verdict for
// each answer of the control group.
TEST_CASE("a not repeatable call runs only with a granted claim") {
  using wire::ClaimOutcome;
  struct row {
    ClaimOutcome outcome;
    const char* expected;
    errc error = errc::ok;
  };
  const std::vector<row> rows = {
      {ClaimOutcome::running, "may_have_run/already_running"},
      {ClaimOutcome::cancelled, "not_run/request_cancelled"},
      {ClaimOutcome::mismatch, "not_run/idempotency_key_reused"},
      {ClaimOutcome::expired, "may_have_run/idempotency_key_expired"},
      {ClaimOutcome::in_future, "not_run/idempotency_key_in_future"},
      {ClaimOutcome::may_have_run, "may_have_run/already_running"},
      {ClaimOutcome::unknown, "may_have_run/control_unavailable"},
      {ClaimOutcome::unavailable, "not_run/rate_limited", errc::rate_limited},
      {ClaimOutcome::completed, "completed/ok"},
  };
  fleet all;
  auto& node = all.start();
  for (const auto& it : rows) {
    all.control->on_claim = [&it](const wire::ClaimRequestT&) {
      auto reply = fake_control::claim_reply(it.outcome);
      reply->error_code = static_cast<std::uint16_t>(it.error);
      reply->answer = std::make_unique<wire::StoredAnswerT>();
      reply->answer->complete = true;
      reply->answer->status = 201;
      reply->answer->body = {'o', 'l', 'd'};
      return reply;
    };
    fake_router router(node.port());
    router.send(router.make_booking(io::make_attempt_id()));
    REQUIRE(router.wait_end());
    CHECK(router.last_end() == it.expected);
    CHECK(router.body == (it.outcome == ClaimOutcome::completed ? "old" : ""));
  }
  CHECK(all.backend->calls.empty());
}

// Guards against a call after a claim whose reply was lost, and against a claim
// that stays behind then.
TEST_CASE("a claim without an answer is taken back") {
  fleet all;
  auto& node = all.start();
  const bool release_answered = GENERATE(true, false);
  all.control->on_claim = [=](const wire::ClaimRequestT& request) {
    const bool answer = request.kind == wire::ClaimKind::release && release_answered;
    return answer ? fake_control::claim_reply(wire::ClaimOutcome::unknown) : nullptr;
  };
  fake_router router(node.port());
  router.send(router.make_booking(io::make_attempt_id()));
  REQUIRE(router.wait_end());
  CHECK(router.last_end() == (release_answered ? "not_run/control_unavailable"
                                               : "may_have_run/control_unavailable"));
  CHECK(all.control->count_claims(wire::ClaimKind::release) >= 1);
  CHECK(all.backend->calls.empty());
}

// Guards against "completed" being told before the answer is stored, which would
// let a resend run the call again.
TEST_CASE("the end waits until the stored answer is committed") {
  fleet all;
  auto& node = all.start();
  std::size_t refused = 0;
  const auto grant = all.control->on_claim;
  fake_router router(node.port());
  all.control->on_claim = [&](const wire::ClaimRequestT& request) {
    if (request.kind == wire::ClaimKind::complete && refused < 2) {
      ++refused;
      CHECK(router.ends.empty());
      return fake_control::claim_reply(wire::ClaimOutcome::unavailable);
    }
    return grant(request);
  };
  router.send(router.make_booking(io::make_attempt_id()));
  REQUIRE(router.wait_end());
  CHECK(router.last_end() == "completed/ok");
  CHECK(refused == 2);
  const auto& last = all.control->claims.back();
  REQUIRE(last.kind == wire::ClaimKind::complete);
  CHECK(as_text(last.answer->body) == "hello");
  CHECK(all.backend->calls.size() == 1);
}

// Guards against a damaged or hostile peer that takes the agent down, or leaves
// the others without service.
TEST_CASE("a peer that sends damaged frames only loses its own connection") {
  fleet all;
  auto& node = all.start();
  fake_router router(node.port());
  for (const auto closes_at_once : {true, false}) {
    fake_router hostile(node.port());
    bool closed = false;
    hostile.connection->on_closed = [&](std::error_code) { closed = true; };
    auto no_id = hostile.make_start({});
    no_id.attempt_id = nullptr;
    hostile.send(std::move(no_id));
    auto odd_lane = hostile.make_start(io::make_attempt_id());
    odd_lane.priority = static_cast<wire::Priority>(9);
    hostile.send(std::move(odd_lane));
    hostile.send(wire::AttemptAckT{});
    hostile.connection->send({4, 0, 0, 0, 1, 2, 3, 4});
    if (closes_at_once) {
      hostile.connection->close();
    }
    REQUIRE(wait_for([&] { return closed; }));
  }
  router.send(router.make_start(io::make_attempt_id()));
  REQUIRE(router.wait_end());
  CHECK(router.last_end() == "completed/ok");
  CHECK(all.backend->calls.size() == 1);
}
