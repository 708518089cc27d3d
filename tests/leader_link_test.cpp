#include <catch2/catch.hpp>

#include "event_loop.h"
#include "loopback_address.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/control_links.h"

// Guards against requests that go to a deposed leader whose connection fell silent, while
// another process leads.

using namespace marigoldstep;

namespace {

constexpr std::uint32_t heartbeat_ms = 1200; // as with 300 VMs

// A control process that claims to lead and confirms its version.
struct claimed_leader {
  claimed_leader(const std::string& host, std::uint16_t port, std::uint64_t confirmed)
      : version(confirmed) {
    listener.on_connection = [this](io::framed_connection* it) {
      connection = it;
      it->on_frame = [this](byte_view buf) { handle(buf); };
    };
    REQUIRE_FALSE(listener.listen(QString::fromStdString(host), port));
  }

  void handle(byte_view buf) {
    std::error_code ec;
    const auto frame = wire::decode_link(buf, ec);
    if (frame->body.AsSubscribe() != nullptr) {
      subscribed = true;
      send_status();
    } else if (const auto* request = frame->body.AsConfirmVersion(); request && !silent) {
      wire::VersionConfirmedT reply;
      reply.token = request->token;
      reply.version = version;
      connection->send(wire::encode_link(reply));
    }
  }

  void send_status() {
    wire::GroupStatusT status;
    status.leads = status.has_leader = status.confirmed = true;
    status.heartbeat_ms = heartbeat_ms;
    connection->send(wire::encode_link(std::move(status)));
  }

  io::framed_listener listener{nullptr};
  io::framed_connection* connection = nullptr;
  std::uint64_t version;
  bool subscribed = false;
  bool silent = false;
};

} // namespace

TEST_CASE("a request goes to the leader that is heard, not to a silent one") {
  test_application();
  const auto port = free_port_on_own_host();
  claimed_leader first(own_loopback_host(50), port, 1);
  claimed_leader second(own_loopback_host(51), port, 2);
  const bool first_is_silent = GENERATE(true, false);
  auto& deposed = first_is_silent ? first : second;
  auto& leader = first_is_silent ? second : first;
  io::control_links links(
      {"n", false, "", port, "z", {own_loopback_host(50), own_loopback_host(51)}},
      nullptr);
  REQUIRE_FALSE(links.start());
  REQUIRE(wait_until(
      [&] { return links.open_links() == 2 && first.subscribed && second.subscribed; }));
  run_event_loop(std::chrono::milliseconds(100));
  deposed.silent = true;
  run_event_loop(std::chrono::milliseconds(heartbeat_ms));
  leader.send_status();
  run_event_loop(std::chrono::milliseconds(100));
  REQUIRE(links.open_links() == 2);
  std::optional<std::uint64_t> confirmed;
  links.confirm_version([&](std::uint64_t version) { confirmed = version; });
  REQUIRE(wait_until([&] { return confirmed.has_value(); }));
  CHECK(*confirmed == leader.version);
}
