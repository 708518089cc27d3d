#include "programs/agent_harness.h"

using namespace agent_harness;

// Guards against a response that is modified in transit, and against a duplicate start
// message that runs a call twice.
TEST_CASE("an attempt runs once and its response is forwarded completely") {
  agent_fixture fixture;
  auto& node = fixture.start();
  fake_router router(node.port());
  const auto id = io::make_attempt_id();
  router.send(router.make_start(id));
  router.send(router.make_start(id));
  REQUIRE(router.wait_for_end());
  CHECK(router.last_result() == "completed/ok");
  CHECK(router.status == 200);
  CHECK(router.body == "hello");
  REQUIRE(fixture.backend->calls.size() == 1);
  CHECK(fixture.backend->calls[0]->head.contains("X-Priority: 0"));
  CHECK(fixture.backend->calls[0]->body == "q");
}

// Guards against an attempt that runs in another process than the router chose, or under
// another configuration than the router's.
TEST_CASE("attempts for another process or configuration and invalid ones are refused") {
  agent_fixture fixture;
  auto& node = fixture.start();
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
  SECTION("a non-repeatable call without a key, marked as repeatable") {
    start.path = "/book";
    expected = "not_run/missing_idempotency_key";
  }
  SECTION("an invalid path") {
    start.path = "/a b";
    expected = "not_run/bad_request";
  }
  router.send(std::move(start));
  REQUIRE(router.wait_for_end());
  CHECK(router.last_result() == expected);
  CHECK(fixture.backend->calls.empty());
}

// Guards against a refusal while the agent's configuration is only one round trip old.
TEST_CASE("an attempt under a newer configuration waits until the agent has applied it") {
  agent_fixture fixture;
  auto& node = fixture.start();
  fake_router router(node.port());
  fixture.control->version = 4;
  router.version = 4;
  router.send(router.make_start(io::make_attempt_id()));
  REQUIRE(router.wait_for_end());
  CHECK(router.last_result() == "completed/ok");
}

// Guards against a partial response reported as complete, against "not run" for a call
// that reached the backend server, and against Qt resending a request after its
// connection was lost.
TEST_CASE("an incomplete response is never reported as completed and never retried") {
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
      {"error status, truncated", "HTTP/1.1 500 No\r\n" + chunked + "9\r\nhello", true},
      {"no length at all", ok + "\r\nhello", true},
      {"stream without its end marker",
       events + chunked + "9\r\ndata: 1\n\n\r\n0\r\n\r\n", true},
      {"stream truncated within its end marker",
       events + "Content-Length: 10\r\n\r\ndata: [DON", true},
      {"silent before the head", "", false},
      {"silent within the body", ok + "Content-Length: 10\r\n\r\nhello", false},
  };
  agent_fixture fixture;
  auto& node = fixture.start();
  const bool repeatable = GENERATE(true, false);
  for (const auto& it : faults) {
    INFO(it.what << ", repeatable " << repeatable);
    fixture.backend->calls.clear();
    fixture.backend->on_call = [&it](fake_backend::call& call) {
      fake_backend::write(call, it.text, it.close);
    };
    fake_router router(node.port());
    const auto id = io::make_attempt_id();
    auto start =
        repeatable ? router.make_start(id) : router.make_non_repeatable_start(id);
    if (repeatable) { // Qt handles a request without a body differently
      start.method = "GET";
      start.body = {};
    }
    router.send(std::move(start));
    REQUIRE(router.wait_for_end());
    CHECK(router.last_result() == "may_have_run/answer_truncated");
    CHECK(fixture.backend->calls.size() == 1);
  }
  // The claims stay unsettled, because the outcome is unknown.
  CHECK(fixture.control->count_claims(wire::ClaimKind::release) == 0);
  CHECK(fixture.control->count_claims(wire::ClaimKind::complete) == 0);
}

// Guards against an error status that is treated as an incomplete response, and against
// complete chunked responses and streams that are rejected.
TEST_CASE("complete responses of every kind are reported as completed") {
  const QByteArray chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const auto text = GENERATE_REF(
      fake_backend::complete_response(""), QByteArray("HTTP/1.1 204 No Content\r\n\r\n"),
      QByteArray("HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno"),
      "HTTP/1.1 404 No\r\n" + chunked + "5\r\nhello\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + chunked +
          "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n");
  agent_fixture fixture;
  auto& node = fixture.start();
  fixture.backend->on_call = [&text](fake_backend::call& call) {
    fake_backend::write(call, text, true);
  };
  fake_router router(node.port());
  router.send(router.make_start(io::make_attempt_id()));
  REQUIRE(router.wait_for_end());
  INFO(text.toStdString());
  CHECK(router.last_result() == "completed/ok");
  CHECK(router.status == text.mid(9, 3).toInt());
}

// Guards against a refused connection that leaves a claim behind, and against a release
// for a call that may have run.
TEST_CASE("the claim is released when the backend server is unreachable") {
  agent_fixture fixture;
  auto& node = fixture.start();
  fixture.backend->server.close();
  fake_router router(node.port());
  router.send(router.make_non_repeatable_start(io::make_attempt_id()));
  REQUIRE(router.wait_for_end());
  CHECK(router.last_result() == "not_run/server_unreachable");
  CHECK(fixture.control->count_claims(wire::ClaimKind::release) == 1);
}

// Guards against a refusal that counts as a run, which keeps the call from being sent
// again, and against a server's error that counts as a refusal although the call ran.
TEST_CASE("only a server's proof makes a response mean that the call did not run") {
  struct refusal {
    QByteArray status;
    QByteArray fields;
    std::string result;
  };
  const QByteArray proof = "Marigoldstep-Not-Executed: 1\r\n";
  const std::vector<refusal> refusals = {{"503 X", proof, "not_run/server_refused"},
                                         {"429 X", proof, "not_run/server_refused"},
                                         {"408 X", proof, "not_run/server_refused"},
                                         {"421 X", "", "not_run/server_refused"},
                                         {"503 X", "", "completed/ok"},
                                         {"429 X", "", "completed/ok"},
                                         {"408 X", "", "completed/ok"},
                                         {"500 X", "", "completed/ok"},
                                         {"200 OK", proof, "completed/ok"}};
  agent_fixture fixture;
  auto& node = fixture.start();
  const bool repeatable = GENERATE(true, false);
  for (const auto& it : refusals) {
    CAPTURE(it.status.toStdString(), it.fields.toStdString(), repeatable);
    fixture.backend->on_call = [&it](fake_backend::call& call) {
      fake_backend::write(call,
                          "HTTP/1.1 " + it.status + "\r\n" + it.fields +
                              "Content-Length: 4\r\n\r\nbody",
                          true);
    };
    fixture.control->claims.clear();
    fake_router router(node.port());
    const auto id = io::make_attempt_id();
    router.send(repeatable ? router.make_start(id)
                           : router.make_non_repeatable_start(id));
    REQUIRE(router.wait_for_end());
    CHECK(router.last_result() == it.result);
    const bool is_refused = it.result != "completed/ok";
    CHECK((router.status == 0) == is_refused);
    const auto releases = fixture.control->count_claims(wire::ClaimKind::release);
    CHECK(releases == (is_refused && !repeatable ? 1 : 0));
  }
}

// Guards against a call without a granted claim, and against a wrong verdict for any
// claim outcome of the control group.
TEST_CASE("a non-repeatable call runs only with a granted claim") {
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
  agent_fixture fixture;
  auto& node = fixture.start();
  for (const auto& it : rows) {
    fixture.control->on_claim = [&it](const wire::ClaimRequestT&) {
      auto reply = fake_control::claim_reply(it.outcome);
      reply->error_code = static_cast<std::uint16_t>(it.error);
      reply->answer = std::make_unique<wire::StoredAnswerT>();
      reply->answer->complete = true;
      reply->answer->status = 201;
      reply->answer->body = {'o', 'l', 'd'};
      return reply;
    };
    fake_router router(node.port());
    router.send(router.make_non_repeatable_start(io::make_attempt_id()));
    REQUIRE(router.wait_for_end());
    CHECK(router.last_result() == it.expected);
    CHECK(router.body == (it.outcome == ClaimOutcome::completed ? "old" : ""));
  }
  CHECK(fixture.backend->calls.empty());
}

// Guards against a call that runs after the reply to its claim was lost, and against the
// claim being left behind.
TEST_CASE("a claim without a reply is released and its call not run") {
  agent_fixture fixture;
  auto& node = fixture.start();
  const bool replies_to_release = GENERATE(true, false);
  fixture.control->on_claim = [=](const wire::ClaimRequestT& request) {
    const bool replies = request.kind == wire::ClaimKind::release && replies_to_release;
    return replies ? fake_control::claim_reply(wire::ClaimOutcome::unknown) : nullptr;
  };
  fake_router router(node.port());
  router.send(router.make_non_repeatable_start(io::make_attempt_id()));
  REQUIRE(router.wait_for_end());
  CHECK(router.last_result() == (replies_to_release
                                     ? "not_run/control_unavailable"
                                     : "may_have_run/control_unavailable"));
  CHECK(fixture.control->count_claims(wire::ClaimKind::release) >= 1);
  CHECK(fixture.backend->calls.empty());
}

// Guards against "completed" being sent before the response is stored, which would let a
// resend run the call again.
TEST_CASE("the end is sent only after the stored response is committed") {
  agent_fixture fixture;
  auto& node = fixture.start();
  std::size_t refused = 0;
  const auto grant = fixture.control->on_claim;
  fake_router router(node.port());
  fixture.control->on_claim = [&](const wire::ClaimRequestT& request) {
    if (request.kind == wire::ClaimKind::complete && refused < 2) {
      ++refused;
      CHECK(router.ends.empty());
      return fake_control::claim_reply(wire::ClaimOutcome::unavailable);
    }
    return grant(request);
  };
  router.send(router.make_non_repeatable_start(io::make_attempt_id()));
  REQUIRE(router.wait_for_end());
  CHECK(router.last_result() == "completed/ok");
  CHECK(refused == 2);
  const auto& last = fixture.control->claims.back();
  REQUIRE(last.kind == wire::ClaimKind::complete);
  CHECK(as_text(last.answer->body) == "hello");
  CHECK(fixture.backend->calls.size() == 1);
}

// Guards against a faulty or malicious peer that crashes the agent or denies service to
// other peers.
TEST_CASE("a peer that sends malformed frames loses only its own connection") {
  agent_fixture fixture;
  auto& node = fixture.start();
  fake_router router(node.port());
  for (const auto closes_immediately : {true, false}) {
    fake_router malformed_peer(node.port());
    bool closed = false;
    malformed_peer.connection->on_closed = [&](std::error_code) { closed = true; };
    auto no_id = malformed_peer.make_start({});
    no_id.attempt_id = nullptr;
    malformed_peer.send(std::move(no_id));
    auto invalid_priority = malformed_peer.make_start(io::make_attempt_id());
    invalid_priority.priority = static_cast<wire::Priority>(9);
    malformed_peer.send(std::move(invalid_priority));
    malformed_peer.send(wire::AttemptAckT{});
    malformed_peer.connection->send({4, 0, 0, 0, 1, 2, 3, 4});
    if (closes_immediately) {
      malformed_peer.connection->close();
    }
    REQUIRE(wait_for([&] { return closed; }));
  }
  router.send(router.make_start(io::make_attempt_id()));
  REQUIRE(router.wait_for_end());
  CHECK(router.last_result() == "completed/ok");
  CHECK(fixture.backend->calls.size() == 1);
}
