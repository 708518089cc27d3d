#include <catch2/catch.hpp>

#include "control_group.h"
#include "marigoldstep/io/clock.h"

using namespace marigoldstep;
using gateway::test::routing_text;
using gateway::test::test_caller;
using namespace control::test;

namespace {

// One control process that forms a group of one.
struct control_fixture {
  QTemporaryDir folder;
  std::unique_ptr<control::replica> group;
  std::unique_ptr<control::link_service> links;
  std::unique_ptr<control::api> api;
  io::endpoint api_address = gateway::test::gateway_fixture::free_address();
  io::endpoint link_address = gateway::test::gateway_fixture::free_address();

  explicit control_fixture(std::size_t tolerated_losses = 0, bool may_form = true) {
    test_application();
    start(tolerated_losses, may_form);
    if (may_form) {
      REQUIRE(wait_until([&] { return group->is_leader(); }));
    }
  }

  void start(std::size_t tolerated_losses, bool may_form) {
    control::control_settings settings;
    settings.data_dir = folder.path().toStdString();
    settings.listen_peer = settings.advertise_peer =
        gateway::test::gateway_fixture::free_address();
    settings.may_form_group = may_form;
    settings.repair =
        repair_settings{tolerated_losses, milliseconds(2500), milliseconds(1500)};
    group = std::make_unique<control::replica>(settings, nullptr);
    links = std::make_unique<control::link_service>(
        *group,
        io::link_settings{"c", false, "127.0.0.1", link_address.port, "z", {"127.0.0.1"}},
        control::link_limits{}, nullptr);
    api = std::make_unique<control::api>(*group, *links, nullptr);
    group->on_changed = [this] { links->handle_state_changed(); };
    std::error_code ec;
    std::string detail;
    group->start(link_address, ec, detail);
    REQUIRE_FALSE(ec);
    REQUIRE_FALSE(links->listen(link_address));
    REQUIRE_FALSE(api->listen(api_address));
    REQUIRE_FALSE(links->start());
  }

  // Ends the process without an orderly stop and starts another with the same files.
  void restart() {
    group->stop();
    api.reset();
    links.reset();
    group.reset();
    start(0, false);
    REQUIRE(wait_until([&] { return group->is_leader(); }));
  }

  std::string call(const std::string& method, const std::string& target,
                   const std::string& body = {}) const {
    return call_api(api_address, method, target, body);
  }

  std::string replace_config(const std::string& text) const {
    return call("POST", "/v1/Config.Replace", text);
  }
  std::string read_config() const { return call("GET", "/v1/Config.Read"); }
};

std::string report_body(const std::string& state, int sequence) {
  return R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v","slots":4,)"
         R"("state":")" +
         state + R"(","warmup_left_ms":0,"born":5,"seq":)" + std::to_string(sequence) +
         "}";
}

// A gateway's end of a control link; it acknowledges only on request of the test.
struct link_client {
  std::unique_ptr<io::framed_connection> connection;
  std::vector<announced_server> servers;
  feed_position reported;
  feed_position repeated;
  std::uint64_t version = 0; // as sent by the control process
  bool confirmed = false;

  explicit link_client(const io::endpoint& target) {
    connection = std::make_unique<io::framed_connection>(
        QString::fromStdString(target.host), target.port, nullptr);
    connection->on_frame = [this](byte_view buf) { handle(buf); };
    REQUIRE(wait_until([&] { return connection->is_open(); }));
    wire::SubscribeT hello;
    hello.node_id = "g";
    hello.router = true;
    connection->send(wire::encode_link(std::move(hello)));
    REQUIRE(wait_until([&] { return reported.epoch > 0; }));
  }

  void handle(byte_view buf) {
    std::error_code ec;
    const auto frame = wire::decode_link(buf, ec);
    REQUIRE(frame);
    if (const auto* status = frame->body.AsGroupStatus()) {
      version = status->routing_version;
      confirmed = confirmed || status->confirmed;
    } else if (const auto* update = frame->body.AsServerUpdate()) {
      auto& at = update->repeated ? repeated : reported;
      REQUIRE(advance(at, {update->epoch, update->after, update->number}));
      for (const auto& it : update->servers) {
        servers.push_back(io::from_wire(*it));
      }
    }
  }

  void acknowledge(std::uint64_t applied) {
    wire::UpdateAckT ack;
    ack.reported = io::to_wire(reported);
    ack.repeated = io::to_wire(repeated);
    ack.routing_version = applied;
    connection->send(wire::encode_link(std::move(ack)));
  }
};

} // namespace

TEST_CASE("a process joins the group through a seed that is not the leader") {
  test_application();
  control_group it;
  it.start(1, 1);
  REQUIRE(wait_until([&] { return it.leader() == 1; }));
  for (const int i : {2, 3}) {
    it.start(i, 1);
    REQUIRE(wait_until([&] { return it.is_voter(i); }));
  }
  it.kill(1);
  REQUIRE(wait_until([&] { return it.leader() != 0; }));
  const int follower = it.leader() == 2 ? 3 : 2;
  it.start(4, follower);
  CHECK(wait_until([&] { return it.is_voter(4); }));
}

// Guards against a process that serves nothing after a restart because its links depend
// on seeds, although it follows a leader.
TEST_CASE("a follower whose seeds are gone returns the configuration") {
  test_application();
  control_group it;
  it.start_all(3);
  REQUIRE(wait_until([&] { return starts_with_status(it.store(1, 5), "200"); }));
  it.restart(1, 1);
  REQUIRE(wait_until([&] { return it.processes.at(1).group->is_ready(); }));
  REQUIRE(it.leader() != 1);
  CHECK(wait_until([&] { return it.read(1).ends_with(routing_text(5)); },
                   std::chrono::milliseconds(3000)));
}

TEST_CASE("a change that reaches a follower is not sent again to the leader") {
  test_application();
  control_group it;
  it.start(1, 1);
  for (const int i : {2, 3}) {
    it.start(i, 1);
    REQUIRE(wait_until([&] { return it.is_voter(i); }));
  }
  const auto store = [&](int i, std::uint64_t version) {
    return call_api({control_group::host(i), it.api_port}, "POST", "/v1/Config.Replace",
                    routing_text(version));
  };
  REQUIRE(wait_until([&] { return starts_with_status(store(1, 5), "200"); }));
  const auto read = [&] {
    return call_api({control_group::host(2), it.api_port}, "GET", "/v1/Config.Read");
  };
  REQUIRE(wait_until([&] { return read().ends_with(routing_text(5)); }));
  CHECK(starts_with_status(store(2, 6), "200"));
  CHECK(it.processes.at(1).group->state().routing_version == 6);
  SECTION("an older change is acknowledged and changes nothing") {
    CHECK(starts_with_status(store(3, 4), "200"));
    CHECK(it.processes.at(1).group->state().routing_version == 6);
  }
  SECTION("nothing is acknowledged without a quorum") {
    it.kill(1);
    it.kill(3);
    CHECK_FALSE(starts_with_status(store(2, 7), "200"));
  }
}

TEST_CASE("a leader leaves reads that would occupy its link to followers") {
  test_application();
  control_group it;
  const bool is_slow = GENERATE(true, false);
  it.limits.link_bytes_per_ms = is_slow ? 2 : 0;
  it.start(1, 1);
  for (const int i : {2, 3}) {
    it.start(i, 1);
    REQUIRE(wait_until([&] { return it.is_voter(i); }));
  }
  const io::endpoint leader{control_group::host(1), it.api_port};
  REQUIRE(wait_until([&] {
    return starts_with_status(
        call_api(leader, "POST", "/v1/Config.Replace", routing_text(5)), "200");
  }));
  const auto read = [&] { return call_api(leader, "GET", "/v1/Config.Read"); };
  if (is_slow) {
    REQUIRE(wait_until([&] { return starts_with_status(read(), "307"); }));
    CHECK(read().find("/v1/Config.Read\r\n") != std::string::npos);
  } else {
    // Until the followers have reported that they hold the version.
    run_event_loop(std::chrono::milliseconds(1000));
    CHECK(read().ends_with(routing_text(5)));
  }
  it.kill(2);
  it.kill(3);
  CHECK(wait_until([&] { return starts_with_status(read(), "503"); }));
}

TEST_CASE("the highest version is kept, and equal or older ones are acknowledged") {
  const control_fixture it;
  CHECK(starts_with_status(it.read_config(), "503"));
  CHECK(starts_with_status(it.replace_config(routing_text(5)), "200"));
  CHECK(it.read_config().ends_with(routing_text(5)));
  CHECK(starts_with_status(it.replace_config(routing_text(5)), "200"));
  CHECK(starts_with_status(it.replace_config(routing_text(3)), "200"));
  CHECK(it.read_config().ends_with(routing_text(5)));
  CHECK(starts_with_status(it.replace_config(routing_text(9)), "200"));
  CHECK(it.read_config().ends_with(routing_text(9)));
}

TEST_CASE("other content under the current version does not replace it") {
  const control_fixture it;
  it.replace_config(routing_text(5));
  auto other = routing_text(5);
  other.replace(other.find("\"w\""), 3, "\"v\"");
  CHECK(starts_with_status(it.replace_config(other), "200"));
  CHECK(it.read_config().ends_with(routing_text(5)));
}

TEST_CASE("an invalid configuration is rejected, whatever its version") {
  const control_fixture it;
  it.replace_config(routing_text(5));
  const auto version = GENERATE(4U, 5U, 6U);
  auto unknown_service = routing_text(version);
  unknown_service.replace(unknown_service.find("\"service\":\"s\""), 13,
                          "\"service\":\"x\"");
  CHECK(starts_with_status(it.replace_config(unknown_service), "400"));
  CHECK(
      starts_with_status(it.replace_config(routing_text(version).substr(0, 300)), "400"));
  CHECK(starts_with_status(it.replace_config(""), "400"));
  CHECK(it.read_config().ends_with(routing_text(5)));
}

TEST_CASE("a confirmed configuration survives a restart") {
  control_fixture it;
  it.replace_config(routing_text(5));
  it.restart();
  CHECK(it.read_config().ends_with(routing_text(5)));
}

TEST_CASE("a configuration that a tolerated loss could erase is not confirmed") {
  const control_fixture it(1);
  CHECK(starts_with_status(it.replace_config(routing_text(5)), "503"));
}

TEST_CASE("a process with an empty disk never forms a group by itself") {
  const control_fixture it(0, false);
  run_event_loop(std::chrono::milliseconds(1500));
  CHECK_FALSE(it.group->is_leader());
  CHECK(starts_with_status(it.replace_config(routing_text(5)), "503"));
  CHECK(starts_with_status(it.read_config(), "503"));
  CHECK(starts_with_status(
      it.call("POST", "/v1/Replicas.Heartbeat/i-1", report_body("ready", 1)), "503"));
}

TEST_CASE("a change is confirmed when the connected gateways have applied it") {
  const control_fixture it;
  link_client client(it.link_address);
  REQUIRE(wait_until([&] { return client.confirmed; }));
  test_caller caller(it.api_address);
  const auto text = routing_text(5);
  caller.send("POST /v1/Config.Replace HTTP/1.1\r\nHost: c\r\nContent-Length: " +
              std::to_string(text.size()) + "\r\n\r\n" + text);
  REQUIRE(wait_until([&] { return client.version == 5; }));
  run_event_loop(std::chrono::milliseconds(100));
  caller.read();
  CHECK(caller.received.empty());
  client.acknowledge(5);
  REQUIRE(caller.wait_for("\r\n\r\n"));
  CHECK(starts_with_status(caller.received, "200"));
}

TEST_CASE("an unresponsive gateway delays a confirmation by less than a second") {
  const control_fixture it;
  const link_client client(it.link_address);
  const auto begin = io::now();
  CHECK(starts_with_status(it.replace_config(routing_text(5)), "200"));
  // The operator tries another control process after a second.
  CHECK(io::now() - begin < milliseconds(1000));
}

TEST_CASE("a repeated change does not wait again for an unresponsive gateway") {
  const control_fixture it;
  const link_client client(it.link_address);
  REQUIRE(starts_with_status(it.replace_config(routing_text(5)), "200"));
  const auto begin = io::now();
  CHECK(starts_with_status(it.replace_config(routing_text(5)), "200"));
  CHECK(io::now() - begin < milliseconds(300));
}

TEST_CASE("reported servers are announced to the gateways") {
  const control_fixture it;
  link_client client(it.link_address);
  CHECK(starts_with_status(
      it.call("POST", "/v1/Replicas.Heartbeat/i-1", report_body("ready", 1)), "200"));
  REQUIRE(wait_until([&] { return !client.servers.empty(); }));
  CHECK(client.servers[0].id == "i-1");
  CHECK(client.servers[0].host == "10.0.0.9");
  CHECK(starts_with_status(it.call("POST", "/v1/Replicas.Heartbeat/i-1", "{}"), "400"));
  const link_client late(it.link_address);
  REQUIRE(late.servers.size() == 1);
  CHECK(late.servers[0].state == announced_state::ready);
}

TEST_CASE("a drain is confirmed once every connected gateway acknowledged it") {
  const control_fixture it;
  link_client client(it.link_address);
  it.call("POST", "/v1/Replicas.Heartbeat/i-1", report_body("ready", 1));
  SECTION("confirmed after the acknowledgement") {
    test_caller caller(it.api_address);
    const auto body = report_body("draining", 2);
    caller.send(
        "POST /v1/Replicas.Heartbeat/i-1 HTTP/1.1\r\nHost: c\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
    REQUIRE(wait_until([&] {
      return !client.servers.empty() &&
             client.servers.back().state == announced_state::draining;
    }));
    caller.read();
    CHECK(caller.received.empty());
    client.acknowledge(0);
    REQUIRE(caller.wait_for("\r\n\r\n"));
    CHECK(starts_with_status(caller.received, "200"));
  }
  SECTION("rejected without an acknowledgement") {
    CHECK(starts_with_status(it.call("POST", "/v1/Replicas.Deregister/i-1"), "503"));
  }
  SECTION("confirmed when the gateway has disconnected") {
    client.connection->abort();
    run_event_loop(std::chrono::milliseconds(50));
    CHECK(starts_with_status(it.call("POST", "/v1/Replicas.Deregister/i-1"), "200"));
  }
}

// Guards against a server that leaves and is confirmed before every gateway knows it,
// since its first report went without a confirmation.
TEST_CASE("a repeated drain waits for the gateways as the first one does") {
  const control_fixture it;
  const link_client client(it.link_address);
  it.call("POST", "/v1/Replicas.Heartbeat/i-1", report_body("ready", 1));
  const auto drain = [&](int sequence) {
    return it.call("POST", "/v1/Replicas.Heartbeat/i-1",
                   report_body("draining", sequence));
  };
  CHECK(starts_with_status(drain(2), "503"));
  // Otherwise the link counts as lost.
  client.connection->send(wire::encode_link(wire::UpdateAckT()));
  CHECK(starts_with_status(drain(3), "503"));
}
