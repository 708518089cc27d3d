#include <catch2/catch.hpp>

#include "gateway_fixture.h"

#include <deque>

// Requests of one gateway to servers that are cold.

using namespace marigoldstep;
using namespace marigoldstep::gateway::test;

namespace {

constexpr double cold_rate = 20;

std::vector<server_script> endless_responses(const std::string& body) {
  constexpr std::size_t max_requests = 1000;
  return std::vector<server_script>(max_requests, {write_text(response_text(body))});
}

// A gateway in front of two servers, whose configuration limits requests to cold ones.
struct cold_fixture : gateway_fixture {
  cold_fixture()
      : gateway_fixture({endless_responses("near"), endless_responses("far")}) {
    control.others_silent = false;
    control.broadcast_servers();
    control.services = R"({"name":"s","warmup_s":2.0,"warmup_per_s":20.0})";
    control.version = 2;
    control.broadcast_status();
    REQUIRE(wait_until([&] { return subject->table()->config.version == 2; }));
  }

  void announce(const std::string& zone, milliseconds warmup_left) {
    for (auto& it : control.servers) {
      if (it.zone == zone) {
        it.warmup_left = warmup_left;
        ++it.sequence;
      }
    }
    control.broadcast_servers();
    run_event_loop(std::chrono::milliseconds(100));
  }

  // Sends 40 requests a second; returns the numbers that both servers got.
  std::pair<std::size_t, std::size_t> send_load(milliseconds time) {
    const auto near = servers[0]->requests.size();
    const auto far = servers[1]->requests.size();
    std::deque<std::unique_ptr<test_caller>> callers;
    const auto until = io::now() + time;
    while (io::now() < until) {
      callers.push_back(std::make_unique<test_caller>(address));
      callers.back()->send(request_text("GET", "/safe/x", "r" + std::to_string(++sent),
                                        "Connection: close\r\n"));
      run_event_loop(std::chrono::milliseconds(25));
    }
    run_event_loop(std::chrono::milliseconds(100));
    return {servers[0]->requests.size() - near, servers[1]->requests.size() - far};
  }

  int sent = 0;
};

} // namespace

// Guards against a server that fails again as soon as it is back, and against one that is
// limited although it is warm.
TEST_CASE("a gateway keeps to the limit of a cold server") {
  cold_fixture it;
  const auto warm = it.send_load(milliseconds(1000));
  // The server of the own zone is lightly loaded and gets all.
  CHECK(warm.first >= 30);
  it.announce("near", milliseconds(2000));
  const auto cold = it.send_load(milliseconds(1000));
  CHECK(cold.first >= 5);
  CHECK(static_cast<double>(cold.first) <= cold_rate + 1);
  CHECK(cold.second >= 10);
  run_event_loop(std::chrono::milliseconds(1200));
  CHECK(it.send_load(milliseconds(500)).second == 0);
}

TEST_CASE("the servers of a zone count as cold when its evacuation has ended") {
  cold_fixture it;
  it.control.evacuations = {1, {"near"}};
  it.control.broadcast_status();
  REQUIRE(wait_until([&] { return it.control.acknowledged_evacuations == 1; }));
  CHECK(it.send_load(milliseconds(300)).first == 0);
  it.control.evacuations = {2, {}};
  it.control.broadcast_status();
  REQUIRE(wait_until([&] { return it.control.acknowledged_evacuations == 2; }));
  const auto after = it.send_load(milliseconds(1000));
  CHECK(after.first >= 5);
  CHECK(static_cast<double>(after.first) <= cold_rate + 1);
}

TEST_CASE("with all servers cold a caller is told when to return") {
  cold_fixture it;
  it.announce("near", milliseconds(2000));
  it.announce("far", milliseconds(2000));
  std::size_t refused = 0;
  for (int i = 0; i < 60; ++i) {
    test_caller caller(it.address);
    caller.send(
        request_text("GET", "/safe/x", "c" + std::to_string(i), "Connection: close\r\n"));
    caller.wait_closed();
    if (caller.received.starts_with("HTTP/1.1 503 ")) {
      ++refused;
      CHECK(caller.received.find("Retry-After: 0.") != std::string::npos);
    }
  }
  CHECK(refused > 0);
}
