#include "crashing_fleet.h"

using namespace marigoldstep;
using namespace marigoldstep::control::test;

namespace {

const std::string harmful_target = "/safe/document?page=2";
const std::string harmful_body = "text of the harmful request";

// Whether a server gets the harmful request. It sees the caller's workspace.
bool is_harmful(const std::string& request) {
  return request.starts_with("POST " + harmful_target + " ") &&
         request.find("Marigoldstep-Tenant: w\r\n") != std::string::npos &&
         request.ends_with("\r\n\r\n" + harmful_body);
}

sent_request harmful_request() {
  return {"POST", harmful_target, "KEY", "", harmful_body, true};
}

struct fleet : crashing_fleet {
  int sound_count = 0;

  fleet(int control_processes, int gateway_count, int server_count)
      : crashing_fleet({is_harmful, false, 60, 2000}, control_processes, gateway_count,
                       server_count) {}

  // Sends a sound request that has some of the harmful one's path, body and caller.
  void send_sound() {
    const auto n = ++sound_count;
    const auto text = std::to_string(n);
    switch (n % 8) {
    case 0: // the same request of another caller
      send({"POST", harmful_target, "KEY2", "", harmful_body});
      break;
    case 1:
      send({"POST", "/once/document", "KEY", "", text});
      break;
    case 2:
    case 3:
      send({"POST", harmful_target, "KEY", "", harmful_body + text});
      break;
    case 4: // again and again
      send({"GET", "/safe/document?page=1", "KEY", "", ""});
      break;
    default:
      send({"POST", harmful_target + text, "KEY", "", harmful_body});
    }
  }

  // Sends sound requests at 24 a second, and each harmful one at 2.7 a second.
  void send_load(milliseconds time, const std::vector<sent_request>& harmful = {}) {
    const auto until = io::now() + time;
    for (int i = 0; io::now() < until; ++i) {
      send_sound();
      if (i % 9 == 0) {
        for (const auto& it : harmful) {
          send(it);
        }
      }
      run_event_loop(std::chrono::milliseconds(42));
    }
  }

  [[nodiscard]] bool is_quarantined(std::size_t requests) const {
    return std::all_of(gateways.begin(), gateways.end(), [&](const auto& it) {
      return it->traits.quarantine.size() == requests;
    });
  }

  // Sends load with the harmful request until it is quarantined, and waits until all
  // servers are back.
  void quarantine_harmful() {
    for (int i = 0; i < 30 && !is_quarantined(1); ++i) {
      send_load(milliseconds(500), {harmful_request()});
    }
    REQUIRE(is_quarantined(1));
    run_event_loop(std::chrono::milliseconds(2500));
  }

  // The response to one more request.
  std::string response_to(const sent_request& request) {
    send(request);
    const auto& result = *results.back();
    REQUIRE(wait_until([&] { return result.is_over; }));
    return result.received;
  }

  // Time of the third end, after which three more requests may reach servers.
  [[nodiscard]] time_point third_end() const {
    const auto all = ends();
    REQUIRE(all.size() >= 3);
    return all[2];
  }
};

} // namespace

TEST_CASE("a request that crashes servers doesn't reach further servers", "[!mayfail]") {
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
