#include "control/replica.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

#include <algorithm>

namespace marigoldstep::control {

namespace {

// Space on a full disk is often freed within seconds.
constexpr auto storage_retry_interval = milliseconds(1000);
// Several elections take less.
constexpr auto missing_leader_log_interval = milliseconds(2000);
// Short compared to the heartbeat interval of 75 ms.
constexpr auto tick_interval = milliseconds(15);

member_id random_id() {
  return std::max<member_id>(1, io::make_attempt_id().hi);
}

} // namespace

replica::replica(control_settings settings, QObject* parent)
    : QObject(parent), settings_(std::move(settings)), log_(make_log()), network_(this) {
  network_.on_message = [this](const raft_message& message) {
    if (node_ && !out_of_service_) {
      process(step(*node_, message, io::now()));
    }
  };
  network_.on_peer = [this](const peer_info& info) { handle_peer(info); };
  connect(&timer_, &QTimer::timeout, this, [this] { tick(); });
}

std::unique_ptr<io::raft_storage> replica::make_log() {
  auto log = std::make_unique<io::raft_storage>(nullptr);
  log->on_synced = [this](std::uint64_t id) { handle_synced(id); };
  log->on_failed = [this](const std::string& detail) { go_out_of_service(detail); };
  log->on_sync_time = [this](double seconds) {
    if (on_sync_time) {
      on_sync_time(seconds);
    }
  };
  return log;
}

void replica::start(const io::endpoint& client, std::error_code& ec,
                    std::string& detail) {
  auto recovered = log_->open(settings_.data_dir, ec, detail);
  if (ec) {
    return;
  }
  ec = network_.listen(settings_.listen_peer);
  if (ec) {
    detail = "cannot listen for members: " + ec.message();
    return;
  }
  settings_.advertise = client;
  if (settings_.advertise_peer.port == 0) {
    settings_.advertise_peer.port = network_.port();
  }
  if (recovered.torn_tail_bytes > 0) {
    io::log_event(io::log_level::warning, "torn_tail_cut",
                  {{"segment", std::to_string(recovered.last_segment)},
                   {"bytes", std::to_string(recovered.torn_tail_bytes)}});
  }
  if (recovered.raft.snapshot.data) {
    state_ = decode_snapshot(*recovered.raft.snapshot.data, ec);
    if (ec) {
      detail = "the snapshot's contents cannot be read";
      return;
    }
  }
  prepare_node(std::move(recovered));
  timer_.start(tick_interval);
}

void replica::prepare_node(recovered_log recovered) {
  const bool is_new = recovered.raft.identity.id == 0;
  if (is_new) {
    recovered.raft.identity = {random_id(), 0};
  }
  const auto identity = recovered.raft.identity;
  const auto entries = recovered.raft.entries.size();
  raft_settings settings;
  settings.snapshot_bytes = settings_.snapshot_bytes;
  node_ = make_raft_node(settings, std::move(recovered.raft), io::random_engine()(),
                         io::now());
  if (is_new) {
    process(store_identity(*node_));
  }
  io::log_event(io::log_level::info, "log_opened",
                {{"member", std::to_string(identity.id)},
                 {"group", std::to_string(identity.group)},
                 {"new", is_new ? "true" : "false"},
                 {"snapshot", std::to_string(node_->log.snapshot.last_index)},
                 {"entries", std::to_string(entries)}});
  update_targets();
}

void replica::stop() {
  timer_.stop();
  network_.close();
  log_->close();
}

void replica::tick() {
  const auto now = io::now();
  network_.tick(now);
  log_missing_leader();
  if (out_of_service_) {
    if (now >= next_storage_retry_) {
      return_to_service();
    }
    return;
  }
  process(marigoldstep::tick(*node_, now));
  propose_member_changes();
  try_to_form_group();
  bootstrap();
  repair_group();
}

bool replica::tolerates_losses() const {
  return voter_count(members(*node_)) >= required_voters();
}

void replica::log_status(std::string_view event, std::string_view problem) const {
  const auto& node = *node_;
  const bool is_member = find_member(members(node), node.identity.id) != nullptr;
  io::log_event(io::log_level::warning, event,
                {{"problem", std::string(problem)},
                 {"role", std::string(name(node.role))},
                 {"term", std::to_string(node.state.term)},
                 {"leader", std::to_string(node.leader)},
                 {"member", is_member ? "true" : "false"},
                 {"voters", std::to_string(voter_count(members(node)))},
                 {"commit_index", std::to_string(node.commit_index)},
                 {"routing_version", std::to_string(state_.routing_version)},
                 {"in_service", out_of_service_ ? "false" : "true"},
                 {"member_links", describe(network_.links(io::now()))}});
}

void replica::log_missing_leader() {
  const auto now = io::now();
  if (is_ready() || without_leader_since_ == time_point{}) {
    without_leader_since_ = is_ready() ? time_point{} : now;
  } else if (now - without_leader_since_ >= missing_leader_log_interval) {
    without_leader_since_ = now;
    log_status("without_leader", "no leader is known");
  }
}

void replica::process(raft_output out) {
  if (!out.records.empty()) {
    log_->store(out.sync_id, std::move(out.records));
  }
  for (const auto& it : out.immediate_messages) {
    send(it);
  }
  for (auto& it : out.messages) {
    if (out.sync_id <= synced_id_) {
      send(it);
    } else {
      unsynced_messages_.push_back({out.sync_id, std::move(it)});
    }
  }
  if (out.install) {
    install(*out.install);
  }
  const bool changed = out.install || !out.committed.empty();
  apply(out.committed);
  handle_role_change();
  if (changed && on_changed) {
    on_changed();
  }
  complete_reads(out.reads);
  if (out.snapshot_due && !out_of_service_) {
    process(compact(*node_, encode_snapshot(state_), io::now()));
  }
}

void replica::handle_role_change() {
  if (node_->member_history.back().index != observed_members_index_) {
    observed_members_index_ = node_->member_history.back().index;
    update_targets();
    io::log_event(io::log_level::info, "members_changed",
                  {{"index", std::to_string(observed_members_index_)},
                   {"voters", std::to_string(voter_count(members(*node_)))},
                   {"members", std::to_string(members(*node_).size())}});
  }
  if (node_->role == observed_role_ && node_->state.term == observed_term_ &&
      node_->leader == observed_leader_) {
    return;
  }
  const bool was_leader = observed_role_ == raft_role::leader;
  if (!was_leader && node_->role == raft_role::leader) {
    repair_.leader_since = io::now();
  }
  observed_role_ = node_->role;
  observed_term_ = node_->state.term;
  observed_leader_ = node_->leader;
  io::log_event(io::log_level::info, "election",
                {{"role", std::string(name(observed_role_))},
                 {"term", std::to_string(observed_term_)},
                 {"leader", std::to_string(observed_leader_)}});
  if (was_leader && observed_role_ != raft_role::leader) {
    fail_waiting_commands();
  }
  if (on_changed) {
    on_changed();
  }
}

void replica::handle_synced(std::uint64_t sync_id) {
  if (out_of_service_) {
    return;
  }
  synced_id_ = std::max(synced_id_, sync_id);
  release_messages(synced_id_);
  process(synced(*node_, synced_id_, io::now()));
}

void replica::release_messages(std::uint64_t sync_id) {
  for (const auto& it : unsynced_messages_) {
    if (it.sync_id <= sync_id) {
      send(it.message);
    }
  }
  std::erase_if(unsynced_messages_,
                [&](const auto& it) { return it.sync_id <= sync_id; });
}

io::endpoint replica::address_of(member_id id) const {
  if (const auto* it = find_member(members(*node_), id)) {
    return {it->host, it->port};
  }
  // A learner without a member list replies to the leader at the address of its
  // PeerHello.
  const auto* info = network_.find(id);
  return info == nullptr ? io::endpoint() : info->peer;
}

void replica::send(const raft_message& message) {
  network_.send(address_of(message.to), message);
}

void replica::update_targets() {
  std::set<io::endpoint> targets;
  for (const auto& it : members(*node_)) {
    if (it.id != node_->identity.id) {
      targets.insert({it.host, it.port});
    }
  }
  // A process outside of the group sends PeerHello to the seeds until the group adds
  // it.
  const bool is_member = find_member(members(*node_), node_->identity.id) != nullptr;
  if (!is_member || settings_.repair) {
    targets.insert(settings_.peers.begin(), settings_.peers.end());
  }
  // The leader is the only one to add a process, and replies reach it only over a
  // connection that this process opened. It may be missing from the seeds, and from a log
  // that is out of date.
  for (const auto& host : member_hosts_) {
    targets.insert({host, settings_.advertise_peer.port});
  }
  targets.erase(settings_.advertise_peer);
  network_.set_targets(std::move(targets));
  network_.set_self({node_->identity.id, settings_.advertise_peer, settings_.advertise,
                     node_->identity.group != 0});
}

void replica::apply(const std::vector<log_entry>& entries) {
  for (const auto& it : entries) {
    wire::ControlBodyUnion reply;
    if (it.kind == entry_kind::normal) {
      reply = apply_command(state_, it.data);
    }
    const auto waiting = waiting_.find(it.index);
    if (waiting == waiting_.end()) {
      continue;
    }
    const auto done = std::move(waiting->second.done);
    const bool same = waiting->second.term == it.term;
    waiting_.erase(waiting);
    done(same ? std::error_code() : make_error_code(errc::control_unavailable),
         std::move(reply));
  }
}

void replica::install(const raft_snapshot& snapshot) {
  std::error_code ec;
  state_ = decode_snapshot(*snapshot.data, ec);
  if (ec) {
    go_out_of_service("a snapshot from the leader cannot be read");
    return;
  }
  io::log_event(io::log_level::info, "snapshot_installed",
                {{"index", std::to_string(snapshot.last_index)}});
}

void replica::complete_reads(const std::vector<read_result>& reads) {
  for (const auto& it : reads) {
    const auto pending = reads_.find(it.token);
    if (pending == reads_.end()) {
      continue;
    }
    const auto done = std::move(pending->second);
    reads_.erase(pending);
    done(it.confirmed ? std::error_code() : make_error_code(errc::not_leader));
  }
}

void replica::fail_waiting_commands() {
  const auto waiting = std::move(waiting_);
  waiting_.clear();
  for (const auto& [index, it] : waiting) {
    it.done(make_error_code(errc::control_unavailable), {});
  }
}

void replica::go_out_of_service(const std::string& detail) {
  if (out_of_service_) {
    return;
  }
  out_of_service_ = true;
  io::log_event(io::log_level::error, "storage_failed",
                {{"detail", detail},
                 {"action", "out of service until the storage can be read again"}});
  next_storage_retry_ = io::now() + storage_retry_interval;
  unsynced_messages_.clear();
  network_.set_targets({});
  fail_waiting_commands();
  const auto reads = std::move(reads_);
  reads_.clear();
  for (const auto& [token, done] : reads) {
    done(make_error_code(errc::not_leader));
  }
}

// The contents of the disk are unknown after a failed write or sync, so this process
// recovers from what can be read, as after a restart.
void replica::return_to_service() {
  next_storage_retry_ = io::now() + storage_retry_interval;
  log_->close();
  log_ = make_log();
  std::error_code ec;
  std::string detail;
  auto recovered = log_->open(settings_.data_dir, ec, detail);
  fleet_state state;
  if (!ec && recovered.raft.snapshot.data) {
    state = decode_snapshot(*recovered.raft.snapshot.data, ec);
  }
  if (ec) {
    io::log_event(io::log_level::warning, "storage_still_failing",
                  {{"error", ec.message()}, {"detail", detail}});
    return;
  }
  state_ = std::move(state);
  queue_.clear();
  member_changes_.clear();
  synced_id_ = 0;
  out_of_service_ = false;
  prepare_node(std::move(recovered));
}

} // namespace marigoldstep::control
