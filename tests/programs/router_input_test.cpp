#include "router_fixture.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;
using namespace marigoldstep::router::test;

namespace {

struct invalid_request {
  const char* method;
  const char* path;
  const char* headers;
  const char* body;
  int status;
  const char* code;
};

const auto* const workspace_header = "X-Marigoldstep-Workspace: w\r\n";
const auto* const chat_path = "/v1/chat/completions";

// clang-format off
const std::vector<invalid_request> invalid_requests = {
    {"POST", chat_path, workspace_header, "{", 400, "bad_request"},
    {"POST", chat_path, workspace_header, "[]", 400, "bad_request"},
    {"POST", chat_path, workspace_header, R"({"model":1,"messages":[]})", 400, "bad_request"},
    {"POST", chat_path, workspace_header, R"({"model":"m"})", 400, "bad_request"},
    {"POST", chat_path, workspace_header, R"({"model":"m","messages":[],"stream":"yes"})", 400, "bad_request"},
    {"POST", chat_path, workspace_header, R"({"model":"","messages":[]})", 404, "unknown_model"},
    {"POST", chat_path, workspace_header, R"({"model":"x","messages":[]})", 404, "unknown_model"},
    {"POST", chat_path, "", R"({"model":"m","messages":[]})", 400, "bad_request"},
    {"POST", chat_path, "X-Marigoldstep-Workspace: x\r\n", R"({"model":"m","messages":[]})", 403, "unknown_workspace"},
    {"POST", "/services/none/a", workspace_header, "", 404, "unknown_service"},
    {"POST", "/services/booking", workspace_header, "", 400, "bad_request"},
    {"POST", "/services/booking/bookings", workspace_header, "x", 400, "missing_idempotency_key"},
    {"POST", "/services/booking/x/%2e%2e/bookings", workspace_header, "x", 400, "bad_request"},
    {"POST", "/services/booking/%62ookings", workspace_header, "x", 400, "missing_idempotency_key"},
    {"GET", "/v1/attempts/none", "", "", 400, "bad_request"},
    {"GET", "/v1/attempts/a.00000000000000000000000000000001?offset=-1", "", "", 400, "bad_request"},
    {"GET", "/v1/attempts/x.00000000000000000000000000000001", "", "", 404, "unknown_attempt"},
    {"POST", "/v1/requests/cancel", workspace_header, "{}", 400, "bad_request"},
    {"GET", "/nothing", "", "", 400, "bad_request"},
};
// clang-format on

} // namespace

// Guards against a malformed or forbidden request that reaches an agent or gets a
// response that is not machine-readable.
TEST_CASE("invalid requests are rejected with a problem document") {
  fleet_fixture fleet;
  fleet.start(
      {fleet.server(fleet.agent_a, "pool"), fleet.server(fleet.agent_b, "booking")});
  for (const auto& it : invalid_requests) {
    INFO(it.method << " " << it.path << " " << it.body);
    fake_caller caller(fleet.daemon->port());
    caller.send(it.method, it.path, it.headers, it.body);
    REQUIRE(wait_for([&] { return caller.is_complete(); }));
    CHECK(caller.contains("HTTP/1.1 " + std::to_string(it.status)));
    CHECK(caller.contains("Content-Type: application/problem+json"));
    CHECK(caller.contains(R"("code":")" + std::string(it.code) + "\""));
  }
  CHECK(fleet.agent_a.starts.empty());
  CHECK(fleet.agent_b.starts.empty());
}

// Guards against unbounded memory use caused by a caller.
TEST_CASE("an oversized header or body is rejected before it is buffered") {
  fleet_fixture fleet;
  fleet.start({fleet.server(fleet.agent_a, "pool")});
  fake_caller caller(fleet.daemon->port());
  SECTION("a body slightly over the limit") {
    caller.send("POST", chat_path, workspace_header,
                R"({"model":"m","messages":[],"x":")" + std::string(5000, 'x') + "\"}");
  }
  SECTION("a body far over the limit") {
    caller.send("POST", chat_path, workspace_header, std::string(3U << 20U, 'x'));
  }
  SECTION("an endless header") {
    const std::string text = "GET / HTTP/1.1\r\nX-Long: " + std::string(3U << 20U, 'x');
    caller.socket.write(text.data(), static_cast<qint64>(text.size()));
  }
  REQUIRE(wait_for([&] { return caller.is_complete(); }));
  CHECK(caller.contains("HTTP/1.1 413"));
  CHECK(caller.contains(R"("code":"body_too_large")"));
  CHECK(fleet.agent_a.starts.empty());
}

// Guards against callers that keep a connection open without sending a complete request.
TEST_CASE("a connection with an incomplete request is closed after the idle timeout") {
  fleet_fixture fleet;
  router::router_limits limits;
  limits.caller_idle_timeout = milliseconds(300);
  fleet.start({fleet.server(fleet.agent_a, "pool")}, limits);
  fake_caller caller(fleet.daemon->port());
  caller.socket.write("POST /v1/chat/completions HTTP/1.1\r\nContent-Le");
  CHECK(wait_for([&] { return caller.is_closed(); }, 2000));
}

// Guards against more connections than the memory of the process allows.
TEST_CASE("connections over the limit are closed") {
  fleet_fixture fleet;
  router::router_limits limits;
  limits.max_connections = 2;
  fleet.start({fleet.server(fleet.agent_a, "pool")}, limits);
  fake_caller first(fleet.daemon->port());
  fake_caller second(fleet.daemon->port());
  REQUIRE(wait_for([&] { return fleet.daemon->port() != 0; }));
  fake_caller third(fleet.daemon->port());
  CHECK(wait_for([&] { return third.is_closed(); }));
  CHECK_FALSE(first.is_closed());
}

// Guards against a second request on the same connection whose response could be mixed
// with the first one.
TEST_CASE("a pipelined request is not run") {
  fleet_fixture fleet;
  fleet.start({fleet.server(fleet.agent_a, "pool")});
  fake_caller caller(fleet.daemon->port());
  caller.send_chat(true);
  REQUIRE(wait_for([&] { return fleet.agent_a.starts.size() == 1; }));
  caller.send_chat(true, "c2");
  fake_caller other(fleet.daemon->port());
  other.send("GET", "/nothing", "", "");
  REQUIRE(wait_for([&] { return other.is_complete(); }));
  fleet.agent_a.send_complete_response(*fleet.agent_a.starts[0].attempt_id, "one");
  REQUIRE(wait_for([&] { return caller.is_closed(); }));
  CHECK(caller.is_complete());
  CHECK(caller.chunked_body() == "one");
  CHECK(fleet.agent_a.starts.size() == 1);
}

// Guards against a response to a cancel request that ignores the control group's
// decision.
TEST_CASE("the verdict on a cancelled non-repeatable call follows the control group") {
  fleet_fixture fleet;
  fleet.start({fleet.server(fleet.agent_a, "booking")});
  fake_caller caller(fleet.daemon->port());
  const auto key = std::to_string(io::wall_clock()) + "-abcdefgh";
  auto& outcome = fleet.control.claim_reply.outcome;
  std::string expected;
  SECTION("cancelled") {
    outcome = wire::ClaimOutcome::cancelled;
    expected = R"("verdict":"not_run")";
  }
  SECTION("completed before") {
    outcome = wire::ClaimOutcome::completed;
    expected = R"("verdict":"completed")";
  }
  SECTION("running") {
    outcome = wire::ClaimOutcome::running;
    expected = R"("verdict":"may_have_run")";
  }
  SECTION("control group unavailable") {
    outcome = wire::ClaimOutcome::unavailable;
    expected = R"("verdict":"may_have_run")";
  }
  caller.send("POST", "/v1/requests/cancel",
              std::string(workspace_header) + "Idempotency-Key: " + key + "\r\n",
              R"({"service":"booking"})");
  REQUIRE(wait_for([&] { return caller.is_complete(); }));
  CHECK(caller.contains(expected));
  REQUIRE(fleet.control.claims.size() == 1);
  CHECK(fleet.control.claims[0].service == "booking");
  CHECK(fleet.control.claims[0].key == key);
}
