#include <catch2/catch.hpp>

#include "control_group.h"

// Orders to evacuate availability zones, at control and at gateways.

using namespace marigoldstep;
using namespace control::test;
using gateway::test::gateway_fixture;

namespace {

std::string order(const control_group& group, int process, const std::string& verb,
                  const std::string& zone) {
  return call_api({control_group::host(process), group.api_port}, "POST",
                  "/v1/Evacuations." + verb + "/" + zone);
}

control_group make_group(int n) {
  control_group out;
  out.limits.zones = {"a", "b"};
  out.start_all(n);
  return out;
}

std::set<std::string> evacuated(const control_group& group, int process) {
  std::set<std::string> out;
  for (const auto& [zone, since] :
       group.processes.at(process).group->state().evacuated_zones) {
    out.insert(zone);
  }
  return out;
}

std::string response_of(gateway_fixture& it, const std::string& id) {
  gateway::test::test_caller caller(it.address);
  caller.send(gateway::test::request_text("GET", "/safe/", id, "Connection: close\r\n"));
  caller.wait_closed();
  return caller.received;
}

} // namespace

TEST_CASE(
    "an order is accepted at any process, however often, and outlives all of them") {
  test_application();
  auto group = make_group(3);
  for (const int process : {2, 1, 3, 2}) {
    CHECK(starts_with_status(order(group, process, "Start", "a"), "200"));
  }
  CHECK(starts_with_status(order(group, 3, "Start", "b"), "200"));
  CHECK(starts_with_status(order(group, 2, "Finish", "b"), "200"));
  CHECK(starts_with_status(order(group, 2, "Finish", "b"), "200"));
  const auto leader = group.leader();
  CHECK(group.processes.at(leader).group->state().evacuation_number == 3);
  CHECK(group.processes.at(leader).links->evacuations_json().starts_with(
      R"([{"zone":"a","since":)"));
  group.restart_all();
  REQUIRE(wait_until(
      [&] { return evacuated(group, group.leader()) == std::set<std::string>{"a"}; }));
  CHECK(wait_until([&] {
    return starts_with_status(order(group, group.leader(), "Finish", "a"), "200");
  }));
  CHECK(evacuated(group, group.leader()).empty());
}

TEST_CASE("an order for an unknown zone changes nothing") {
  test_application();
  auto group = make_group(3);
  for (const int process : {1, 2}) {
    CHECK(starts_with_status(order(group, process, "Start", "nowhere"), "404"));
    CHECK(starts_with_status(order(group, process, "Finish", ""), "404"));
  }
  CHECK(group.processes.at(1).group->state().evacuation_number == 0);
}

TEST_CASE("an order is not lost with the leader that accepted it") {
  test_application();
  auto group = make_group(3);
  REQUIRE(starts_with_status(order(group, 1, "Start", "a"), "200"));
  group.kill(1);
  REQUIRE(wait_until([&] { return group.leader() != 0; }));
  REQUIRE(wait_until([&] { return evacuated(group, group.leader()).contains("a"); }));
  // Without a quorum nothing is accepted.
  group.kill(group.leader());
  const auto last = group.processes.begin()->first;
  run_event_loop(std::chrono::milliseconds(1500));
  CHECK(starts_with_status(order(group, last, "Finish", "a"), "503"));
}

// Guards against an order that is confirmed before every gateway sends nothing there.
TEST_CASE("an order waits for the gateways that are connected") {
  test_application();
  auto group = make_group(3);
  io::control_links links(
      {"g",
       true,
       control_group::gateway_host(1),
       group.link_port,
       "z",
       {control_group::host(1), control_group::host(2), control_group::host(3)}},
      nullptr);
  evacuated_zones applied;
  bool applies = true;
  links.on_evacuations = [&](const evacuated_zones& it) {
    if (applies && update_evacuations(applied, it)) {
      links.acknowledge_version();
    }
  };
  links.evacuation_number = [&] { return applied.number; };
  REQUIRE_FALSE(links.start());
  REQUIRE(wait_until([&] { return links.open_links() == 3; }));
  const auto began_at = io::now();
  CHECK(starts_with_status(order(group, 2, "Start", "a"), "200"));
  CHECK(io::now() - began_at < milliseconds(500));
  CHECK(applied.zones == std::set<std::string>{"a"});
  applies = false;
  const auto again_at = io::now();
  CHECK(starts_with_status(order(group, 2, "Start", "b"), "200"));
  CHECK(io::now() - again_at >= milliseconds(600));
  CHECK(io::now() - again_at < milliseconds(1000));
}

TEST_CASE("a gateway sends nothing to an evacuated zone, from its start on") {
  using gateway::test::response_text;
  const auto responding = [](const std::string& body) {
    return std::vector<server_script>(2, {write_text(response_text(body))});
  };
  gateway_fixture it({responding("near"), responding("far")});
  it.control.others_silent = false;
  it.control.evacuations = {1, {"near"}};
  it.control.broadcast_status();
  REQUIRE(wait_until([&] { return it.control.acknowledged_evacuations == 1; }));
  CHECK(response_of(it, "r1").ends_with("far"));
  it.control.evacuations = {2, {"near", "far"}};
  it.control.broadcast_status();
  REQUIRE(wait_until([&] { return it.control.acknowledged_evacuations == 2; }));
  const auto refused = response_of(it, "r2");
  CHECK(refused.starts_with("HTTP/1.1 503 "));
  CHECK(refused.find("Retry-After: ") != std::string::npos);
  it.control.evacuations = {3, {}};
  it.control.broadcast_status();
  REQUIRE(wait_until([&] { return it.control.acknowledged_evacuations == 3; }));
  CHECK(response_of(it, "r3").starts_with("HTTP/1.1 200 "));
  CHECK(it.servers[0]->requests.size() + it.servers[1]->requests.size() == 2);
  it.control.evacuations = {2, {"near", "far"}};
  it.control.broadcast_status();
  run_event_loop(std::chrono::milliseconds(100));
  CHECK(it.subject->dispatch.evacuations.zones.empty());
}
