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

constexpr const char* control_host = "127.66.1.1";

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

// A router's end of the links and the point where servers report.
struct router {
  server_directory directory;
  std::vector<std::string> silent; // ids, as told
  std::set<std::string> members;   // hosts, as told
  io::control_links links;
  gateway::report_receiver reports;

  router(const std::string& host, std::uint16_t port)
      : links({host, true, host, port, "z", {control_host}}, nullptr),
        reports(links, nullptr) {
    links.on_server_update = [this](const wire::ServerUpdateT& update) {
      for (const auto& it : update.servers) {
        apply_report(directory, io::from_wire(*it), duration(it->silent_ms), io::now());
        if (it->silent) {
          silent.push_back(it->id);
        }
      }
    };
    links.on_members = [this](const auto& hosts) { members = hosts; };
    links.takes_reports = [] { return true; };
    links.on_unknown_servers = [this](const auto& servers) {
      reports.forget_confirmed(servers);
    };
    REQUIRE_FALSE(links.start());
    REQUIRE_FALSE(reports.listen(host, static_cast<std::uint16_t>(port + 2)));
  }

  [[nodiscard]] bool knows(const std::string& id, announced_state state) const {
    const auto it = directory.entries.find(id);
    return it != directory.entries.end() && it->second.server.state == state;
  }
};

struct fleet {
  QTemporaryDir folder;
  std::uint16_t port;
  std::unique_ptr<control::replica> group;
  std::unique_ptr<control::link_service> links;
  std::vector<std::unique_ptr<router>> routers;

  fleet(int routers_wanted, const control::link_limits& limits) {
    test_application();
    port = gateway_fixture::free_address().port;
    start_control(limits);
    REQUIRE(wait_until([&] { return group->is_leader(); }));
    for (int i = 1; i <= routers_wanted; ++i) {
      routers.push_back(std::make_unique<router>("127.67.1." + std::to_string(i), port));
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
    settings.repair = repair_settings{0, duration(2500), duration(1500)};
    group = std::make_unique<control::replica>(settings, nullptr);
    links = std::make_unique<control::link_service>(
        *group, io::link_settings{"c", false, control_host, port, "z", {control_host}},
        limits, nullptr);
    std::error_code ec;
    std::string detail;
    group->start({control_host, port}, ec, detail);
    REQUIRE_FALSE(ec);
    REQUIRE_FALSE(links->listen({control_host, port}));
    REQUIRE_FALSE(links->start());
  }

  [[nodiscard]] bool all_know(const std::string& id, announced_state state) const {
    return std::all_of(routers.begin(), routers.end(),
                       [&](const auto& it) { return it->knows(id, state); });
  }
};

// A link on which even a short message to a few routers has to be passed on.
control::link_limits thin_link() {
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

// Status of the answer to a report at the first router.
std::string report_to_router(fleet& it, const std::string& text) {
  test_caller caller({"127.67.1.1", static_cast<std::uint16_t>(it.port + 2)});
  caller.send(text);
  REQUIRE(caller.wait_for("\r\n\r\n"));
  return caller.received.substr(0, 12);
}

} // namespace

TEST_CASE("over a thin link routers pass changes on, and each confirms by itself") {
  fleet it(30, thin_link());
  for (int i = 0; i < 20; ++i) {
    auto server = make_server("s" + std::to_string(i), 1);
    server.port = static_cast<std::uint16_t>(80 + i);
    it.links->handle_report(server, [](bool) {});
  }
  REQUIRE(wait_until([&] { return it.all_know("s19", announced_state::ready); }));
  std::optional<bool> settled;
  auto leaving = make_server("s7", 2, announced_state::draining);
  leaving.port = 87;
  it.links->handle_report(leaving, [&](bool ok) { settled = ok; });
  REQUIRE(wait_until([&] { return settled.has_value(); }));
  CHECK(*settled);
  CHECK(it.all_know("s7", announced_state::draining));
}

TEST_CASE("routers that are lost while they pass on hold up the others only briefly") {
  fleet it(30, thin_link());
  it.links->handle_report(make_server("s", 1), [](bool) {});
  // A third of them, so that some of those that would pass it on are among them.
  it.routers.resize(20);
  REQUIRE(wait_until([&] { return it.all_know("s", announced_state::ready); }));
}

TEST_CASE("routers hear that a server fell silent and that it is heard again") {
  control::link_limits limits;
  limits.silence_timeout = duration(300);
  fleet it(2, limits);
  it.links->handle_report(make_server("s", 1), [](bool) {});
  REQUIRE(wait_until([&] { return it.all_know("s", announced_state::ready); }));
  const auto hash = io::server_hash("s");
  CHECK(it.routers[0]->links.is_server_reporting(hash));
  REQUIRE(wait_until([&] { return !it.routers[0]->links.is_server_reporting(hash); }));
  CHECK(it.routers[0]->silent == std::vector<std::string>{"s"});
  it.links->handle_report(make_server("s", 2), [](bool) {});
  REQUIRE(wait_until([&] { return it.routers[0]->links.is_server_reporting(hash); }));
}

TEST_CASE("a control process that starts anew vouches for nobody yet") {
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

TEST_CASE("a router that connects again learns what it missed") {
  fleet it(1, {});
  it.links->handle_report(make_server("s", 1), [](bool) {});
  REQUIRE(wait_until([&] { return it.all_know("s", announced_state::ready); }));
  it.routers[0]->directory = {};
  it.routers[0]->links.set_seeds({});
  run_event_loop(std::chrono::milliseconds(100));
  auto next = make_server("t", 1);
  next.port = 81;
  it.links->handle_report(next, [](bool) {});
  it.routers[0]->links.set_seeds({control_host});
  REQUIRE(wait_until([&] { return it.all_know("t", announced_state::ready); }));
}

TEST_CASE("a router that connects before there is a leader learns the members") {
  fleet it(0, {});
  it.links.reset();
  it.group.reset();
  it.start_control({});
  router early("127.67.1.1", it.port);
  REQUIRE(wait_until([&] { return early.links.has_initial_servers(); }));
  REQUIRE_FALSE(it.group->is_ready());
  REQUIRE(wait_until([&] { return it.group->is_ready(); }));
  CHECK(wait_until([&] { return !early.members.empty(); }));
}

TEST_CASE("servers are sent to routers once their reports fill the link") {
  fleet it(3, thin_link());
  REQUIRE(wait_until([&] { return it.links->subscribers() == 3; }));
  // A tenth of 10 bytes a ms is one report of 600 bytes a second.
  CHECK_FALSE(it.links->next_report_address(make_server("s", 1)).has_value());
  const auto next = it.links->next_report_address(make_server("s", 1));
  REQUIRE(next.has_value());
  CHECK(next->host.starts_with("127.67.1."));
  CHECK(next->port == it.port + 2);
  CHECK(it.links->next_report_address(make_server("s", 2)) == next);
  CHECK_FALSE(
      it.links->next_report_address(make_server("s", 3, announced_state::draining))
          .has_value());
  fleet wide(1, {});
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(wide.links->next_report_address(make_server("s", 1)).has_value());
  }
}

TEST_CASE("a router confirms a report that changes something only after control did") {
  fleet it(2, {});
  CHECK(report_to_router(it, report_text("s", "ready", 1)) == "HTTP/1.1 200");
  REQUIRE(wait_until([&] { return it.all_know("s", announced_state::ready); }));
  CHECK(report_to_router(it, report_text("s", "ready", 2)) == "HTTP/1.1 200");
  CHECK(report_to_router(it, report_text("s", "draining", 3)) == "HTTP/1.1 200");
  CHECK(it.all_know("s", announced_state::draining));
  CHECK(report_to_router(it, "POST /v1/Replicas.Deregister/s HTTP/1.1\r\nHost: c\r\n"
                             "Content-Length: 0\r\n\r\n") == "HTTP/1.1 200");
  CHECK(it.all_know("s", announced_state::gone));
  CHECK(report_to_router(it, "POST /v1/Replicas.Heartbeat/s HTTP/1.1\r\nHost: c\r\n"
                             "Content-Length: 2\r\n\r\n{}") == "HTTP/1.1 400");
}

TEST_CASE("without control a router confirms nothing") {
  fleet it(1, {});
  CHECK(report_to_router(it, report_text("s", "ready", 1)) == "HTTP/1.1 200");
  it.links.reset();
  REQUIRE(wait_until([&] { return it.routers[0]->links.open_links() == 0; }));
  CHECK(report_to_router(it, report_text("s", "ready", 2)) == "HTTP/1.1 503");
  CHECK(report_to_router(it, report_text("s", "draining", 3)) == "HTTP/1.1 503");
}

TEST_CASE("a control process that starts anew learns servers from the routers") {
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
    return it.routers[1]->knows("s", announced_state::ready);
  }));
}
