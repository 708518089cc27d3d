#pragma once

#include <catch2/catch.hpp>

#include "control_group.h"

#include <QTcpServer>
#include <QTimer>

// Control processes, gateways and backend servers that end under some requests.
namespace marigoldstep::control::test {

using gateway::test::gateway_fixture;

constexpr auto stable_window = milliseconds(3000);

// How the servers of a fleet respond, and when they end.
struct crash_behavior {
  // Whether a request, as the server gets it, is one under which it ends.
  std::function<bool(const std::string&)> is_harmful;
  bool sends_events = true; // otherwise one piece with a length
  int crash_delay_ms = 30;  // after a request has arrived
  int restart_delay_ms = 700;
};

// A backend server that ends, and takes all its connections with it, after it has got a
// harmful request; one that sends events has sent a piece of the response by then. It is
// back later as another incarnation at its address.
class crashing_server : public QObject {
public:
  crashing_server(int index, const crash_behavior& behavior,
                  std::function<void(const announced_server&)> report)
      : behavior_(behavior), index_(index), report_(std::move(report)) {
    connect(&server_, &QTcpServer::newConnection, this, [this] { accept(); });
    connect(&report_timer_, &QTimer::timeout, this, [this] { send_report(); });
    start();
  }

  bool is_harmed = true;              // by harmful requests
  std::string version = "v1";         // of the next incarnation
  std::vector<time_point> ends;       // of its incarnations
  std::vector<time_point> harmful_at; // arrivals of harmful requests

  // Ends as a process does that is killed.
  void crash() {
    if (!server_.isListening()) {
      return;
    }
    ends.push_back(io::now());
    report_timer_.stop();
    server_.close();
    for (auto* it : findChildren<QTcpSocket*>()) {
      it->disconnect(this);
      it->abort();
      it->deleteLater();
    }
    QTimer::singleShot(behavior_.restart_delay_ms, this, [this] { start(); });
  }

private:
  static constexpr int report_interval_ms = 500;
  static constexpr int event_count = 4;
  static constexpr int event_interval_ms = 30;

  void start() {
    REQUIRE(server_.listen(QHostAddress(QString::fromStdString(host())), port_));
    port_ = server_.serverPort();
    ++starts_;
    sequence_ = 0;
    send_report();
    report_timer_.start(report_interval_ms);
  }

  [[nodiscard]] std::string host() const {
    constexpr int first_server_host = 100;
    return own_network_host(first_server_host + index_);
  }

  void send_report() {
    announced_server out;
    out.id = "s" + std::to_string(index_) + "-" + std::to_string(starts_);
    out.started = starts_;
    out.sequence = ++sequence_;
    out.service = "s";
    out.host = host();
    out.port = port_;
    out.zone = "z";
    out.slots = 8;
    out.version = version;
    report_(out);
  }

  void accept() {
    while (auto* socket = server_.nextPendingConnection()) {
      socket->setParent(this);
      auto received = std::make_shared<std::string>();
      connect(socket, &QTcpSocket::readyRead, this, [this, socket, received] {
        *received += socket->readAll().toStdString();
        if (is_whole(*received)) {
          respond(socket, std::exchange(*received, {}));
        }
      });
    }
  }

  static bool is_whole(const std::string& request) {
    const auto end = request.find("\r\n\r\n");
    const std::string field = "Content-Length: ";
    const auto from = request.find(field);
    const auto size = from < end ? std::stoul(request.substr(from + field.size())) : 0;
    return end != std::string::npos && request.size() >= end + 4 + size;
  }

  void respond(QTcpSocket* socket, const std::string& request) {
    const std::string field = "Marigoldstep-Request-Id: ";
    const auto from = request.find(field) + field.size();
    const auto id = request.substr(from, request.find("\r\n", from) - from);
    const bool is_harmful = behavior_.is_harmful(request);
    if (is_harmful) {
      harmful_at.push_back(io::now());
    }
    auto text = behavior_.sends_events ? gateway::test::stream_head()
                                       : gateway::test::response_text("ok");
    text.replace(text.find("{id}"), 4, id);
    if (behavior_.sends_events) {
      write(socket, text + gateway::test::chunk("id: 1\nda"));
    }
    if (is_harmful && is_harmed) {
      QTimer::singleShot(behavior_.crash_delay_ms, socket, [this] { crash(); });
    } else if (behavior_.sends_events) {
      send_events(socket, 1);
    } else {
      QTimer::singleShot(event_interval_ms, socket,
                         [socket, text] { write(socket, text); });
    }
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

  const crash_behavior& behavior_;
  QTcpServer server_;
  QTimer report_timer_;
  int index_;
  std::uint16_t port_ = 0;
  std::uint64_t starts_ = 0;
  std::uint64_t sequence_ = 0;
  std::function<void(const announced_server&)> report_;
};

// A caller's request.
struct sent_request {
  std::string method = "GET";
  std::string target;
  std::string key = "KEY";
  std::string fields; // further ones, each with its line end
  std::string body;
  bool is_harmful = false;
};

struct caller_result {
  time_point sent_at{};
  bool is_harmful = false;
  std::string received;
  bool is_over = false;
  [[nodiscard]] bool is_served() const {
    return received.starts_with("HTTP/1.1 200") &&
           (received.ends_with("\r\n0\r\n\r\n") || received.ends_with("\r\n\r\nok"));
  }
};

// Control processes, gateways and crashing servers, with callers that send a request
// each.
struct crashing_fleet {
  crash_behavior behavior;
  control_group group;
  std::vector<std::unique_ptr<crashing_server>> servers;
  std::vector<std::unique_ptr<prometheus::Registry>> registries;
  std::vector<std::unique_ptr<gateway::gateway>> gateways;
  std::vector<io::endpoint> addresses;
  std::vector<std::unique_ptr<caller_result>> results;
  std::vector<std::unique_ptr<QTcpSocket>> sockets;
  int request_count = 0;

  crashing_fleet(crash_behavior behavior_of_servers, int control_processes,
                 int gateway_count, int server_count)
      : behavior(std::move(behavior_of_servers)) {
    test_application();
    group.start_all(control_processes);
    REQUIRE(group.store(1, 1).starts_with("HTTP/1.1 200"));
    for (int i = 1; i <= server_count; ++i) {
      servers.push_back(std::make_unique<crashing_server>(
          i, behavior, [this](const announced_server& it) { report(it); }));
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
    settings.host = control_group::gateway_host(i);
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

  // Sends a request through the next gateway, under an id of its own.
  void send(const sent_request& request) {
    const auto n = ++request_count;
    results.push_back(std::make_unique<caller_result>());
    auto* result = results.back().get();
    result->sent_at = io::now();
    result->is_harmful = request.is_harmful;
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
        request.method, request.target, "r" + std::to_string(n),
        "Connection: close\r\n" + request.fields, request.body, request.key)));
  }

  [[nodiscard]] std::vector<time_point> ends() const {
    std::vector<time_point> out;
    for (const auto& it : servers) {
      out.insert(out.end(), it->ends.begin(), it->ends.end());
    }
    std::sort(out.begin(), out.end());
    return out;
  }

  // Harmful requests that reached servers after a time.
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
      if (it->sent_at >= from && it->sent_at < until && !it->is_harmful) {
        ++all;
        served += it->is_served() ? 1 : 0;
      }
    }
    return all == 0 ? 0 : served / all;
  }
};

} // namespace marigoldstep::control::test
