#include "control/service.h"
#include "event_loop.h"
#include "loopback_address.h"
#include "loopback_proxy.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/control_client.h"

#include <catch2/catch.hpp>

#include <QTemporaryDir>

// Guards against silent connections that keep nodes and operators away from control.

using namespace marigoldstep;
using direction = loopback_proxy::direction;

namespace {

struct control_process {
  control_process() {
    settings.data_dir = folder.path().toStdString();
    settings.listen = settings.advertise = {own_loopback_host(), free_port_on_own_host()};
    settings.listen_peer =
        settings.advertise_peer = {own_loopback_host(), free_port_on_own_host()};
    group = std::make_unique<control::replica>(settings, nullptr);
    service = std::make_unique<control::service>(*group, settings.operators, nullptr);
    REQUIRE_FALSE(service->listen(settings.listen));
    std::error_code ec;
    std::string detail;
    group->start(settings.advertise, ec, detail);
    REQUIRE_FALSE(ec);
    REQUIRE(wait_until([&] { return group->is_leader(); }));
  }
  ~control_process() {
    service->stop();
    group->stop();
  }

  QCoreApplication& application = test_application();
  QTemporaryDir folder;
  control::control_settings settings;
  std::unique_ptr<control::replica> group;
  std::unique_ptr<control::service> service;
};

// Whether a heartbeat, sent again after each node's timeout, is acknowledged in time.
bool is_served(io::control_client& client, std::chrono::milliseconds limit) {
  bool served = false;
  bool waiting = false;
  return wait_until(
      [&] {
        if (!waiting && !served) {
          waiting = true;
          wire::HeartbeatT heartbeat;
          heartbeat.node_id = "n";
          client.request(heartbeat, milliseconds(900), [&](io::control_result it) {
            waiting = false;
            served = it.reply && it.reply->body.AsHeartbeatAck() != nullptr;
          });
        }
        return served;
      },
      limit);
}

} // namespace

TEST_CASE("silent connections don't use up control's limit for good") {
  control_process it;
  it.service->max_connections = 8;
  std::vector<std::unique_ptr<QTcpSocket>> silent;
  while (silent.size() < 2 * it.service->max_connections) {
    silent.push_back(std::make_unique<QTcpSocket>());
    silent.back()->connectToHost(QString::fromStdString(it.settings.listen.host),
                                 it.settings.listen.port);
    run_event_loop(std::chrono::milliseconds(10));
  }
  io::control_client client({it.settings.listen}, nullptr);
  CHECK(is_served(client, std::chrono::milliseconds(5000)));
  CHECK(it.service->connections() <= it.service->max_connections);
}

TEST_CASE("connections in use are kept while silent ones press on control's limit") {
  control_process it;
  it.service->max_connections = 2;
  io::control_client client({it.settings.listen}, nullptr);
  REQUIRE(is_served(client, std::chrono::milliseconds(1000)));
  std::vector<std::unique_ptr<QTcpSocket>> silent;
  for (int i = 0; i < 20; ++i) {
    silent.push_back(std::make_unique<QTcpSocket>());
    silent.back()->connectToHost(QString::fromStdString(it.settings.listen.host),
                                 it.settings.listen.port);
    run_event_loop(std::chrono::milliseconds(200));
    CHECK(is_served(client, std::chrono::milliseconds(500)));
  }
}

TEST_CASE("a node replaces a connection to control that fell silent") {
  control_process it;
  const io::endpoint proxied{own_loopback_host(50), free_port_on_own_host()};
  loopback_proxy proxy(proxied.host, proxied.port, it.settings.listen.host,
                       it.settings.listen.port);
  io::control_client client({proxied}, nullptr);
  REQUIRE(is_served(client, std::chrono::milliseconds(1000)));
  proxy.silence(GENERATE(direction::both, direction::to_target, direction::to_client));
  CHECK(is_served(client, std::chrono::milliseconds(2000)));
}
