#include <catch2/catch.hpp>

#include "event_loop.h"
#include "loopback_address.h"
#include "marigoldstep/io/http_connection.h"

#include <QTcpSocket>

// Guards against responses that are cut while a caller still reads them over a slow link.

using namespace marigoldstep;

namespace {

constexpr std::size_t body_bytes = 12'000'000; // more than socket buffers hold
constexpr qint64 buffer_bytes = 65'536;

struct fixture {
  QCoreApplication& application = test_application();
  std::string host = own_loopback_host();
  io::http_listener listener{nullptr};
  QTcpSocket caller;

  explicit fixture(const std::string& request) {
    const std::string body(body_bytes, 'x');
    listener.on_request = [body](io::http_connection& to, const io::http_request&) {
      to.respond(200, {}, body);
    };
    const auto port = free_port_on_own_host();
    REQUIRE_FALSE(listener.listen(host, port));
    caller.setReadBufferSize(buffer_bytes);
    REQUIRE(caller.bind(QHostAddress(QString::fromStdString(host))));
    caller.setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption,
                           QVariant(buffer_bytes));
    caller.connectToHost(QString::fromStdString(host), port);
    REQUIRE(
        wait_until([&] { return caller.state() == QAbstractSocket::ConnectedState; }));
    caller.write(QByteArray::fromStdString(request));
  }

  // Reads up to so many bytes a millisecond until the response or the connection ends.
  std::size_t read_slowly(qint64 bytes_per_ms) {
    constexpr auto interval = std::chrono::milliseconds(5);
    std::size_t received = 0;
    wait_until(
        [&] {
          received += static_cast<std::size_t>(
              caller.read(bytes_per_ms * interval.count()).size());
          run_event_loop(interval);
          return received >= body_bytes ||
                 (caller.state() == QAbstractSocket::UnconnectedState &&
                  caller.bytesAvailable() == 0);
        },
        std::chrono::seconds(20));
    return received;
  }
};

} // namespace

TEST_CASE("a response that ends its connection is not cut while its caller reads") {
  fixture it("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  CHECK(it.read_slowly(3000) >= body_bytes);
}

TEST_CASE("a response is not cut by the idle timeout while its caller reads") {
  fixture it("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  it.listener.limits.idle_timeout = milliseconds(1000);
  CHECK(it.read_slowly(3000) >= body_bytes);
}

TEST_CASE("a caller that stops reading its response is disconnected") {
  fixture it("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  it.listener.limits.idle_timeout = milliseconds(1000);
  CHECK(wait_until([&] { return it.listener.connections() == 1; }));
  CHECK(wait_until([&] { return it.listener.connections() == 0; },
                   std::chrono::seconds(4)));
}
