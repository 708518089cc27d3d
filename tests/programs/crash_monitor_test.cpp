#include <catch2/catch.hpp>

#include "event_loop.h"
#include "gateway/crash_monitor.h"
#include "loopback_address.h"

using namespace marigoldstep;
using gateway::ended_request;

namespace {

struct monitored_server {
  gateway::crash_monitor subject{nullptr};
  std::vector<ended_request> crashed;
  std::vector<ended_request> whole;
  QTcpServer listener;
  announced_server server;

  monitored_server() {
    test_application();
    subject.on_crash = [this](const announced_server&, const auto& ended) {
      crashed.insert(crashed.end(), ended.begin(), ended.end());
    };
    subject.on_whole = [this](const ended_request& it) { whole.push_back(it); };
    server.id = "s";
    server.started = 1;
    server.host = own_loopback_host();
    server.port = free_port_on_own_host();
  }

  void listen() {
    REQUIRE(
        listener.listen(QHostAddress(QString::fromStdString(server.host)), server.port));
  }

  void record_end(bool is_whole) {
    subject.record_end(server, {make_traits(1, {{7, 100}, {8, 10}}, 9), true, is_whole});
  }
};

constexpr auto several_checks = std::chrono::milliseconds(700);

} // namespace

TEST_CASE("a connection that breaks while its server is alive is no crash") {
  monitored_server it;
  it.listen();
  for (int i = 0; i < 3; ++i) {
    it.record_end(false);
    it.record_end(true);
    run_event_loop(std::chrono::milliseconds(100));
  }
  run_event_loop(several_checks);
  CHECK(it.crashed.empty());
  CHECK(it.whole.size() == 3);
}

TEST_CASE("a response that ends with its connection may have ended with its server") {
  monitored_server it;
  it.record_end(true);
  REQUIRE(wait_until([&] { return !it.crashed.empty(); }));
  CHECK(it.whole.empty());
}

TEST_CASE("all requests whose connections a crash ended count, early and late ones") {
  monitored_server it;
  it.record_end(false);
  it.record_end(false);
  REQUIRE(wait_until([&] { return it.crashed.size() == 2; }));
  it.record_end(false);
  CHECK(it.crashed.size() == 3);
  // The next incarnation at the address is alive.
  it.listen();
  ++it.server.started;
  it.record_end(false);
  run_event_loop(several_checks);
  CHECK(it.crashed.size() == 3);
}

// The caller of a harmful request may leave before the server ends.
TEST_CASE("a request that was cancelled shortly before the crash counts") {
  monitored_server it;
  const auto cancelled = make_traits(1, {}, 5);
  it.subject.record_cancelled(it.server, {cancelled, false, false});
  SECTION("when the crash ends another request") {
    it.record_end(false);
    REQUIRE(wait_until([&] { return it.crashed.size() == 2; }));
    CHECK(it.crashed.back().traits.list == cancelled.list);
  }
  SECTION("when a later connection is refused") {
    it.subject.record_refused(it.server);
    REQUIRE(it.crashed.size() == 1);
    CHECK(it.crashed.front().traits.list == cancelled.list);
  }
  SECTION("but not when the server ends long after") {
    run_event_loop(std::chrono::milliseconds(1300));
    it.subject.record_refused(it.server);
    CHECK(it.crashed.empty());
  }
  SECTION("and not when the server is alive") {
    it.listen();
    it.record_end(false);
    run_event_loop(several_checks);
    CHECK(it.crashed.empty());
  }
}

TEST_CASE("a refused connection ends the wait for a check") {
  monitored_server it;
  it.subject.record_refused(it.server);
  CHECK(it.crashed.empty()); // nothing ran there
  it.listen();
  it.record_end(false);
  run_event_loop(std::chrono::milliseconds(50));
  it.listener.close();
  it.record_end(false);
  it.subject.record_refused(it.server);
  CHECK(it.crashed.size() == 1);
}
