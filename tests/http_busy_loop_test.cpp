#include "event_loop.h"
#include "loopback_address.h"
#include "marigoldstep/io/http_connection.h"

#include <catch2/catch.hpp>

#include <QTcpSocket>

#include <sys/socket.h>
#include <thread>

// Guards against a connection that is closed, or a request that gets 408, although its
// client has sent in time: the bytes wait in the kernel while the event loop is busy.

using namespace marigoldstep;

namespace {

constexpr auto timeout = milliseconds(300);
constexpr auto busy_time = milliseconds(400);
const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

// A listener that answers each request, and a client with an open connection.
struct connection_fixture {
  QCoreApplication& application = test_application(); // before any timer
  io::http_listener listener{nullptr};
  QTcpSocket client;
  std::string received;

  connection_fixture() {
    const auto host = own_loopback_host();
    const auto port = free_port_on_own_host();
    listener.limits.idle_timeout = timeout;
    listener.limits.header_timeout = timeout;
    listener.on_request = [](io::http_connection& from, const io::http_request&) {
      from.respond(200, {}, "done");
    };
    REQUIRE_FALSE(listener.listen(host, port));
    client.connectToHost(QString::fromStdString(host), port);
    client.write(request.data());
    REQUIRE(wait_for_response());
  }

  // Sends without a pass of the event loop, which the listener shares.
  void send_now(const std::string& text) const {
    REQUIRE(::send(static_cast<int>(client.socketDescriptor()), text.data(), text.size(),
                   0) == static_cast<ssize_t>(text.size()));
  }
  bool wait_for_response() {
    received.clear();
    wait_until([this] {
      received += client.readAll().toStdString();
      return received.ends_with("\r\n\r\ndone") ||
             client.state() == QAbstractSocket::UnconnectedState;
    });
    return received.starts_with("HTTP/1.1 200 ");
  }
};

} // namespace

TEST_CASE("an idle connection isn't closed while its next request waits unread") {
  connection_fixture it;
  it.send_now(request);
  SECTION("at a planned stop") {
    it.listener.close_after_responses();
    it.listener.close_idle();
  }
  SECTION("at the idle timeout") {
    std::this_thread::sleep_for(busy_time);
  }
  CHECK(it.wait_for_response());
}

TEST_CASE("a request whose rest waits unread gets no 408") {
  connection_fixture it;
  it.send_now(request.substr(0, 10));
  run_event_loop(milliseconds(50));
  it.send_now(request.substr(10));
  std::this_thread::sleep_for(busy_time);
  CHECK(it.wait_for_response());
}

TEST_CASE("an idle connection without a request is closed at a planned stop") {
  connection_fixture it;
  it.listener.close_idle();
  CHECK(
      wait_until([&] { return it.client.state() == QAbstractSocket::UnconnectedState; }));
}
