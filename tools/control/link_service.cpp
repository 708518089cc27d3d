#include "control/link_service.h"

#include "marigoldstep/fan_out.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/fleet_ports.h"
#include "marigoldstep/io/logging.h"

#include <algorithm>

namespace marigoldstep::control {

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(50);
// With 4 ms per subscriber, heartbeats and acknowledgements of about 100 bytes each take
// a seventh of a 3 Mbit/s link for any number of subscribers.
constexpr auto min_heartbeat_interval = milliseconds(400);
constexpr auto heartbeat_interval_per_subscriber = milliseconds(4);
constexpr auto liveness_interval = milliseconds(250);
constexpr auto removal_interval = milliseconds(5000);
// Token buckets of routing texts and server changes: their parts of the link's bandwidth,
// and the burst as the time over which unused bandwidth accumulates.
constexpr double text_bandwidth_fraction = 0.4;
constexpr double change_bandwidth_fraction = 0.2;
constexpr double burst_ms = 200;
// Messages whose transmission to all receivers takes longer are forwarded by receivers.
constexpr double max_direct_send_ms = 30;
// An unlimited link is treated as 100 Mbit/s.
constexpr double unlimited_bytes_per_ms = 12'500;
// The connection of a slower reader is closed; its next one starts with a full update.
constexpr std::size_t max_queued_bytes = 4U << 20U;

} // namespace

link_service::link_service(replica& group, io::link_settings settings,
                           const link_limits& limits, QObject* parent)
    : QObject(parent), group_(group), listener_(this), peers_(settings, this),
      own_host_(settings.own_host),
      reports_port_(static_cast<std::uint16_t>(
          settings.port + static_cast<std::uint16_t>(io::fleet_port::reports) -
          static_cast<std::uint16_t>(io::fleet_port::links))),
      limits_(limits), stream_store_(this), next_reader_(io::random_engine()()) {
  if (limits_.link_bytes_per_ms <= 0) {
    limits_.link_bytes_per_ms = unlimited_bytes_per_ms;
  }
  stream_store_.records_in_use = [this] { return records_in_use(); };
  reported_.epoch = repeated_.epoch = std::max<std::uint64_t>(1, io::random_engine()());
  listener_.on_connection = [this](io::framed_connection* it) { accept(it); };
  peers_.on_server_update = [this](const wire::ServerUpdateT& it) {
    handle_peer_update(it);
  };
  peers_.on_unchanged_reports = [this](const std::vector<std::uint32_t>& it) {
    handle_peer_unchanged_reports(it);
  };
  peers_.on_departure_number = [this](std::uint64_t number) {
    leader_departures_ = number;
    learn_earlier_departures();
  };
  peers_.routing_version = [this] { return group_.state().routing_version; };
  peers_.on_members = [this](const std::set<std::string>& hosts) {
    if (on_members) {
      on_members(hosts);
    }
  };
  connect(&timer_, &QTimer::timeout, this, [this] { tick(); });
}

std::error_code link_service::listen(const io::endpoint& address) {
  return listener_.listen(QString::fromStdString(address.host), address.port);
}

std::error_code link_service::start() {
  open_streams();
  started_at_ = io::now();
  timer_.start(tick_interval);
  return peers_.start();
}

void link_service::stop() {
  timer_.stop();
  listener_.close();
}

void link_service::set_seeds(std::vector<std::string> seeds) {
  peers_.set_seeds(std::move(seeds));
}

void link_service::accept(io::framed_connection* connection) {
  subscribers_[connection].heard_at = io::now();
  connection->on_frame = [this, connection](byte_view buf) {
    handle_frame(connection, buf);
  };
  connection->on_closed = [this, connection](std::error_code ec) {
    drop_subscriber(connection, ec.message());
  };
}

void link_service::drop_subscriber(io::framed_connection* connection,
                                   std::string_view reason) {
  const auto it = subscribers_.find(connection);
  if (it == subscribers_.end()) {
    return;
  }
  if (!it->second.node_id.empty()) {
    io::log_event(io::log_level::info, "subscriber_lost",
                  {{"node", it->second.node_id}, {"reason", std::string(reason)}});
  }
  subscribers_.erase(it);
  std::erase(text_requests_, connection);
  connection->discard();
  complete_waiting();
}

void link_service::handle_frame(io::framed_connection* connection, byte_view buf) {
  std::error_code ec;
  auto frame = wire::decode_link(buf, ec);
  const auto known = subscribers_.find(connection);
  if (!frame || known == subscribers_.end()) {
    drop_subscriber(connection, "malformed frame");
    return;
  }
  auto& from = known->second;
  from.heard_at = io::now();
  if (from.is_router) {
    routers_[from.node_id] = from.heard_at;
  }
  if (const auto* hello = frame->body.AsSubscribe()) {
    handle_subscribe(connection, *hello);
  } else if (frame->body.AsFetchRouting() != nullptr) {
    std::erase(text_requests_, connection);
    text_requests_.push_back(connection);
    send_requested_texts();
  } else if (const auto* request = frame->body.AsConfirmVersion()) {
    confirm_routing_version(connection, request->token);
  } else if (auto* forwarded = frame->body.AsForwardRouting()) {
    handle_forwarded_routing(connection, *forwarded);
  } else if (const auto* ack = frame->body.AsUpdateAck()) {
    if (ack->reported) {
      from.reported.acked = io::from_wire(ack->reported);
    }
    if (ack->repeated) {
      from.repeated.acked = io::from_wire(ack->repeated);
    }
    from.version = ack->routing_version;
    from.takes_reports = ack->takes_reports;
    from.evacuation_number = ack->evacuation_number;
    complete_waiting();
  } else if (const auto* load = frame->body.AsRouterLoad()) {
    handle_load(connection, *load);
  } else if (const auto* heard = frame->body.AsServersHeard()) {
    handle_unchanged_reports(connection, heard->servers);
  } else if (const auto* report = frame->body.AsReportServer()) {
    handle_router_report(connection, *report);
  } else if (const auto* record = frame->body.AsRecordStream()) {
    handle_stream_record(connection, *record);
  } else if (const auto* search = frame->body.AsFindStream()) {
    handle_stream_search(connection, *search);
  } else if (const auto* version = frame->body.AsRecordVersion()) {
    propose_version({version->service, version->version}, false);
  } else if (const auto* order = frame->body.AsForwardEvacuation()) {
    handle_forwarded_evacuation(connection, *order);
  } else if (const auto* departures = frame->body.AsRecordDepartures()) {
    handle_requested_departures(*departures);
  }
}

void link_service::handle_subscribe(io::framed_connection* connection,
                                    const wire::SubscribeT& hello) {
  auto& it = subscribers_.at(connection);
  it.node_id = hello.node_id;
  it.host = hello.host;
  it.zone = hello.zone;
  it.link_bytes_per_ms = hello.link_bytes_per_ms;
  it.protocol = hello.protocol;
  it.is_router = hello.router;
  it.version = hello.routing_version;
  it.reported.acked = io::from_wire(hello.reported);
  it.repeated.acked = io::from_wire(hello.repeated);
  io::log_event(io::log_level::info, "subscriber_joined",
                {{"node", it.node_id},
                 {"router", it.is_router ? "true" : "false"},
                 {"version", std::to_string(it.version)},
                 {"knows", std::to_string(resume_number(reported_, it.reported.acked))}});
  send_status(connection);
  confirm_subscribers();
}

void link_service::handle_load(io::framed_connection* connection,
                               const wire::RouterLoadT& load) {
  if (load.loads) {
    subscribers_.at(connection).load = io::from_wire(*load.loads);
  }
  if (load.requests) {
    add_part_requests(part_demand_, io::part_requests_from_wire(*load.requests),
                      io::now());
  }
  const auto now = io::now();
  merge_report(quarantine_, io::trait_report_from_wire(load, now),
               io::server_hash(subscribers_.at(connection).node_id), now);
}

// Hosts of the group's members; empty without a leader, when the list may be out of date.
std::vector<std::string> link_service::member_hosts() const {
  std::vector<std::string> out;
  if (group_.is_ready()) {
    for (const auto& it : members(*group_.node())) {
      out.push_back(it.host);
    }
  }
  return out;
}

// Seeds may be gone by the time that this process starts again.
void link_service::connect_to_members() {
  const auto hosts = member_hosts();
  if (std::find(hosts.begin(), hosts.end(), own_host_) != hosts.end()) {
    peers_.set_members({hosts.begin(), hosts.end()});
  }
}

void link_service::send_status(io::framed_connection* connection) {
  auto& to = subscribers_.at(connection);
  wire::GroupStatusT status;
  status.has_leader = group_.is_ready();
  auto hosts = member_hosts();
  if (hosts != to.sent_hosts) {
    to.sent_hosts = hosts;
    status.control_hosts = std::move(hosts);
  }
  status.leads = group_.is_leader();
  status.keeps_streams = true;
  status.protocol = wire::link_protocol;
  for (const auto& [zone, since] : group_.state().evacuated_zones) {
    status.evacuated_zones.push_back(zone);
  }
  status.evacuation_number = group_.state().evacuation_number;
  status.departure_number = group_.state().departures.number;
  status.routing_version = group_.state().routing_version;
  status.confirmed = to.confirmed;
  status.routers = router_count();
  status.load_interval_ms = static_cast<std::uint32_t>(load_interval_.count());
  to.next_status = io::now() + heartbeat_interval();
  status.heartbeat_ms = static_cast<std::uint32_t>(heartbeat_interval().count());
  connection->send(wire::encode_link(std::move(status)));
}

milliseconds link_service::heartbeat_interval() const {
  return std::max(min_heartbeat_interval, static_cast<int>(subscribers_.size()) *
                                              heartbeat_interval_per_subscriber);
}

template <typename Message>
std::size_t link_service::send_fan_out(Message message,
                                       std::vector<io::framed_connection*> receivers) {
  // Picks other forwarders for each message, so that a lost one delays the same receivers
  // only briefly.
  std::shuffle(receivers.begin(), receivers.end(), io::random_engine());
  const auto first_direct =
      std::partition(receivers.begin(), receivers.end(), [&](auto* connection) {
        const auto& it = subscribers_.at(connection);
        return it.is_router && !it.host.empty();
      });
  const auto buf = io::encode_fan_out(message);
  std::size_t sent = 0;
  for (auto it = first_direct; it != receivers.end(); ++it) {
    (*it)->send(buf);
    sent += buf.size();
  }
  receivers.erase(first_direct, receivers.end());
  const auto max_direct_bytes =
      static_cast<std::size_t>(limits_.link_bytes_per_ms * max_direct_send_ms);
  for (const auto& part : plan_fan_out(receivers.size(), buf.size(), max_direct_bytes)) {
    auto* to = receivers[part.receiver];
    if (part.forward.empty()) {
      to->send(buf);
      sent += buf.size();
      continue;
    }
    message.forward.clear();
    for (const auto i : part.forward) {
      message.forward.push_back(subscribers_.at(receivers[i]).host);
    }
    const auto with_hosts = io::encode_fan_out(message);
    to->send(with_hosts);
    sent += with_hosts.size();
  }
  return sent;
}

template std::size_t link_service::send_fan_out(wire::ServerUpdateT,
                                                std::vector<io::framed_connection*>);
template std::size_t link_service::send_fan_out(wire::RoutingTextT,
                                                std::vector<io::framed_connection*>);

void link_service::refill_budgets(time_point now) {
  const double rate = limits_.link_bytes_per_ms;
  const auto elapsed = static_cast<double>((now - budgets_refilled_at_).count());
  budgets_refilled_at_ = now;
  text_budget_ = std::min(text_bandwidth_fraction * rate * burst_ms,
                          text_budget_ + text_bandwidth_fraction * rate * elapsed);
  change_budget_ = std::min(change_bandwidth_fraction * rate * burst_ms,
                            change_budget_ + change_bandwidth_fraction * rate * elapsed);
}

// Rate-limited, since large texts to many gateways at once would saturate a slow link and
// delay the group's heartbeats.
void link_service::send_requested_texts() {
  if (text_requests_.empty() || text_budget_ <= 0) {
    return;
  }
  const auto& state = group_.state();
  wire::RoutingTextT text;
  text.version = state.routing_version;
  text.packed_text = state.routing_packed_text;
  text_budget_ -=
      static_cast<double>(send_fan_out(std::move(text), std::move(text_requests_)));
  text_requests_.clear();
}

// A process without a configuration accepts its first one only after a quorum has
// confirmed that the leader's version is the newest.
void link_service::confirm_subscribers() {
  if (!group_.is_leader()) {
    return;
  }
  std::set<io::framed_connection*> unconfirmed;
  for (auto& [connection, it] : subscribers_) {
    if (!it.confirmed && !it.confirming && !it.node_id.empty()) {
      it.confirming = true;
      unconfirmed.insert(connection);
    }
  }
  if (unconfirmed.empty()) {
    return;
  }
  group_.confirm([this, unconfirmed](std::error_code ec) {
    for (auto* connection : unconfirmed) {
      const auto it = subscribers_.find(connection);
      if (it == subscribers_.end()) {
        continue;
      }
      it->second.confirming = false;
      it->second.confirmed = it->second.confirmed || !ec;
      send_status(connection);
    }
  });
}

void link_service::tick() {
  const auto now = io::now();
  std::vector<io::framed_connection*> silent;
  for (auto& [connection, it] : subscribers_) {
    // Bytes count rather than frames: a large one takes long over a slow link.
    if (connection->bytes_received() != it.bytes_received) {
      it.bytes_received = connection->bytes_received();
      it.heard_at = now;
    }
    // The subscriber may still use an earlier, shorter interval.
    if (now - it.heard_at > io::link_timeout(heartbeat_interval()) ||
        connection->queued_bytes() > max_queued_bytes) {
      silent.push_back(connection);
    }
  }
  for (auto* connection : silent) {
    drop_subscriber(connection, "silent");
  }
  learn_earlier_departures();
  record_departures();
  complete_waiting();
  release_held_reports();
  confirm_subscribers();
  refill_budgets(now);
  send_requested_texts();
  if (now >= next_liveness_update_) {
    next_liveness_update_ = now + liveness_interval;
    send_unchanged_reports();
    update_silent_servers();
    update_versions();
  }
  if (now >= next_removal_) {
    next_removal_ = now + removal_interval;
    remove_silent_servers();
  }
  // Somebody waits for the confirmation of a server that leaves, and receivers that had
  // yet to acknowledge an earlier change didn't get it at once.
  if (change_budget_ > 0 || has_waiting_reports()) {
    push_changes(feed::reported);
  }
  if (change_budget_ > 0) {
    push_changes(feed::repeated);
  }
  if (now >= next_load_update_) {
    send_fleet_load();
  }
  if (now >= next_primary_choice_) {
    next_primary_choice_ = now + min_heartbeat_interval;
    choose_primaries();
  }
  // Each subscriber has its own schedule, which spreads the work over time.
  for (auto& [connection, it] : subscribers_) {
    if (!it.node_id.empty() && now >= it.next_status) {
      send_status(connection);
    }
  }
}

} // namespace marigoldstep::control
