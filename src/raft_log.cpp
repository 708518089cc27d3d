// The in-memory log, the commit index and the members that log entries set.
#include "marigoldstep/raft.h"

#include <algorithm>

namespace marigoldstep {

namespace {

// Counted for each entry besides its data, so that empty entries count as well.
constexpr std::size_t entry_overhead_bytes = 48;

} // namespace

log_index last_index(const raft_log& log) {
  return log.base_index + log.entries.size();
}

term_number last_term(const raft_log& log) {
  return log.entries.empty() ? log.base_term : log.entries.back().term;
}

term_number term_at(const raft_log& log, log_index index) {
  if (index == log.base_index) {
    return log.base_term;
  }
  if (index < log.base_index || index > last_index(log)) {
    return 0;
  }
  return log.entries[index - log.base_index - 1].term;
}

const group_members& members(const raft_node& node) {
  return node.member_history.back().members;
}

namespace detail {

void append_entry(raft_node& node, log_entry entry, raft_output& out) {
  if (entry.kind == entry_kind::members) {
    std::error_code ec;
    auto list = decode_members(entry.data, ec);
    if (!ec) {
      node.member_history.push_back({entry.index, std::move(list)});
    }
  }
  node.log.bytes_since_snapshot += entry.data.size() + entry_overhead_bytes;
  out.records.emplace_back(log_item(entry));
  node.log.entries.push_back(std::move(entry));
}

void truncate_from(raft_node& node, log_index index) {
  node.log.entries.resize(index - node.log.base_index - 1);
  while (node.member_history.size() > 1 && node.member_history.back().index >= index) {
    node.member_history.pop_back();
  }
  // Entries synced at or after this index are no longer part of the log.
  node.durable_index = std::min(node.durable_index, index - 1);
  for (auto& it : node.pending_syncs) {
    it.last_index = std::min(it.last_index, index - 1);
  }
}

void commit_up_to(raft_node& node, log_index index, raft_output& out) {
  for (auto i = node.commit_index + 1; i <= index; ++i) {
    out.committed.push_back(node.log.entries[i - node.log.base_index - 1]);
  }
  node.commit_index = std::max(node.commit_index, index);
}

void advance_commit(raft_node& node, time_point now, raft_output& out) {
  std::vector<log_index> stored;
  for (const auto& it : members(node)) {
    if (!it.learner) {
      stored.push_back(it.id == node.identity.id ? node.durable_index
                                                 : node.progress[it.id].match_index);
    }
  }
  if (stored.empty()) {
    return;
  }
  std::sort(stored.begin(), stored.end(), std::greater<>());
  const auto index = stored[stored.size() / 2];
  // Only entries of the leader's own term are committed by counting replicas: an
  // entry of an earlier term can still be replaced even if a quorum stores it
  // (section 5.4.2 of the Raft paper).
  if (index <= node.commit_index || term_at(node.log, index) != node.state.term) {
    return;
  }
  commit_up_to(node, index, out);
  const bool removed = find_member(members(node), node.identity.id) == nullptr;
  if (removed && node.member_history.back().index <= index) {
    become_follower(node, node.state.term, 0, now, out);
    return;
  }
  confirm_reads(node, now, out);
}

} // namespace detail

} // namespace marigoldstep
