#include <catch2/catch.hpp>

#include "event_loop.h"
#include "loopback_address.h"

#include <QFile>
#include <QProcess>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTemporaryDir>

#include <csignal>
#include <string>
#include <vector>

namespace {

// Gateway process with a settings file that the test changes while it runs.
class gateway_process {
public:
  gateway_process() {
    test_application();
    QTcpServer probe;
    probe.listen(QHostAddress(QString::fromStdString(host())), 0);
    port_ = probe.serverPort();
    probe.close();
    write(settings("127.0.0.2:9", "0.2"));
    process_.setProcessChannelMode(QProcess::MergedChannels);
    process_.start(MARIGOLDSTEP_BIN_DIR "/mstep-gateway", {"--config", path()});
    REQUIRE(wait_for_log("event=started"));
  }

  ~gateway_process() {
    process_.kill();
    process_.waitForFinished();
  }

  static std::string host() { return own_network_host(1); }
  // ports start above the port for callers.
  [[nodiscard]] std::string settings(const std::string& seed, const std::string& ratio,
                                     const std::string& zone = "a") const {
    const auto at = [this](int offset) { return std::to_string(port_ + offset); };
    return "node_id: g\nzone: " + zone + "\nhost: " + host() + "\nlisten: " + host() +
           ":" + at(0) + "\nlisten_ready: " + host() + ":" + at(1) + "\nports: [\"" +
           at(2) + "\", \"" + at(9) + "\"]\nseeds: [\"" + seed +
           "\"]\nretry_budget: {ratio: " + ratio + "}\n";
  }

  void write(const std::string& text) {
    QFile file(path());
    REQUIRE(file.open(QIODevice::WriteOnly | QIODevice::Truncate));
    file.write(QByteArray::fromStdString(text));
  }
  void remove() { REQUIRE(QFile::remove(path())); }
  void hang_up() { ::kill(static_cast<pid_t>(process_.processId()), SIGHUP); }

  bool wait_for_log(const std::string& text) {
    return wait_until([&] { return log().find(text) != std::string::npos; },
                      std::chrono::seconds(5));
  }

  const std::string& log() {
    log_ += process_.readAll().toStdString();
    return log_;
  }
  int count(const std::string& text) {
    int n = 0;
    for (auto at = log().find(text); at != std::string::npos;
         at = log_.find(text, at + 1)) {
      ++n;
    }
    return n;
  }
  [[nodiscard]] bool is_running() const { return process_.state() == QProcess::Running; }
  [[nodiscard]] std::uint16_t port() const { return port_; }

private:
  [[nodiscard]] QString path() const { return folder_.filePath("settings.yaml"); }

  QTemporaryDir folder_;
  QProcess process_;
  std::string log_;
  std::uint16_t port_ = 0;
};

const std::string accepted = "event=settings_reloaded valid=true";
const std::string rejected = "event=settings_reloaded valid=false";

} // namespace

// A process that stopped, or took over half of a file, would lose its callers whenever
// an operator makes a mistake.
TEST_CASE("a settings file that cannot be used changes nothing and is reported once") {
  gateway_process it;
  const auto whole = it.settings("127.0.0.2:10", "0.3");
  const std::vector<std::string> unusable = {"",
                                             "node_id: [g\n",
                                             whole.substr(0, whole.size() / 2),
                                             whole + "unknown_key: 1\n",
                                             it.settings("127.0.0.2:10", "7"),
                                             std::string("\x00\xff", 2)};
  const auto text = unusable[GENERATE(range(0U, 6U))];
  it.write(text);
  REQUIRE(it.wait_for_log(rejected));
  CHECK_FALSE(wait_until([&] { return it.count(rejected) > 1; },
                         std::chrono::milliseconds(1500)));
  CHECK(it.count(accepted) == 0);
  CHECK(it.is_running());
  it.write(whole);
  CHECK(it.wait_for_log(accepted));
}

TEST_CASE("a settings file that vanishes changes nothing") {
  gateway_process it;
  it.remove();
  it.hang_up();
  REQUIRE(it.wait_for_log(rejected));
  CHECK(it.log().find("cannot be read") != std::string::npos);
  it.write(it.settings("127.0.0.2:10", "0.3"));
  CHECK(it.wait_for_log(accepted));
  CHECK(it.is_running());
}

// Signals come in series, and a file is often replaced while one is handled.
TEST_CASE("connections stay open through a series of reloads") {
  gateway_process it;
  QTcpSocket caller;
  caller.connectToHost(QString::fromStdString(gateway_process::host()), it.port());
  REQUIRE(wait_until([&] { return caller.state() == QAbstractSocket::ConnectedState; }));
  for (int i = 0; i < 20; ++i) {
    it.write(it.settings("127.0.0.2:" + std::to_string(10 + i), "0.3"));
    it.hang_up();
  }
  REQUIRE(it.wait_for_log(accepted));
  caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(wait_until([&] { return caller.bytesAvailable() > 0; }));
  CHECK(caller.state() == QAbstractSocket::ConnectedState);
  CHECK(it.is_running());
}

TEST_CASE("settings that cannot change at run time are named") {
  gateway_process it;
  it.write(it.settings("127.0.0.2:9", "0.4", "b"));
  it.hang_up();
  REQUIRE(it.wait_for_log("event=setting_needs_restart setting=zone"));
  CHECK(it.count("event=setting_needs_restart") == 1);
}
