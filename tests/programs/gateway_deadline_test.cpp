#include <catch2/catch.hpp>

#include "early_server.h"
#include "gateway_fixture.h"

// Whether requests and streams keep all the time that they were promised.

using namespace marigoldstep;
using namespace marigoldstep::gateway::test;

namespace {

// Started at phases that are spread over a second: which coarse timers of Qt fire early,
// and by how much, depends on the phase of the clock.
constexpr int request_count = 20;
constexpr auto request_interval = std::chrono::milliseconds(50);

// Puts a configuration in force whose routes have this timeout.
void set_route_timeout(gateway_fixture& it, milliseconds timeout) {
  it.control.route_timeout = timeout;
  ++it.control.version;
  it.control.broadcast_status();
  REQUIRE(wait_until(
      [&] { return it.subject->table()->config.version == it.control.version; }));
}

} // namespace

// Guards against a timer that cuts a request up to 5% of its time before its deadline.
TEST_CASE("responses that take nearly all of their time reach the caller as a whole") {
  constexpr auto timeout = milliseconds(6000);
  constexpr auto response_time = milliseconds(5900);
  const std::string last_chunk = "0\r\n\r\n";
  gateway_fixture it(server_scripts(3));
  for (auto& server : it.servers) {
    server->make_script = [&](const std::string& request) -> server_script {
      const auto pause = pause_script(static_cast<int>(response_time.count()));
      if (request.find(" /stream/") == std::string::npos) {
        return {pause, write_text(response_text("whole"))};
      }
      return {write_text(stream_head() + chunk(event(1))), pause,
              write_text(chunk(event(2)) + last_chunk)};
    };
  }
  it.control.others_silent = false;
  it.control.broadcast_servers();
  set_route_timeout(it, timeout);
  std::vector<std::unique_ptr<test_caller>> callers;
  for (int i = 0; i < request_count; ++i) {
    callers.push_back(std::make_unique<test_caller>(it.address));
    callers.back()->send(
        request_text("GET", i % 2 == 0 ? "/stream/" : "/once/", "r" + std::to_string(i)));
    run_event_loop(request_interval);
  }
  for (std::size_t i = 0; i < callers.size(); ++i) {
    CAPTURE(i);
    CHECK(callers[i]->wait_for(i % 2 == 0 ? "\r\n" + last_chunk : "whole"));
  }
}

// Guards against a connection that is given up while its server is alive but busy: bytes
// that the server's machine acknowledges are no sign of its loss.
TEST_CASE("a server may leave a large body unread for a while") {
  constexpr auto timeout = milliseconds(8000);
  constexpr std::size_t body_bytes = 2'900'000;
  const auto pause = std::chrono::milliseconds(GENERATE(2500, 5000));
  test::early_server busy;
  busy.read_pause = pause;
  busy.response.text = response_text("whole");
  gateway_fixture it(server_scripts(1));
  set_route_timeout(it, timeout);
  auto& server = it.control.servers[0];
  server.port = busy.address().port;
  server.started = 2;
  it.control.broadcast_servers();
  REQUIRE(wait_until(
      [&] { return it.subject->directory.entries.at("s0").server.port == server.port; }));
  test_caller caller(it.address);
  caller.send(request_text("POST", "/once/", "r1", "", std::string(body_bytes, 'u')));
  CHECK(caller.wait_for("whole"));
  CHECK(caller.received.starts_with("HTTP/1.1 200 "));
}
