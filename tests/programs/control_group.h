#pragma once

#include <catch2/catch.hpp>

#include "control/api.h"
#include "control/link_service.h"
#include "event_loop.h"
#include "gateway_fixture.h"
#include "loopback_address.h"
#include "loopback_proxy.h"

#include <QTemporaryDir>

// Control processes inside a test.
namespace marigoldstep::control::test {

inline std::string call_api(const io::endpoint& api, const std::string& method,
                            const std::string& target, const std::string& body = {}) {
  gateway::test::test_caller caller(api);
  caller.send(method + " " + target + " HTTP/1.1\r\nHost: c\r\nConnection: close\r\n" +
              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  caller.wait_closed();
  return caller.received;
}

inline bool starts_with_status(const std::string& response, const std::string& status) {
  return response.starts_with("HTTP/1.1 " + status + " ");
}

// Several control processes on loopback addresses with equal ports, as on separate VMs.
struct control_group {
  link_limits limits; // of processes that start later
  // Whether connections to the member and link ports of processes that start later pass
  // through proxies.
  bool has_proxies = false;
  struct process {
    std::unique_ptr<QTemporaryDir> folder = std::make_unique<QTemporaryDir>();
    std::unique_ptr<loopback_proxy> member_proxy;
    std::unique_ptr<loopback_proxy> link_proxy;
    std::unique_ptr<replica> group;
    std::unique_ptr<link_service> links;
    std::unique_ptr<class api> api;
  };

  std::uint16_t api_port = gateway::test::gateway_fixture::free_address().port;
  std::uint16_t peer_port = gateway::test::gateway_fixture::free_address().port;
  std::uint16_t link_port = gateway::test::gateway_fixture::free_address().port;
  std::map<int, process> processes;

  static constexpr int first_inner_host = 20;
  static constexpr int first_gateway_host = 40;
  static std::string host(int i) { return own_network_host(i); }
  // Where a process listens behind its proxies.
  static std::string inner_host(int i) { return own_network_host(first_inner_host + i); }
  static std::string gateway_host(int i) {
    return own_network_host(first_gateway_host + i);
  }

  void start(int i, int seed) {
    control_settings settings;
    auto& it = processes[i];
    settings.data_dir = it.folder->path().toStdString();
    const auto listen_host = has_proxies ? inner_host(i) : host(i);
    if (has_proxies) {
      it.member_proxy =
          std::make_unique<loopback_proxy>(host(i), peer_port, listen_host, peer_port);
      it.link_proxy =
          std::make_unique<loopback_proxy>(host(i), link_port, listen_host, link_port);
    }
    settings.advertise_peer = {host(i), peer_port};
    settings.listen_peer = {listen_host, peer_port};
    settings.may_form_group = i == seed;
    settings.repair = repair_settings{1, milliseconds(2500), milliseconds(1500)};
    if (i != seed) {
      settings.peers = {{host(seed), peer_port}};
    }
    it.group = std::make_unique<replica>(settings, nullptr);
    auto own_limits = limits;
    own_limits.stream_directory = stream_directory(i);
    it.links = std::make_unique<link_service>(
        *it.group,
        io::link_settings{host(i), false, host(i), link_port, "z", {host(seed)}},
        own_limits, nullptr);
    auto* group = it.group.get();
    it.links->on_members = [group](const std::set<std::string>& hosts) {
      group->set_member_hosts(hosts);
    };
    it.api = std::make_unique<class api>(*it.group, *it.links, nullptr);
    auto* links = it.links.get();
    it.group->on_changed = [links] { links->handle_state_changed(); };
    REQUIRE_FALSE(it.api->listen({host(i), api_port}));
    std::error_code ec;
    std::string detail;
    it.group->start({host(i), link_port}, ec, detail);
    REQUIRE_FALSE(ec);
    REQUIRE_FALSE(it.links->listen({listen_host, link_port}));
    REQUIRE_FALSE(it.links->start());
  }

  void kill(int i) {
    processes[i].group->stop();
    processes.erase(i);
  }

  // Starts the process again with its files, once the others have a leader.
  void restart(int i, int seed) {
    auto folder = std::move(processes.at(i).folder);
    kill(i);
    REQUIRE(wait_until([&] { return leader() != 0; }));
    processes[i].folder = std::move(folder);
    start(i, seed);
  }

  [[nodiscard]] std::string stream_directory(int i) const {
    return processes.at(i).folder->path().toStdString() + "/streams";
  }

  // Kills all processes, and then starts them with their files. before_start is called in
  // between.
  void restart_all(const std::function<void()>& before_start = [] {}) {
    std::map<int, std::unique_ptr<QTemporaryDir>> folders;
    for (auto& [i, it] : processes) {
      folders[i] = std::move(it.folder);
    }
    for (const auto& it : folders) {
      kill(it.first);
    }
    before_start();
    const int first = folders.begin()->first;
    const int last = folders.rbegin()->first;
    for (auto& [i, folder] : folders) {
      processes[i].folder = std::move(folder);
      start(i, i == first ? last : first);
    }
    REQUIRE(wait_until([&] { return leader() != 0; }));
  }

  int leader() const {
    for (const auto& [i, it] : processes) {
      if (it.group->is_leader()) {
        return i;
      }
    }
    return 0;
  }

  // Starts processes 1 to n, which form one group.
  void start_all(int n) {
    start(1, 1);
    REQUIRE(wait_until([&] { return leader() == 1; }));
    for (int i = 2; i <= n; ++i) {
      start(i, 1);
      REQUIRE(wait_until([&] { return is_voter(i); }));
    }
  }

  [[nodiscard]] std::string store(int i, std::uint64_t version) const {
    return call_api({host(i), api_port}, "POST", "/v1/Config.Replace",
                    gateway::test::routing_text(version));
  }
  [[nodiscard]] std::string read(int i) const {
    return call_api({host(i), api_port}, "GET", "/v1/Config.Read");
  }
  // Whether each running process returns this version of the routing configuration. Asks
  // at the operator's pace.
  [[nodiscard]] bool all_return(std::uint64_t version) const {
    run_event_loop(std::chrono::milliseconds(50));
    return std::all_of(processes.begin(), processes.end(), [&](const auto& it) {
      return read(it.first).ends_with(gateway::test::routing_text(version));
    });
  }

  bool is_voter(int i) const {
    const auto at = leader();
    if (at == 0) {
      return false;
    }
    const auto& node = *processes.at(at).group->node();
    return marigoldstep::is_voter(members(node),
                                  processes.at(i).group->node()->identity.id);
  }
};

} // namespace marigoldstep::control::test
