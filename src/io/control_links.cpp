#include "marigoldstep/io/control_links.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/io/text_compression.h"

#include <algorithm>

namespace marigoldstep::io {

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(100);
// Used until the other side requests an interval.
constexpr auto default_heartbeat = milliseconds(400);
// Tolerates three missing heartbeats and a late fourth.
constexpr double timeout_in_heartbeats = 3.75;
// The kernel retransmits a lost SYN only after one second; a new attempt is faster.
constexpr auto connect_timeout = milliseconds(250);
// Each failed attempt doubles the timeout, up to this many times: a saturated link
// delays packets, and abandoned attempts add to its load.
constexpr unsigned max_backoff_doublings = 3;
constexpr auto retry_delay = milliseconds(250);
// Followers learn of a commit from the leader's next heartbeat, within 75 ms.
constexpr auto leader_fetch_delay = milliseconds(150);
// The routing text is requested again, possibly from another control process, after
// this time. Control processes pace these texts, so that their links stay usable.
constexpr auto fetch_timeout = milliseconds(1200);

} // namespace

milliseconds link_timeout(milliseconds heartbeat) {
  return std::chrono::duration_cast<milliseconds>(timeout_in_heartbeats * heartbeat);
}

control_links::control_links(link_settings settings, QObject* parent)
    : QObject(parent), settings_(std::move(settings)) {
  connect(&timer_, &QTimer::timeout, this, [this] { tick(); });
}

std::error_code control_links::start() {
  if (settings_.is_router) {
    forwarder_.emplace(settings_.port, nullptr);
    forwarder_->on_frame = [this](byte_view buf) { handle_forwarded(buf); };
    if (const auto ec = forwarder_->listen(settings_.own_host)) {
      return ec;
    }
  }
  update_targets();
  tick();
  timer_.start(tick_interval);
  return {};
}

void control_links::set_seeds(std::vector<std::string> seeds) {
  settings_.seeds = std::move(seeds);
  update_targets();
}

void control_links::set_members(const std::set<std::string>& hosts) {
  if (hosts != members_) {
    members_ = hosts;
    update_targets();
  }
}

// Seeds remain targets besides the members, to find the group again after every known
// member was replaced.
void control_links::update_targets() {
  auto targets = members_;
  targets.insert(settings_.seeds.begin(), settings_.seeds.end());
  targets.erase(settings_.own_host);
  std::vector<std::string> removed_hosts;
  for (const auto& [host, it] : links_) {
    if (!targets.contains(host)) {
      removed_hosts.push_back(host);
    }
  }
  for (const auto& host : removed_hosts) {
    close_link(host, "no member any more");
    links_.erase(host);
    origins_.erase(host);
  }
  for (const auto& host : targets) {
    links_.try_emplace(host);
  }
}

void control_links::connect_to(const std::string& host, link& it) {
  const auto now = io::now();
  it = {};
  it.heard_at = now;
  const auto failures = std::min(failures_[host]++, max_backoff_doublings);
  it.heartbeat = default_heartbeat;
  it.retry_at = now + connect_timeout * (1U << failures);
  it.connection =
      new framed_connection(QString::fromStdString(host), settings_.port, this);
  it.connection->on_open = [this, host] {
    auto& opened = links_.at(host);
    opened.is_open = true;
    opened.opened_at = opened.heard_at = io::now();
    wire::SubscribeT subscription;
    subscription.node_id = settings_.node_id;
    subscription.router = settings_.is_router;
    subscription.routing_version = routing_version ? routing_version() : 0;
    subscription.host = settings_.own_host;
    subscription.zone = settings_.zone;
    subscription.link_bytes_per_ms = settings_.link_bytes_per_ms;
    subscription.protocol = wire::link_protocol;
    subscription.reported = to_wire(origins_[host].reported.at);
    subscription.repeated = to_wire(origins_[host].repeated.at);
    opened.connection->send(wire::encode_link(std::move(subscription)));
    log_event(log_level::info, "control_link_opened", {{"host", host}});
  };
  it.connection->on_frame = [this, host](byte_view buf) { handle_frame(host, buf); };
  it.connection->on_closed = [this, host](std::error_code ec) {
    close_link(host, ec.message());
  };
}

void control_links::close_link(const std::string& host, std::string_view why) {
  auto& it = links_.at(host);
  if (it.connection == nullptr) {
    return;
  }
  if (it.is_open) {
    log_event(log_level::warning, "control_link_lost",
              {{"host", host}, {"reason", std::string(why)}});
  }
  it.connection->discard();
  it = {};
  it.retry_at = io::now() + retry_delay;
  end_searches_at(host);
}

void control_links::tick() {
  const auto now = io::now();
  std::vector<std::string> silent;
  for (auto& [host, it] : links_) {
    // Bytes count rather than frames: a large one takes long over a slow link.
    if (it.is_open && it.connection->bytes_received() != it.bytes_received) {
      it.bytes_received = it.connection->bytes_received();
      it.heard_at = now;
    }
    if (it.connection == nullptr) {
      if (now >= it.retry_at) {
        connect_to(host, it);
      }
    } else if (it.is_open ? now - it.heard_at > link_timeout(it.heartbeat)
                          : now > it.retry_at) {
      silent.push_back(host);
    } else if (it.is_open && now >= it.next_ack_at) {
      send_ack(host);
    }
  }
  for (const auto& host : silent) {
    close_link(host, "silent");
  }
  expire_confirmations(now);
  expire_forwards(now);
  expire_orders(now);
  expire_searches(now);
  fetch_newer();
}

void control_links::send_ack(const std::string& host) {
  const auto& known = origins_[host];
  auto& to = links_.at(host);
  to.next_ack_at = io::now() + to.heartbeat;
  wire::UpdateAckT ack;
  if (to.acked_reported != known.reported.at) {
    to.acked_reported = known.reported.at;
    ack.reported = to_wire(known.reported.at);
  }
  if (to.acked_repeated != known.repeated.at) {
    to.acked_repeated = known.repeated.at;
    ack.repeated = to_wire(known.repeated.at);
  }
  ack.routing_version = routing_version ? routing_version() : 0;
  ack.takes_reports = takes_reports && takes_reports();
  ack.evacuation_number = evacuation_number ? evacuation_number() : 0;
  to.connection->send(wire::encode_link(std::move(ack)));
}

void control_links::acknowledge_version() {
  for (auto& [host, it] : links_) {
    if (it.is_open) {
      send_ack(host);
    }
  }
}

void control_links::handle_frame(const std::string& host, byte_view buf) {
  std::error_code ec;
  auto frame = decode_compressed_link(buf, ec);
  if (!frame) {
    log_event(log_level::warning, "control_frame_dropped",
              {{"host", host}, {"error", ec.message()}});
    close_link(host, "malformed frame");
    return;
  }
  auto& it = links_.at(host);
  it.heard_at = io::now();
  failures_.erase(host);
  if (const auto* status = frame->body.AsGroupStatus()) {
    handle_status(host, *status);
  } else if (auto* update = frame->body.AsServerUpdate()) {
    forward_to_routers(*update);
    handle_update(*update);
  } else if (const auto* heard = frame->body.AsServersHeard()) {
    if (on_unchanged_reports) {
      on_unchanged_reports(heard->servers);
    }
  } else if (const auto* unknown = frame->body.AsUnknownServers()) {
    if (on_unknown_servers) {
      on_unknown_servers(unknown->servers);
    }
  } else if (const auto* result = frame->body.AsReportSettled()) {
    complete_forward(result->token, result->settled);
  } else if (const auto* stored = frame->body.AsRoutingSettled()) {
    complete_forward(stored->token, stored->settled);
  } else if (const auto* order = frame->body.AsEvacuationSettled()) {
    complete_order(order->token, order->outcome);
  } else if (const auto* recorded = frame->body.AsStreamRecorded()) {
    complete_forward(recorded->token, true);
  } else if (const auto* found = frame->body.AsStreamFound()) {
    handle_stream_found(host, *found);
  } else if (auto* text = frame->body.AsRoutingText()) {
    forward_to_routers(*text);
    handle_routing(*text);
  } else if (const auto* reply = frame->body.AsVersionConfirmed()) {
    const auto waiting = confirmations_.find(reply->token);
    if (waiting != confirmations_.end()) {
      const auto done = std::move(waiting->second.done);
      confirmations_.erase(waiting);
      done(reply->version);
    }
  } else if (auto* load = frame->body.AsFleetLoad()) {
    forward_to_routers(*load);
    // A leader whose group has lost its storage starts again at a lower term.
    fleet_load_position_ = {};
    handle_fleet_load(*load);
  }
}

// Drops older loads: a router that was suspended may forward some that are long out of
// date.
void control_links::handle_fleet_load(const wire::FleetLoadT& load) {
  const auto position = std::pair(load.term, load.number);
  if (!on_fleet_load || position < fleet_load_position_) {
    return;
  }
  fleet_load_position_ = position;
  on_fleet_load(load);
}

void control_links::handle_forwarded(byte_view buf) {
  std::error_code ec;
  const auto frame = decode_compressed_link(buf, ec);
  if (!frame) {
    log_event(log_level::warning, "forwarded_frame_dropped", {{"error", ec.message()}});
  } else if (const auto* update = frame->body.AsServerUpdate()) {
    handle_update(*update);
  } else if (const auto* text = frame->body.AsRoutingText()) {
    handle_routing(*text);
  } else if (const auto* load = frame->body.AsFleetLoad()) {
    handle_fleet_load(*load);
  }
}

template <typename Message> void control_links::forward_to_routers(Message& message) {
  if (message.forward.empty() || !forwarder_) {
    return;
  }
  const auto hosts = std::move(message.forward);
  message.forward.clear();
  forwarder_->send(hosts, encode_fan_out(message));
}

// Changes of an origin arrive over its own connection or forwarded by another router.
void control_links::handle_update(const wire::ServerUpdateT& update) {
  const auto link = links_.find(update.origin);
  if (link == links_.end()) {
    return;
  }
  auto& known = origins_[update.origin];
  auto& view = update.repeated ? known.repeated : known.reported;
  const bool is_new_epoch = view.at.epoch != update.epoch;
  if (!advance(view.at, {update.epoch, update.after, update.number})) {
    log_event(log_level::debug, "server_update_skipped",
              {{"origin", update.origin},
               {"after", std::to_string(update.after)},
               {"known", std::to_string(view.at.number)}});
    return;
  }
  if (is_new_epoch) {
    view.reporting.clear();
  }
  for (const auto& it : update.servers) {
    if (it->silent) {
      view.reporting.erase(server_hash(it->id));
    } else {
      view.reporting.insert(server_hash(it->id));
    }
  }
  has_initial_servers_ = has_initial_servers_ || have_all_sent_servers();
  if (on_server_update) {
    on_server_update(update);
  }
  // The sender may delay confirming a report until every receiver acknowledged it.
  if (link->second.is_open) {
    send_ack(update.origin);
  }
}

bool control_links::have_all_sent_servers() const {
  return std::all_of(links_.begin(), links_.end(), [&](const auto& it) {
    const auto known = origins_.find(it.first);
    return !it.second.is_open ||
           (known != origins_.end() && known->second.reported.at.epoch != 0);
  });
}

bool control_links::is_server_reporting(std::uint32_t server) const {
  return std::any_of(links_.begin(), links_.end(), [&](const auto& it) {
    const auto known = origins_.find(it.first);
    if (!it.second.is_open || known == origins_.end()) {
      return false;
    }
    // A feed from before the control process restarted is out of date.
    const auto& [reported, repeated] = known->second;
    return reported.reporting.contains(server) ||
           (repeated.at.epoch == reported.at.epoch &&
            repeated.reporting.contains(server));
  });
}

void control_links::handle_status(const std::string& host,
                                  const wire::GroupStatusT& status) {
  auto& it = links_.at(host);
  it.is_leader = status.leads;
  it.has_leader = status.has_leader;
  it.keeps_streams = status.keeps_streams;
  it.protocol = status.protocol;
  // Before anything that may lead to the first configuration.
  if (on_evacuations && status.evacuation_number > 0) {
    on_evacuations({status.evacuation_number,
                    {status.evacuated_zones.begin(), status.evacuated_zones.end()}});
  }
  if (status.leads && status.confirmed && on_departure_number) {
    on_departure_number(status.departure_number);
  }
  if (status.leads && on_leader_status) {
    on_leader_status(status.routers, milliseconds(status.load_interval_ms));
  }
  it.heartbeat = std::max(default_heartbeat, milliseconds(status.heartbeat_ms));
  if (status.confirmed) {
    confirmed_version_ = std::max(confirmed_version_, status.routing_version);
  }
  it.version = status.routing_version;
  // Only a process that knows a leader has a current member list.
  const std::set<std::string> members(status.control_hosts.begin(),
                                      status.control_hosts.end());
  if (status.has_leader && !members.empty() && members != members_) {
    set_members(members);
    if (on_members) {
      on_members(members_);
    }
  }
  fetch_newer();
}

// Selects the control process to fetch a newer version from. Each node ranks them by
// its own hash; the leader, which has a new version first, ranks last, so that not all
// nodes load its link.
control_links::link* control_links::select_fetch_link(time_point now) {
  const auto version = routing_version ? routing_version() : 0;
  link* best = nullptr;
  std::uint64_t best_score = 0;
  for (auto& [host, it] : links_) {
    // Nothing is fetched until a leader confirmed by a quorum has named the newest
    // version: other processes may be behind without having detected it.
    const auto min_version = std::max(version + 1, confirmed_version_);
    if (!it.is_open || confirmed_version_ == 0 || it.version < min_version) {
      continue;
    }
    const auto score =
        it.is_leader ? 1
                     : std::max<std::uint64_t>(2, stable_hash(host + settings_.node_id));
    if (best == nullptr || score > best_score) {
      best = &it;
      best_score = score;
    }
  }
  if (best == nullptr) {
    newer_known_since_ = {};
    return nullptr;
  }
  if (newer_known_since_ == time_point{}) {
    newer_known_since_ = now;
  }
  const bool wait =
      best->is_leader && version > 0 && now - newer_known_since_ < leader_fetch_delay;
  return wait ? nullptr : best;
}

void control_links::fetch_newer() {
  const auto now = io::now();
  if (!on_routing || now < fetch_deadline_) {
    return;
  }
  auto* source = select_fetch_link(now);
  if (source == nullptr) {
    return;
  }
  fetch_deadline_ = now + fetch_timeout;
  wire::FetchRoutingT fetch;
  fetch.have_version = routing_version ? routing_version() : 0;
  source->connection->send(wire::encode_link(fetch));
}

void control_links::handle_routing(const wire::RoutingTextT& text) {
  fetch_deadline_ = {};
  const auto version = routing_version ? routing_version() : 0;
  // A text forwarded by another router may arrive before a leader is confirmed.
  if (text.version <= version || confirmed_version_ == 0 ||
      text.version < confirmed_version_ || !on_routing) {
    return;
  }
  on_routing(text.version, decompress_text(text.packed_text));
  if (routing_version && routing_version() == text.version) {
    packed_text_ = text.packed_text;
  }
  acknowledge_version();
}

bool control_links::has_leader_link() const {
  return std::any_of(links_.begin(), links_.end(), [](const auto& it) {
    return it.second.is_open && it.second.is_leader;
  });
}

std::size_t control_links::open_links() const {
  std::size_t n = 0;
  for (const auto& [host, it] : links_) {
    n += it.is_open ? 1 : 0;
  }
  return n;
}

} // namespace marigoldstep::io
