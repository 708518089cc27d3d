#include "capacity_bench.h"

#include "marigoldstep.h"
#include "marigoldstep/io/node_session.h"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <malloc.h>
#include <memory>

namespace marigoldstep::bench {

namespace {

constexpr unix_seconds command_time = 1'800'000'000;
constexpr int zones = 7;

// One quantity measured at two sizes. unit is the unit of both values.
struct slope {
  std::string name;
  std::string unit;
  double small_size = 0;
  double small_value = 0;
  double large_size = 0;
  double large_value = 0;
};

double allocated_bytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

// Mean time of one call in microseconds, over as many calls as take 0.2 s.
double mean_call_us(const std::function<void()>& call) {
  using clock = std::chrono::steady_clock;
  constexpr std::chrono::duration<double> min_duration(0.2);
  const auto begin = clock::now();
  std::uint64_t n = 0;
  std::chrono::duration<double> elapsed{};
  while (elapsed < min_duration) {
    call();
    ++n;
    elapsed = clock::now() - begin;
  }
  return elapsed.count() * 1e6 / static_cast<double>(n);
}

server_info make_server(int number) {
  server_info out;
  out.node_id = "agent-engine-" + std::to_string(number);
  out.incarnation = 1'796'331'004'473'123ULL + static_cast<std::uint64_t>(number);
  out.service = "marigold-pool";
  out.models = {"assistant-large"};
  out.zone = "zone-" + std::to_string(number % zones);
  out.host = "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250);
  out.port = 7300;
  return out;
}

std::vector<server_info> make_servers(int count) {
  std::vector<server_info> out;
  out.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    out.push_back(make_server(i));
  }
  return out;
}

membership_table make_table(int count) {
  auto table = make_membership_table(time_point{});
  for (const auto& it : make_servers(count)) {
    apply_heartbeat(table, {it, 8, 16, 1, false}, time_point(milliseconds(1)));
  }
  return table;
}

wire::HeartbeatT make_heartbeat(bool agent) {
  wire::HeartbeatT out;
  out.node_id = "agent-engine-1199";
  out.incarnation = 1;
  out.role = agent ? wire::NodeRole::agent : wire::NodeRole::router;
  if (agent) {
    out.server = std::make_unique<wire::ServerEntryT>(io::to_wire(make_server(1199)));
  }
  return out;
}

wire::HeartbeatAckT make_ack(int changes) {
  wire::HeartbeatAckT out;
  out.term = 3;
  out.accepted_version = 1000;
  for (int i = 0; i < changes; ++i) {
    out.changes.push_back(
        std::make_unique<wire::ServerEntryT>(io::to_wire(make_server(i))));
  }
  return out;
}

template <typename Body> double frame_bytes(Body body) {
  return static_cast<double>(
      wire::encode(wire::control_frame(std::move(body), 1)).size());
}

// Time in which the leader handles one heartbeat of an agent, in microseconds: decode,
// apply, and encode the acknowledgement.
double leader_heartbeat_us(int servers) {
  auto table = make_table(servers);
  const auto frame = wire::encode(wire::control_frame(make_heartbeat(true), 1));
  return mean_call_us([&] {
    std::error_code ec;
    const auto decoded = wire::decode_control(frame, ec);
    const auto& body = *decoded->body.AsHeartbeat();
    apply_heartbeat(table, {io::from_wire(*body.server), 8, 16, 1, false},
                    time_point(milliseconds(2)));
    auto ack = make_ack(0);
    ack.pool_mean_milli = mean_load(table, body.server->service).mean_milli;
    wire::encode(wire::control_frame(std::move(ack), 1));
  });
}

// Time in which a node encodes one heartbeat and decodes its acknowledgement, in
// microseconds.
double node_heartbeat_us(int changes) {
  const auto ack = wire::encode(wire::control_frame(make_ack(changes), 1));
  return mean_call_us([&] {
    wire::encode(wire::control_frame(make_heartbeat(true), 1));
    std::error_code ec;
    wire::decode_control(ack, ec);
  });
}

double membership_table_bytes(int servers) {
  const double before = allocated_bytes();
  const auto table = make_table(servers);
  return allocated_bytes() - before;
}

double router_view_bytes(int servers) {
  const auto all = make_servers(servers);
  const double before = allocated_bytes();
  membership_view view;
  apply_changes(view, 1, 1, true, all);
  const auto placement = make_placement_table(all, "marigold-pool");
  return allocated_bytes() - before;
}

double placement_us(int servers) {
  const auto table = make_placement_table(make_servers(servers), "marigold-pool");
  int chat = 0;
  return mean_call_us([&] {
    const auto key = make_placement_key("workspace", std::to_string(++chat), 0);
    find_candidates(table, key, max_candidates);
  });
}

std::string configuration_text(int workspaces) {
  std::string out = "fleet: f\npools:\n  - {name: p, models: [m]}\n"
                    "workspace_defaults: {models: [m]}\nworkspaces:\n";
  for (int i = 0; i < workspaces; ++i) {
    out += "  - {name: workspace-" + std::to_string(i) + ", weight: 2}\n";
  }
  return out;
}

configuration parse(const std::string& text) {
  yaml_report report{"capacity", {}};
  return parse_configuration(text, 1, report);
}

double configuration_bytes(int workspaces) {
  const auto text = configuration_text(workspaces);
  const double before = allocated_bytes();
  const auto config = parse(text);
  return allocated_bytes() - before;
}

bytes claim_command(int number) {
  wire::ClaimRequestT request;
  request.kind = wire::ClaimKind::claim;
  request.workspace = "workspace-" + std::to_string(number % 1000);
  request.service = "booking-svc";
  request.key =
      std::to_string(command_time) + "-token-" + std::to_string(10'000'000 + number);
  request.attempt_lo = static_cast<std::uint64_t>(number);
  request.holder = "agent-" + std::to_string(number % 300);
  request.holder_incarnation = 1;
  return encode_command(wire::control_frame(std::move(request), 1), command_time);
}

struct claim_cost {
  double bytes = 0;
  double us = 0;
};

claim_cost measure_claims(int count) {
  fleet_state state;
  const double before = allocated_bytes();
  std::chrono::duration<double> elapsed{};
  for (int i = 0; i < count; ++i) {
    const auto command = claim_command(i);
    const auto begin = std::chrono::steady_clock::now();
    apply_command(state, command);
    elapsed += std::chrono::steady_clock::now() - begin;
  }
  return {allocated_bytes() - before, elapsed.count() * 1e6};
}

std::vector<slope> measure_slopes() {
  constexpr int servers_small = 300;
  constexpr int servers_large = 1200;
  constexpr int workspaces_small = 1000;
  constexpr int workspaces_large = 25'000;
  constexpr int claims_small = 10'000;
  constexpr int claims_large = 100'000;
  std::vector<slope> out;
  const auto add = [&out](const char* name, const char* unit, int small_size,
                          int large_size, const std::function<double(int)>& value) {
    out.push_back({name, unit, double(small_size), value(small_size), double(large_size),
                   value(large_size)});
  };
  add("agent_heartbeat", "bytes", 0, 1,
      [](int) { return frame_bytes(make_heartbeat(true)); });
  add("router_heartbeat", "bytes", 0, 1,
      [](int) { return frame_bytes(make_heartbeat(false)); });
  add("ack_by_changes", "bytes", 0, 10, [](int n) { return frame_bytes(make_ack(n)); });
  add("leader_heartbeat_by_servers", "us", servers_small, servers_large,
      leader_heartbeat_us);
  add("node_heartbeat_by_changes", "us", 0, 10, node_heartbeat_us);
  add("leader_table_by_servers", "bytes", servers_small, servers_large,
      membership_table_bytes);
  add("router_view_by_servers", "bytes", servers_small, servers_large, router_view_bytes);
  add("placement_by_servers", "us", servers_small, servers_large, placement_us);
  add("configuration_text_by_workspaces", "bytes", workspaces_small, workspaces_large,
      [](int n) { return double(configuration_text(n).size()); });
  add("configuration_parse_by_workspaces", "us", workspaces_small, workspaces_large,
      [](int n) {
        const auto text = configuration_text(n);
        return mean_call_us([&] { parse(text); });
      });
  add("configuration_memory_by_workspaces", "bytes", workspaces_small, workspaces_large,
      configuration_bytes);
  add("claim_memory_by_claims", "bytes", claims_small, claims_large,
      [](int n) { return measure_claims(n).bytes; });
  add("claim_apply_by_claims", "us", claims_small, claims_large,
      [](int n) { return measure_claims(n).us; });
  return out;
}

} // namespace

bool run_capacity_bench(const bench_options& /*options*/, const std::string& path) {
  std::string text = "{\n";
  for (const auto& it : measure_slopes()) {
    std::printf("%-36s %10.0f: %14.2f %s   %10.0f: %14.2f %s\n", it.name.c_str(),
                it.small_size, it.small_value, it.unit.c_str(), it.large_size,
                it.large_value, it.unit.c_str());
    std::array<char, 256> buf{};
    std::snprintf(
        buf.data(), buf.size(),
        "  \"%s\": {\"unit\": \"%s\", \"points\": [[%.0f, %.3f], [%.0f, %.3f]]}",
        it.name.c_str(), it.unit.c_str(), it.small_size, it.small_value, it.large_size,
        it.large_value);
    text += (text.size() > 2 ? ",\n" : "") + std::string(buf.data());
  }
  std::ofstream out(path, std::ios::trunc);
  out << text << "\n}\n";
  out.close();
  return !out.fail();
}

} // namespace marigoldstep::bench
