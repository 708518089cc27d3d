// The table of framing cases against the listeners of the programs.
#include <catch2/catch.hpp>

#include "control_group.h"
#include "framing_cases.h"
#include "gateway_fixture.h"

using namespace marigoldstep;
using namespace marigoldstep::gateway::test;
using marigoldstep::test::count_responses;
using marigoldstep::test::framing_case;
using marigoldstep::test::framing_cases;
using marigoldstep::test::framing_request;
using marigoldstep::test::rejection_line;

namespace {

// Sends a request whose end is unknown, and checks that it gets one rejection and that no
// byte after it is taken for another request.
void check_rejection(const io::endpoint& target, const framing_case& it,
                     const std::string& request) {
  CAPTURE(it.name);
  test_caller caller(target);
  caller.send(request);
  CHECK(caller.wait_closed());
  CHECK(count_responses(caller.received) == 1);
  CHECK(caller.received.starts_with(rejection_line(it)));
}

std::vector<framing_case> select_cases(bool are_certain) {
  std::vector<framing_case> out;
  for (const auto& it : framing_cases()) {
    if ((it.error == errc::ok) == are_certain) {
      out.push_back(it);
    }
  }
  return out;
}

std::string gateway_request(const framing_case& it) {
  return framing_request(
      "POST", "/once/outer", it, "h",
      "Marigoldstep-Request-Id: outer\r\nAuthorization: Bearer KEY\r\n");
}

} // namespace

// Guards against a caller's body that runs as another request (UNASKED).
TEST_CASE("a gateway passes on no request without a certain end") {
  gateway_fixture fleet(unresponsive_server());
  for (const auto& it : select_cases(false)) {
    check_rejection(fleet.address, it, gateway_request(it));
  }
  CHECK(fleet.servers[0]->requests.empty());
}

// Guards against a body that reaches the server changed, or not at all.
TEST_CASE("a gateway passes on the whole body of a request with a certain end") {
  const auto cases = select_cases(true);
  gateway_fixture fleet({{cases.size(), {write_text(response_text("done"))}}});
  for (std::size_t i = 0; i < cases.size(); ++i) {
    CAPTURE(cases[i].name);
    test_caller caller(fleet.address);
    caller.send(gateway_request(cases[i]));
    CHECK(caller.wait_for("\r\n\r\ndone"));
    REQUIRE(fleet.servers[0]->requests.size() == i + 1);
    CHECK(fleet.servers[0]->requests[i].ends_with("\r\n\r\n" + cases[i].content));
  }
}

// Guards against a server's or an operator's call that is made of another call's body.
TEST_CASE(
    "control and the report receivers of gateways take no call without a certain end") {
  using namespace control::test;
  test_application();
  control_group group;
  group.start_all(1);
  const io::endpoint api{control_group::host(1), group.api_port};
  for (const auto& it : select_cases(false)) {
    check_rejection(api, it,
                    framing_request("POST", "/v1/Replicas.Deregister/s", it, "c", ""));
  }
  gateway_fixture fleet(unresponsive_server());
  const io::endpoint reports{
      own_loopback_host(180),
      static_cast<std::uint16_t>(fleet.control.first_port() +
                                 static_cast<std::uint16_t>(io::fleet_port::reports))};
  for (const auto& it : select_cases(false)) {
    check_rejection(reports, it,
                    framing_request("POST", "/v1/Replicas.Deregister/s", it, "g", ""));
  }
}

// Guards against a response that reaches its caller without a certain end.
TEST_CASE("a gateway forwards no response whose end is unknown") {
  const std::string head = "HTTP/1.1 200 OK\r\nMarigoldstep-Request-Id: {id}\r\n"
                           "Marigoldstep-Response-Seal: seal\r\n";
  const std::vector<std::string> responses = {
      head + "Transfer-Encoding: gzip\r\n\r\nsecret",
      head + "Transfer-Encoding: identity\r\nContent-Length: 6\r\n\r\nsecret",
      head + "Transfer-Encoding: chunked, identity\r\n\r\n6\r\nsecret\r\n0\r\n\r\n",
      head + "Transfer-Encoding: gzip, chunked\r\n\r\n6\r\nsecret\r\n0\r\n\r\n",
      head + "Content-Length: 6\r\nContent-Length: 3\r\n\r\nsecret",
  };
  server_scripts scripts(1);
  for (const auto& it : responses) {
    scripts[0].push_back({write_text(it), close_in_order()});
  }
  gateway_fixture fleet(std::move(scripts));
  for (std::size_t i = 0; i < responses.size(); ++i) {
    CAPTURE(responses[i]);
    test_caller caller(fleet.address);
    caller.send(request_text("POST", "/once/x", "r" + std::to_string(i),
                             "Connection: close\r\n", "body"));
    CHECK(caller.wait_closed());
    CHECK(caller.received.starts_with("HTTP/1.1 502 "));
    CHECK(caller.received.find("secret") == std::string::npos);
  }
  CHECK(fleet.servers[0]->requests.size() == responses.size());
}
