#include "loopback_address.h"
#include "loopback_proxy.h"
#include "programs/agent_harness.h"

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QProcess>
#include <QTemporaryDir>

using namespace agent_harness;

namespace {

constexpr std::size_t large_body_bytes = 1'000'000;

QByteArray large_response() {
  QByteArray body(large_body_bytes, 'x');
  for (qsizetype i = 0; i < body.size(); ++i) {
    body[i] = static_cast<char>('a' + i % 23);
  }
  return body;
}

// Posts to the admin port and returns the HTTP status.
int post(std::uint16_t port, const char* path, const QByteArray& body) {
  QNetworkAccessManager manager;
  QNetworkRequest request(QUrl(QString("http://127.0.0.1:%1%2").arg(port).arg(path)));
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  const std::unique_ptr<QNetworkReply> reply(manager.post(request, body));
  REQUIRE(wait_for([&] { return reply->isFinished(); }));
  return reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
}

} // namespace

// Guards against a slow caller that causes unbounded buffering in the router.
TEST_CASE("at most the send window is sent beyond the acknowledged offset") {
  agent_fixture fixture;
  auto& node = fixture.start();
  const auto response = large_response();
  fixture.backend->on_call = [&response](fake_backend::call& call) {
    fake_backend::write(call, fake_backend::complete_response(response), true);
  };
  fake_router router(node.port());
  router.auto_acknowledge = false;
  const auto id = io::make_attempt_id();
  router.send(router.make_start(id));
  // The agent has the complete response, so only the window limits what it sends.
  REQUIRE(wait_for([&] { return node.runner().running() == 0 && !router.body.empty(); }));
  for (std::size_t acknowledged = 0;
       acknowledged + send_window_bytes < large_body_bytes;) {
    const auto allowed = acknowledged + send_window_bytes;
    REQUIRE(wait_for([&] { return router.body.size() == allowed; }));
    // A data frame beyond the window would arrive before the reply to this frame.
    router.send_for_attempt<wire::CancelAttemptT>(io::make_attempt_id());
    REQUIRE(router.wait_for_end());
    REQUIRE(router.last_result() == "may_have_run/unknown_attempt");
    REQUIRE(router.body.size() == allowed);
    router.ends.clear();
    acknowledged += 100'000;
    router.acknowledge(id, acknowledged);
  }
  REQUIRE(router.wait_for_end());
  CHECK(router.last_result() == "completed/ok");
  CHECK(router.body == response.toStdString());
}

// Guards against a response that is lost with the connection to a router, and against
// missing or repeated bytes at the resume offset.
TEST_CASE("a response is resumed over another connection") {
  agent_fixture fixture;
  auto& node = fixture.start();
  const auto response = large_response();
  fake_backend::call* running = nullptr;
  fixture.backend->on_call = [&](fake_backend::call& call) {
    running = &call;
    fake_backend::write(call, fake_backend::complete_response(response).left(200'000),
                        false);
  };
  const auto id = io::make_attempt_id();
  std::string first;
  {
    fake_router router(node.port());
    router.send(router.make_start(id));
    REQUIRE(wait_for([&] { return router.body.size() > 100'000; }));
    first = router.body.substr(0, 70'000);
  }
  fake_router other(node.port());
  other.resume(id, first.size());
  REQUIRE(wait_for([&] { return other.body.size() > 100'000; }));
  fake_backend::write(*running, fake_backend::complete_response(response).mid(200'000),
                      true);
  REQUIRE(other.wait_for_end());
  CHECK(other.last_result() == "completed/ok");
  CHECK(first + other.body == response.toStdString());
  CHECK(fixture.backend->calls.size() == 1);
}

// Guards against an engine that continues after its caller disconnected, and against a
// slot that is never freed.
TEST_CASE("a detached or cancelled attempt is aborted and its slot freed") {
  agent_fixture fixture;
  fixture.settings.idle_timeout = milliseconds(60'000);
  auto& node = fixture.start();
  fixture.backend->on_call = [](fake_backend::call& call) {
    fake_backend::write(call, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhe", false);
  };
  fake_router router(node.port());
  const auto id = io::make_attempt_id();
  auto start = router.make_start(id);
  start.deadline_ms = 60'000;
  router.send(std::move(start));
  REQUIRE(wait_for([&] { return router.body == "he"; }));
  const auto began = io::now();
  SECTION("a detached one after the resume window") {
    router.send_for_attempt<wire::DetachAttemptT>(id);
    REQUIRE(wait_for([&] { return fixture.backend->calls[0]->closed; }));
    CHECK(io::now() - began >= milliseconds(400));
  }
  SECTION("a cancelled one immediately") {
    router.send_for_attempt<wire::CancelAttemptT>(id);
    REQUIRE(wait_for([&] { return fixture.backend->calls[0]->closed; }));
    REQUIRE(router.wait_for_end());
    CHECK(router.last_result() == "may_have_run/request_cancelled");
  }
  CHECK(wait_for([&] { return node.runner().load() == 0; }));
}

// Guards against a claim that is never settled because the caller of a running call
// cancelled it.
TEST_CASE("a cancelled non-repeatable call still settles its claim") {
  agent_fixture fixture;
  auto& node = fixture.start();
  fake_backend::call* running = nullptr;
  fixture.backend->on_call = [&](fake_backend::call& call) { running = &call; };
  fake_router router(node.port());
  const auto id = io::make_attempt_id();
  router.send(router.make_non_repeatable_start(id));
  REQUIRE(wait_for([&] { return running != nullptr; }));
  router.send_for_attempt<wire::CancelAttemptT>(id);
  REQUIRE(router.wait_for_end());
  CHECK(router.last_result() == "may_have_run/request_cancelled");
  fake_backend::write(*running, fake_backend::complete_response("booked"), true);
  REQUIRE(wait_for(
      [&] { return fixture.control->count_claims(wire::ClaimKind::complete) == 1; }));
}

// Guards against load above the bound, and against queued attempts that are lost while
// others are refused.
TEST_CASE("attempts above the load bound are refused and the others run") {
  agent_fixture fixture;
  fixture.settings.idle_timeout = milliseconds(60'000);
  auto& node = fixture.start(); // mean load 4, load multiple 1.25, two slots
  std::vector<fake_backend::call*> running;
  fixture.backend->on_call = [&](fake_backend::call& call) { running.push_back(&call); };
  fake_router router(node.port());
  for (int i = 0; i < 8; ++i) {
    router.send(router.make_start(io::make_attempt_id()));
  }
  REQUIRE(wait_for([&] { return router.ends.size() == 3 && running.size() == 2; }));
  CHECK(router.last_result() == "not_run/load_limit_reached");
  CHECK(router.ends.back().retry_after_ms > 0);
  CHECK(router.load.running() == 2);
  CHECK(router.load.queued() == 3);
  CHECK(router.load.limit() == 5);
  // An agent at its bound requests the mean before the regular interval of 500 ms ends.
  auto heartbeats_seen = fixture.control->heartbeats;
  auto last_heartbeat_at = io::now();
  std::size_t sent = 8;
  REQUIRE(wait_for([&] {
    if (fixture.control->heartbeats == heartbeats_seen) {
      return false;
    }
    const bool early = io::now() - last_heartbeat_at < milliseconds(400);
    heartbeats_seen = fixture.control->heartbeats;
    last_heartbeat_at = io::now();
    router.send(router.make_start(io::make_attempt_id()));
    ++sent;
    return early;
  }));
  REQUIRE(wait_for([&] { return router.ends.size() == sent - 5; }));
  for (std::size_t served = 0; served < 5; ++served) {
    REQUIRE(wait_for([&] { return running.size() > served; }));
    fake_backend::write(*running[served], fake_backend::complete_response(""), true);
  }
  REQUIRE(wait_for([&] { return router.ends.size() == sent; }));
  CHECK(router.last_result() == "completed/ok");
}

// Guards against a drain that aborts a request, accepts new attempts or is not
// announced.
TEST_CASE("a draining agent finishes running attempts and refuses new ones") {
  agent_fixture fixture;
  auto& node = fixture.start();
  bool drained = false;
  node.on_drained = [&] { drained = true; };
  fake_backend::call* running = nullptr;
  fixture.backend->on_call = [&](fake_backend::call& call) { running = &call; };
  fake_router router(node.port());
  router.send(router.make_start(io::make_attempt_id()));
  REQUIRE(wait_for([&] { return running != nullptr; }));
  CHECK(post(node.admin_port(), "/drain", "") == 202);
  const auto began = io::now();
  REQUIRE(wait_for([&] { return router.received_draining; }));
  REQUIRE(wait_for([&] { return fixture.control->last_heartbeat.leaving; }));
  CHECK(io::now() - began < milliseconds(400)); // before the next regular heartbeat
  router.send(router.make_start(io::make_attempt_id()));
  REQUIRE(router.wait_for_end());
  CHECK(router.last_result() == "not_run/server_draining");
  CHECK_FALSE(drained);
  fake_backend::write(*running, fake_backend::complete_response("late"), true);
  REQUIRE(wait_for([&] { return drained; }));
  CHECK(router.last_result() == "completed/ok");
  CHECK(router.body == "late");
}

// Guards against an order of a superseded operator that reaches an engine which does not
// check fencing tokens itself.
TEST_CASE("orders with a stale fencing token are rejected") {
  agent_fixture fixture;
  auto& node = fixture.start();
  const auto order = [](int fencing) {
    return R"({"kind":"load_model","argument":"m2","fencing":)" +
           QByteArray::number(fencing) + "}";
  };
  CHECK(post(node.admin_port(), "/orders", order(7)) == 200);
  CHECK(post(node.admin_port(), "/orders", order(7)) == 409);
  CHECK(post(node.admin_port(), "/orders", order(6)) == 409);
  CHECK(post(node.admin_port(), "/orders", "{}") == 400);
  CHECK(fixture.backend->calls.size() == 1);
  CHECK(post(node.admin_port(), "/orders", order(8)) == 200);
  REQUIRE(fixture.backend->calls.size() == 2);
  CHECK(fixture.backend->calls[1]->head.startsWith("POST /admin/orders "));
  CHECK(fixture.backend->calls[1]->body.contains("\"fencing\":8"));
}

// Guards against an agent that starts with invalid settings, and against a stop signal
// that does not end the process.
TEST_CASE("mstep-agent rejects invalid settings and stops on SIGTERM") {
  agent_fixture fixture;
  const QTemporaryDir dir;
  const auto path = dir.filePath("agent.yaml");
  const auto control = std::to_string(fixture.control->listener.port());
  const auto write = [&path](const std::string& text) {
    QFile file(path);
    REQUIRE(file.open(QIODevice::WriteOnly));
    file.write(text.data(), static_cast<qint64>(text.size()));
  };
  // Ports below the range of ephemeral ports.
  const std::string usable = "node_id: a\nzone: z\nservice: pool\nmodels: [m]\n"
                             "listen: 127.0.0.1:29781\nadmin: 127.0.0.1:29782\n"
                             "backend: 127.0.0.1:29783\ncontrol: ['127.0.0.1:" +
                             control + "']\n";
  QProcess process;
  process.setProcessChannelMode(QProcess::MergedChannels);
  write(usable + "listne: x\n");
  process.start(MARIGOLDSTEP_BIN_DIR "/mstep-agent", {"--config", path});
  REQUIRE(process.waitForFinished(5000));
  CHECK(process.exitCode() == 2);
  CHECK(process.readAll().contains("agent.yaml:9: listne: unknown key"));
  write(usable);
  process.start(MARIGOLDSTEP_BIN_DIR "/mstep-agent", {"--config", path});
  REQUIRE(wait_for([&] { return fixture.control->last_heartbeat.config_version == 3; }));
  process.terminate();
  REQUIRE(wait_for([&] { return process.state() == QProcess::NotRunning; }));
  CHECK(process.exitStatus() == QProcess::NormalExit);
  CHECK(process.exitCode() == 0);
  CHECK(fixture.control->last_heartbeat.leaving);
}

namespace {

void greet(fake_router& router, incarnation started) {
  wire::HelloT hello;
  hello.node_id = "r1";
  hello.incarnation = started;
  hello.protocol = wire::data_protocol;
  router.send(std::move(hello));
}

} // namespace

// Guards against connections that their router gave up without the agent noticing.
TEST_CASE("a router's new connection replaces its earlier ones") {
  agent_fixture fixture;
  auto& node = fixture.start();
  fake_router first(node.port());
  fake_router other(node.port());
  fake_router second(node.port());
  bool first_closed = false;
  bool second_closed = false;
  first.connection->on_closed = [&](std::error_code) { first_closed = true; };
  second.connection->on_closed = [&](std::error_code) { second_closed = true; };
  greet(first, 5);
  REQUIRE(wait_for([&] { return node.links() == 3; }));
  greet(second, 5);
  CHECK(wait_for([&] { return first_closed && node.links() == 2; }));
  // A process that was replaced doesn't take the place of its successor.
  greet(other, 4);
  wait_for([&] { return second_closed; }, milliseconds(300));
  CHECK_FALSE(second_closed);
}

// Guards against a router that takes a large request over a slow link for silence.
TEST_CASE("an agent acknowledges a large request while its bytes arrive") {
  agent_fixture fixture;
  auto& node = fixture.start();
  const io::endpoint slow{own_loopback_host(50), free_port_on_own_host()};
  loopback_proxy proxy(slow.host, slow.port, "127.0.0.1", node.port());
  constexpr auto interval = std::chrono::milliseconds(20);
  proxy.limit_rate(500, interval); // 0.2 Mbit/s
  fake_router router(slow.port, slow.host);
  greet(router, 1);
  auto start = router.make_start(io::make_attempt_id());
  start.body.assign(100'000, 'q');
  router.send(std::move(start));
  auto heard = io::now();
  auto longest = milliseconds(0);
  auto received = router.connection->bytes_received();
  CHECK(wait_for([&] {
    if (router.connection->bytes_received() != received) {
      received = router.connection->bytes_received();
      longest = std::max(longest, io::now() - heard);
      heard = io::now();
    }
    return !router.ends.empty();
  }));
  CHECK(longest < milliseconds(1000));
}
