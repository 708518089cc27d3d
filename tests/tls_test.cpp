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

bytes hello() {
  wire::HelloT body;
  body.node_id = "r1";
  return wire::encode(wire::data_frame(std::move(body), 1));
}

struct listening {
  framed_listener listener{nullptr};
  int accepted = 0;
  int frames = 0;

  listening() {
    listener.on_connection = [this](framed_connection* connection) {
      ++accepted;
      connection->on_frame = [this](byte_view) { ++frames; };
    };
    REQUIRE_FALSE(listener.listen("127.0.0.1", 0));
  }
};

// Connects as a process outside the fleet would, and returns whether the
// listener ended the connection.
bool is_refused(std::uint16_t port, const QSslConfiguration& config) {
  QSslSocket socket;
  socket.setSslConfiguration(config);
  socket.connectToHostEncrypted("127.0.0.1", port);
  return wait_for([&] { return socket.state() == QAbstractSocket::UnconnectedState; });
}

} // namespace

// Guards against a process without the fleet's keys reaching an internal port.
TEST_CASE("internal ports accept only processes of the fleet") {
  int argc = 0;
  QCoreApplication app(argc, nullptr);
  REQUIRE_FALSE(use_tls(files_of("node-a")));
  listening server;

  SECTION("a node with the fleet's keys exchanges frames") {
    framed_connection client("127.0.0.1", server.listener.port(), nullptr);
    client.on_open = [&] { client.send(hello()); };
    CHECK(wait_for([&] { return server.frames == 1; }));
  }
  SECTION("a plain TCP peer is dropped") {
    QTcpSocket socket;
    socket.connectToHost("127.0.0.1", server.listener.port());
    REQUIRE(socket.waitForConnected(wait_ms));
    const auto frame = hello();
    socket.write(reinterpret_cast<const char*>(frame.data()), qint64(frame.size()));
    CHECK(wait_for([&] { return socket.state() == QAbstractSocket::UnconnectedState; }));
    CHECK(server.accepted == 0);
  }
  SECTION("a TLS peer without a certificate is dropped") {
    QSslConfiguration config;
    config.setPeerVerifyMode(QSslSocket::VerifyNone);
    CHECK(is_refused(server.listener.port(), config));
    CHECK(server.frames == 0);
  }
  SECTION("a certificate of another authority is dropped") {
    QFile certificate(QString::fromStdString(certificate_file("other/outsider.pem")));
    QFile key(QString::fromStdString(certificate_file("other/outsider.key")));
    REQUIRE(certificate.open(QIODevice::ReadOnly));
    REQUIRE(key.open(QIODevice::ReadOnly));
    QSslConfiguration config;
    config.setPeerVerifyMode(QSslSocket::VerifyNone);
    config.setLocalCertificate(QSslCertificate(&certificate));
    config.setPrivateKey(QSslKey(&key, QSsl::Ec));
    CHECK(is_refused(server.listener.port(), config));
    CHECK(server.accepted == 0);
  }
}

// Guards against a fleet that has to restart to replace its keys, and against a
// broken key file taking a running process off the network.
TEST_CASE("replaced keys are taken up without a restart") {
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
      // The copied time stamps may be equal; each replacement must differ.
      static qint64 shift = 0;
      file.setFileTime(QDateTime::currentDateTime().addSecs(++shift),
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
  QFile broken(path("pem"));
  REQUIRE(broken.open(QIODevice::WriteOnly));
  broken.write("no certificate");
  broken.close();
  // Two looks at the files, one a second.
  constexpr int two_checks_ms = 2500;
  CHECK_FALSE(wait_for([&] { return tls_configuration().localCertificate() != second; },
                       two_checks_ms));
}
