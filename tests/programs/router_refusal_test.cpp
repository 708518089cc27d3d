#include "marigoldstep/io/http_status.h"
#include "router/caller_response.h"
#include "router_fixture.h"

#include <catch2/catch.hpp>

// Guards against a caller of mstep-router that is told "not run" (408, 421, 429, 503)
// about a request that a backend server may have run (REFUSED).

using namespace marigoldstep;
using namespace marigoldstep::router::test;

namespace {

// An idempotency key for the n-th call.
std::string make_key(std::size_t n) {
  return std::to_string(io::wall_clock()) + "-refusal-" + std::to_string(n);
}

// Sends a chat or a call that may not be repeated, and returns what the caller got.
std::string exchange(fleet_fixture& fleet, bool repeatable, bool stream) {
  fake_caller caller(fleet.daemon->port());
  if (repeatable) {
    caller.send_chat(stream);
  } else {
    caller.send_booking(make_key(fleet.agent_b.starts.size()));
  }
  REQUIRE(wait_for([&] { return caller.is_complete(); }));
  return caller.input;
}

} // namespace

TEST_CASE("a status that promises \"not run\" isn't forwarded of a call that ran") {
  fleet_fixture fleet;
  unsigned status = 0;
  std::string body = GENERATE(std::string("body"), std::string(600'000, 'x'));
  for (auto* agent : {&fleet.agent_a, &fleet.agent_b}) {
    agent->on_start = [&, agent](const wire::StartAttemptT& start) {
      agent->send_head(*start.attempt_id, static_cast<std::uint16_t>(status));
      constexpr std::size_t piece = 32'000;
      for (std::size_t at = 0; at < body.size(); at += piece) {
        agent->send_data(*start.attempt_id, at, body.substr(at, piece));
      }
      agent->send_end(*start.attempt_id, completed(), body.size());
    };
  }
  fleet.start(
      {fleet.server(fleet.agent_a, "pool"), fleet.server(fleet.agent_b, "booking")});
  const auto kind = GENERATE(0, 1, 2);
  for (const auto it : {408U, 421U, 429U, 503U, 500U}) {
    CAPTURE(it, kind, body.size());
    status = it;
    const auto response = exchange(fleet, kind != 0, kind == 2);
    if (it == 500U) {
      CHECK(response.starts_with("HTTP/1.1 500 "));
    } else {
      CHECK(response.starts_with("HTTP/1.1 502 "));
      CHECK(response.find(R"("verdict":"may_have_run")") != std::string::npos);
      CHECK(response.find(body) == std::string::npos);
    }
  }
}

TEST_CASE("a stored response whose status promises \"not run\" isn't delivered") {
  fleet_fixture fleet;
  fleet.agent_a.on_start = [&](const wire::StartAttemptT& start) {
    fleet.agent_a.send_end(*start.attempt_id, may_have_run(errc::answer_truncated), 0);
  };
  fleet.start({fleet.server(fleet.agent_a, "booking")});
  fleet.control.claim_reply.outcome = wire::ClaimOutcome::completed;
  fleet.control.claim_reply.answer = std::make_unique<wire::StoredAnswerT>();
  fleet.control.claim_reply.answer->complete = true;
  fleet.control.claim_reply.answer->status = 503;
  const auto response = exchange(fleet, false, false);
  CHECK(response.starts_with("HTTP/1.1 502 "));
  CHECK(response.find(R"("verdict":"may_have_run")") != std::string::npos);
}

// Over all errors that an agent or a router reports.
TEST_CASE("only the verdict \"not run\" gets a status that promises it") {
  for (const auto& entry : marigoldstep::detail::errc_table()) {
    CAPTURE(entry.name);
    const auto status = router::http_status(may_have_run(entry.code));
    CHECK_FALSE(io::http_status::promises_not_run(static_cast<unsigned>(status)));
    CHECK(router::http_status(not_run(entry.code)) >= 400);
  }
  CHECK(router::http_status(not_run(errc::server_refused)) == 503);
}
