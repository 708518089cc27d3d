#include "router_fixture.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;
using namespace marigoldstep::router::test;

namespace {

void resume(fake_caller& caller, const std::string& token, int offset) {
  caller.send("GET", "/v1/attempts/" + token + "?offset=" + std::to_string(offset), "",
              "");
}

} // namespace

TEST_CASE("a resumed response does not end with the connection that it replaces") {
  fleet_fixture fleet;
  fleet.agent_a.on_start = [&](const wire::StartAttemptT& start) {
    fleet.agent_a.send_head(*start.attempt_id);
    fleet.agent_a.send_data(*start.attempt_id, 0, "half ");
  };
  fleet.agent_a.on_resume = [&](const wire::ResumeAttemptT& it) {
    fleet.agent_a.send_head(*it.attempt_id);
  };
  fleet.start({fleet.server(fleet.agent_a, "pool")});
  fake_caller before(fleet.daemon->port());
  before.send_chat(true);
  REQUIRE(wait_for([&] { return before.chunked_body() == "half "; }));
  fake_caller caller(fleet.daemon->port());
  resume(caller, before.header("X-Marigoldstep-Resume"), 5);
  REQUIRE(wait_for([&] { return fleet.agent_a.resumes.size() == 1; }));
  SECTION("closed by its caller") {
    before.socket.abort();
    wait_for([] { return false; }, 100);
  }
  SECTION("left open by its caller") {
    CHECK(wait_for([&] { return before.is_closed(); }));
    CHECK_FALSE(before.is_complete());
  }
  CHECK(fleet.agent_a.detach_count == 0);
  const auto& id = *fleet.agent_a.starts[0].attempt_id;
  fleet.agent_a.send_data(id, 5, "and half");
  fleet.agent_a.send_end(id, completed(), 13);
  REQUIRE(wait_for([&] { return caller.is_complete(); }));
  CHECK(caller.chunked_body() == "and half");
}

TEST_CASE(
    "frames on their way to the replaced connection do not begin a resumed response") {
  const bool data_is_late = GENERATE(true, false);
  CAPTURE(data_is_late);
  fleet_fixture fleet;
  fleet.agent_a.on_start = [&](const wire::StartAttemptT& start) {
    fleet.agent_a.send_head(*start.attempt_id, 206);
    fleet.agent_a.send_data(*start.attempt_id, 0, "half ");
  };
  fleet.agent_a.on_resume = [&](const wire::ResumeAttemptT& it) {
    if (data_is_late) {
      fleet.agent_a.send_data(*it.attempt_id, 5, "and ");
    } else {
      fleet.agent_a.send_end(*it.attempt_id, completed(), 13);
    }
    fleet.agent_a.send_head(*it.attempt_id, 206);
    fleet.agent_a.send_data(*it.attempt_id, 5, "and half");
    fleet.agent_a.send_end(*it.attempt_id, completed(), 13);
  };
  fleet.start({fleet.server(fleet.agent_a, "pool")});
  fake_caller before(fleet.daemon->port());
  before.send_chat(true);
  REQUIRE(wait_for([&] { return before.chunked_body() == "half "; }));
  fake_caller caller(fleet.daemon->port());
  resume(caller, before.header("X-Marigoldstep-Resume"), 5);
  REQUIRE(wait_for([&] { return caller.is_complete() || caller.is_closed(); }));
  CHECK(caller.contains("HTTP/1.1 206"));
  CHECK(caller.chunked_body() == "and half");
}

TEST_CASE("a caller that breaks off before its resumed response can resume it again") {
  fleet_fixture fleet;
  fleet.agent_a.on_start = [&](const wire::StartAttemptT& start) {
    fleet.agent_a.send_head(*start.attempt_id);
    fleet.agent_a.send_data(*start.attempt_id, 0, "half ");
  };
  fleet.start({fleet.server(fleet.agent_a, "pool")});
  fake_caller before(fleet.daemon->port());
  before.send_chat(true);
  REQUIRE(wait_for([&] { return before.chunked_body() == "half "; }));
  before.socket.abort();
  REQUIRE(wait_for([&] { return fleet.agent_a.detach_count == 1; }));
  fake_caller caller(fleet.daemon->port());
  resume(caller, before.header("X-Marigoldstep-Resume"), 5);
  REQUIRE(wait_for([&] { return fleet.agent_a.resumes.size() == 1; }));
  caller.socket.abort();
  CHECK(wait_for([&] { return fleet.agent_a.detach_count == 2; }));
  CHECK(fleet.agent_a.cancel_count == 0);
}

TEST_CASE("bytes of a broken attempt do not reach the caller of the next") {
  const bool stream = GENERATE(true, false);
  const bool sends_data = GENERATE(true, false);
  const bool loses_agent = GENERATE(true, false);
  CAPTURE(stream, sends_data, loses_agent);
  fleet_fixture fleet;
  const auto on_start = [&](fake_agent& agent, const wire::StartAttemptT& start) {
    if (fleet.agent_a.starts.size() + fleet.agent_b.starts.size() > 1) {
      agent.send_complete_response(*start.attempt_id, "second");
      return;
    }
    agent.send_head(*start.attempt_id, 500);
    if (sends_data && !stream) {
      agent.send_data(*start.attempt_id, 0, "first");
    }
    if (loses_agent) {
      ++agent.started;
      agent.close_connection();
    } else {
      agent.send_end(*start.attempt_id, may_have_run(errc::answer_truncated), 0);
    }
  };
  fleet.agent_a.on_start = [&](const auto& it) { on_start(fleet.agent_a, it); };
  fleet.agent_b.on_start = [&](const auto& it) { on_start(fleet.agent_b, it); };
  fleet.start({fleet.server(fleet.agent_a, "pool"), fleet.server(fleet.agent_b, "pool")});
  fake_caller caller(fleet.daemon->port());
  caller.send_chat(stream);
  REQUIRE(wait_for([&] { return caller.is_complete(); }));
  CHECK(caller.contains("HTTP/1.1 200"));
  CHECK((stream ? caller.chunked_body() : caller.body()) == "second");
}

TEST_CASE("a stored response replaces the part that a broken attempt sent") {
  fleet_fixture fleet;
  fleet.agent_a.on_start = [&](const wire::StartAttemptT& start) {
    fleet.agent_a.send_head(*start.attempt_id);
    fleet.agent_a.send_data(*start.attempt_id, 0, "part");
    fleet.agent_a.send_end(*start.attempt_id, may_have_run(errc::answer_truncated), 4);
  };
  auto& reply = fleet.control.claim_reply;
  reply.outcome = wire::ClaimOutcome::completed;
  reply.answer = std::make_unique<wire::StoredAnswerT>();
  reply.answer->status = 201;
  reply.answer->body = {'o', 'k'};
  reply.answer->complete = true;
  fleet.start({fleet.server(fleet.agent_a, "booking")});
  fake_caller caller(fleet.daemon->port());
  caller.send_booking(std::to_string(io::wall_clock()) + "-resume-1");
  REQUIRE(wait_for([&] { return caller.is_complete(); }));
  CHECK(caller.contains("HTTP/1.1 201"));
  CHECK(caller.body() == "ok");
}

TEST_CASE("late frames of an attempt do not reach another request to its agent") {
  enum class end { completed, refused, caller_left };
  const auto how = GENERATE(end::completed, end::refused, end::caller_left);
  const bool stream = GENERATE(true, false);
  const bool shares_connection = GENERATE(true, false);
  CAPTURE(how, stream, shares_connection);
  fleet_fixture fleet;
  auto& agent = fleet.agent_a;
  const auto send_first = [&agent](std::uint16_t status) {
    const auto& id = *agent.starts[0].attempt_id;
    agent.send_head(id, status);
    agent.send_data(id, 0, "first");
    agent.send_end(id, completed(), 5);
  };
  agent.on_start = [&](const wire::StartAttemptT& start) {
    const auto& id = *start.attempt_id;
    if (agent.starts.size() == 1) {
      if (how == end::completed) {
        send_first(200);
      } else if (how == end::refused) {
        agent.send_end(id, not_run(errc::deadline_exceeded), 0);
      }
      return;
    }
    send_first(201);
    agent.send_head(id);
    send_first(201);
    agent.send_data(id, 0, "sec");
    send_first(201);
    agent.send_data(id, 3, "ond");
    agent.send_end(*agent.starts[0].attempt_id, completed(), 6);
    agent.send_end(id, completed(), 6);
    send_first(201);
  };
  fleet.start({fleet.server(agent, "pool")});
  fake_caller before(fleet.daemon->port());
  before.send_chat(stream);
  if (how == end::caller_left) {
    REQUIRE(wait_for([&] { return agent.starts.size() == 1; }));
    before.socket.abort();
    REQUIRE(wait_for([&] { return agent.cancel_count == 1; }));
  } else {
    REQUIRE(wait_for([&] { return before.is_complete(); }));
  }
  const auto* link = agent.connection;
  fake_caller other(fleet.daemon->port());
  auto& caller = shares_connection && how != end::caller_left ? before : other;
  caller.input.clear();
  const auto first_input = before.input;
  caller.send_chat(stream, "c2");
  REQUIRE(wait_for([&] { return caller.is_complete(); }));
  wait_for([] { return false; }, 30);
  CHECK(caller.contains("HTTP/1.1 200"));
  CHECK((stream ? caller.chunked_body() : caller.body()) == "second");
  CHECK((&caller == &before || before.input == first_input));
  CHECK(agent.starts.size() == 2);
  CHECK(agent.connection == link);
}
