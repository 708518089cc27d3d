// The loads of the fleet that the leader collects from routers and sends to all of them.
#include "control/link_service.h"
#include "marigoldstep/fan_out.h"
#include "marigoldstep/io/clock.h"

#include <algorithm>

namespace marigoldstep::control {

namespace {

constexpr auto min_load_interval = milliseconds(200);
// Part of the link's bandwidth for loads, in each direction.
constexpr double load_bandwidth_fraction = 0.1;
// Loads that are reported less often are too old to be worth their bandwidth.
constexpr auto max_load_interval = milliseconds(2000);
// Of notices about a quarantine that has not changed.
constexpr auto notice_interval = milliseconds(1000);
// Size of a load message: bytes per server, and bytes of the rest with its list of
// routers to forward it to.
constexpr std::size_t load_entry_bytes = 8;
constexpr std::size_t load_frame_bytes = 700;
// A router's report: bytes per server, and bytes of the rest with its parts in demand.
constexpr std::size_t router_load_frame_bytes = 120;
// Servers of a router's report, assumed while routers send none.
constexpr std::size_t assumed_router_servers = 16;
// Servers of large services in a load message; the busiest ones.
constexpr std::size_t max_load_servers = 256;
// Bytes of loads that one router forwards, a few percent of the second's bandwidth of a
// 10 Mbit/s link.
constexpr std::size_t max_forwarded_load_bytes = 64U << 10U;

} // namespace

// Chooses the interval at which routers report loads and get those of the fleet, so that
// both take at most their part of the link. 0 if that would take too long.
void link_service::choose_load_interval(std::size_t forwarders) {
  const auto servers = std::min(directory_.entries.size(), max_load_servers);
  const auto sent = forwarders * (load_frame_bytes + load_entry_bytes * servers);
  std::size_t received = 0;
  for (const auto& [connection, it] : subscribers_) {
    const auto reported = load_interval_ == milliseconds(0)
                              ? std::min(servers, assumed_router_servers)
                              : it.load.size();
    received += it.is_router ? router_load_frame_bytes + load_entry_bytes * reported : 0;
  }
  const auto time = milliseconds(static_cast<milliseconds::rep>(
      static_cast<double>(std::max(sent, received)) /
      (load_bandwidth_fraction * limits_.link_bytes_per_ms)));
  load_interval_ =
      time <= max_load_interval ? std::max(min_load_interval, time) : milliseconds(0);
}

load_digest link_service::collect_loads() const {
  std::map<std::uint32_t, load_count> sum;
  for (const auto& [connection, it] : subscribers_) {
    for (const auto& [server, load] : it.load) {
      sum[server].requests += load.requests;
      sum[server].tokens += load.tokens;
    }
  }
  std::map<std::uint32_t, std::uint32_t> services;
  for (const auto& [id, entry] : directory_.entries) {
    if (entry.server.state == announced_state::ready) {
      services[io::server_hash(id)] = service_hash(entry.server.service);
    }
  }
  return make_load_digest(sum, services, max_load_servers);
}

void link_service::send_fleet_load() {
  const auto now = io::now();
  next_load_update_ = now + min_load_interval;
  update_router_count();
  if (!group_.is_leader()) {
    return;
  }
  std::vector<io::framed_connection*> receivers;
  std::vector<std::string> zones;
  for (const auto& [connection, it] : subscribers_) {
    if (it.is_router && !it.host.empty()) {
      receivers.push_back(connection);
      zones.push_back(it.zone);
    }
  }
  const auto size =
      load_frame_bytes +
      load_entry_bytes * std::min(directory_.entries.size(), max_load_servers);
  const auto plan =
      plan_zone_fan_out(zones, size, max_forwarded_load_bytes, ++fleet_load_number_);
  choose_load_interval(plan.size());
  update_quarantine();
  const auto notice = make_notice(quarantine_);
  const bool has_loads = load_interval_ > milliseconds(0) && now >= next_load_digest_;
  const bool has_notice =
      notice != sent_notice_ || (now >= next_notice_ && notice != quarantine_notice());
  if (!has_loads && !has_notice) {
    return;
  }
  next_notice_ = now + notice_interval;
  sent_notice_ = notice;
  wire::FleetLoadT message;
  if (has_loads) {
    // The half interval compensates for timer jitter.
    next_load_digest_ = now + load_interval_ - min_load_interval / 2;
    message = io::to_wire(collect_loads());
    message.popular = io::to_wire(find_popular_parts(part_demand_, now));
  }
  io::add_to_wire(message, notice);
  message.term = group_.term();
  message.number = fleet_load_number_;
  for (const auto& part : plan) {
    message.forward.clear();
    for (const auto i : part.forward) {
      message.forward.push_back(subscribers_.at(receivers[i]).host);
    }
    receivers[part.receiver]->send(io::encode_fan_out(message));
  }
}

} // namespace marigoldstep::control
