// Snapshots: log compaction and transfer to other members in chunks.
#include "marigoldstep/raft.h"

#include <algorithm>

namespace marigoldstep {

namespace {

group_members members_at(const raft_node& node, log_index index) {
  group_members out;
  for (const auto& it : node.member_history) {
    if (it.index <= index) {
      out = it.members;
    }
  }
  return out;
}

// Discards the entries up to and including index, which must not be greater than
// the last index.
void discard_through(raft_node& node, log_index index) {
  if (index <= node.log.base_index) {
    return;
  }
  const auto term = term_at(node.log, index);
  const auto n = static_cast<std::ptrdiff_t>(index - node.log.base_index);
  node.log.entries.erase(node.log.entries.begin(), node.log.entries.begin() + n);
  node.log.base_index = index;
  node.log.base_term = term;
}

void replace_snapshot(raft_node& node, const raft_snapshot& snapshot, raft_output& out) {
  node.log.snapshot = snapshot;
  node.log.bytes_since_snapshot = 0;
  std::erase_if(node.member_history,
                [&](const auto& it) { return it.index <= snapshot.last_index; });
  node.member_history.insert(node.member_history.begin(),
                             {snapshot.last_index, snapshot.members});
  log_checkpoint checkpoint{snapshot,
                            {node.identity, node.state,
                             snapshot_marker{snapshot.last_index, snapshot.last_term}}};
  for (const auto& it : node.log.entries) {
    if (it.index > snapshot.last_index) {
      node.log.bytes_since_snapshot += it.data.size();
      checkpoint.items.emplace_back(it);
    }
  }
  out.records.emplace_back(std::move(checkpoint));
}

void install_snapshot(raft_node& node, const raft_snapshot& snapshot, raft_output& out) {
  if (term_at(node.log, snapshot.last_index) == snapshot.last_term) {
    discard_through(node, snapshot.last_index);
  } else {
    if (!node.log.entries.empty()) {
      detail::truncate_from(node, node.log.base_index + 1);
    }
    node.log.base_index = snapshot.last_index;
    node.log.base_term = snapshot.last_term;
    node.member_history.clear();
  }
  node.commit_index = snapshot.last_index;
  replace_snapshot(node, snapshot, out);
  out.install = snapshot;
}

// Appends a chunk to the snapshot received so far. Returns the offset of the next
// chunk.
std::uint64_t append_chunk(raft_node& node, member_id from,
                           const snapshot_request& body) {
  auto& incoming = node.incoming;
  const bool same = incoming && incoming->from == from &&
                    incoming->last_index == body.last_index &&
                    incoming->last_term == body.last_term;
  if (!same) {
    incoming = incoming_snapshot{from, body.last_index, body.last_term, {}};
  }
  const bool fits = body.total <= node.settings.max_snapshot_bytes &&
                    body.offset + body.data.size() <= body.total;
  if (fits && body.offset == incoming->data.size()) {
    incoming->data.insert(incoming->data.end(), body.data.begin(), body.data.end());
  }
  return incoming->data.size();
}

} // namespace

raft_output compact(raft_node& node, bytes state, time_point /*now*/) {
  raft_output out;
  const auto index = node.commit_index;
  if (index <= node.log.snapshot.last_index) {
    return out;
  }
  raft_snapshot snapshot{index, term_at(node.log, index), members_at(node, index),
                         std::make_shared<const bytes>(std::move(state))};
  const auto keep = node.settings.trailing_entries;
  replace_snapshot(node, snapshot, out);
  discard_through(node, index > keep ? index - keep : 0);
  detail::finish(node, out);
  return out;
}

namespace detail {

void start_transfer(raft_node& node, member_id to, time_point now, raft_output& out) {
  node.progress[to].transfer = snapshot_transfer{node.log.snapshot, 0, now};
  send_chunk(node, to, now, out);
}

void send_chunk(raft_node& node, member_id to, time_point now, raft_output& out) {
  auto& transfer = *node.progress[to].transfer;
  transfer.sent_at = now;
  const auto& data = *transfer.snapshot.data;
  const auto n = std::min<std::uint64_t>(node.settings.snapshot_chunk_bytes,
                                         data.size() - transfer.offset);
  const auto begin = data.begin() + static_cast<std::ptrdiff_t>(transfer.offset);
  snapshot_request body;
  body.last_index = transfer.snapshot.last_index;
  body.last_term = transfer.snapshot.last_term;
  body.members = transfer.snapshot.members;
  body.offset = transfer.offset;
  body.total = data.size();
  body.data.assign(begin, begin + static_cast<std::ptrdiff_t>(n));
  auto message = make_message(node, to);
  message.body = std::move(body);
  out.immediate_messages.push_back(std::move(message));
}

void handle(raft_node& node, const raft_message& message, const snapshot_request& body,
            time_point now, raft_output& out) {
  if (node.role == raft_role::leader) {
    return;
  }
  if (node.role != raft_role::follower || node.leader != message.from) {
    become_follower(node, node.state.term, message.from, now, out);
  }
  node.last_leader_contact = now;
  snapshot_reply reply{0, false, body.last_index};
  if (body.last_index <= node.commit_index) {
    reply = {body.total, true, body.last_index};
  } else {
    reply.next_offset = append_chunk(node, message.from, body);
    reply.done = reply.next_offset == body.total;
  }
  if (reply.done && body.last_index > node.commit_index) {
    auto data = std::make_shared<const bytes>(std::move(node.incoming->data));
    install_snapshot(
        node, {body.last_index, body.last_term, body.members, std::move(data)}, out);
  }
  if (reply.done) {
    node.incoming.reset();
  }
  reset_election_deadline(node, now);
  auto reply_message = make_message(node, message.from);
  reply_message.body = reply;
  out.messages.push_back(std::move(reply_message));
}

void handle(raft_node& node, const raft_message& message, const snapshot_reply& body,
            time_point now, raft_output& out) {
  const auto it = node.progress.find(message.from);
  if (node.role != raft_role::leader || it == node.progress.end()) {
    return;
  }
  auto& peer = it->second;
  peer.last_reply = now;
  if (!peer.transfer || body.last_index != peer.transfer->snapshot.last_index) {
    return;
  }
  if (!body.done) {
    const bool advanced = body.next_offset > peer.transfer->offset;
    peer.transfer->offset =
        std::min<std::uint64_t>(body.next_offset, peer.transfer->snapshot.data->size());
    // A duplicate reply to a chunk that was sent twice must not start a second
    // sequence of chunks.
    if (advanced) {
      send_chunk(node, message.from, now, out);
    }
    return;
  }
  peer.transfer.reset();
  peer.match_index = std::max(peer.match_index, body.last_index);
  peer.next_index = std::max(peer.next_index, peer.match_index + 1);
  peer.probing = true;
  peer.paused = false;
  advance_commit(node, now, out);
  if (node.role == raft_role::leader) {
    send_append(node, message.from, now, out);
  }
}

} // namespace detail

} // namespace marigoldstep
