#include "marigoldstep/raft.h"

#include <algorithm>

namespace marigoldstep {

using namespace detail;

std::string_view name(raft_role role) {
  switch (role) {
  case raft_role::follower:
    return "follower";
  case raft_role::pre_candidate:
    return "pre_candidate";
  case raft_role::candidate:
    return "candidate";
  case raft_role::leader:
    return "leader";
  }
  return "follower";
}

raft_node make_raft_node(const raft_settings& settings, raft_recovery recovered,
                         std::uint64_t seed, time_point now) {
  raft_node node;
  node.settings = settings;
  node.identity = recovered.identity;
  node.state = recovered.state;
  node.random.seed(seed);
  const auto& snapshot = recovered.snapshot;
  node.log.snapshot = snapshot;
  node.log.base_index = snapshot.last_index;
  node.log.base_term = snapshot.last_term;
  node.commit_index = snapshot.last_index;
  node.member_history.push_back({snapshot.last_index, snapshot.members});
  raft_output ignored; // the entries are already stored
  for (auto& it : recovered.entries) {
    append_entry(node, std::move(it), ignored);
  }
  node.durable_index = last_index(node.log);
  node.durable_term = node.state.term;
  reset_election_deadline(node, now);
  // The first timeout is shorter: after a restart of the whole group there is no
  // leader to wait for, and pre-votes protect a leader that is still running.
  constexpr int first_deadline_divisor = 2;
  node.election_deadline = now + (node.election_deadline - now) / first_deadline_divisor;
  return node;
}

raft_output store_identity(raft_node& node) {
  raft_output out;
  out.records.emplace_back(log_item(node.identity));
  finish(node, out);
  return out;
}

raft_output form_group(raft_node& node, std::uint64_t group, const group_members& list,
                       time_point now) {
  raft_output out;
  node.identity.group = group;
  out.records.emplace_back(log_item(node.identity));
  node.state = {1, 0};
  store_state(node, out);
  append_entry(node, {1, 1, entry_kind::members, encode_members(list)}, out);
  node.election_deadline = now;
  finish(node, out);
  return out;
}

namespace {

// Compares the term of a message with this member's, and updates or refuses it.
// Returns whether the body must be handled.
bool accept_term(raft_node& node, const raft_message& message, time_point now,
                 raft_output& out) {
  const auto* request = std::get_if<vote_request>(&message.body);
  const auto* reply = std::get_if<vote_reply>(&message.body);
  // Pre-votes carry the term in which the sender would campaign, not its own.
  if ((request != nullptr && request->pre_vote) ||
      (reply != nullptr && reply->pre_vote && reply->granted)) {
    return true;
  }
  if (message.term > node.state.term) {
    // A member that was removed, or that gets no messages from the leader, must
    // not depose a leader that other members can reach.
    if (request != nullptr && has_live_leader(node, now)) {
      return false;
    }
    become_follower(node, message.term, 0, now, out);
    return true;
  }
  if (message.term == node.state.term) {
    return true;
  }
  // The reply carries the newer term to a leader or candidate of an older one.
  auto refusal = make_message(node, message.from);
  if (request != nullptr) {
    refusal.body = vote_reply{false, false};
  } else if (const auto* append = std::get_if<append_request>(&message.body)) {
    refusal.body = append_reply{false, 0, 0, append->previous_index};
  } else if (std::holds_alternative<snapshot_request>(message.body)) {
    refusal.body = snapshot_reply{};
  } else {
    return false;
  }
  out.messages.push_back(std::move(refusal));
  return false;
}

void check_quorum(raft_node& node, time_point now, raft_output& out) {
  std::size_t active_voters = 0;
  for (const auto& it : members(node)) {
    const bool self = it.id == node.identity.id;
    if (!it.learner && (self || now - node.progress[it.id].last_reply <
                                    node.settings.election_timeout_max)) {
      ++active_voters;
    }
  }
  if (active_voters < quorum_size(members(node))) {
    become_follower(node, node.state.term, 0, now, out);
  }
}

std::size_t uncommitted_bytes(const raft_node& node) {
  std::size_t sum = 0;
  for (auto i = node.commit_index; i < last_index(node.log); ++i) {
    sum += node.log.entries[i - node.log.base_index].data.size();
  }
  return sum;
}

} // namespace

raft_output step(raft_node& node, const raft_message& message, time_point now) {
  raft_output out;
  if (message.to != node.identity.id || message.group == 0) {
    return out;
  }
  if (node.identity.group == 0) {
    // The id is random, so only a process whose member list contains it can
    // address it.
    node.identity.group = message.group;
    out.records.emplace_back(log_item(node.identity));
  }
  if (message.group == node.identity.group && accept_term(node, message, now, out)) {
    std::visit([&](const auto& body) { handle(node, message, body, now, out); },
               message.body);
  }
  finish(node, out);
  return out;
}

raft_output tick(raft_node& node, time_point now) {
  raft_output out;
  if (node.role == raft_role::leader) {
    if (now >= node.heartbeat_due) {
      check_quorum(node, now, out);
    }
    if (node.role == raft_role::leader && now >= node.heartbeat_due) {
      send_heartbeats(node, now, out);
    }
  } else if (now >= node.election_deadline && may_campaign(node) &&
             is_term_durable(node)) {
    start_pre_vote(node, now, out);
  }
  finish(node, out);
  return out;
}

raft_output synced(raft_node& node, std::uint64_t sync_id, time_point now) {
  raft_output out;
  const bool had_pending_syncs = !node.pending_syncs.empty();
  while (!node.pending_syncs.empty() && node.pending_syncs.front().id <= sync_id) {
    node.durable_index = node.pending_syncs.front().last_index;
    node.durable_term = node.pending_syncs.front().term;
    node.pending_syncs.pop_front();
  }
  // A candidate gets this member's vote only now.
  const bool sends_vote = had_pending_syncs && node.pending_syncs.empty() &&
                          node.leader == 0 && node.state.voted_for != 0;
  if (node.role == raft_role::follower && sends_vote) {
    reset_election_deadline(node, now);
  }
  count_own_vote(node, now, out);
  if (node.role == raft_role::leader) {
    advance_commit(node, now, out);
  }
  finish(node, out);
  return out;
}

bool is_term_durable(const raft_node& node) {
  return node.durable_term == node.state.term;
}

raft_output propose(raft_node& node, std::vector<bytes> commands, time_point now) {
  raft_output out;
  if (node.role != raft_role::leader) {
    out.error = make_error_code(errc::not_leader);
    return out;
  }
  if (uncommitted_bytes(node) > node.settings.max_uncommitted_bytes) {
    out.error = make_error_code(errc::rate_limited);
    return out;
  }
  out.proposed_index = last_index(node.log) + 1;
  for (auto& it : commands) {
    append_entry(
        node,
        {last_index(node.log) + 1, node.state.term, entry_kind::normal, std::move(it)},
        out);
  }
  for (const auto& [id, it] : node.progress) {
    send_append(node, id, now, out);
  }
  finish(node, out);
  return out;
}

raft_output read_index(raft_node& node, std::uint64_t token, time_point now) {
  raft_output out;
  if (node.role != raft_role::leader) {
    out.reads.push_back({token, false});
    return out;
  }
  node.reads.push_back({token, node.round + 1});
  confirm_reads(node, now, out);
  finish(node, out);
  return out;
}

namespace detail {

raft_message make_message(const raft_node& node, member_id to) {
  return {node.identity.id, to, node.identity.group, node.state.term, {}};
}

void store_state(raft_node& node, raft_output& out) {
  out.records.emplace_back(log_item(node.state));
}

void finish(raft_node& node, raft_output& out) {
  if (!out.records.empty()) {
    ++node.last_sync_id;
    node.pending_syncs.push_back(
        {node.last_sync_id, last_index(node.log), node.state.term});
  }
  out.sync_id = node.last_sync_id;
  const auto& log = node.log;
  const auto since = node.commit_index - log.snapshot.last_index;
  const auto size = log.snapshot.data ? log.snapshot.data->size() : 0;
  // A new snapshot also waits until the log has grown by half the size of the last
  // one, so that a large state is not rewritten too often.
  out.snapshot_due = since > 0 &&
                     (since >= node.settings.snapshot_entries ||
                      log.bytes_since_snapshot >= node.settings.snapshot_bytes) &&
                     log.bytes_since_snapshot >= size / 2;
}

} // namespace detail

} // namespace marigoldstep
