// Departures of backend servers that were confirmed, through restarts and lost disks.
#include <catch2/catch.hpp>

#include "control_group.h"

#include <QElapsedTimer>

using namespace marigoldstep;
using namespace control::test;
using gateway::test::test_caller;

namespace {

constexpr auto server_wait = milliseconds(1000); // for the confirmation of a report

struct server_report {
  std::string id;
  std::string state;
  int started = 5;
  int sequence = 1;
};

std::string report_call(const server_report& it) {
  const auto body = R"({"service":"s","address":"10.0.0.)" + it.id.substr(1) +
                    R"(:80","zone":"z","version":"v1","slots":4,"state":")" + it.state +
                    R"(","warmup_left_ms":0,"born":)" + std::to_string(it.started) +
                    R"(,"seq":)" + std::to_string(it.sequence) + "}";
  const std::string operation = it.state == "gone" ? "Deregister/" : "Heartbeat/";
  return "POST /v1/Replicas." + operation + it.id +
         " HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool is_confirmed(const std::string& response) {
  return starts_with_status(response, "200");
}

std::string send_report(const control_group& group, int process,
                        const server_report& it) {
  test_caller caller({control_group::host(process), group.api_port});
  caller.send(report_call(it));
  caller.wait_closed();
  return caller.received;
}

// Sends the report until it is confirmed, as servers do.
void confirm_report(const control_group& group, int process, const server_report& it) {
  REQUIRE(wait_until([&] { return is_confirmed(send_report(group, process, it)); }));
}

// A gateway's view of the servers.
struct gateway_view {
  io::control_links links;
  server_directory directory;

  explicit gateway_view(const control_group& group)
      : links({"g", true, control_group::gateway_host(1), group.link_port, "z",
               hosts(group)},
              nullptr) {
    links.on_server_update = [this](const wire::ServerUpdateT& update) {
      for (const auto& it : update.servers) {
        apply_report(directory, io::from_wire(*it), milliseconds(it->silent_ms),
                     io::now());
      }
    };
    REQUIRE_FALSE(links.start());
    REQUIRE(wait_until([&] { return links.open_links() == group.processes.size(); }));
  }

  static std::vector<std::string> hosts(const control_group& group) {
    std::vector<std::string> out;
    for (const auto& it : group.processes) {
      out.push_back(control_group::host(it.first));
    }
    return out;
  }

  [[nodiscard]] bool has_ready(const std::string& id) const {
    const auto it = directory.entries.find(id);
    return it != directory.entries.end() &&
           it->second.server.state == announced_state::ready;
  }
};

// Sends a report from before the departure to each process, and checks that no gateway
// learns of it as ready.
void check_delayed_report(const control_group& group) {
  gateway_view gateway(group);
  for (const auto& it : group.processes) {
    send_report(group, it.first, {"i1", "ready", 5, 2});
  }
  run_event_loop(std::chrono::milliseconds(300));
  CHECK_FALSE(gateway.has_ready("i1"));
}

} // namespace

// Guards against requests to a server that was confirmed as leaving or gone, because only
// memory held that (DRAIN).
TEST_CASE("a confirmed departure outlives all control processes") {
  test_application();
  control_group group;
  group.start_all(3);
  const std::string state = GENERATE("draining", "gone");
  const int process = GENERATE(1, 2); // the leader and a follower
  CAPTURE(state, process);
  confirm_report(group, process, {"i1", "ready", 5, 1});
  confirm_report(group, process, {"i1", state, 5, 3});
  group.restart_all();
  check_delayed_report(group);
}

// Guards against a late report at the one process that has restarted.
TEST_CASE("a confirmed departure is known to a process that restarts alone") {
  test_application();
  control_group group;
  group.start_all(3);
  const int process = GENERATE(1, 3);
  CAPTURE(process);
  confirm_report(group, 2, {"i1", "ready", 5, 1});
  confirm_report(group, 2, {"i1", "gone", 5, 3});
  group.restart(process, 2);
  check_delayed_report(group);
}

// Guards against a departure that only the process knew whose disk is lost.
TEST_CASE("a confirmed departure outlives the disk of the process that confirmed it") {
  test_application();
  control_group group;
  group.start_all(3);
  const int process = GENERATE(1, 3);
  CAPTURE(process);
  confirm_report(group, process, {"i1", "ready", 5, 1});
  confirm_report(group, process, {"i1", "gone", 5, 3});
  group.processes.at(process).folder = std::make_unique<QTemporaryDir>();
  group.restart_all();
  check_delayed_report(group);
}

// Guards against a departure that outlives the server's next start.
TEST_CASE("a server that starts again under its id is announced at once") {
  test_application();
  control_group group;
  group.start_all(3);
  const bool restarts = GENERATE(false, true);
  confirm_report(group, 2, {"i1", "ready", 5, 1});
  confirm_report(group, 2, {"i1", "gone", 5, 3});
  if (restarts) {
    group.restart_all();
  }
  gateway_view gateway(group);
  CHECK(is_confirmed(send_report(group, 2, {"i1", "ready", 6, 1})));
  CHECK(wait_until([&] { return gateway.has_ready("i1"); },
                   std::chrono::milliseconds(500)));
}

// Guards against a server that decides to stay and gets no requests any more.
TEST_CASE("a leaving server that reports ready again is announced") {
  test_application();
  control_group group;
  group.start_all(3);
  confirm_report(group, 2, {"i1", "ready", 5, 1});
  confirm_report(group, 2, {"i1", "draining", 5, 3});
  group.restart_all();
  gateway_view gateway(group);
  confirm_report(group, 2, {"i1", "ready", 5, 4});
  CHECK(wait_until([&] { return gateway.has_ready("i1"); }));
}

// Guards against a commit for each server where many leave at once, which a control
// process with a slow disk or link can't sustain.
TEST_CASE("servers that leave together are recorded together") {
  test_application();
  control_group group;
  group.start_all(3);
  constexpr int server_count = 60;
  for (int i = 1; i <= server_count; ++i) {
    confirm_report(group, 1 + i % 3, {"i" + std::to_string(i), "ready", 5, 1});
  }
  const auto last_index = [&] {
    return group.processes.at(group.leader()).group->node()->commit_index;
  };
  const auto before = last_index();
  std::vector<std::unique_ptr<test_caller>> callers;
  for (int i = 1; i <= server_count; ++i) {
    callers.push_back(std::make_unique<test_caller>(
        io::endpoint{control_group::host(1 + i % 3), group.api_port}));
  }
  QElapsedTimer timer;
  timer.start();
  for (int i = 1; i <= server_count; ++i) {
    callers[static_cast<std::size_t>(i - 1)]->send(
        report_call({"i" + std::to_string(i), "gone", 5, 3}));
  }
  for (const auto& it : callers) {
    CHECK(it->wait_closed());
    CHECK(is_confirmed(it->received));
  }
  CHECK(timer.elapsed() < server_wait.count());
  CHECK(last_index() - before < server_count / 3);
}
