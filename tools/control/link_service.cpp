#include "control/link_service.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

#include <algorithm>

namespace marigoldstep::control {

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(50);
constexpr auto status_interval = duration(400);
constexpr auto heard_interval = duration(250);
constexpr auto load_interval = duration(200);
// Part of the link for texts, and how much of it may go out at once.
constexpr double text_share = 0.4;
constexpr double text_burst_ms = 200;
// A tenth of a link of 3 Mbit/s.
constexpr std::size_t load_bytes_per_ms = 40;
// Three heartbeats of the other side are missing.
constexpr auto silence_limit = duration(1500);
// A server waits a second for its confirmation, an operator several.
constexpr auto report_wait = duration(800);
constexpr auto version_wait = duration(700);
// Routers that left may have used their part of the retry budget.
constexpr auto router_memory = duration(15'000);
constexpr auto keep_silent = duration(60'000);
// A slow reader gets a new connection, and everything anew.
constexpr std::size_t max_queued_bytes = 4U << 20U;

bool matters(directory_change change, const announced_server& server) {
  return change == directory_change::changed && server.state != announced_state::ready;
}

} // namespace

link_service::link_service(replica& group, io::link_settings settings,
                           double link_bytes_per_ms, QObject* parent)
    : QObject(parent), group_(group), listener_(this), peers_(std::move(settings), this),
      link_bytes_per_ms_(link_bytes_per_ms) {
  listener_.on_connection = [this](io::framed_connection* it) { accept(it); };
  peers_.on_servers = [this](const wire::ServerUpdateT& it) { handle_peer_update(it); };
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

void link_service::start() {
  peers_.start();
  timer_.start(tick_interval);
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
    drop(connection, ec.message());
  };
}

void link_service::drop(io::framed_connection* connection, std::string_view why) {
  const auto it = subscribers_.find(connection);
  if (it == subscribers_.end()) {
    return;
  }
  if (!it->second.node_id.empty()) {
    io::log_event(io::log_level::info, "subscriber_lost",
                  {{"node", it->second.node_id}, {"reason", std::string(why)}});
  }
  subscribers_.erase(it);
  std::erase(texts_due_, connection);
  connection->on_frame = nullptr;
  connection->on_closed = nullptr;
  connection->abort();
  connection->deleteLater();
  check_waiting();
}

void link_service::handle_frame(io::framed_connection* connection, byte_view buf) {
  std::error_code ec;
  const auto frame = wire::decode_link(buf, ec);
  const auto known = subscribers_.find(connection);
  if (!frame || known == subscribers_.end()) {
    drop(connection, "malformed frame");
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
    std::erase(texts_due_, connection);
    texts_due_.push_back(connection);
    send_due_texts(io::now());
  } else if (const auto* ask = frame->body.AsConfirmVersion()) {
    answer_version(connection, ask->token);
  } else if (const auto* ack = frame->body.AsUpdateAck()) {
    from.acked_number = ack->number;
    from.version = ack->routing_version;
    check_waiting();
  } else if (const auto* load = frame->body.AsRouterLoad()) {
    handle_load(connection, *load);
  }
}

void link_service::handle_subscribe(io::framed_connection* connection,
                                    const wire::SubscribeT& hello) {
  auto& it = subscribers_.at(connection);
  it.node_id = hello.node_id;
  it.is_router = hello.router;
  it.version = hello.routing_version;
  io::log_event(io::log_level::info, "subscriber_joined",
                {{"node", it.node_id},
                 {"router", it.is_router ? "true" : "false"},
                 {"version", std::to_string(it.version)}});
  send_status(connection);
  wire::ServerUpdateT update;
  update.full = true;
  const auto now = io::now();
  for (const auto& [id, entry] : directory_.entries) {
    update.servers.push_back(
        std::make_unique<wire::AnnouncedServerT>(io::to_wire(entry, now)));
  }
  send_update(connection, it, std::move(update));
  confirm_subscribers();
}

void link_service::handle_load(io::framed_connection* connection,
                               const wire::RouterLoadT& load) {
  if (load.loads) {
    subscribers_.at(connection).load = io::from_wire(*load.loads);
  }
}

void link_service::send_update(io::framed_connection* connection, subscriber& to,
                               wire::ServerUpdateT update) {
  update.number = ++to.sent_number;
  connection->send(wire::encode_link(std::move(update)));
}

void link_service::send_status(io::framed_connection* connection) {
  wire::GroupStatusT status;
  for (const auto& it : members(*group_.node())) {
    status.control_hosts.push_back(it.host);
  }
  status.leads = group_.is_leader();
  status.has_leader = group_.is_ready();
  status.routing_version = group_.state().routing_version;
  status.confirmed = subscribers_.at(connection).confirmed;
  connection->send(wire::encode_link(std::move(status)));
}

void link_service::send_routing(io::framed_connection* connection) {
  const auto& state = group_.state();
  wire::RoutingTextT text;
  text.version = state.routing_version;
  text.packed_text = state.routing_packed_text;
  connection->send(wire::encode_link(std::move(text)));
}

// Texts of many routes to many gateways at once would fill a thin link, and the
// group's heartbeats would wait behind them.
void link_service::send_due_texts(time_point now) {
  const double rate = link_bytes_per_ms_ * text_share;
  const auto elapsed = static_cast<double>((now - budget_at_).count());
  budget_at_ = now;
  text_budget_ = std::min(rate * text_burst_ms, text_budget_ + rate * elapsed);
  const auto size = static_cast<double>(group_.state().routing_packed_text.size());
  while (!texts_due_.empty() && (rate <= 0 || text_budget_ > 0)) {
    auto* connection = texts_due_.front();
    texts_due_.erase(texts_due_.begin());
    send_routing(connection);
    text_budget_ -= size;
  }
}

void link_service::answer_version(io::framed_connection* connection,
                                  std::uint64_t token) {
  group_.confirm([this, connection, token](std::error_code ec) {
    if (!subscribers_.contains(connection)) {
      return;
    }
    wire::VersionConfirmedT reply;
    reply.token = token;
    reply.version = ec ? 0 : group_.state().routing_version;
    connection->send(wire::encode_link(reply));
  });
}

void link_service::when_state_is_newest(std::function<void(std::error_code)> done) {
  if (group_.is_leader()) {
    group_.confirm(std::move(done));
    return;
  }
  peers_.confirm_version([this, done = std::move(done)](std::uint64_t version) {
    const bool newest = version != 0 && group_.state().routing_version >= version;
    done(newest ? std::error_code() : make_error_code(errc::control_unavailable));
  });
}

// A process without a configuration takes the first one only after a quorum has
// confirmed that this leader's is the newest.
void link_service::confirm_subscribers() {
  if (!group_.is_leader()) {
    return;
  }
  std::set<io::framed_connection*> asked;
  for (auto& [connection, it] : subscribers_) {
    if (!it.confirmed && !it.confirming && !it.node_id.empty()) {
      it.confirming = true;
      asked.insert(connection);
    }
  }
  if (asked.empty()) {
    return;
  }
  group_.confirm([this, asked](std::error_code ec) {
    for (auto* connection : asked) {
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

void link_service::handle_report(const announced_server& server, settled_callback done) {
  const auto change = observe(directory_, server, duration(0), io::now());
  if (change == directory_change::heard) {
    heard_.insert(server.id);
  } else if (change == directory_change::changed) {
    changed_.insert(server.id);
    io::log_event(io::log_level::info, "server_report",
                  {{"server", server.id},
                   {"service", server.service},
                   {"address", server.host + ":" + std::to_string(server.port)},
                   {"state", std::string(name(server.state))},
                   {"started", std::to_string(server.started)},
                   {"sequence", std::to_string(server.sequence)}});
    push_changes();
  }
  const bool known_leaving =
      change == directory_change::stale && server.state != announced_state::ready;
  if (!matters(change, server) && !known_leaving) {
    done(true);
    return;
  }
  waiting it;
  it.until = io::now() + report_wait;
  it.done = std::move(done);
  for (const auto& [connection, to] : subscribers_) {
    it.updates[connection] = to.sent_number;
  }
  waiting_.push_back(std::move(it));
  check_waiting();
}

void link_service::when_version_applied(std::uint64_t version, settled_callback done) {
  waiting it;
  it.version = version;
  it.until = io::now() + version_wait;
  it.done = std::move(done);
  waiting_.push_back(std::move(it));
  check_waiting();
}

bool link_service::is_settled(const waiting& it) const {
  for (const auto& [connection, number] : it.updates) {
    const auto to = subscribers_.find(connection);
    if (to != subscribers_.end() && to->second.acked_number < number) {
      return false;
    }
  }
  if (it.version == 0) {
    return true;
  }
  return std::all_of(subscribers_.begin(), subscribers_.end(), [&](const auto& to) {
    return !to.second.is_router || to.second.version >= it.version;
  });
}

void link_service::check_waiting() {
  const auto now = io::now();
  std::vector<std::pair<settled_callback, bool>> ended;
  std::erase_if(waiting_, [&](auto& it) {
    const bool settled = is_settled(it);
    if (settled || now >= it.until) {
      ended.emplace_back(std::move(it.done), settled);
      return true;
    }
    return false;
  });
  for (auto& [done, settled] : ended) {
    done(settled);
  }
}

void link_service::handle_state_changed() {
  const auto version = group_.state().routing_version;
  if (version != seen_version_) {
    seen_version_ = version;
    io::log_event(io::log_level::info, "routing_stored",
                  {{"version", std::to_string(version)},
                   {"bytes", std::to_string(group_.state().routing_packed_text.size())}});
    for (auto& [connection, it] : subscribers_) {
      if (!it.node_id.empty()) {
        send_status(connection);
      }
    }
  }
}

// Sends what changed to everybody; what another control process told goes to
// gateways only, since that process tells the others itself.
void link_service::push_changes() {
  const auto now = io::now();
  const auto fill = [&](wire::ServerUpdateT& update, const std::set<std::string>& ids) {
    for (const auto& id : ids) {
      const auto it = directory_.entries.find(id);
      if (it != directory_.entries.end()) {
        update.servers.push_back(
            std::make_unique<wire::AnnouncedServerT>(io::to_wire(it->second, now)));
      }
    }
  };
  for (auto& [connection, it] : subscribers_) {
    if (it.node_id.empty()) {
      continue;
    }
    wire::ServerUpdateT update;
    fill(update, changed_);
    if (it.is_router) {
      fill(update, changed_peer_);
    }
    update.heard.assign(heard_.begin(), heard_.end());
    if (!update.servers.empty() || !update.heard.empty()) {
      send_update(connection, it, std::move(update));
    }
  }
  changed_.clear();
  changed_peer_.clear();
  heard_.clear();
}

void link_service::handle_peer_update(const wire::ServerUpdateT& update) {
  const auto now = io::now();
  for (const auto& it : update.servers) {
    const auto server = io::from_wire(*it);
    if (observe(directory_, server, duration(it->silent_ms), now) ==
        directory_change::changed) {
      changed_peer_.insert(server.id);
    }
  }
  for (const auto& id : update.heard) {
    observe_heard(directory_, id, now);
  }
  if (!changed_peer_.empty()) {
    push_changes();
  }
}

void link_service::send_fleet_load() {
  if (!group_.is_leader()) {
    return;
  }
  const auto now = io::now();
  std::erase_if(routers_,
                [&](const auto& it) { return now - it.second > router_memory; });
  std::map<std::uint32_t, load_count> sum;
  std::size_t receivers = 0;
  for (const auto& [connection, it] : subscribers_) {
    receivers += it.is_router ? 1 : 0;
    for (const auto& [server, load] : it.load) {
      sum[server].requests += load.requests;
      sum[server].tokens += load.tokens;
    }
  }
  wire::FleetLoadT load;
  load.routers = static_cast<std::uint32_t>(routers_.size());
  load.loads = io::to_wire(sum);
  const auto buf = wire::encode_link(std::move(load));
  const auto needed = std::chrono::milliseconds(
      static_cast<std::int64_t>(receivers * buf.size() / load_bytes_per_ms));
  load_at_ = now + std::max<duration>(load_interval, needed);
  for (auto& [connection, it] : subscribers_) {
    if (it.is_router) {
      connection->send(buf);
    }
  }
}

void link_service::tick() {
  const auto now = io::now();
  std::vector<io::framed_connection*> silent;
  for (const auto& [connection, it] : subscribers_) {
    if (now - it.heard_at > silence_limit ||
        connection->queued_bytes() > max_queued_bytes) {
      silent.push_back(connection);
    }
  }
  for (auto* connection : silent) {
    drop(connection, "silent");
  }
  check_waiting();
  confirm_subscribers();
  send_due_texts(now);
  if (now >= heard_at_ && !heard_.empty()) {
    heard_at_ = now + heard_interval;
    push_changes();
  }
  if (now >= load_at_) {
    load_at_ = now + load_interval;
    send_fleet_load(); // may put off the next one
    forget_silent(directory_, keep_silent, now);
  }
  if (now >= status_at_) {
    status_at_ = now + status_interval;
    for (auto& [connection, it] : subscribers_) {
      if (!it.node_id.empty()) {
        send_status(connection);
      }
    }
  }
}

} // namespace marigoldstep::control
