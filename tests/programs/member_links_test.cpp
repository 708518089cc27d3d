#include <catch2/catch.hpp>

#include "control_group.h"
#include "marigoldstep/io/clock.h"

#include <random>

// Guards against members that keep using dead connections, so that no quorum forms and no
// process returns the configuration that it confirmed.

using namespace marigoldstep;
using namespace control::test;
using direction = loopback_proxy::direction;
using gateway::test::routing_text;

namespace {

// The operator reads for at least so long once the fleet is calm.
constexpr auto stable_window = std::chrono::milliseconds(3000);

struct proxied_group : control_group {
  proxied_group() {
    test_application();
    has_proxies = true;
    start_all(3);
    REQUIRE(wait_until([&] { return starts_with_status(store(1, 5), "200"); }));
    REQUIRE(wait_until([&] { return all_return(5); }));
  }

  void silence_members(direction lost) {
    for (const auto& [i, it] : processes) {
      it.member_proxy->silence(lost);
    }
  }

  void silence_new_members(bool lost) {
    for (const auto& [i, it] : processes) {
      it.member_proxy->silence_new(lost);
    }
  }

  // The process loses its disk, and starts again at its address.
  void lose_disk(int i) {
    kill(i);
    const int seed = i == 1 ? 2 : 1;
    start(i, seed);
  }
};

// A text that takes about so many bytes when it is compressed.
std::string large_text(std::uint64_t version, std::size_t packed_bytes) {
  auto text = routing_text(version);
  std::mt19937_64 random(version);
  std::string more;
  for (std::size_t i = 0; i * 10 < packed_bytes; ++i) {
    more += R"(,{"name":"w)" + std::to_string(i) + R"(","api_keys":[")" +
            std::to_string(random()) + R"("]})";
  }
  const auto end = text.rfind("]}");
  return text.insert(end, more);
}

std::string store_text(const control_group& it, const std::string& text) {
  return call_api({control_group::host(1), it.api_port}, "POST", "/v1/Config.Replace",
                  text);
}

} // namespace

TEST_CASE("a configuration is readable soon after all member connections fall silent") {
  proxied_group it;
  const auto lost = GENERATE(direction::both, direction::to_target, direction::to_client);
  it.silence_members(lost);
  CHECK(wait_until([&] { return it.all_return(5); }, stable_window));
  CHECK(wait_until([&] { return starts_with_status(it.store(2, 6), "200"); }));
}

TEST_CASE("a change that follows the silence of one member's connections is readable") {
  proxied_group it;
  const auto lost = GENERATE(direction::both, direction::to_target, direction::to_client);
  const int silent = GENERATE(1, 2);
  it.processes.at(silent).member_proxy->silence(lost);
  REQUIRE(wait_until([&] { return starts_with_status(it.store(3, 6), "200"); }));
  CHECK(wait_until([&] { return it.all_return(6); }, stable_window));
}

TEST_CASE("large changes on a silent connection don't hide its silence") {
  proxied_group it;
  it.processes.at(3).member_proxy->silence(direction::both);
  std::string text;
  for (std::uint64_t version = 6; version < 9; ++version) {
    text = large_text(version, 40'000);
    REQUIRE(starts_with_status(store_text(it, text), "200"));
  }
  CHECK(wait_until([&] { return it.read(3).ends_with(text); }, stable_window));
}

TEST_CASE("a large change arrives over a slow connection") {
  constexpr auto recovery_time = std::chrono::milliseconds(12'000);
  proxied_group it;
  // 0.1 Mbit/s.
  it.processes.at(3).member_proxy->limit_rate(120, std::chrono::milliseconds(10));
  const auto text = large_text(6, 40'000);
  REQUIRE(starts_with_status(store_text(it, text), "200"));
  CHECK(it.processes.at(1).group->state().routing_packed_text.size() > 30'000);
  CHECK(wait_until(
      [&] {
        run_event_loop(std::chrono::milliseconds(50));
        return it.read(3).ends_with(text);
      },
      recovery_time));
}

TEST_CASE("a member with an old log finds a leader that its log lacks") {
  constexpr auto recovery_time = std::chrono::milliseconds(12'000);
  proxied_group it;
  auto folder = std::move(it.processes.at(3).folder);
  it.kill(3);
  it.start(4, 1);
  REQUIRE(wait_until([&] {
    const auto at = it.leader();
    return at != 0 && it.is_voter(4) &&
           voter_count(members(*it.processes.at(at).group->node())) == 3;
  }));
  for (int i = 0; i < 20 && it.leader() != 4; ++i) {
    it.restart(it.leader(), 1);
    REQUIRE(wait_until([&] { return it.leader() != 0; }));
  }
  REQUIRE(it.leader() == 4);
  REQUIRE(wait_until([&] { return starts_with_status(it.store(4, 6), "200"); }));
  it.processes[3].folder = std::move(folder);
  it.start(3, 1);
  CHECK(wait_until([&] { return it.read(3).ends_with(routing_text(6)); }, recovery_time));
}

TEST_CASE("connections that stay silent after a partition ended don't delay reads") {
  proxied_group it;
  it.silence_members(direction::both);
  it.silence_new_members(true);
  run_event_loop(std::chrono::milliseconds(4000));
  it.silence_new_members(false);
  CHECK(wait_until([&] { return it.all_return(5); }, stable_window));
}

TEST_CASE("a lost disk beside another member's silent connections loses no change") {
  proxied_group it;
  it.processes.at(2).member_proxy->silence(direction::both);
  REQUIRE(wait_until([&] { return starts_with_status(it.store(1, 6), "200"); }));
  it.lose_disk(3);
  CHECK(wait_until([&] { return it.all_return(6); }, 2 * stable_window));
}

TEST_CASE("silent incoming connections don't keep a member out") {
  proxied_group it;
  it.kill(3);
  std::vector<std::unique_ptr<QTcpSocket>> silent_peers;
  constexpr std::size_t more_than_accepted = 80;
  while (silent_peers.size() < more_than_accepted) {
    silent_peers.push_back(std::make_unique<QTcpSocket>());
    silent_peers.back()->connectToHost(
        QString::fromStdString(control_group::inner_host(1)), it.peer_port);
    run_event_loop(std::chrono::milliseconds(5));
  }
  it.start(3, 1);
  REQUIRE(wait_until([&] { return it.is_voter(3); }));
  CHECK(wait_until([&] { return it.all_return(5); }, 2 * stable_window));
}
