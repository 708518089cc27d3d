#include "timeline.h"

#include "marigoldstep/io/node_session.h"

#include <algorithm>
#include <random>

namespace marigoldstep::bench {

namespace {

constexpr auto heartbeat_interval = duration(500);
constexpr auto restart_duration = duration(30'000);
constexpr auto drain_duration = duration(10'000);
constexpr auto replacement_delay = duration(60'000);
constexpr auto flap_outage = duration(3'000);
constexpr auto flap_gap = duration(4'000);
constexpr auto zone_outage = duration(20'000);
constexpr auto surge_duration = duration(60'000);
constexpr auto traffic_window = duration(10'000);
// TCP/IP headers of a message; the encoded message contains the length prefix.
constexpr std::size_t message_overhead_bytes = 40;
constexpr std::uint64_t leader_term = 1;
// Keeps incarnations positive for engines that started before time 0.
constexpr incarnation incarnation_base = 1'000'000'000;

struct churn_plan {
  const model_size& size;
  timeline& out;
  std::mt19937_64 random;

  time_point random_time() {
    // Excludes the first tenth, in which the fleet starts up, and the last tenth.
    const auto low = size.simulated_time.count() / 10;
    const auto high = size.simulated_time.count() * 9 / 10;
    return time_point(duration(std::uniform_int_distribution<long>(low, high)(random)));
  }
  std::uint32_t random_engine() {
    return std::uniform_int_distribution<std::uint32_t>(0, size.engines - 1)(random);
  }
};

void add_restart(churn_plan& plan) {
  const auto at = plan.random_time();
  const auto engine = plan.random_engine();
  plan.out.changes.push_back({at, engine, true, true, false});
  plan.out.changes.push_back({at + drain_duration, engine, false, true, true});
  plan.out.changes.push_back(
      {at + drain_duration + restart_duration, engine, true, false, true});
}

void add_failure(churn_plan& plan) {
  const auto at = plan.random_time();
  plan.out.changes.push_back({at, plan.random_engine(), false, false, true});
  plan.out.changes.push_back({at + replacement_delay, plan.out.engines++, true});
}

void add_flap(churn_plan& plan) {
  auto at = plan.random_time();
  const auto engine = plan.random_engine();
  for (int i = 0; i < 3; ++i) {
    plan.out.changes.push_back({at, engine, false});
    plan.out.changes.push_back({at + flap_outage, engine, true});
    at += flap_outage + flap_gap;
  }
}

void add_zone_outage(churn_plan& plan) {
  const auto at = time_point(plan.size.simulated_time * 6 / 10);
  plan.out.zone_lost_at = at;
  for (std::uint32_t i = 0; i < plan.size.engines; i += plan.size.zones) {
    plan.out.changes.push_back({at, i, false});
    plan.out.changes.push_back({at + zone_outage, i, true});
  }
}

server_report make_report(const model_size& size, std::uint32_t engine,
                          time_point started, bool leaving, time_point now) {
  server_report report;
  auto& server = report.server;
  server.node_id = "engine-" + std::to_string(engine);
  server.incarnation =
      incarnation_base + static_cast<incarnation>(started.time_since_epoch().count());
  server.service = "pool";
  server.models = {"model-a"};
  server.zone = "zone-" + std::to_string(engine % size.zones);
  server.host =
      "10.0." + std::to_string(engine / 250) + "." + std::to_string(engine % 250);
  server.port = 7800;
  server.weight_milli = slow_start_weight(now - started, 1000);
  report.leaving = leaving;
  report.capacity = 32;
  return report;
}

// Bytes that one router sends and receives in a heartbeat interval.
std::size_t heartbeat_exchange_bytes(const membership_table& table,
                                     membership_view& view) {
  wire::HeartbeatT request;
  request.node_id = "router-001";
  request.incarnation = 1;
  request.role = wire::NodeRole::router;
  request.config_version = 1;
  request.membership_version = view.version;
  request.membership_term = 1;
  const auto update =
      next_update(table, leader_term, {view.term, view.version}, update_budget_bytes);
  wire::HeartbeatAckT reply;
  reply.term = 1;
  reply.accepted_version = 1;
  reply.lease_ms = 2000;
  reply.membership_version = update.version;
  reply.membership_term = update.term;
  reply.full = update.full;
  for (const auto& it : update.changes) {
    reply.changes.push_back(std::make_unique<wire::ServerEntryT>(io::to_wire(it)));
  }
  reply.lost_zones = update.lost_zones;
  apply_changes(view, update.term, update.version, update.full, update.changes);
  return wire::encode(wire::control_frame(std::move(request), 1)).size() +
         wire::encode(wire::control_frame(std::move(reply), 1)).size() +
         2 * message_overhead_bytes;
}

control_traffic summarize_traffic(const std::vector<std::size_t>& bytes) {
  control_traffic out;
  const auto window = static_cast<std::size_t>(traffic_window / heartbeat_interval);
  const double window_s = traffic_window.count() / 1000.0;
  std::size_t sum = 0;
  std::size_t total = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    sum += bytes[i];
    total += bytes[i];
    sum -= i >= window ? bytes[i - window] : 0;
    out.max_bytes_per_s = std::max(out.max_bytes_per_s, sum / window_s);
  }
  const double all_s =
      static_cast<double>(bytes.size()) * heartbeat_interval.count() / 1000;
  out.mean_bytes_per_s = static_cast<double>(total) / all_s;
  return out;
}

std::shared_ptr<const placement_table> make_view(const membership_table& table,
                                                 std::uint32_t engines) {
  std::vector<server_info> servers(engines);
  for (std::uint32_t i = 0; i < engines; ++i) {
    const auto id = "engine-" + std::to_string(i);
    const auto it = table.members.find(id);
    if (it != table.members.end()) {
      servers[i] = it->second.report.server;
      const auto& reporting = table.heard_in_lost_zones;
      const bool is_reporting =
          std::find(reporting.begin(), reporting.end(), id) != reporting.end();
      if (table.lost_since.count(servers[i].zone) > 0 && !is_reporting &&
          servers[i].state == server_state::serving) {
        servers[i].state = server_state::suspect;
      }
    } else {
      servers[i].node_id = id;
      servers[i].service = "pool";
      servers[i].state = server_state::dead;
    }
  }
  return std::make_shared<placement_table>(make_placement_table(servers, "pool"));
}

} // namespace

timeline make_timeline(const model_size& size, std::uint64_t seed) {
  timeline out;
  out.engines = size.engines;
  churn_plan plan{size, out, std::mt19937_64(seed)};
  for (std::uint32_t i = 0; i < size.restarts; ++i) {
    add_restart(plan);
  }
  for (std::uint32_t i = 0; i < size.failures; ++i) {
    add_failure(plan);
  }
  for (std::uint32_t i = 0; i < size.flaps; ++i) {
    add_flap(plan);
  }
  add_zone_outage(plan);
  out.surge_from = time_point(size.simulated_time * 75 / 100);
  out.surge_until = out.surge_from + surge_duration;
  std::stable_sort(out.changes.begin(), out.changes.end(),
                   [](const auto& a, const auto& b) { return a.at < b.at; });

  // The initial engines started an hour before, so slow start does not apply to them.
  const auto initial_start = time_point(duration(-3'600'000));
  std::vector<engine_change> state(out.engines);
  std::vector<time_point> started(out.engines, initial_start);
  for (std::uint32_t i = size.engines; i < out.engines; ++i) {
    state[i].reachable = false;
  }
  auto table = make_membership_table(time_point{});
  membership_view view;
  std::vector<std::size_t> bytes;
  std::size_t next = 0;
  std::uint64_t announced_version = 0;
  for (time_point now{}; now < time_point(size.simulated_time);
       now += heartbeat_interval) {
    for (; next < out.changes.size() && out.changes[next].at <= now; ++next) {
      const auto& it = out.changes[next];
      state[it.engine] = it;
      started[it.engine] =
          it.cache_lost || it.engine >= size.engines ? it.at : started[it.engine];
    }
    for (std::uint32_t i = 0; i < out.engines; ++i) {
      if (state[i].reachable) {
        apply_heartbeat(table, make_report(size, i, started[i], state[i].leaving, now),
                        now);
      }
    }
    const bool states_changed = detect_failures(table, now);
    bytes.push_back(heartbeat_exchange_bytes(table, view));
    if (states_changed || table.version != announced_version) {
      announced_version = table.version;
      out.views.push_back({now, make_view(table, out.engines)});
    }
  }
  // Leaves out the start, because the first full transfer is measured separately; see
  // docs/decisions/membership.md.
  const auto startup_intervals = std::min<std::size_t>(bytes.size(), bytes.size() / 10);
  bytes.erase(bytes.begin(),
              bytes.begin() + static_cast<std::ptrdiff_t>(startup_intervals));
  out.router_traffic = summarize_traffic(bytes);
  return out;
}

} // namespace marigoldstep::bench
