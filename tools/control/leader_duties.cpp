// Leader functions of the service that use only unreplicated state: membership, leases
// and the status of the fleet.
#include "control/service.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/io/node_session.h"

namespace marigoldstep::control {

namespace {

// The lease runs from when the node sent the heartbeat. Together with the delivery time
// of the acknowledgement it stays below 3 s, the time within which an accepted version
// must be in force everywhere.
constexpr std::uint32_t lease_ms = 2000;
// Nodes that are silent for longer hold no lease, so a version can be in force without
// them.
constexpr auto in_force_max_silence = milliseconds(3000);
// Nodes that are silent for longer are omitted from the status.
constexpr auto silent_node_retention = milliseconds(600'000);

server_report to_report(const wire::HeartbeatT& body) {
  server_report out;
  out.server = io::from_wire(*body.server);
  out.server.node_id = body.node_id;
  out.server.incarnation = body.incarnation;
  out.load = body.load;
  out.capacity = body.capacity;
  out.config_version = body.config_version;
  out.leaving = body.leaving;
  return out;
}

std::uint32_t non_negative_ms(milliseconds value) {
  return static_cast<std::uint32_t>(std::max<milliseconds::rep>(0, value.count()));
}

} // namespace

// Starts each term with an empty membership table and without known nodes.
void service::handle_new_term() {
  if (membership_term_ == group_.term()) {
    return;
  }
  membership_term_ = group_.term();
  leader_since_ = io::now();
  membership_ = make_membership_table(leader_since_);
  nodes_.clear();
}

void service::handle_heartbeat(const link& to, std::uint64_t correlation,
                               const wire::HeartbeatT& body) {
  const auto now = io::now();
  handle_new_term();
  if (body.role == wire::NodeRole::agent && body.server) {
    apply_heartbeat(membership_, to_report(body), now);
  }
  for (const auto& it : body.contacted) {
    record_contact(membership_, it, now);
  }
  auto& node = nodes_[body.node_id];
  if (body.incarnation >= node.started) {
    node = {body.role, body.incarnation, body.config_version, now};
  }
  update_in_force();
  when_confirmed(to, correlation, [this, body] { return make_ack(body); });
}

wire::HeartbeatAckT service::make_ack(const wire::HeartbeatT& body) {
  wire::HeartbeatAckT ack;
  ack.term = group_.term();
  ack.accepted_version = group_.state().accepted_version;
  ack.lease_ms = lease_ms;
  ack.membership_term = membership_term_;
  ack.membership_version = membership_.version;
  if (body.role == wire::NodeRole::agent) {
    if (body.server) {
      const auto pool = mean_load(membership_, body.server->service);
      ack.pool_mean_milli = pool.mean_milli;
      ack.pool_servers = pool.servers;
    }
    return ack;
  }
  const router_position position{body.membership_term, body.membership_version};
  // A new leader has not received heartbeats of every agent yet, so routers keep their
  // views. A router without a view gets the incomplete one.
  if (position.term != 0 && position.term != membership_term_ &&
      !is_startup_grace_over(membership_, io::now())) {
    ack.membership_term = position.term;
    ack.membership_version = position.version;
    return ack;
  }
  const auto update =
      next_update(membership_, membership_term_, position, update_budget_bytes);
  ack.membership_version = update.version;
  ack.full = update.full;
  for (const auto& it : update.changes) {
    ack.changes.push_back(std::make_unique<wire::ServerEntryT>(io::to_wire(it)));
  }
  ack.lost_zones = update.lost_zones;
  ack.heard_in_lost_zones = update.live_in_lost_zones;
  return ack;
}

void service::update_in_force() {
  const auto now = io::now();
  const auto accepted = group_.state().accepted_version;
  if (accepted != observed_version_) {
    observed_version_ = accepted;
    version_changed_at_ = now;
    in_force_ = false;
  }
  // A new leader has not received heartbeats of every node yet.
  if (in_force_ || accepted == 0 || now - leader_since_ < in_force_max_silence) {
    return;
  }
  for (const auto& [id, it] : nodes_) {
    if (now - it.last_seen < in_force_max_silence && it.config_version < accepted) {
      return;
    }
  }
  in_force_ = true;
  in_force_after_ms_ = non_negative_ms(now - version_changed_at_);
  io::log_event(io::log_level::info, "configuration_in_force",
                {{"version", std::to_string(accepted)},
                 {"after_ms", std::to_string(in_force_after_ms_)}});
}

void service::add_member_status(wire::StatusReplyT& reply) const {
  const auto& node = *group_.node();
  const auto now = io::now();
  for (const auto& it : members(node)) {
    wire::VoterStatusT voter;
    voter.node_id = it.id;
    voter.host = it.host;
    voter.port = it.port;
    voter.learner = it.learner;
    const auto peer = node.progress.find(it.id);
    if (peer != node.progress.end()) {
      voter.match_index = peer->second.match_index;
      voter.silent_ms = non_negative_ms(now - peer->second.last_reply);
    } else {
      voter.match_index = node.durable_index;
    }
    reply.voters.push_back(std::make_unique<wire::VoterStatusT>(voter));
  }
}

wire::StatusReplyT service::make_status() {
  const auto now = io::now();
  wire::StatusReplyT reply;
  reply.term = group_.term();
  reply.commit_index = group_.node()->commit_index;
  reply.leader = group_.node()->identity.id;
  reply.claims = group_.state().claims.records.size();
  add_member_status(reply);
  reply.accepted_version = group_.state().accepted_version;
  reply.in_force = in_force_;
  reply.in_force_after_ms = in_force_after_ms_;
  std::erase_if(nodes_, [&](const auto& it) {
    return now - it.second.last_seen > silent_node_retention;
  });
  for (const auto& [id, it] : nodes_) {
    wire::NodeStatusT node;
    node.node_id = id;
    node.role = it.role;
    node.config_version = it.config_version;
    node.silent_ms = non_negative_ms(now - it.last_seen);
    const auto known = membership_.members.find(id);
    if (known != membership_.members.end()) {
      const auto& report = known->second.report;
      node.zone = report.server.zone;
      node.state = static_cast<wire::ServerState>(report.server.state);
      node.load = report.load;
      node.service = report.server.service;
    }
    reply.nodes.push_back(std::make_unique<wire::NodeStatusT>(node));
  }
  for (const auto& it : group_.state().changes) {
    if (it.outcome == wire::ChangeOutcome::pending) {
      reply.pending.push_back(std::make_unique<wire::ChangeRecordT>(it));
    }
  }
  return reply;
}

void service::handle_status(const link& to, std::uint64_t correlation) {
  when_confirmed(to, correlation, [this] { return make_status(); });
}

} // namespace marigoldstep::control
