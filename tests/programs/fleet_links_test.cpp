#include <catch2/catch.hpp>

#include "control/link_service.h"
#include "event_loop.h"
#include "gateway/report_receiver.h"
#include "gateway_fixture.h"
#include "marigoldstep/io/clock.h"

#include <QTemporaryDir>

using namespace marigoldstep;
using gateway::test::gateway_fixture;
using gateway::test::test_caller;

namespace {

std::string control_host() {
  return own_network_host(1);
}

std::string router_host(int i) {
  constexpr int first_router_host = 100;
  return own_network_host(first_router_host + i);
}

announced_server make_server(const std::string& id, std::uint64_t sequence,
                             announced_state state = announced_state::ready) {
  announced_server out;
  out.id = id;
  out.started = 5;
  out.sequence = sequence;
  out.service = "s";
  out.zone = "z";
  out.host = "10.0.0.9";
  out.port = 80;
  out.slots = 4;
  out.state = state;
  return out;
}

// A router's end of the control links, with its receiver of server reports.
struct router {
  server_directory directory;
  std::vector<std::string> silent_ids; // announced as silent by control
  std::set<std::string> member_hosts;  // as sent by control
  std::vector<std::uint32_t> counts;   // of routers, as sent by the leader
  std::vector<wire::FleetLoadT> loads; // of the fleet, as received
  std::function<void()> on_applied;    // called before an update is acknowledged
  io::control_links links;
  gateway::report_receiver reports;

  router(const std::string& host, std::uint16_t port)
      : links({host, true, host, port, "z", {control_host()}}, nullptr),
        reports(links, nullptr) {
    links.on_server_update = [this](const wire::ServerUpdateT& update) {
      for (const auto& it : update.servers) {
        apply_report(directory, io::from_wire(*it), milliseconds(it->silent_ms),
                     io::now());
        if (it->silent) {
          silent_ids.push_back(it->id);
        }
      }
      if (on_applied) {
        on_applied();
      }
    };
    links.on_fleet_load = [this](const wire::FleetLoadT& load) { loads.push_back(load); };
    links.on_leader_status = [this](std::uint32_t routers, milliseconds) {
      counts.push_back(routers);
    };
    links.on_members = [this](const auto& hosts) { member_hosts = hosts; };
    links.takes_reports = [] { return true; };
    links.on_unknown_servers = [this](const auto& servers) {
      reports.forget_confirmed(servers);
    };
    REQUIRE_FALSE(links.start());
    REQUIRE_FALSE(reports.listen(host, static_cast<std::uint16_t>(port + 2)));
  }

  // Reports requests in flight at a server, and requests for a prompt part.
  void report_load(const std::string& server, std::uint32_t requests,
                   const part_key& part, std::uint32_t part_requests) {
    wire::RouterLoadT load;
    load.loads = io::to_wire({{io::server_hash(server), load_count{requests, 0}}});
    load.requests = io::to_wire(std::map<part_key, std::uint32_t>{{part, part_requests}});
    links.send_load(std::move(load));
  }

  // Requests in flight at the server, as last received.
  [[nodiscard]] std::uint32_t fleet_load_of(const std::string& server) const {
    return loads.empty() ? 0
                         : find_load(io::from_wire(loads.back()), io::server_hash(server),
                                     service_hash("s"))
                               .requests;
  }

  [[nodiscard]] bool has_server(const std::string& id, announced_state state) const {
    const auto it = directory.entries.find(id);
    return it != directory.entries.end() && it->second.server.state == state;
  }
};

// One control process and a number of routers on loopback addresses.
struct fleet {
  QTemporaryDir folder;
  std::uint16_t port;
  std::unique_ptr<control::replica> group;
  std::unique_ptr<control::link_service> links;
  std::vector<std::unique_ptr<router>> routers;

  fleet(int router_count, const control::link_limits& limits) {
    test_application();
    port = gateway_fixture::free_address().port;
    start_control(limits);
    REQUIRE(wait_until([&] { return group->is_leader(); }));
    for (int i = 1; i <= router_count; ++i) {
      routers.push_back(std::make_unique<router>(router_host(i), port));
    }
    REQUIRE(wait_until([&] {
      return std::all_of(routers.begin(), routers.end(),
                         [](const auto& it) { return it->links.has_initial_servers(); });
    }));
  }

  void start_control(const control::link_limits& limits) {
    control::control_settings settings;
    settings.data_dir = folder.path().toStdString();
    settings.listen_peer = settings.advertise_peer = gateway_fixture::free_address();
    settings.repair = repair_settings{0, milliseconds(2500), milliseconds(1500)};
    group = std::make_unique<control::replica>(settings, nullptr);
    links = std::make_unique<control::link_service>(
        *group,
        io::link_settings{"c", false, control_host(), port, "z", {control_host()}},
        limits, nullptr);
    std::error_code ec;
    std::string detail;
    group->start({control_host(), port}, ec, detail);
    REQUIRE_FALSE(ec);
    REQUIRE_FALSE(links->listen({control_host(), port}));
    REQUIRE_FALSE(links->start());
  }

  [[nodiscard]] bool all_routers_have(const std::string& id,
                                      announced_state state) const {
    return std::all_of(routers.begin(), routers.end(),
                       [&](const auto& it) { return it->has_server(id, state); });
  }
};

// A link slow enough that routers forward even a short message to a few routers.
control::link_limits slow_link() {
  control::link_limits out;
  out.link_bytes_per_ms = 10;
  return out;
}

std::string report_text(const std::string& id, const std::string& state, int sequence) {
  const auto body =
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v","slots":4,)"
      R"("state":")" +
      state + R"(","warmup_left_ms":0,"born":5,"seq":)" + std::to_string(sequence) + "}";
  return "POST /v1/Replicas.Heartbeat/" + id +
         " HTTP/1.1\r\nHost: c\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Returns the status line's version and code of the first router's response to a report.
std::string report_to_router(fleet& it, const std::string& text) {
  test_caller caller({router_host(1), static_cast<std::uint16_t>(it.port + 2)});
  caller.send(text);
  REQUIRE(caller.wait_for("\r\n\r\n"));
  return caller.received.substr(0, 12);
}

} // namespace

TEST_CASE("over a slow link routers forward changes, and each router acknowledges them") {
  fleet it(30, slow_link());
  for (int i = 0; i < 20; ++i) {
    auto server = make_server("s" + std::to_string(i), 1);
    server.port = static_cast<std::uint16_t>(80 + i);
    it.links->handle_report(server, [](bool) {});
  }
  REQUIRE(wait_until([&] { return it.all_routers_have("s19", announced_state::ready); }));
  std::optional<bool> confirmed;
  auto draining = make_server("s7", 2, announced_state::draining);
  draining.port = 87;
  it.links->handle_report(draining, [&](bool ok) { confirmed = ok; });
  REQUIRE(wait_until([&] { return confirmed.has_value(); }));
  CHECK(*confirmed);
  CHECK(it.all_routers_have("s7", announced_state::draining));
}

// Guards against a drain that waits until earlier changes have used less than their part
// of the link, for routers that had yet to acknowledge those when it was reported.
TEST_CASE("a drain reported while routers acknowledge other changes is confirmed") {
  fleet it(30, slow_link());
  for (int i = 0; i < 20; ++i) {
    auto server = make_server("s" + std::to_string(i), 1);
    server.port = static_cast<std::uint16_t>(80 + i);
    it.links->handle_report(server, [](bool) {});
  }
  std::optional<bool> confirmed;
  bool is_reported = false;
  const auto report_drain = [&] {
    if (!std::exchange(is_reported, true)) {
      auto draining = make_server("s7", 2, announced_state::draining);
      draining.port = 87;
      it.links->handle_report(draining, [&](bool ok) { confirmed = ok; });
    }
  };
  for (auto& router : it.routers) {
    router->on_applied = [&, router = router.get()] {
      if (router->has_server("s19", announced_state::ready)) {
        report_drain();
      }
    };
  }
  REQUIRE(wait_until([&] { return confirmed.has_value(); }));
  CHECK(*confirmed);
  CHECK(it.all_routers_have("s7", announced_state::draining));
}

TEST_CASE("lost routers that should forward a change delay the others only briefly") {
  fleet it(30, slow_link());
  it.links->handle_report(make_server("s", 1), [](bool) {});
  // Removes a third of the routers, so that some that would forward the change are lost.
  it.routers.resize(20);
  REQUIRE(wait_until([&] { return it.all_routers_have("s", announced_state::ready); }));
}

TEST_CASE("routers learn that a server stopped reporting and that it reports again") {
  control::link_limits limits;
  limits.silence_timeout = milliseconds(300);
  fleet it(2, limits);
  it.links->handle_report(make_server("s", 1), [](bool) {});
  REQUIRE(wait_until([&] { return it.all_routers_have("s", announced_state::ready); }));
  const auto hash = io::server_hash("s");
  CHECK(it.routers[0]->links.is_server_reporting(hash));
  REQUIRE(wait_until([&] { return !it.routers[0]->links.is_server_reporting(hash); }));
  CHECK(it.routers[0]->silent_ids == std::vector<std::string>{"s"});
  it.links->handle_report(make_server("s", 2), [](bool) {});
  REQUIRE(wait_until([&] { return it.routers[0]->links.is_server_reporting(hash); }));
}

// Guards against a restarted control process that counts a server as reporting before it
// has received a report of the server.
TEST_CASE("a restarted control process counts no server as reporting before a report") {
  fleet it(1, {});
  it.links->handle_report(make_server("s", 1), [](bool) {});
  const auto hash = io::server_hash("s");
  REQUIRE(wait_until([&] { return it.routers[0]->links.is_server_reporting(hash); }));
  it.links.reset();
  it.group.reset();
  it.start_control({});
  REQUIRE(wait_until([&] { return it.routers[0]->links.open_links() == 1; }));
  REQUIRE(wait_until([&] { return !it.routers[0]->links.is_server_reporting(hash); }));
  it.links->handle_report(make_server("s", 2), [](bool) {});
  REQUIRE(wait_until([&] { return it.routers[0]->links.is_server_reporting(hash); }));
}

// Guards against routers that take too large a share of a common limit (of a cold server,
// of the retry budget) after the loss of every process, while their leader has heard from
// a few of them only.
TEST_CASE("a restarted leader counts the routers that have yet to reconnect") {
  fleet it(6, {});
  REQUIRE(wait_until([&] { return it.group->state().router_count == 6; }));
  it.links.reset();
  it.group.reset();
  it.routers.resize(1);
  auto& counts = it.routers[0]->counts;
  counts.clear();
  it.start_control({});
  REQUIRE(wait_until([&] { return !counts.empty(); }));
  CHECK(counts.front() == 6);
}

TEST_CASE("a router that reconnects learns the changes that it missed") {
  fleet it(1, {});
  it.links->handle_report(make_server("s", 1), [](bool) {});
  REQUIRE(wait_until([&] { return it.all_routers_have("s", announced_state::ready); }));
  it.routers[0]->directory = {};
  it.routers[0]->links.set_seeds({});
  run_event_loop(std::chrono::milliseconds(100));
  auto next = make_server("t", 1);
  next.port = 81;
  it.links->handle_report(next, [](bool) {});
  it.routers[0]->links.set_seeds({control_host()});
  REQUIRE(wait_until([&] { return it.all_routers_have("t", announced_state::ready); }));
}

TEST_CASE("a router that connects before a leader is elected learns the members") {
  fleet it(0, {});
  it.links.reset();
  it.group.reset();
  it.start_control({});
  router early(router_host(1), it.port);
  REQUIRE(wait_until([&] { return early.links.has_initial_servers(); }));
  REQUIRE_FALSE(it.group->is_ready());
  REQUIRE(wait_until([&] { return it.group->is_ready(); }));
  CHECK(wait_until([&] { return !early.member_hosts.empty(); }));
}

// Control names the address for the next report in its response, and so hands servers
// over to routers when their reports exceed its part of the link.
TEST_CASE("servers are redirected to routers once their reports fill the link") {
  fleet it(3, slow_link());
  REQUIRE(wait_until([&] { return it.links->subscribers() == 3; }));
  // Reports may use a tenth of 10 bytes per ms: one report of 600 bytes per second.
  CHECK_FALSE(it.links->next_report_address(make_server("s", 1)).has_value());
  const auto next = it.links->next_report_address(make_server("s", 1));
  REQUIRE(next.has_value());
  const std::set<std::string> router_hosts{router_host(1), router_host(2),
                                           router_host(3)};
  CHECK(router_hosts.contains(next->host));
  CHECK(next->port == it.port + 2);
  CHECK(it.links->next_report_address(make_server("s", 2)) == next);
  CHECK_FALSE(
      it.links->next_report_address(make_server("s", 3, announced_state::draining))
          .has_value());
  fleet default_fleet(1, {});
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(
        default_fleet.links->next_report_address(make_server("s", 1)).has_value());
  }
}

TEST_CASE("a router confirms a report with a change only after control confirmed it") {
  fleet it(2, {});
  CHECK(report_to_router(it, report_text("s", "ready", 1)) == "HTTP/1.1 200");
  REQUIRE(wait_until([&] { return it.all_routers_have("s", announced_state::ready); }));
  CHECK(report_to_router(it, report_text("s", "ready", 2)) == "HTTP/1.1 200");
  CHECK(report_to_router(it, report_text("s", "draining", 3)) == "HTTP/1.1 200");
  CHECK(it.all_routers_have("s", announced_state::draining));
  CHECK(report_to_router(it, "POST /v1/Replicas.Deregister/s HTTP/1.1\r\nHost: c\r\n"
                             "Content-Length: 0\r\n\r\n") == "HTTP/1.1 200");
  CHECK(it.all_routers_have("s", announced_state::gone));
  CHECK(report_to_router(it, "POST /v1/Replicas.Heartbeat/s HTTP/1.1\r\nHost: c\r\n"
                             "Content-Length: 2\r\n\r\n{}") == "HTTP/1.1 400");
}

TEST_CASE("a router without a control link rejects reports") {
  fleet it(1, {});
  CHECK(report_to_router(it, report_text("s", "ready", 1)) == "HTTP/1.1 200");
  it.links.reset();
  REQUIRE(wait_until([&] { return it.routers[0]->links.open_links() == 0; }));
  CHECK(report_to_router(it, report_text("s", "ready", 2)) == "HTTP/1.1 503");
  CHECK(report_to_router(it, report_text("s", "draining", 3)) == "HTTP/1.1 503");
}

TEST_CASE("a restarted control process learns servers from the routers") {
  fleet it(2, {});
  CHECK(report_to_router(it, report_text("s", "ready", 1)) == "HTTP/1.1 200");
  it.links.reset();
  it.group.reset();
  it.start_control({});
  REQUIRE(wait_until([&] { return it.routers[0]->links.open_links() == 1; }));
  it.routers[1]->directory = {};
  REQUIRE(wait_until([&] {
    report_to_router(it, report_text("s", "ready", 2));
    run_event_loop(std::chrono::milliseconds(200));
    return it.routers[1]->has_server("s", announced_state::ready);
  }));
}

// The leader sends loads to one router of an availability zone, so all others depend on
// what that one forwards.
TEST_CASE("loads and parts in demand reach every router of a zone, also if one is lost") {
  fleet it(6, {});
  it.links->handle_report(make_server("s", 1), [](bool) {});
  REQUIRE(wait_until([&] { return it.all_routers_have("s", announced_state::ready); }));
  const part_key part{service_hash("s"), 42};
  for (auto& router : it.routers) {
    router->report_load("s", 3, part, 2);
  }
  const auto all_know = [&](std::uint32_t requests) {
    return std::all_of(it.routers.begin(), it.routers.end(), [&](const auto& router) {
      return router->fleet_load_of("s") == requests;
    });
  };
  REQUIRE(wait_until([&] { return all_know(18); }));
  CHECK(std::any_of(
      it.routers[5]->loads.begin(), it.routers[5]->loads.end(), [&](const auto& load) {
        return load.popular && io::part_shares_from_wire(*load.popular).contains(part);
      }));
  it.routers.pop_back();
  for (auto& router : it.routers) {
    router->report_load("s", 4, part, 0);
  }
  CHECK(wait_until([&] { return all_know(20); }));
}

// A suspended router forwards old loads when it wakes up.
TEST_CASE("loads that arrive out of order are dropped") {
  fleet it(2, {});
  it.links->handle_report(make_server("s", 1), [](bool) {});
  auto& first = *it.routers[0];
  REQUIRE(wait_until([&] { return first.loads.size() > 3; }));
  const auto newest = first.loads.back();
  REQUIRE(newest.number > 1);
  io::frame_forwarder other(it.port, nullptr);
  auto old = newest;
  old.number = 1;
  old.loads = io::to_wire({{io::server_hash("s"), load_count{999, 0}}});
  other.send({router_host(1)}, io::encode_fan_out(old));
  run_event_loop(std::chrono::milliseconds(500));
  CHECK(std::none_of(first.loads.begin(), first.loads.end(), [](const auto& load) {
    return find_load(io::from_wire(load), io::server_hash("s"), 0).requests == 999;
  }));
  auto next = newest;
  next.number = newest.number + 1000;
  other.send({router_host(1)}, io::encode_fan_out(next));
  CHECK(wait_until([&] {
    return std::any_of(first.loads.begin(), first.loads.end(),
                       [&](const auto& load) { return load.number == next.number; });
  }));
}
