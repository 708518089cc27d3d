// The directory of backend servers in a control process and its updates to subscribers.
#include "control/link_service.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

#include <algorithm>

namespace marigoldstep::control {

namespace {

// An acknowledgement takes one round trip, or two when another router forwards the
// message. After this time the message or its acknowledgement counts as lost.
constexpr auto min_resend_delay = milliseconds(600);
// The resend delay grows by the transmission time of the message times this.
constexpr double resend_factor = 4;
// With at most this many subscribers each router receives each change from every control
// process, so that the loss of one causes no delay; with more, from two of them.
constexpr std::size_t max_redundant_subscribers = 40;
// Size of a report and its response with network overhead, and the part of the link's
// bandwidth for all of them.
constexpr double bytes_per_report = 600;
constexpr double report_bandwidth_fraction = 0.1;
constexpr auto report_window = milliseconds(1000);
// Servers wait a second for the confirmation of a report.
constexpr auto report_timeout = milliseconds(800);
// Servers that are silent for longer are removed from the directory.
constexpr auto silent_retention = milliseconds(60'000);

// A server that doesn't say when it started has started by now.
announced_server with_start_time(const server_directory& directory,
                                 announced_server report) {
  constexpr incarnation ms_per_second = 1000;
  if (report.state == announced_state::gone && report.started == 0 &&
      !directory.entries.contains(report.id)) {
    report.started = (io::wall_clock() + 1) * ms_per_second;
  }
  return report;
}

} // namespace

// A report waits until this process knows every departure that was confirmed before it
// started, since it can't tell a delayed report from a new server's before. A server is
// announced once its version is recorded, so that after the loss of every process the
// versions that streams may have begun at are known.
void link_service::handle_report(const announced_server& server,
                                 acknowledged_callback done) {
  if (knows_earlier_departures_ && (may_announce(server) || !request_version(server))) {
    announce(server, std::move(done));
    return;
  }
  held_reports_.push_back({server, io::now() + report_timeout, std::move(done)});
}

bool link_service::may_announce(const announced_server& server) const {
  return knows_earlier_departures_ &&
         (server.state == announced_state::gone ||
          has_version(group_.state(), server.service, server.version));
}

void link_service::announce(const announced_server& report, acknowledged_callback done) {
  const auto server = with_start_time(directory_, report);
  if (server.state == announced_state::ready &&
      is_recorded(group_.state().departures, server)) {
    io::log_event(io::log_level::info, "report_from_before_departure",
                  {{"server", server.id},
                   {"started", std::to_string(server.started)},
                   {"sequence", std::to_string(server.sequence)}});
    done(true);
    return;
  }
  const auto change = apply_report(directory_, server, milliseconds(0), io::now());
  if (change == directory_change::refreshed && contains(reported_, server.id)) {
    unchanged_.insert(server.id);
  } else if (change != directory_change::stale) {
    index_server(server.id);
    record_change(reported_, server.id);
    io::log_event(io::log_level::info, "server_report",
                  {{"server", server.id},
                   {"service", server.service},
                   {"address", server.host + ":" + std::to_string(server.port)},
                   {"state", std::string(name(server.state))},
                   {"version", server.version},
                   {"started", std::to_string(server.started)},
                   {"sequence", std::to_string(server.sequence)}});
  }
  if (server.state == announced_state::ready) {
    done(true);
  } else {
    confirm_departure(server, std::move(done));
  }
}

// A repeated report waits as the first one did, which may not have been confirmed.
void link_service::confirm_departure(const announced_server& server,
                                     acknowledged_callback done) {
  if (!contains(reported_, server.id) && directory_.entries.contains(server.id)) {
    // Received from another control process before; the waiter below waits for the
    // reported feed, so the server must be in it.
    record_change(reported_, server.id);
  }
  push_changes(feed::reported);
  acknowledgement_waiter it;
  it.deadline = io::now() + report_timeout;
  it.done = std::move(done);
  it.number = reported_.number;
  it.departure = required_departure(directory_, server);
  for (const auto& [connection, to] : subscribers_) {
    it.receivers.insert(connection);
  }
  request_departure(*it.departure);
  waiting_.push_back(std::move(it));
  complete_waiting();
}

link_service::feed_progress& link_service::progress(subscriber& it, feed which) const {
  return which == feed::reported ? it.reported : it.repeated;
}

change_feed& link_service::changes(feed which) {
  return which == feed::reported ? reported_ : repeated_;
}

// The repeated feed goes to gateways only, since its origin sends to the other control
// processes itself. With many gateways each gets it from one control process.
bool link_service::receives(const subscriber& it, feed which) const {
  if (it.node_id.empty() || which == feed::reported) {
    return !it.node_id.empty();
  }
  if (!it.is_router || subscribers_.size() <= max_redundant_subscribers) {
    return it.is_router;
  }
  // A gateway that received the feed keeps it, since it would miss servers that become
  // silent otherwise.
  return it.is_primary || it.repeated.acked.epoch == repeated_.epoch;
}

// Assigns each router one control process for the repeated feed, by rendezvous hashing.
void link_service::choose_primaries() {
  const auto& hosts = members(*group_.node());
  for (auto& [connection, it] : subscribers_) {
    const auto score = [&id = it.node_id](const std::string& host) {
      return stable_hash(host + id);
    };
    it.is_primary = std::all_of(hosts.begin(), hosts.end(), [&](const auto& member) {
      return score(member.host) <= score(own_host_);
    });
  }
}

// Sends each subscriber the changes it lacks, with one unacknowledged message at a time
// for flow control.
void link_service::push_changes(feed which) {
  const auto now = io::now();
  const auto& list = changes(which);
  std::vector<io::framed_connection*> new_receivers;
  std::vector<io::framed_connection*> lagging_receivers;
  for (auto& [connection, it] : subscribers_) {
    if (!receives(it, which)) {
      continue;
    }
    auto& at = progress(it, which);
    const auto known = resume_number(list, at.acked);
    const bool lacks_epoch = at.acked.epoch != list.epoch;
    if (known == list.number && !lacks_epoch) {
      continue;
    }
    const bool in_flight = at.has_sent && (lacks_epoch || known < at.sent_number);
    if (!in_flight || now >= at.resend_at) {
      (known == 0 ? new_receivers : lagging_receivers).push_back(connection);
    }
  }
  send_changes(which, std::move(new_receivers));
  send_changes(which, std::move(lagging_receivers));
}

void link_service::send_changes(feed which,
                                std::vector<io::framed_connection*> receivers) {
  if (receivers.empty()) {
    return;
  }
  const auto now = io::now();
  const auto& list = changes(which);
  wire::ServerUpdateT update;
  update.origin = own_host_;
  update.repeated = which == feed::repeated;
  update.epoch = list.epoch;
  update.number = list.number;
  update.after = list.number;
  for (auto* it : receivers) {
    const auto& at = progress(subscribers_.at(it), which);
    update.after = std::min(update.after, resume_number(list, at.acked));
  }
  for (const auto& id : ids_changed_after(list, update.after)) {
    const auto it = directory_.entries.find(id);
    if (it != directory_.entries.end()) {
      auto server =
          std::make_unique<wire::AnnouncedServerT>(io::to_wire(it->second, now));
      server->silent = silent_servers_.contains(id);
      update.servers.push_back(std::move(server));
    }
  }
  const auto sent = static_cast<double>(send_fan_out(update, receivers));
  change_budget_ -= sent;
  const auto send_time_ms = sent / limits_.link_bytes_per_ms;
  const auto resend_at =
      now + min_resend_delay +
      milliseconds(static_cast<milliseconds::rep>(resend_factor * send_time_ms));
  for (auto* it : receivers) {
    auto& at = progress(subscribers_.at(it), which);
    at.has_sent = true;
    at.sent_number = list.number;
    at.resend_at = resend_at;
  }
}

// Sends the other control processes the servers that reported here without a change.
void link_service::send_unchanged_reports() {
  if (unchanged_.empty()) {
    return;
  }
  wire::ServersHeardT message;
  for (const auto& id : unchanged_) {
    message.servers.push_back(io::server_hash(id));
  }
  unchanged_.clear();
  const auto buf = wire::encode_link(std::move(message));
  for (const auto& [connection, it] : subscribers_) {
    if (!it.node_id.empty() && !it.is_router) {
      connection->send(buf);
    }
  }
}

// Gateways get a message when a server becomes silent and when it reports again, but
// none while it keeps reporting.
void link_service::update_silent_servers() {
  const auto now = io::now();
  for (const auto& [id, entry] : directory_.entries) {
    const bool is_silent = now - entry.last_seen > limits_.silence_timeout;
    if (is_silent == silent_servers_.contains(id) ||
        entry.server.state == announced_state::gone) {
      continue;
    }
    if (is_silent) {
      silent_servers_.insert(id);
    } else {
      silent_servers_.erase(id);
    }
    io::log_event(
        io::log_level::info, is_silent ? "server_silent" : "server_heard_again",
        {{"server", id}, {"silent_ms", std::to_string((now - entry.last_seen).count())}});
    for (auto* list : {&reported_, &repeated_}) {
      if (contains(*list, id)) {
        record_change(*list, id);
      }
    }
  }
}

void link_service::remove_silent_servers() {
  for (const auto& id : remove_silent(directory_, silent_retention, io::now())) {
    remove_id(reported_, id);
    remove_id(repeated_, id);
    silent_servers_.erase(id);
    ids_by_hash_.erase(io::server_hash(id));
  }
  // An entry also disappears when another server reports from its address.
  const auto is_unknown = [&](const std::string& id) {
    return !directory_.entries.contains(id);
  };
  std::erase_if(silent_servers_, is_unknown);
  std::erase_if(ids_by_hash_, [&](const auto& it) { return is_unknown(it.second); });
}

void link_service::handle_peer_update(const wire::ServerUpdateT& update) {
  const auto now = io::now();
  for (const auto& it : update.servers) {
    const auto server = io::from_wire(*it);
    if (apply_report(directory_, server, milliseconds(it->silent_ms), now) ==
            directory_change::changed ||
        !contains(repeated_, server.id)) {
      index_server(server.id);
      record_change(repeated_, server.id);
    }
  }
  push_changes(feed::repeated);
}

void link_service::index_server(const std::string& id) {
  ids_by_hash_[io::server_hash(id)] = id;
}

void link_service::handle_peer_unchanged_reports(
    const std::vector<std::uint32_t>& servers) {
  const auto now = io::now();
  for (const auto hash : servers) {
    const auto it = ids_by_hash_.find(hash);
    if (it != ids_by_hash_.end()) {
      raise_last_seen(directory_, it->second, now);
    }
  }
}

// Unchanged reports that a router received on behalf of this process.
void link_service::handle_unchanged_reports(io::framed_connection* connection,
                                            const std::vector<std::uint32_t>& servers) {
  const auto now = io::now();
  wire::UnknownServersT unknown;
  for (const auto hash : servers) {
    const auto it = ids_by_hash_.find(hash);
    if (it == ids_by_hash_.end() || !directory_.entries.contains(it->second)) {
      unknown.servers.push_back(hash);
      continue;
    }
    raise_last_seen(directory_, it->second, now);
    unchanged_.insert(it->second);
    // Its reports came through another control process before.
    if (!contains(reported_, it->second)) {
      record_change(reported_, it->second);
    }
  }
  if (!unknown.servers.empty()) {
    connection->send(wire::encode_link(std::move(unknown)));
  }
}

void link_service::handle_router_report(io::framed_connection* connection,
                                        const wire::ReportServerT& report) {
  const auto reply = [this, connection, token = report.token](bool acknowledged) {
    if (subscribers_.contains(connection)) {
      wire::ReportSettledT message;
      message.token = token;
      message.settled = acknowledged;
      connection->send(wire::encode_link(message));
    }
  };
  // Without a leader this process may be partitioned from the other routers.
  if (!report.server || !group_.is_ready()) {
    reply(false);
    return;
  }
  handle_report(io::from_wire(*report.server), reply);
}

std::optional<io::endpoint>
link_service::next_report_address(const announced_server& server) {
  const auto now = io::now();
  std::erase_if(direct_reports_, [&](auto at) { return now - at > report_window; });
  direct_reports_.push_back(now);
  const auto bytes = bytes_per_report * static_cast<double>(direct_reports_.size());
  const auto max_bytes = limits_.link_bytes_per_ms * report_bandwidth_fraction *
                         static_cast<double>(report_window.count());
  if (bytes <= max_bytes || server.state != announced_state::ready) {
    return std::nullopt;
  }
  const subscriber* best = nullptr;
  std::pair<bool, std::uint64_t> best_score;
  for (const auto& [connection, it] : subscribers_) {
    const std::pair score(it.zone == server.zone, stable_hash(it.node_id + server.id));
    if (it.is_router && it.takes_reports && (best == nullptr || score > best_score)) {
      best = &it;
      best_score = score;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  io::log_event(io::log_level::info, "reports_handed_over",
                {{"server", server.id},
                 {"router", best->node_id},
                 {"reports_a_second", std::to_string(direct_reports_.size())}});
  return io::endpoint{best->host, reports_port_};
}

} // namespace marigoldstep::control
