// Replication of entries and quorum-confirmed reads.
#include "marigoldstep/raft.h"

#include <algorithm>

namespace marigoldstep::detail {

namespace {

std::vector<log_entry> entries_to_send(const raft_node& node, const peer_progress& peer) {
  std::vector<log_entry> out;
  std::size_t size = 0;
  const auto limit = peer.match_index + node.settings.max_in_flight_entries;
  const auto end = std::min(last_index(node.log), limit);
  for (auto i = peer.next_index; i <= end; ++i) {
    const auto& entry = node.log.entries[i - node.log.base_index - 1];
    size += entry.data.size();
    const bool full = out.size() >= node.settings.max_append_entries ||
                      size > node.settings.max_append_bytes;
    if (full && !out.empty()) {
      break;
    }
    out.push_back(entry);
  }
  return out;
}

// Index of the first uncommitted entry with the conflicting entry's term. The
// leader retries from there instead of moving back one entry at a time.
log_index conflict_index(const raft_node& node, log_index previous) {
  const auto last = last_index(node.log);
  if (previous > last) {
    return last + 1;
  }
  const auto term = term_at(node.log, previous);
  auto index = previous;
  while (index > node.commit_index + 1 && term_at(node.log, index - 1) == term) {
    --index;
  }
  return index;
}

// Appends the entries that are missing, and truncates the log first where it
// conflicts. Returns the index up to which it now matches the leader's log.
log_index store_entries(raft_node& node, const append_request& body, raft_output& out) {
  for (const auto& it : body.entries) {
    if (it.index <= node.log.base_index || term_at(node.log, it.index) == it.term) {
      continue;
    }
    if (it.index <= last_index(node.log)) {
      truncate_from(node, it.index);
    }
    append_entry(node, it, out);
  }
  return std::max(body.previous_index + body.entries.size(), node.log.base_index);
}

bool is_well_formed(const append_request& body) {
  auto index = body.previous_index;
  auto term = body.previous_term;
  return std::all_of(body.entries.begin(), body.entries.end(), [&](const auto& it) {
    const bool ok = it.index == index + 1 && it.term >= term;
    index = it.index;
    term = it.term;
    return ok;
  });
}

// The latest round that a quorum has acknowledged.
std::uint64_t quorum_round(raft_node& node) {
  std::vector<std::uint64_t> rounds;
  for (const auto& it : members(node)) {
    if (!it.learner) {
      rounds.push_back(it.id == node.identity.id ? node.round
                                                 : node.progress[it.id].acked_round);
    }
  }
  if (rounds.empty()) {
    return 0;
  }
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  return rounds[rounds.size() / 2];
}

void handle_failure(raft_node& node, member_id from, const append_reply& body,
                    time_point now, raft_output& out) {
  auto& peer = node.progress[from];
  const bool stale = peer.probing ? body.rejected_index + 1 != peer.next_index
                                  : body.rejected_index <= peer.match_index;
  if (peer.transfer || stale) {
    return;
  }
  peer.probing = true;
  peer.paused = false;
  peer.next_index =
      std::max(peer.match_index + 1, std::min(body.match_index, body.rejected_index));
  send_append(node, from, now, out);
}

void handle_success(raft_node& node, member_id from, const append_reply& body,
                    time_point now, raft_output& out) {
  auto& peer = node.progress[from];
  if (body.match_index > last_index(node.log)) {
    return;
  }
  peer.match_index = std::max(peer.match_index, body.match_index);
  peer.next_index = std::max(peer.next_index, peer.match_index + 1);
  if (peer.transfer && peer.transfer->snapshot.last_index <= peer.match_index) {
    peer.transfer.reset();
  }
  peer.probing = false;
  peer.paused = false;
  advance_commit(node, now, out);
  if (node.role == raft_role::leader && peer.next_index <= last_index(node.log) &&
      peer.next_index <= peer.match_index + node.settings.max_in_flight_entries) {
    send_append(node, from, now, out);
  }
}

} // namespace

void update_progress(raft_node& node, time_point now) {
  std::map<member_id, peer_progress> kept;
  for (const auto& it : members(node)) {
    if (it.id == node.identity.id) {
      continue;
    }
    const auto known = node.progress.find(it.id);
    if (known != node.progress.end()) {
      kept[it.id] = std::move(known->second);
    } else {
      auto& peer = kept[it.id];
      peer.next_index = last_index(node.log) + 1;
      peer.last_reply = now;
    }
  }
  node.progress = std::move(kept);
}

void send_append(raft_node& node, member_id to, time_point now, raft_output& out) {
  auto& peer = node.progress[to];
  if (peer.transfer || peer.paused) {
    return;
  }
  const auto previous = peer.next_index - 1;
  if (previous < node.log.base_index) {
    start_transfer(node, to, now, out);
    return;
  }
  auto message = make_message(node, to);
  append_request body{
      previous, term_at(node.log, previous), node.commit_index, node.round, {}};
  // A probe is sent again with each heartbeat, so it carries no entries: they would
  // saturate a slow link before the first reply arrives.
  if (peer.probing) {
    peer.paused = true;
  } else {
    body.entries = entries_to_send(node, peer);
    peer.next_index += body.entries.size();
  }
  message.body = std::move(body);
  out.immediate_messages.push_back(std::move(message));
}

void send_heartbeats(raft_node& node, time_point now, raft_output& out) {
  node.heartbeat_due = now + node.settings.heartbeat_interval;
  for (auto& [id, peer] : node.progress) {
    if (peer.transfer) {
      if (now - peer.transfer->sent_at >= node.settings.chunk_retry_timeout) {
        send_chunk(node, id, now, out);
      }
      // Lets the member acknowledge heartbeat rounds during a long transfer.
      auto message = make_message(node, id);
      message.body = append_request{
          node.log.base_index, node.log.base_term, node.commit_index, node.round, {}};
      out.immediate_messages.push_back(std::move(message));
      continue;
    }
    peer.paused = false;
    send_append(node, id, now, out);
  }
}

void handle(raft_node& node, const raft_message& message, const append_request& body,
            time_point now, raft_output& out) {
  if (node.role == raft_role::leader || !is_well_formed(body)) {
    return;
  }
  if (node.role != raft_role::follower || node.leader != message.from) {
    become_follower(node, node.state.term, message.from, now, out);
  }
  node.last_leader_contact = now;
  auto reply = make_message(node, message.from);
  const bool matches_previous =
      body.previous_index <= node.log.base_index ||
      (body.previous_index <= last_index(node.log) &&
       term_at(node.log, body.previous_index) == body.previous_term);
  if (!matches_previous) {
    reset_election_deadline(node, now);
    reply.body = append_reply{false, conflict_index(node, body.previous_index),
                              body.round, body.previous_index};
    out.messages.push_back(std::move(reply));
    return;
  }
  const auto before = out.records.size();
  auto match = store_entries(node, body, out);
  commit_up_to(node, std::min(body.commit_index, match), out);
  // Reset only after the entries are stored: they may have made this member a
  // voter, whose timeout is shorter than that of a learner.
  reset_election_deadline(node, now);
  // A reply that acknowledges nothing new doesn't wait for the disk, so that a
  // member with a slow disk is not taken for an unreachable one.
  const bool reply_at_once =
      out.records.size() == before && out.records.empty() && is_term_durable(node);
  if (reply_at_once) {
    match = std::min(match, node.durable_index);
  }
  reply.body = append_reply{true, match, body.round, 0};
  (reply_at_once ? out.immediate_messages : out.messages).push_back(std::move(reply));
}

void handle(raft_node& node, const raft_message& message, const append_reply& body,
            time_point now, raft_output& out) {
  const auto it = node.progress.find(message.from);
  if (node.role != raft_role::leader || it == node.progress.end()) {
    return;
  }
  it->second.last_reply = now;
  if (body.round <= node.round) {
    it->second.acked_round = std::max(it->second.acked_round, body.round);
  }
  if (body.success) {
    handle_success(node, message.from, body, now, out);
  } else {
    handle_failure(node, message.from, body, now, out);
  }
  if (node.role == raft_role::leader) {
    confirm_reads(node, now, out);
  }
}

void confirm_reads(raft_node& node, time_point now, raft_output& out) {
  // A new leader knows the commit index of earlier leaders only once it has
  // committed an entry of its own term.
  if (term_at(node.log, node.commit_index) != node.state.term) {
    return;
  }
  while (!node.reads.empty()) {
    const auto acked = quorum_round(node);
    std::erase_if(node.reads, [&](const auto& it) {
      if (it.round > acked) {
        return false;
      }
      out.reads.push_back({it.token, true});
      return true;
    });
    // Reads that arrived during a round wait for the next one.
    if (node.reads.empty() || node.round > acked) {
      return;
    }
    ++node.round;
    send_heartbeats(node, now, out);
  }
}

void fail_reads(raft_node& node, raft_output& out) {
  for (const auto& it : node.reads) {
    out.reads.push_back({it.token, false});
  }
  node.reads.clear();
}

} // namespace marigoldstep::detail
