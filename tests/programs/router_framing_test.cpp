// The table of framing cases against the listeners of mstep-router and of agents.
#include "framing_cases.h"
#include "marigoldstep/io/admin_server.h"
#include "router_fixture.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;
using namespace marigoldstep::router::test;
using marigoldstep::test::count_responses;
using marigoldstep::test::framing_case;
using marigoldstep::test::framing_cases;
using marigoldstep::test::framing_request;
using marigoldstep::test::rejection_line;

namespace {

void check_rejection(std::uint16_t port, const framing_case& it,
                     const std::string& request) {
  CAPTURE(it.name);
  fake_caller caller(port);
  caller.socket.write(QByteArray::fromStdString(request));
  CHECK(wait_for([&] { return caller.is_closed(); }, 2000));
  CHECK(count_responses(caller.input) == 1);
  CHECK(caller.input.starts_with(rejection_line(it)));
}

std::string service_request(const framing_case& it) {
  return framing_request("GET", "/services/booking/any", it, "x",
                         "X-Marigoldstep-Workspace: w\r\n");
}

} // namespace

// Guards against a caller's body that runs as another request.
TEST_CASE("mstep-router passes on no request without a certain end") {
  fleet_fixture fleet;
  fleet.start({fleet.server(fleet.agent_b, "booking")});
  for (const auto& it : framing_cases()) {
    if (it.error != errc::ok) {
      check_rejection(fleet.daemon->port(), it, service_request(it));
    }
  }
  CHECK(fleet.agent_b.starts.empty());
}

// Guards against a body that reaches the agent changed, or not at all.
TEST_CASE("mstep-router passes on the whole body of a request with a certain end") {
  fleet_fixture fleet;
  fleet.start({fleet.server(fleet.agent_b, "booking")});
  fleet.agent_b.on_start = [&](const wire::StartAttemptT& start) {
    fleet.agent_b.send_complete_response(*start.attempt_id, "done");
  };
  std::size_t sent = 0;
  for (const auto& it : framing_cases()) {
    if (it.error != errc::ok) {
      continue;
    }
    CAPTURE(it.name);
    fake_caller caller(fleet.daemon->port());
    caller.socket.write(QByteArray::fromStdString(service_request(it)));
    CHECK(wait_for([&] { return caller.contains("\r\n\r\ndone"); }));
    REQUIRE(fleet.agent_b.starts.size() == ++sent);
    const auto& body = fleet.agent_b.starts.back().body;
    CHECK(std::string(body.begin(), body.end()) == it.content);
  }
}

// Guards against an operator's body that runs as another order, such as a drain.
TEST_CASE("admin ports take no request without a certain end") {
  application();
  io::admin_server admin(nullptr);
  int deletions = 0;
  int posts = 0;
  admin.on_delete = [&](std::string_view) {
    ++deletions;
    return true;
  };
  admin.on_post = [&](io::http_connection& from, std::string_view, const std::string&) {
    ++posts;
    from.respond(200, {}, "");
  };
  REQUIRE_FALSE(admin.start("127.0.0.1", 0));
  for (const auto& it : framing_cases()) {
    if (it.error != errc::ok) {
      check_rejection(admin.port(), it, framing_request("DELETE", "/x", it, "a", ""));
    }
  }
  CHECK(deletions == 0);
  CHECK(posts == 0);
}
