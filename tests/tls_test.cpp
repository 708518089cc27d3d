#include "marigoldstep/io/framed_connection.h"
#include "marigoldstep/io/tls.h"
#include "marigoldstep/wire.h"

#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QFile>
#include <QSslKey>
#include <QSslSocket>

using namespace marigoldstep;
using namespace marigoldstep::io;

namespace {

constexpr int wait_ms = 5000;

std::string certificate_file(const std::string& name) {
  return std::string(MARIGOLDSTEP_CERTIFICATE_DIR) + "/" + name;
}

tls_files files_of(const std::string& node) {
  return {certificate_file(node + ".pem"), certificate_file(node + ".key"),
          certificate_file("authority.pem")};
}

template <typename Condition> bool wait_for(Condition condition, int limit_ms = wait_ms) {
  QElapsedTimer timer;
  timer.start();
  while (!condition() && timer.elapsed() < limit_ms) {
    QCoreApplication::processEvents(QEventLoop::AllEvents | QEventLoop::WaitForMoreEvents,
                                    50);
  }
  return condition();
}

bytes make_hello_frame() {
  wire::HelloT body;
  body.node_id = "r1";
  return wire::encode(wire::data_frame(std::move(body), 1));
}

struct counting_listener {
  framed_listener listener{nullptr};
  int accepted = 0;
  int frames = 0;

  counting_listener() {
    listener.on_connection = [this](framed_connection* connection) {
      ++accepted;
      connection->on_frame = [this](byte_view) { ++frames; };
    };
    REQUIRE_FALSE(listener.listen("127.0.0.1", 0));
  }
};

// Connects like a process outside the fleet. Returns whether the listener closed the
// connection. Sends a frame if the handshake succeeds.
bool is_disconnected(std::uint16_t port, const QSslConfiguration& config) {
  QSslSocket socket;
  socket.setSslConfiguration(config);
  QObject::connect(&socket, &QSslSocket::encrypted, &socket, [&socket] {
    const auto frame = make_hello_frame();
    socket.write(reinterpret_cast<const char*>(frame.data()), qint64(frame.size()));
  });
  socket.connectToHostEncrypted("127.0.0.1", port);
  return wait_for([&] { return socket.state() == QAbstractSocket::UnconnectedState; });
}

} // namespace

// Guards against access to an internal port by a process without the fleet's keys.
TEST_CASE("internal ports accept only processes of the fleet") {
  int argc = 0;
  QCoreApplication app(argc, nullptr);
  REQUIRE_FALSE(use_tls(files_of("node-a")));
  counting_listener server;

  SECTION("a node with a certificate of the fleet can send frames") {
    framed_connection client("127.0.0.1", server.listener.port(), nullptr);
    client.on_open = [&] { client.send(make_hello_frame()); };
    CHECK(wait_for([&] { return server.frames == 1; }));
  }
  SECTION("a plain TCP peer is disconnected") {
    QTcpSocket socket;
    socket.connectToHost("127.0.0.1", server.listener.port());
    REQUIRE(socket.waitForConnected(wait_ms));
    const auto frame = make_hello_frame();
    socket.write(reinterpret_cast<const char*>(frame.data()), qint64(frame.size()));
    CHECK(wait_for([&] { return socket.state() == QAbstractSocket::UnconnectedState; }));
    CHECK(server.accepted == 0);
  }
  SECTION("a TLS peer without a certificate is disconnected") {
    QSslConfiguration config;
    config.setPeerVerifyMode(QSslSocket::VerifyNone);
    CHECK(is_disconnected(server.listener.port(), config));
    CHECK(server.frames == 0);
    CHECK(server.accepted == 0);
  }
  SECTION("a peer with a certificate of another authority is disconnected") {
    QFile certificate(QString::fromStdString(certificate_file("other/outsider.pem")));
    QFile key(QString::fromStdString(certificate_file("other/outsider.key")));
    REQUIRE(certificate.open(QIODevice::ReadOnly));
    REQUIRE(key.open(QIODevice::ReadOnly));
    QSslConfiguration config;
    config.setPeerVerifyMode(QSslSocket::VerifyNone);
    config.setLocalCertificate(QSslCertificate(&certificate));
    config.setPrivateKey(QSslKey(&key, QSsl::Ec));
    CHECK(is_disconnected(server.listener.port(), config));
    CHECK(server.accepted == 0);
  }
}

// Guards against a fleet that must restart to replace its keys, and against an invalid
// key file that disconnects a running process.
TEST_CASE("replaced keys are loaded without a restart, and invalid ones are ignored") {
  int argc = 0;
  QCoreApplication app(argc, nullptr);
  const auto path = [](const char* name) { return QString("rotating.%1").arg(name); };
  const auto install = [&](const std::string& node) {
    for (const auto* it : {"pem", "key"}) {
      QFile::remove(path(it));
      const auto from = certificate_file(node + "." + it);
      REQUIRE(QFile::copy(QString::fromStdString(from), path(it)));
      QFile file(path(it));
      REQUIRE(file.open(QIODevice::ReadWrite));
      // The copies may have equal time stamps, but a replacement is detected by a changed
      // one.
      static qint64 offset_s = 0;
      file.setFileTime(QDateTime::currentDateTime().addSecs(++offset_s),
                       QFileDevice::FileModificationTime);
    }
  };
  install("node-a");
  REQUIRE_FALSE(
      use_tls({"rotating.pem", "rotating.key", certificate_file("authority.pem")}));
  const auto first = tls_configuration().localCertificate();

  install("node-b");
  CHECK(wait_for([&] { return tls_configuration().localCertificate() != first; }));
  const auto second = tls_configuration().localCertificate();

  QFile::remove(path("pem"));
  QFile invalid_file(path("pem"));
  REQUIRE(invalid_file.open(QIODevice::WriteOnly));
  invalid_file.write("no certificate");
  invalid_file.close();
  // Time for two checks of the files, at one per second.
  constexpr int two_checks_ms = 2500;
  CHECK_FALSE(wait_for([&] { return tls_configuration().localCertificate() != second; },
                       two_checks_ms));
}
