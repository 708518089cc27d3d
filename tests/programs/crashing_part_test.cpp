#include <catch2/catch.hpp>

#include "control_group.h"

#include <QTcpServer>
#include <QTimer>

using namespace marigoldstep;
using namespace marigoldstep::control::test;
using gateway::test::gateway_fixture;

namespace {

constexpr auto stable_window = milliseconds(3000);
// Part of the prompts of harmful requests only, and the one that all requests share.
const std::string harmful_part = "bad0";
const std::string common_part = "aa1";

// A backend server that ends, and takes all its connections with it, when it has sent a
// piece of a response to a request with the harmful part. It is back later as another
// incarnation at its address.
class crashing_server : public QObject {
public:
  crashing_server(int index, std::function<void(const announced_server&)> report)
      : index_(index), report_(std::move(report)) {
    connect(&server_, &QTcpServer::newConnection, this, [this] { accept(); });
    connect(&report_timer_, &QTimer::timeout, this, [this] { send_report(); });
    start();
  }

  bool is_harmed = true;              // by requests with the harmful part
  std::string version = "v1";         // of the next incarnation
  std::vector<time_point> ends;       // of its incarnations
  std::vector<time_point> harmful_at; // arrivals of requests with the harmful part

  // Ends as a process does that is killed.
  void crash() {
    ends.push_back(io::now());
    report_timer_.stop();
    server_.close();
    for (auto* it : findChildren<QTcpSocket*>()) {
      it->disconnect(this);
      it->abort();
      it->deleteLater();
    }
    QTimer::singleShot(restart_delay_ms, this, [this] { start(); });
  }

private:
  static constexpr int restart_delay_ms = 700;
  static constexpr int report_interval_ms = 500;
  static constexpr int event_count = 4;
  static constexpr int event_interval_ms = 30;

  void start() {
    const auto host = QHostAddress("127.68.0." + QString::number(index_));
    REQUIRE(server_.listen(host, port_));
    port_ = server_.serverPort();
    ++starts_;
    sequence_ = 0;
    send_report();
    report_timer_.start(report_interval_ms);
  }

  void send_report() {
    announced_server out;
    out.id = "s" + std::to_string(index_) + "-" + std::to_string(starts_);
    out.started = starts_;
    out.sequence = ++sequence_;
    out.service = "s";
    out.host = "127.68.0." + std::to_string(index_);
    out.port = port_;
    out.zone = "z";
    out.slots = 8;
    out.version = version;
    report_(out);
  }

  void accept() {
    while (auto* socket = server_.nextPendingConnection()) {
      socket->setParent(this);
      connect(socket, &QTcpSocket::readyRead, this, [this, socket] {
        const auto text = socket->readAll().toStdString();
        if (text.find("\r\n\r\n") != std::string::npos) {
          respond(socket, text);
        }
      });
    }
  }

  void respond(QTcpSocket* socket, const std::string& request) {
    const std::string field = "Marigoldstep-Request-Id: ";
    const auto from = request.find(field) + field.size();
    const auto id = request.substr(from, request.find("\r\n", from) - from);
    const bool is_harmful = request.find(harmful_part + ":") != std::string::npos;
    if (is_harmful) {
      harmful_at.push_back(io::now());
    }
    auto head = gateway::test::stream_head();
    head.replace(head.find("{id}"), 4, id);
    write(socket, head + gateway::test::chunk("id: 1\nda"));
    if (is_harmful && is_harmed) {
      QTimer::singleShot(event_interval_ms, socket, [this] { crash(); });
      return;
    }
    send_events(socket, 1);
  }

  static void write(QTcpSocket* socket, const std::string& text) {
    socket->write(QByteArray::fromStdString(text));
    socket->flush();
  }

  void send_events(QTcpSocket* socket, int n) {
    QTimer::singleShot(event_interval_ms, socket, [this, socket, n] {
      write(socket,
            gateway::test::chunk((n == 1 ? "ta: e1\n\n" : gateway::test::event(n))));
      if (n < event_count) {
        send_events(socket, n + 1);
      } else {
        write(socket, "0\r\n\r\n");
      }
    });
  }

  QTcpServer server_;
  QTimer report_timer_;
  int index_;
  std::uint16_t port_ = 0;
  std::uint64_t starts_ = 0;
  std::uint64_t sequence_ = 0;
  std::function<void(const announced_server&)> report_;
};

struct caller_result {
  time_point sent_at{};
  std::string prompt;
  std::string received;
  bool is_over = false;
  [[nodiscard]] bool is_served() const { return received.ends_with("\r\n0\r\n\r\n"); }
};

// Control processes, gateways and crashing servers, with callers that send a request
// each.
struct fleet {
  control_group group;
  std::vector<std::unique_ptr<crashing_server>> servers;
  std::vector<std::unique_ptr<prometheus::Registry>> registries;
  std::vector<std::unique_ptr<gateway::gateway>> gateways;
  std::vector<io::endpoint> addresses;
  std::vector<std::unique_ptr<caller_result>> results;
  std::vector<std::unique_ptr<QTcpSocket>> sockets;
  int request_count = 0;

  fleet(int control_processes, int gateway_count, int server_count) {
    test_application();
    group.start_all(control_processes);
    REQUIRE(group.store(1, 1).starts_with("HTTP/1.1 200"));
    for (int i = 1; i <= server_count; ++i) {
      servers.push_back(std::make_unique<crashing_server>(
          i, [this](const announced_server& it) { report(it); }));
    }
    for (int i = 1; i <= gateway_count; ++i) {
      start_gateway(i);
    }
    REQUIRE(wait_until([&] {
      return std::all_of(gateways.begin(), gateways.end(), [&](const auto& it) {
        return it->is_ready() && it->directory.entries.size() == servers.size();
      });
    }));
  }

  void start_gateway(int i) {
    gateway::gateway_settings settings;
    settings.node_id = "g" + std::to_string(i);
    settings.zone = "z";
    settings.host = "127.67.2." + std::to_string(i);
    settings.listen = gateway_fixture::free_address();
    settings.listen_ready = gateway_fixture::free_address();
    settings.first_port = static_cast<std::uint16_t>(
        group.link_port - static_cast<std::uint16_t>(io::fleet_port::links));
    for (const auto& [n, it] : group.processes) {
      settings.seeds.push_back({control_group::host(n), 1});
    }
    settings.retries = {1.0, 100, milliseconds(10'000)};
    registries.push_back(std::make_unique<prometheus::Registry>());
    addresses.push_back(settings.listen);
    gateways.push_back(
        std::make_unique<gateway::gateway>(settings, *registries.back(), nullptr));
    REQUIRE_FALSE(gateways.back()->start());
  }

  void report(const announced_server& server) {
    const auto at = group.leader();
    if (at != 0) {
      group.processes.at(at).links->handle_report(server, [](bool) {});
    }
  }

  // Sends a request whose prompt consists of these parts and one of its own.
  void send(const std::vector<std::string>& parts) {
    const auto n = ++request_count;
    std::string prompt;
    for (const auto& it : parts) {
      prompt += it + ":100,";
    }
    prompt += std::to_string(1'000'000 + n) + ":50";
    results.push_back(std::make_unique<caller_result>());
    auto* result = results.back().get();
    result->sent_at = io::now();
    result->prompt = prompt;
    sockets.push_back(std::make_unique<QTcpSocket>());
    auto* socket = sockets.back().get();
    const auto& to = addresses[static_cast<std::size_t>(n) % addresses.size()];
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket, result] {
      result->received += socket->readAll().toStdString();
    });
    QObject::connect(socket, &QTcpSocket::disconnected, socket,
                     [result] { result->is_over = true; });
    socket->connectToHost(QString::fromStdString(to.host), to.port);
    socket->write(QByteArray::fromStdString(gateway::test::request_text(
        "POST", "/prompt/x", "r" + std::to_string(n),
        "Connection: close\r\nMarigoldstep-Prompt-Prefix: " + prompt + "\r\n", "x")));
  }

  // Sends sound requests at 24 a second and harmful ones at 8 a second for this time.
  void send_load(milliseconds time, bool with_harmful) {
    const auto until = io::now() + time;
    for (int i = 0; io::now() < until; ++i) {
      const auto document = "d" + std::to_string(i % 7);
      send({common_part, document});
      if (with_harmful && i % 3 == 0) {
        send(i % 2 == 0 ? std::vector{common_part, harmful_part, document}
                        : std::vector{harmful_part, common_part});
      }
      run_event_loop(std::chrono::milliseconds(42));
    }
  }

  [[nodiscard]] std::vector<time_point> ends() const {
    std::vector<time_point> out;
    for (const auto& it : servers) {
      out.insert(out.end(), it->ends.begin(), it->ends.end());
    }
    std::sort(out.begin(), out.end());
    return out;
  }

  // Requests with the harmful part that reached servers after a time.
  [[nodiscard]] std::ptrdiff_t harmful_after(time_point at) const {
    std::ptrdiff_t n = 0;
    for (const auto& it : servers) {
      n += std::count_if(it->harmful_at.begin(), it->harmful_at.end(),
                         [&](auto arrival) { return arrival > at; });
    }
    return n;
  }

  // Share of the sound requests sent in this time that were served.
  [[nodiscard]] double served_share(time_point from, time_point until) const {
    double served = 0;
    double all = 0;
    for (const auto& it : results) {
      if (it->sent_at >= from && it->sent_at < until &&
          it->prompt.find(harmful_part) == std::string::npos) {
        ++all;
        served += it->is_served() ? 1 : 0;
      }
    }
    return all == 0 ? 0 : served / all;
  }
};

} // namespace

TEST_CASE("requests with a part that crashes servers don't reach further servers") {
  fleet it(3, 3, 9);
  const auto began_at = io::now();
  it.send_load(milliseconds(2000), false);
  const auto harmful_from = io::now();
  it.send_load(milliseconds(9000), true);
  const auto ended_at = io::now();
  run_event_loop(std::chrono::milliseconds(1000));
  const auto ends = it.ends();
  REQUIRE(ends.size() >= 3);
  const auto fifth = ends[std::min<std::size_t>(4, ends.size() - 1)];
  REQUIRE(fifth + 2 * stable_window < ended_at);
  CHECK(it.harmful_after(fifth + stable_window) <= 3);
  const auto before = it.served_share(began_at, harmful_from);
  CHECK(before > 0.9);
  CHECK(it.served_share(fifth + 2 * stable_window, ended_at) >= before / 2);
}

TEST_CASE("a leader and gateways that start later refuse a quarantined part") {
  fleet it(3, 2, 9);
  it.send_load(milliseconds(1000), false);
  const auto is_quarantined = [&] {
    return std::all_of(it.gateways.begin(), it.gateways.end(), [](const auto& gateway) {
      return gateway->parts.quarantine.size() == 1;
    });
  };
  for (int i = 0; i < 30 && !is_quarantined(); ++i) {
    it.send_load(milliseconds(500), true);
  }
  REQUIRE(is_quarantined());
  run_event_loop(std::chrono::milliseconds(1000));
  const auto quarantined_at = io::now();
  const auto leader = it.group.leader();
  it.group.kill(leader);
  it.start_gateway(3);
  REQUIRE(wait_until([&] { return it.group.leader() != 0 && is_quarantined(); }));
  it.send_load(milliseconds(2000), true);
  CHECK(it.harmful_after(quarantined_at) == 0);
  auto& links = *it.group.processes.at(it.group.leader()).links;
  CHECK(links.quarantine_json().find(R"({"part":"bad0",)") != std::string::npos);
  CHECK_FALSE(links.lift_quarantined("bad1"));
  CHECK_FALSE(links.lift_quarantined("no part"));
  CHECK(links.lift_quarantined("bad0"));
  CHECK(links.quarantine_json() == "[]\n");
  CHECK(wait_until([&] {
    return std::all_of(it.gateways.begin(), it.gateways.end(), [](const auto& gateway) {
      return gateway->parts.quarantine.empty();
    });
  }));
  CHECK(it.served_share(quarantined_at, io::now() - milliseconds(500)) > 0.9);
}

TEST_CASE("servers that end by chance keep all parts in use") {
  fleet it(3, 3, 9);
  const auto began_at = io::now();
  for (std::size_t i = 0; i < 10; ++i) {
    it.send_load(milliseconds(500), false);
    it.servers[i % it.servers.size()]->crash();
  }
  const auto ended_at = io::now();
  run_event_loop(std::chrono::milliseconds(1000));
  for (const auto& gateway : it.gateways) {
    CHECK(gateway->parts.quarantine.empty());
    CHECK(gateway->metrics.quarantined_requests.Value() == 0);
  }
  CHECK(it.served_share(began_at, ended_at) > 0.9);
}
