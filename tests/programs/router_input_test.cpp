#include "router_fixture.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;
using namespace marigoldstep::router::test;

namespace {

struct bad_input {
  const char* method;
  const char* path;
  const char* headers;
  const char* body;
  int status;
  const char* code;
};

const auto* const workspace = "X-Marigoldstep-Workspace: w\r\n";
const auto* const chat = "/v1/chat/completions";

// clang-format off
const std::vector<bad_input> table = {
    {"POST", chat, workspace, "{", 400, "bad_request"},
    {"POST", chat, workspace, "[]", 400, "bad_request"},
    {"POST", chat, workspace, R"({"model":1,"messages":[]})", 400, "bad_request"},
    {"POST", chat, workspace, R"({"model":"m"})", 400, "bad_request"},
    {"POST", chat, workspace, R"({"model":"m","messages":[],"stream":"yes"})", 400, "bad_request"},
    {"POST", chat, workspace, R"({"model":"","messages":[]})", 404, "unknown_model"},
    {"POST", chat, workspace, R"({"model":"x","messages":[]})", 404, "unknown_model"},
    {"POST", chat, "", R"({"model":"m","messages":[]})", 400, "bad_request"},
    {"POST", chat, "X-Marigoldstep-Workspace: x\r\n", R"({"model":"m","messages":[]})", 403, "unknown_workspace"},
    {"POST", "/services/none/a", workspace, "", 404, "unknown_service"},
    {"POST", "/services/booking", workspace, "", 400, "bad_request"},
    {"POST", "/services/booking/bookings", workspace, "x", 400, "missing_idempotency_key"},
    {"POST", "/services/booking/x/%2e%2e/bookings", workspace, "x", 400, "bad_request"},
    {"POST", "/services/booking/%62ookings", workspace, "x", 400, "missing_idempotency_key"},
    {"GET", "/v1/attempts/none", "", "", 400, "bad_request"},
    {"GET", "/v1/attempts/a.00000000000000000000000000000001?offset=-1", "", "", 400, "bad_request"},
    {"GET", "/v1/attempts/x.00000000000000000000000000000001", "", "", 404, "unknown_attempt"},
    {"POST", "/v1/requests/cancel", workspace, "{}", 400, "bad_request"},
    {"GET", "/nothing", "", "", 400, "bad_request"},
};
// clang-format on

} // namespace

// Guards against a request that is malformed or not allowed reaching an agent, or
// getting an answer that a program cannot read.
TEST_CASE("bad input is refused with a readable problem") {
  fleet_fixture fleet;
  fleet.start({fleet.server(fleet.a, "pool"), fleet.server(fleet.b, "booking")});
  for (const auto& it : table) {
    INFO(it.method << " " << it.path << " " << it.body);
    fake_caller caller(fleet.daemon->port());
    caller.send(it.method, it.path, it.headers, it.body);
    REQUIRE(wait_for([&] { return caller.is_whole(); }));
    CHECK(caller.has("HTTP/1.1 " + std::to_string(it.status)));
    CHECK(caller.has("Content-Type: application/problem+json"));
    CHECK(caller.has(R"("code":")" + std::string(it.code) + "\""));
  }
  CHECK(fleet.a.starts.empty());
  CHECK(fleet.b.starts.empty());
}

// Guards against memory that a caller can take up at will.
TEST_CASE("an oversized body is refused before it is taken in") {
  fleet_fixture fleet;
  fleet.start({fleet.server(fleet.a, "pool")});
  fake_caller caller(fleet.daemon->port());
  SECTION("a little over the limit") {
    caller.send("POST", chat, workspace,
                R"({"model":"m","messages":[],"x":")" + std::string(5000, 'x') + "\"}");
  }
  SECTION("far over the limit") {
    caller.send("POST", chat, workspace, std::string(3U << 20U, 'x'));
  }
  SECTION("headers without end") {
    const std::string text = "GET / HTTP/1.1\r\nX-Long: " + std::string(3U << 20U, 'x');
    caller.socket.write(text.data(), static_cast<qint64>(text.size()));
  }
  REQUIRE(wait_for([&] { return caller.is_whole(); }));
  CHECK(caller.has("HTTP/1.1 413"));
  CHECK(caller.has(R"("code":"body_too_large")"));
  CHECK(fleet.a.starts.empty());
}

// Guards against callers that hold a connection without ever sending a request.
TEST_CASE("a half-sent request is closed after the idle time") {
  fleet_fixture fleet;
  router::router_limits limits;
  limits.caller_idle_timeout = duration(300);
  fleet.start({fleet.server(fleet.a, "pool")}, limits);
  fake_caller caller(fleet.daemon->port());
  caller.socket.write("POST /v1/chat/completions HTTP/1.1\r\nContent-Le");
  CHECK(wait_for([&] { return caller.is_closed(); }, 2000));
}

// Guards against more connections than the process has memory for.
TEST_CASE("connections over the limit are closed") {
  fleet_fixture fleet;
  router::router_limits limits;
  limits.max_connections = 2;
  fleet.start({fleet.server(fleet.a, "pool")}, limits);
  fake_caller first(fleet.daemon->port());
  fake_caller second(fleet.daemon->port());
  REQUIRE(wait_for([&] { return fleet.daemon->port() != 0; }));
  fake_caller third(fleet.daemon->port());
  CHECK(wait_for([&] { return third.is_closed(); }));
  CHECK_FALSE(first.is_closed());
}

// Guards against a second request on the same connection whose answer could be
// mixed with the first one (R2).
TEST_CASE("a pipelined request is not run") {
  fleet_fixture fleet;
  fleet.start({fleet.server(fleet.a, "pool")});
  fake_caller caller(fleet.daemon->port());
  caller.chat(true);
  REQUIRE(wait_for([&] { return fleet.a.starts.size() == 1; }));
  caller.chat(true, "c2");
  fake_caller other(fleet.daemon->port());
  other.send("GET", "/nothing", "", "");
  REQUIRE(wait_for([&] { return other.is_whole(); }));
  fleet.a.answer_whole(*fleet.a.starts[0].attempt_id, "one");
  REQUIRE(wait_for([&] { return caller.is_closed(); }));
  CHECK(caller.is_whole());
  CHECK(caller.chunks() == "one");
  CHECK(fleet.a.starts.size() == 1);
}

// Guards against a cancel that is answered without the control group's decision.
TEST_CASE("a caller cancels a call that may not be repeated") {
  fleet_fixture fleet;
  fleet.start({fleet.server(fleet.a, "booking")});
  fake_caller caller(fleet.daemon->port());
  const auto key = std::to_string(io::wall_clock()) + "-abcdefgh";
  auto& outcome = fleet.control.claim_reply.outcome;
  std::string expected;
  SECTION("cancelled") {
    outcome = wire::ClaimOutcome::cancelled;
    expected = R"("verdict":"not_run")";
  }
  SECTION("it ran already") {
    outcome = wire::ClaimOutcome::completed;
    expected = R"("verdict":"completed")";
  }
  SECTION("it runs") {
    outcome = wire::ClaimOutcome::running;
    expected = R"("verdict":"may_have_run")";
  }
  SECTION("nothing is known") {
    outcome = wire::ClaimOutcome::unavailable;
    expected = R"("verdict":"may_have_run")";
  }
  caller.send("POST", "/v1/requests/cancel",
              std::string(workspace) + "Idempotency-Key: " + key + "\r\n",
              R"({"service":"booking"})");
  REQUIRE(wait_for([&] { return caller.is_whole(); }));
  CHECK(caller.has(expected));
  REQUIRE(fleet.control.claims.size() == 1);
  CHECK(fleet.control.claims[0].service == "booking");
  CHECK(fleet.control.claims[0].key == key);
}
