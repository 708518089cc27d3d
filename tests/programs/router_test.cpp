#include "router_fixture.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;
using namespace marigoldstep::router::test;

// Guards against an answer that is not relayed whole, with its sign of the end.
TEST_CASE("an answer is relayed whole") {
  fleet_fixture fleet;
  fleet.a.on_start = [&](const wire::StartAttemptT& start) {
    fleet.a.answer_whole(*start.attempt_id, "hello");
  };
  fleet.start({fleet.server(fleet.a, "pool")});
  fake_caller caller(fleet.daemon->port());

  SECTION("not streamed") {
    caller.chat(false);
    REQUIRE(wait_for([&] { return caller.is_whole(); }));
    CHECK(caller.body() == "hello");
    // The connection serves the next request.
    caller.input.clear();
    caller.chat(false);
    REQUIRE(wait_for([&] { return caller.is_whole(); }));
    CHECK(caller.body() == "hello");
  }
  SECTION("streamed") {
    caller.chat(true);
    REQUIRE(wait_for([&] { return caller.is_whole(); }));
    CHECK(caller.chunks() == "hello");
    CHECK(caller.header("X-Marigoldstep-Resume").starts_with("a."));
  }
}
