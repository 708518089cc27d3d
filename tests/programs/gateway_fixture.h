#pragma once

#include "event_loop.h"
#include "gateway/gateway.h"
#include "loopback_address.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/fleet_ports.h"
#include "marigoldstep/io/text_compression.h"
#include "scripted_server.h"

#include <QTcpSocket>

#include <memory>
#include <string>
#include <vector>

namespace marigoldstep::gateway::test {

// A routing configuration of the given version: /safe/, /once/, /stream/, /resume/,
// /open/ and /prompt/ lead to service "s"; /open/ needs no API key, and requests to
// /prompt/ describe their prompts.
inline const std::string default_services = R"({"name":"s","max_conns":50})";
inline const std::string default_limits =
    R"({"header_bytes":2000,"body_bytes":3000000,"header_timeout_ms":400,)"
    R"("idle_timeout_ms":5000})";
constexpr auto default_route_timeout = milliseconds(800);
inline const std::string default_tenants =
    R"([{"name":"w","api_keys":["KEY"]},{"name":"v","api_keys":["KEY2"]}])";
inline std::string routing_text(std::uint64_t version,
                                const std::string& services = default_services,
                                const std::string& limits = default_limits,
                                milliseconds route_timeout = default_route_timeout,
                                const std::string& tenants = default_tenants) {
  const auto route = [route_timeout](const std::string& name, const std::string& type,
                                     const std::string& more) {
    return R"({"name":")" + name + R"(","host":"h","path_prefix":"/)" + name +
           R"(/","type":")" + type + R"(","timeout_ms":)" +
           std::to_string(route_timeout.count()) +
           R"(,"target_latency_ms":300,"service":"s","max_attempts":2)" + more + "}";
  };
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         route("safe", "safe", "") + "," + route("once", "unsafe", "") + "," +
         route("stream", "streaming", "") + "," +
         route("resume", "streaming", R"(,"can_resume":true)") + "," +
         route("open", "safe", R"(,"public":true)") + "," +
         route("prompt", "streaming", R"(,"can_resume":true,"sticky":true)") +
         R"(],"services":[)" + services + R"(],"limits":)" + limits + R"(,"tenants":)" +
         tenants + "}";
}

// A leading control process that serves one routing configuration.
class fake_control : public QObject {
public:
  fake_control() {
    test_application();
    // The port of the links is a fixed offset above the first port of the range.
    listener_.listen("127.0.0.1", 0);
    listener_.on_connection = [this](io::framed_connection* it) {
      connections_.push_back(it);
      it->on_frame = [this, it](byte_view buf) { handle(*it, buf); };
    };
  }

  std::uint64_t version = 1;               // 0: no configuration yet
  std::string services = default_services; // of the configuration
  std::string limits = default_limits;     // of the configuration
  milliseconds route_timeout = default_route_timeout;
  std::string tenants = default_tenants; // of the configuration
  std::vector<announced_server> servers;
  // Announces all servers but the first as silent, so that the gateway tries the first
  // one first. Among servers that are not silent it chooses at random.
  bool others_silent = true;
  // Versions that began streams, by stream_key(), and whether they are recorded and
  // found.
  std::map<std::uint64_t, std::string> streams;
  bool keeps_streams = true; // false: a process of an older build
  bool confirms_streams = true;
  bool finds_streams = true;
  // The version that this leader proves to have been the only one.
  std::optional<std::string> sole;
  evacuated_zones evacuations;
  std::uint64_t acknowledged_evacuations = 0; // number
  bool confirms_versions = true;

  [[nodiscard]] std::uint16_t first_port() const {
    return static_cast<std::uint16_t>(listener_.port() -
                                      static_cast<std::uint16_t>(io::fleet_port::links));
  }

  void broadcast_status() {
    for (auto* it : connections_) {
      send_status(*it);
    }
  }

  // Announces the requests in flight at the first server, summed over all routers.
  void broadcast_load(std::uint32_t requests) {
    for (auto* it : connections_) {
      wire::FleetLoadT load;
      load.loads = io::to_wire({{io::server_hash(servers[0].id), {requests, 0}}});
      it->send(wire::encode_link(std::move(load)));
    }
  }

  void broadcast_servers() {
    for (auto* it : connections_) {
      send_servers(*it, false);
    }
  }

private:
  void handle(io::framed_connection& to, byte_view buf) {
    std::error_code ec;
    const auto frame = wire::decode_link(buf, ec);
    REQUIRE(frame);
    if (frame->body.AsSubscribe() != nullptr) {
      send_status(to);
      send_servers(to, true);
    } else if (frame->body.AsFetchRouting() != nullptr) {
      wire::RoutingTextT text;
      text.version = version;
      text.packed_text = io::compress_text(
          routing_text(version, services, limits, route_timeout, tenants));
      to.send(wire::encode_link(std::move(text)));
    } else if (const auto* request = frame->body.AsConfirmVersion()) {
      if (confirms_versions) {
        wire::VersionConfirmedT reply;
        reply.token = request->token;
        reply.version = version;
        to.send(wire::encode_link(reply));
      }
    } else if (const auto* record = frame->body.AsRecordStream()) {
      streams[record->stream] = record->version;
      if (confirms_streams) {
        wire::StreamRecordedT reply;
        reply.token = record->token;
        to.send(wire::encode_link(reply));
      }
    } else if (const auto* ack = frame->body.AsUpdateAck()) {
      acknowledged_evacuations = ack->evacuation_number;
    } else if (const auto* search = frame->body.AsFindStream()) {
      send_stream(to, *search);
    }
  }

  void send_stream(io::framed_connection& to, const wire::FindStreamT& search) {
    if (!finds_streams) {
      return;
    }
    const auto it = streams.find(search.stream);
    wire::StreamFoundT reply;
    reply.token = search.token;
    reply.found = it != streams.end();
    reply.version = reply.found ? it->second : "";
    reply.has_sole = sole.has_value();
    reply.sole = sole.value_or("");
    to.send(wire::encode_link(std::move(reply)));
  }

  void send_status(io::framed_connection& to) {
    wire::GroupStatusT status;
    status.control_hosts = {"127.0.0.1"};
    status.leads = status.has_leader = status.confirmed = true;
    status.keeps_streams = keeps_streams;
    status.routing_version = version;
    status.evacuation_number = evacuations.number;
    status.evacuated_zones = {evacuations.zones.begin(), evacuations.zones.end()};
    // Without a router count the gateway may not use its share of the fleet's retry
    // budget.
    status.routers = 1;
    to.send(wire::encode_link(std::move(status)));
  }

  void send_servers(io::framed_connection& to, bool full) {
    wire::ServerUpdateT update;
    update.origin = "127.0.0.1";
    update.epoch = 1;
    update.after = full ? 0 : number_;
    update.number = ++number_;
    for (const auto& it : servers) {
      auto entry = std::make_unique<wire::AnnouncedServerT>(
          io::to_wire({.server = it, .last_seen = io::now()}, io::now()));
      if (others_silent && it.id != servers.front().id) {
        entry->silent = true;
        entry->silent_ms = silent_ms;
      }
      update.servers.push_back(std::move(entry));
    }
    to.send(wire::encode_link(std::move(update)));
  }

  // Above the gateway's silence timeout and below the time for which it keeps a silent
  // server.
  static constexpr std::uint32_t silent_ms = 10'000;

  io::framed_listener listener_{nullptr};
  std::vector<io::framed_connection*> connections_;
  std::uint64_t number_ = 0;
};

// A caller with one connection.
class test_caller {
public:
  explicit test_caller(const io::endpoint& target) {
    socket_.connectToHost(QString::fromStdString(target.host), target.port);
    REQUIRE(
        wait_until([&] { return socket_.state() == QAbstractSocket::ConnectedState; }));
  }

  void send(const std::string& text) {
    socket_.write(QByteArray::fromStdString(text));
    socket_.flush();
  }

  // Waits until the received data contains the text; false if the connection closes first
  // or the wait times out.
  bool wait_for(const std::string& text) {
    return wait_until([&] {
             read();
             return received.find(text) != std::string::npos || is_closed();
           }) &&
           received.find(text) != std::string::npos;
  }

  bool wait_closed() {
    return wait_until([&] {
      read();
      return is_closed();
    });
  }

  void read() { received += socket_.readAll().toStdString(); }
  void disconnect() { socket_.abort(); }
  [[nodiscard]] bool is_closed() const {
    return socket_.state() == QAbstractSocket::UnconnectedState;
  }

  std::string received;

private:
  QTcpSocket socket_;
};

// Scripts of the servers of a fixture: one list per server.
using server_scripts = std::vector<std::vector<server_script>>;

// One server that never responds.
inline server_scripts unresponsive_server() {
  return server_scripts(1);
}

// A gateway in front of scripted servers s0, s1, ... of service "s".
struct gateway_fixture {
  std::vector<std::unique_ptr<scripted_server>> servers;
  fake_control control;
  prometheus::Registry registry;
  std::unique_ptr<gateway> subject;

  // scripts[i] belongs to server i.
  explicit gateway_fixture(server_scripts scripts, std::uint64_t version = 1) {
    for (auto& it : scripts) {
      servers.push_back(std::make_unique<scripted_server>(std::move(it)));
      control.servers.push_back(make_announced_server(servers.size() - 1));
    }
    control.version = version;
    gateway_settings settings;
    settings.node_id = "g";
    settings.zone = "near";
    settings.host = own_loopback_host(180);
    settings.listen = free_address();
    settings.listen_ready = free_address();
    settings.first_port = control.first_port();
    settings.seeds = {{"127.0.0.1", 1}};
    settings.retries = {1.0, 100, milliseconds(10'000)};
    settings.stop_time = milliseconds(2000);
    address = settings.listen;
    ready_address = settings.listen_ready;
    subject = std::make_unique<gateway>(settings, registry, nullptr);
    REQUIRE_FALSE(subject->start());
    if (version > 0) {
      REQUIRE(wait_until(
          [&] { return subject->is_ready() && subject->retries.routers == 1; }));
    }
  }

  [[nodiscard]] announced_server make_announced_server(std::size_t i) const {
    announced_server out;
    out.id = "s" + std::to_string(i);
    out.started = 1;
    out.sequence = 1;
    out.service = "s";
    out.host = servers[i]->address().host;
    out.port = servers[i]->address().port;
    out.zone = i == 0 ? "near" : "far";
    out.slots = 8;
    return out;
  }

  static io::endpoint free_address() {
    return {own_loopback_host(), free_port_on_own_host()};
  }

  io::endpoint address;
  io::endpoint ready_address;
};

inline std::string request_text(const std::string& method, const std::string& target,
                                const std::string& id, const std::string& more = {},
                                const std::string& body = {},
                                const std::string& key = "KEY") {
  return method + " " + target +
         " HTTP/1.1\r\nHost: h\r\nMarigoldstep-Request-Id: " + id +
         "\r\nAuthorization: Bearer " + key + "\r\n" + more +
         (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

inline std::string response_text(const std::string& body,
                                 const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status +
         "\r\nMarigoldstep-Request-Id: {id}\r\nMarigoldstep-Response-Seal: seal\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string not_executed_text() {
  return "HTTP/1.1 503 Service Unavailable\r\nMarigoldstep-Request-Id: {id}\r\n"
         "Marigoldstep-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

inline std::string stream_head() {
  return "HTTP/1.1 200 OK\r\nMarigoldstep-Request-Id: {id}\r\n"
         "Marigoldstep-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string chunk(const std::string& text) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return size.data() + text + "\r\n";
}

inline std::string event(int id) {
  return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

} // namespace marigoldstep::gateway::test
