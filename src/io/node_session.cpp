#include "marigoldstep/io/node_session.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

namespace marigoldstep::io {

namespace {

constexpr auto heartbeat_interval = milliseconds(500);
// Shorter than the lease, so that after a lost acknowledgement the heartbeat can be
// resent in time.
constexpr auto heartbeat_timeout = milliseconds(900);
constexpr auto fetch_timeout = milliseconds(1000);
// Upper limit on the lease that the control group grants in each acknowledgement:
// every node whose lease is not renewed must stop within 3 s.
constexpr auto max_lease = milliseconds(2000);

} // namespace

server_info from_wire(const wire::ServerEntryT& entry) {
  server_info out;
  out.node_id = entry.node_id;
  out.incarnation = entry.incarnation;
  out.service = entry.service;
  out.models = entry.models;
  out.zone = entry.zone;
  out.host = entry.host;
  out.port = entry.port;
  out.state = static_cast<server_state>(entry.state);
  out.weight_milli = entry.weight_milli;
  return out;
}

wire::ServerEntryT to_wire(const server_info& info) {
  wire::ServerEntryT out;
  out.node_id = info.node_id;
  out.incarnation = info.incarnation;
  out.service = info.service;
  out.models = info.models;
  out.zone = info.zone;
  out.host = info.host;
  out.port = info.port;
  out.state = static_cast<wire::ServerState>(info.state);
  out.weight_milli = info.weight_milli;
  return out;
}

node_session::node_session(std::vector<endpoint> control, wire::NodeRole role,
                           std::string node_id, QObject* parent)
    : QObject(parent), client_(std::move(control), this), role_(role),
      node_id_(std::move(node_id)) {
  connect(&timer_, &QTimer::timeout, this, [this] { send_heartbeat(); });
}

void node_session::start() {
  timer_.start(heartbeat_interval);
  send_heartbeat();
}

void node_session::send_heartbeat() {
  if (heartbeat_pending_) {
    return;
  }
  wire::HeartbeatT body;
  body.node_id = node_id_;
  body.incarnation = process_incarnation();
  body.role = role_;
  body.config_version = lease_.applied_version;
  body.membership_term = view_.term;
  body.membership_version = view_.version;
  if (fill_heartbeat) {
    fill_heartbeat(body);
  }
  heartbeat_pending_ = true;
  const auto sent_at = now();
  client_.request(
      std::move(body), heartbeat_timeout, [this, sent_at](control_result result) {
        heartbeat_pending_ = false;
        const auto* ack = result.reply ? result.reply->body.AsHeartbeatAck() : nullptr;
        if (ack != nullptr) {
          handle_ack(*ack, sent_at);
        }
      });
}

void node_session::handle_ack(const wire::HeartbeatAckT& ack, time_point sent_at) {
  record_version(ack.accepted_version);
  renew(lease_, sent_at, std::min(milliseconds(ack.lease_ms), max_lease));
  handle_membership(ack);
  if (on_ack) {
    on_ack(ack);
  }
}

void node_session::handle_membership(const wire::HeartbeatAckT& ack) {
  std::vector<server_info> changes;
  for (const auto& it : ack.changes) {
    changes.push_back(from_wire(*it));
  }
  bool changed = apply_changes(view_, ack.membership_term, ack.membership_version,
                               ack.full, changes);
  changed = apply_lost_zones(view_, ack.lost_zones, ack.heard_in_lost_zones) || changed;
  if (changed && on_membership) {
    on_membership(view_);
  }
}

void node_session::record_version(std::uint64_t version) {
  marigoldstep::record_version(lease_, version);
  if (lease_.applied_version < lease_.accepted_version) {
    fetch_configuration();
  }
}

void node_session::fetch_configuration() {
  if (fetch_pending_) {
    return;
  }
  fetch_pending_ = true;
  wire::FetchConfigT body;
  body.have_version = lease_.applied_version;
  const auto sent_at = now();
  client_.request(body, fetch_timeout, [this, sent_at](control_result result) {
    fetch_pending_ = false;
    const auto* reply = result.reply ? result.reply->body.AsConfigReply() : nullptr;
    if (reply != nullptr) {
      handle_configuration(*reply, sent_at);
    }
  });
}

void node_session::handle_configuration(const wire::ConfigReplyT& reply,
                                        time_point sent_at) {
  yaml_report report{"version " + std::to_string(reply.version), {}};
  auto parsed = parse_configuration(reply.text, reply.version, report);
  if (!report.problems.empty()) {
    log_event(log_level::error, "configuration_unusable",
              {{"version", std::to_string(reply.version)},
               {"problem", to_string(report.problems.front())}});
    return;
  }
  if (!apply_version(lease_, reply.version)) {
    return;
  }
  renew(lease_, sent_at, max_lease);
  config_ = std::make_shared<const configuration>(std::move(parsed));
  log_event(log_level::info, "configuration_applied",
            {{"version", std::to_string(reply.version)}});
  if (on_configuration) {
    on_configuration(config_);
  }
  // Reports the version at once, so that the control group soon sees it in force.
  send_heartbeat();
}

bool node_session::may_take_work() const {
  const auto policy =
      config_ ? config_->limits.on_control_loss : control_loss_policy::stop;
  return marigoldstep::may_take_work(lease_, policy, now());
}

} // namespace marigoldstep::io
