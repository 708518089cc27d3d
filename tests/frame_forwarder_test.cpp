#include <catch2/catch.hpp>

#include "event_loop.h"
#include "loopback_address.h"
#include "loopback_proxy.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/frame_forwarder.h"
#include "marigoldstep/io/link_messages.h"

// Guards against frames that are lost on a connection which fell silent without closing.

using namespace marigoldstep;
using direction = loopback_proxy::direction;

namespace {

constexpr auto stable_window = std::chrono::milliseconds(3000);
constexpr auto send_interval = std::chrono::milliseconds(100);
constexpr auto tick = std::chrono::milliseconds(20);

bytes make_frame(std::size_t n = 0) {
  wire::RoutingTextT text;
  text.packed_text.resize(n, 1);
  return wire::encode_link(std::move(text));
}

// Sends frames through a proxy.
struct forwarding {
  forwarding() { REQUIRE_FALSE(sender.listen(own_loopback_host(50))); }

  // Runs the event loop and sends a frame now and then until the condition holds.
  bool send_until(const std::function<bool()>& condition,
                  std::chrono::milliseconds timeout) {
    QElapsedTimer timer;
    timer.start();
    while (!condition()) {
      if (timer.elapsed() > timeout.count()) {
        return false;
      }
      sender.send({proxy_host}, make_frame());
      run_event_loop(send_interval);
    }
    return true;
  }

  QCoreApplication& application = test_application();
  std::uint16_t port = free_port_on_own_host();
  std::string proxy_host = own_loopback_host(51);
  std::string receiver_host = own_loopback_host(52);
  loopback_proxy proxy{proxy_host, port, receiver_host, port};
  io::frame_forwarder sender{port, nullptr};
};

// Receives like builds without acknowledgements.
struct older_receiver {
  older_receiver(const std::string& host, std::uint16_t port) {
    listener.on_connection = [this](io::framed_connection* it) {
      ++connections;
      it->on_frame = [this](byte_view) { ++received; };
    };
    REQUIRE_FALSE(listener.listen(QString::fromStdString(host), port));
  }

  io::framed_listener listener{nullptr};
  int connections = 0;
  int received = 0;
};

} // namespace

TEST_CASE("frames arrive again soon after a connection in use falls silent") {
  forwarding it;
  io::frame_forwarder receiver(it.port, nullptr);
  int received = 0;
  receiver.on_frame = [&](byte_view) { ++received; };
  REQUIRE_FALSE(receiver.listen(it.receiver_host));
  REQUIRE(it.send_until([&] { return received > 20; }, 2 * stable_window));
  it.proxy.silence(GENERATE(direction::both, direction::to_target));
  const int before = received;
  CHECK(it.send_until([&] { return received > before; }, stable_window));
}

TEST_CASE("frames to a router of an older build arrive again after silence") {
  forwarding it;
  older_receiver receiver(it.receiver_host, it.port);
  REQUIRE(it.send_until([&] { return receiver.received > 20; }, 2 * stable_window));
  it.proxy.silence(direction::both);
  const int before = receiver.received;
  CHECK(it.send_until([&] { return receiver.received > before; }, stable_window));
}

TEST_CASE("a router that acknowledges keeps its connection") {
  forwarding it;
  io::frame_forwarder receiver(it.port, nullptr);
  receiver.on_frame = [](byte_view) {};
  REQUIRE_FALSE(receiver.listen(it.receiver_host));
  const auto begun = io::now();
  it.send_until([&] { return io::now() - begun > 2 * stable_window; }, 3 * stable_window);
  CHECK(it.proxy.accepted() == 1);
}

TEST_CASE("a large frame arrives whole over a slow link") {
  forwarding it;
  constexpr int bytes_per_ms = 25; // 0.2 Mbit/s
  constexpr std::size_t frame_bytes = 305'000;
  it.proxy.limit_rate(bytes_per_ms * tick.count(), tick);
  io::frame_forwarder receiver(it.port, nullptr);
  std::size_t largest = 0;
  receiver.on_frame = [&](byte_view buf) { largest = std::max(largest, buf.size()); };
  REQUIRE_FALSE(receiver.listen(it.receiver_host));
  it.sender.send({it.proxy_host}, make_frame(frame_bytes));
  CHECK(wait_until([&] { return largest >= frame_bytes; }, std::chrono::seconds(20)));
}

TEST_CASE("a frame that a router of an older build receives slowly is not cut") {
  forwarding it;
  constexpr int bytes_per_ms = 800;
  constexpr std::size_t frame_bytes = 6'000'000; // more than socket buffers hold
  it.proxy.limit_rate(bytes_per_ms * tick.count(), tick);
  older_receiver receiver(it.receiver_host, it.port);
  it.sender.send({it.proxy_host}, make_frame(frame_bytes));
  CHECK(wait_until([&] { return receiver.received > 0; }, std::chrono::seconds(20)));
}
