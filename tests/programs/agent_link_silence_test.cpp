#include "loopback_address.h"
#include "loopback_proxy.h"
#include "router_fixture.h"

#include <catch2/catch.hpp>

// Guards against requests that wait until their deadline on a router's connection to an
// agent that fell silent without closing, while control still hears the agent.

using namespace marigoldstep;
using namespace marigoldstep::router::test;
using direction = loopback_proxy::direction;

namespace {

constexpr int detection_limit_ms = 3500;

// A router whose connections to agent a pass through a proxy.
struct proxied_fleet : fleet_fixture {
  proxied_fleet() {
    agent_a.protocol = 2;
    agent_a.on_start = [this](const wire::StartAttemptT& it) { begin(it); };
    agent_a.on_resume = [this](const wire::ResumeAttemptT& it) { resume(it); };
    agent_b.on_start = [this](const wire::StartAttemptT& it) {
      agent_b.send_complete_response(*it.attempt_id, "half and half");
    };
    reached = server(agent_a, "pool");
    reached.host = proxy_host;
    reached.port = proxy_port;
    start({reached});
  }

  void begin(const wire::StartAttemptT& it) {
    started.insert(wire::from_wire(*it.attempt_id));
    agent_a.send_head(*it.attempt_id);
    agent_a.send_data(*it.attempt_id, 0, "half ");
    if (ends_at_once) {
      finish(*it.attempt_id, 5);
    }
  }
  void resume(const wire::ResumeAttemptT& it) {
    if (started.contains(wire::from_wire(*it.attempt_id))) {
      agent_a.send_head(*it.attempt_id);
      finish(*it.attempt_id, it.offset);
    } else {
      agent_a.send_end(*it.attempt_id, may_have_run(errc::unknown_attempt), 0);
    }
  }
  void finish(const wire::AttemptId& id, std::uint64_t offset) {
    const std::string text = "half and half";
    agent_a.send_data(id, offset, text.substr(offset));
    agent_a.send_end(id, completed(), text.size());
  }

  // A request on agent a that fails can be sent to agent b from now on.
  void add_agent_b() {
    control.servers = {reached, server(agent_b, "pool")};
    ++control.membership_version;
  }

  server_info reached;
  std::set<attempt_id> started;
  bool ends_at_once = false;
  std::string proxy_host = own_loopback_host(50);
  std::uint16_t proxy_port = free_port_on_own_host();
  loopback_proxy proxy{proxy_host, proxy_port, "127.0.0.1", agent_a.port};
};

} // namespace

TEST_CASE("a response continues after its agent's connection falls silent") {
  proxied_fleet it;
  fake_caller caller(it.daemon->port());
  caller.send_chat(true);
  REQUIRE(wait_for([&] { return caller.chunked_body() == "half "; }));
  it.proxy.silence(GENERATE(direction::both, direction::to_target, direction::to_client));
  CHECK(wait_for([&] { return caller.is_complete(); }, detection_limit_ms));
  CHECK(caller.chunked_body() == "half and half");
}

TEST_CASE("a request over an idle connection that fell silent is served") {
  proxied_fleet it;
  it.ends_at_once = true;
  fake_caller first(it.daemon->port());
  first.send_chat(true);
  REQUIRE(wait_for([&] { return first.is_complete(); }));
  it.proxy.silence(GENERATE(direction::both, direction::to_target, direction::to_client));
  fake_caller caller(it.daemon->port());
  caller.send_chat(true);
  wait_for([] { return false; }, 100);
  it.add_agent_b();
  CHECK(wait_for([&] { return caller.is_complete(); }, detection_limit_ms));
  CHECK(caller.chunked_body() == "half and half");
}

TEST_CASE("an agent that is slow to respond keeps its connection") {
  proxied_fleet it;
  fake_caller caller(it.daemon->port());
  caller.send_chat(true);
  REQUIRE(wait_for([&] { return caller.chunked_body() == "half "; }));
  wait_for([] { return false; }, detection_limit_ms);
  CHECK(it.proxy.accepted() == 1);
}

TEST_CASE("an agent of an older build keeps its connection while it is silent") {
  proxied_fleet it;
  it.agent_a.protocol = 1;
  it.agent_a.repeats_hello = false;
  fake_caller caller(it.daemon->port());
  caller.send_chat(true);
  REQUIRE(wait_for([&] { return caller.chunked_body() == "half "; }));
  wait_for([] { return false; }, detection_limit_ms);
  CHECK(it.proxy.accepted() == 1);
}
