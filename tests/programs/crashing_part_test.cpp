#include "crashing_fleet.h"

using namespace marigoldstep;
using namespace marigoldstep::control::test;

namespace {

// Part of the prompts of harmful requests only, and the one that all requests share.
const std::string harmful_part = "bad0";
const std::string common_part = "aa1";

struct fleet : crashing_fleet {
  fleet(int control_processes, int gateway_count, int server_count)
      : crashing_fleet({[](const std::string& request) {
                         return request.find(harmful_part + ":") != std::string::npos;
                       }},
                       control_processes, gateway_count, server_count) {}

  // Sends a request whose prompt consists of these parts and one of its own.
  void send_prompt(const std::vector<std::string>& parts) {
    std::string prompt;
    for (const auto& it : parts) {
      prompt += it + ":100,";
    }
    prompt += std::to_string(1'000'001 + request_count) + ":50";
    const bool is_harmful =
        std::find(parts.begin(), parts.end(), harmful_part) != parts.end();
    send({"POST", "/prompt/x", "KEY", "Marigoldstep-Prompt-Prefix: " + prompt + "\r\n",
          prompt, is_harmful});
  }

  // Sends sound requests at 24 a second and harmful ones at 8 a second for this time.
  void send_load(milliseconds time, bool with_harmful) {
    const auto until = io::now() + time;
    for (int i = 0; io::now() < until; ++i) {
      const auto document = "d" + std::to_string(i % 7);
      send_prompt({common_part, document});
      if (with_harmful && i % 3 == 0) {
        send_prompt(i % 2 == 0 ? std::vector{common_part, harmful_part, document}
                               : std::vector{harmful_part, common_part});
      }
      run_event_loop(std::chrono::milliseconds(42));
    }
  }
};

} // namespace

TEST_CASE("requests with a part that crashes servers don't reach further servers") {
  fleet it(3, 3, 9);
  const auto began_at = io::now();
  it.send_load(milliseconds(2000), false);
  const auto harmful_from = io::now();
  it.send_load(milliseconds(9000), true);
  const auto ended_at = io::now();
  run_event_loop(std::chrono::milliseconds(1000));
  const auto ends = it.ends();
  REQUIRE(ends.size() >= 3);
  const auto fifth = ends[std::min<std::size_t>(4, ends.size() - 1)];
  REQUIRE(fifth + 2 * stable_window < ended_at);
  CHECK(it.harmful_after(fifth + stable_window) <= 3);
  const auto before = it.served_share(began_at, harmful_from);
  CHECK(before > 0.9);
  CHECK(it.served_share(fifth + 2 * stable_window, ended_at) >= before / 2);
}

TEST_CASE("a leader and gateways that start later refuse a quarantined part") {
  fleet it(3, 2, 9);
  it.send_load(milliseconds(1000), false);
  const auto is_quarantined = [&] {
    return std::all_of(it.gateways.begin(), it.gateways.end(), [](const auto& gateway) {
      return gateway->traits.quarantine.size() == 1;
    });
  };
  for (int i = 0; i < 30 && !is_quarantined(); ++i) {
    it.send_load(milliseconds(500), true);
  }
  REQUIRE(is_quarantined());
  run_event_loop(std::chrono::milliseconds(1000));
  const auto quarantined_at = io::now();
  const auto leader = it.group.leader();
  it.group.kill(leader);
  it.start_gateway(3);
  REQUIRE(wait_until([&] { return it.group.leader() != 0 && is_quarantined(); }));
  it.send_load(milliseconds(2000), true);
  CHECK(it.harmful_after(quarantined_at) == 0);
  auto& links = *it.group.processes.at(it.group.leader()).links;
  CHECK(links.quarantine_json().find(R"({"part":"bad0",)") != std::string::npos);
  CHECK_FALSE(links.lift_quarantined("bad1"));
  CHECK_FALSE(links.lift_quarantined("no part"));
  CHECK(links.lift_quarantined("bad0"));
  CHECK(links.quarantine_json() == "[]\n");
  CHECK(wait_until([&] {
    return std::all_of(it.gateways.begin(), it.gateways.end(), [](const auto& gateway) {
      return gateway->traits.quarantine.empty();
    });
  }));
  CHECK(it.served_share(quarantined_at, io::now() - milliseconds(500)) > 0.9);
}

TEST_CASE("servers that end by chance keep all parts in use") {
  fleet it(3, 3, 9);
  const auto began_at = io::now();
  for (std::size_t i = 0; i < 10; ++i) {
    it.send_load(milliseconds(500), false);
    it.servers[i % it.servers.size()]->crash();
  }
  const auto ended_at = io::now();
  run_event_loop(std::chrono::milliseconds(1000));
  for (const auto& gateway : it.gateways) {
    CHECK(gateway->traits.quarantine.empty());
    CHECK(gateway->metrics.quarantined_requests.Value() == 0);
  }
  CHECK(it.served_share(began_at, ended_at) > 0.9);
}
