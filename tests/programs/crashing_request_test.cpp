#include "harmful_request_fleet.h"

using namespace marigoldstep;
using namespace marigoldstep::control::test;
using fleet = harmful_request_fleet;

TEST_CASE("a request that crashes servers doesn't reach further servers") {
  fleet it(3, 3, 4);
  const auto began_at = io::now();
  it.send_load(milliseconds(2000));
  const auto harmful_from = io::now();
  it.send_load(milliseconds(15'000), {harmful_request()});
  const auto ended_at = io::now();
  run_event_loop(std::chrono::milliseconds(1000));
  const auto third = it.third_end();
  REQUIRE(third + 2 * stable_window < ended_at);
  CHECK(it.harmful_after(third + stable_window) <= 3);
  const auto before = it.served_share(began_at, harmful_from);
  CHECK(before > 0.9);
  CHECK(it.served_share(third + 2 * stable_window, ended_at) >= 0.9 * before);
}

TEST_CASE("two harmful requests at once are both kept from the servers") {
  fleet it(3, 3, 4);
  it.send_load(milliseconds(1000));
  auto second = harmful_request();
  second.target = "/once/document";
  it.behavior.is_harmful = [](const std::string& request) {
    return is_harmful(request) || (request.starts_with("POST /once/document ") &&
                                   request.ends_with(harmful_body));
  };
  it.send_load(milliseconds(9000), {harmful_request(), second});
  const auto ended_at = io::now();
  run_event_loop(std::chrono::milliseconds(1000));
  CHECK(it.is_quarantined(2));
  const auto fifth = it.ends()[std::min<std::size_t>(4, it.ends().size() - 1)];
  CHECK(it.harmful_after(fifth + stable_window) <= 3);
  CHECK(it.served_share(fifth + 2 * stable_window, ended_at) >= 0.9);
}

TEST_CASE("a harmful request is found although its callers leave before the crash") {
  fleet it(3, 3, 4);
  it.send_load(milliseconds(1000));
  for (int i = 0; i < 30; ++i) {
    it.send(harmful_request());
    auto* socket = it.sockets.back().get();
    QTimer::singleShot(25, socket, [socket] { socket->abort(); });
    it.send_load(milliseconds(300));
  }
  CHECK(it.is_quarantined(1));
  CHECK(it.harmful_after(it.third_end() + stable_window) <= 3);
}

TEST_CASE("a leader and gateways that start later refuse a quarantined request") {
  fleet it(3, 2, 4);
  it.send_load(milliseconds(1000));
  it.quarantine_harmful();
  const auto quarantined_at = io::now();
  it.group.kill(it.group.leader());
  it.start_gateway(3);
  REQUIRE(wait_until([&] { return it.group.leader() != 0 && it.is_quarantined(1); }));
  it.send_load(milliseconds(2000), {harmful_request()});
  CHECK(it.harmful_after(quarantined_at) == 0);
  auto& links = *it.group.processes.at(it.group.leader()).links;
  const auto list = links.quarantine_json();
  const std::string field = R"({"request":")";
  REQUIRE(list.find(field) != std::string::npos);
  const auto from = list.find(field) + field.size();
  CHECK(links.lift_quarantined(list.substr(from, list.find('"', from) - from)));
  CHECK(wait_until([&] { return it.is_quarantined(0); }));
}

TEST_CASE("a refused request is told when to return, and is served once it is sound") {
  fleet it(3, 2, 4);
  it.send_load(milliseconds(1000));
  it.quarantine_harmful();
  const auto refused = it.response_to(harmful_request());
  CHECK(refused.starts_with("HTTP/1.1 503 "));
  CHECK(refused.find("\r\nRetry-After: 60") != std::string::npos);
  // The same request of another caller, and the caller's other requests.
  CHECK(it.response_to({"POST", harmful_target, "KEY2", "", harmful_body, false})
            .starts_with("HTTP/1.1 200 "));
  CHECK(it.response_to({"GET", harmful_target, "KEY", "", "", false})
            .starts_with("HTTP/1.1 200 "));
  for (auto& server : it.servers) {
    server->version = "v2";
    server->is_harmed = false;
    server->crash();
  }
  run_event_loop(std::chrono::milliseconds(2500));
  it.send_load(milliseconds(3000), {harmful_request()});
  CHECK(it.is_quarantined(0));
  CHECK(it.response_to(harmful_request()).starts_with("HTTP/1.1 200 "));
}

TEST_CASE("servers that end by chance have no request refused") {
  fleet it(3, 3, 4);
  it.behavior.restart_delay_ms = 700;
  const auto began_at = io::now();
  for (std::size_t i = 0; i < 10; ++i) {
    it.send_load(milliseconds(500));
    it.servers[i % it.servers.size()]->crash();
  }
  const auto ended_at = io::now();
  run_event_loop(std::chrono::milliseconds(1500));
  CHECK(it.is_quarantined(0));
  CHECK(it.served_share(began_at, ended_at) >= 0.9);
}

TEST_CASE("the crash of a server that asked for a pause counts") {
  gateway_fixture it({{{pause_script(60'000)},
                       {write_text("HTTP/1.1 503 Service Unavailable\r\n"
                                   "Marigoldstep-Request-Id: {id}\r\n"
                                   "Marigoldstep-Not-Executed: 1\r\nRetry-After: 5\r\n"
                                   "Content-Length: 0\r\n\r\n")}}});
  gateway::test::test_caller harmful(it.address);
  harmful.send(gateway::test::request_text("GET", "/safe/a", "1"));
  REQUIRE(wait_until([&] { return it.servers[0]->requests.size() == 1; }));
  gateway::test::test_caller refused(it.address);
  refused.send(gateway::test::request_text("GET", "/safe/b", "2"));
  REQUIRE(refused.wait_for("HTTP/1.1 503"));
  it.servers[0].reset();
  REQUIRE(harmful.wait_for("HTTP/1.1 50"));
  CHECK(wait_until([&] { return !it.subject->traits.crashes.suspects.empty(); }));
}
