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
