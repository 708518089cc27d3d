// The oracle's checks, and the clients, operators and faults of a schedule.
#include "raft_simulation.h"

#include <algorithm>

namespace simulation {

namespace {

std::uint64_t hash_of(const log_entry& entry) {
  return stable_hash(entry.data, entry.term * 4 + static_cast<std::uint64_t>(entry.kind));
}

std::uint64_t next_chain(std::uint64_t chain, std::uint64_t entry_hash) {
  return stable_hash(as_bytes(std::to_string(chain) + ":" + std::to_string(entry_hash)));
}

machine decode_machine(const bytes& data) {
  const std::string text(data.begin(), data.end());
  const auto space = text.find(' ');
  return {std::stoull(text.substr(0, space)), std::stoull(text.substr(space + 1))};
}

} // namespace

void group::check_leader(const slot& at) {
  if (!at.node || at.node->role != raft_role::leader) {
    return;
  }
  const auto [it, first] = oracle_.leaders.emplace(at.node->state.term, at.id);
  if (!first && it->second != at.id) {
    violate("two leaders in term " + std::to_string(at.node->state.term));
  }
  if (!first) {
    return;
  }
  // Leader completeness: a new leader has every entry committed in an earlier
  // term.
  const auto& log = at.node->log;
  for (auto i = log.base_index + 1; i < oracle_.entry_term.size(); ++i) {
    if (oracle_.known_in[i] < it->first && term_at(log, i) != oracle_.entry_term[i]) {
      violate("the leader of term " + std::to_string(it->first) +
              " lacks committed entry " + std::to_string(i));
      return;
    }
  }
}

void group::apply_committed(slot& at, const std::vector<log_entry>& entries) {
  for (const auto& it : entries) {
    const auto hash = hash_of(it);
    if (it.index != at.state.index + 1) {
      violate("entry " + std::to_string(it.index) + " applied out of order");
      return;
    }
    if (it.index == oracle_.entry_hash.size()) {
      oracle_.entry_hash.push_back(hash);
      oracle_.entry_term.push_back(it.term);
      oracle_.known_in.push_back(at.node->state.term);
      oracle_.chain.push_back(next_chain(oracle_.chain.back(), hash));
    }
    if (oracle_.entry_hash[it.index] != hash) {
      violate("committed entry " + std::to_string(it.index) + " was changed");
      return;
    }
    at.state = {it.index, next_chain(at.state.chain, hash)};
    const auto written = at.writes.find(it.index);
    if (written != at.writes.end()) {
      if (written->second == it.term) {
        oracle_.acknowledged = std::max(oracle_.acknowledged, it.index);
        ++counts["write"];
      }
      at.writes.erase(written);
    }
  }
}

void group::answer_reads(slot& at, const std::vector<read_result>& reads) {
  for (const auto& it : reads) {
    if (it.confirmed && at.state.index < at.reads[it.token]) {
      violate("a confirmed read shows entry " + std::to_string(at.state.index) +
              ", but entry " + std::to_string(at.reads[it.token]) +
              " was acknowledged before it began");
    }
    counts["read"] += it.confirmed ? 1 : 0;
    at.reads.erase(it.token);
  }
}

void group::install(slot& at, const raft_snapshot& snapshot) {
  ++counts["install"];
  at.state = decode_machine(*snapshot.data);
  if (at.state.index != snapshot.last_index || at.state.index >= oracle_.chain.size() ||
      oracle_.chain[at.state.index] != at.state.chain) {
    violate("a snapshot holds another state than the committed entries give");
  }
}

// Planted fault: commits what a quorum stores, whatever its term.
void group::count_old_term(slot& at) {
  auto& node = *at.node;
  if (node.role != raft_role::leader) {
    return;
  }
  std::vector<log_index> stored;
  for (const auto& it : members(node)) {
    if (!it.learner) {
      stored.push_back(it.id == at.id ? node.durable_index
                                      : node.progress[it.id].match_index);
    }
  }
  std::sort(stored.begin(), stored.end(), std::greater<>());
  const auto index = stored[stored.size() / 2];
  if (index > node.commit_index) {
    raft_output out;
    detail::commit_up_to(node, index, out);
    apply_committed(at, out.committed);
  }
}

void group::act_as_client(slot& at) {
  if (at.node->role != raft_role::leader || !chance(0.25)) {
    return;
  }
  if (chance(0.5)) {
    const auto token = next_token_++;
    at.reads[token] = oracle_.acknowledged;
    take(at, read_index(*at.node, token, local_time(at)));
    return;
  }
  std::vector<bytes> commands;
  for (auto n = pick(1, 6); n > 0; --n) {
    const auto text = std::to_string(next_value_++);
    commands.emplace_back(text.begin(), text.end());
  }
  const auto n = commands.size();
  auto out = propose(*at.node, std::move(commands), local_time(at));
  for (std::size_t i = 0; i < n && !out.error; ++i) {
    at.writes[out.proposed_index + i] = at.node->state.term;
  }
  take(at, std::move(out));
}

slot* group::leader() {
  slot* found = nullptr;
  for (auto& it : slots_) {
    const bool leads = it.node && it.node->role == raft_role::leader;
    if (leads && (found == nullptr || it.node->state.term > found->node->state.term)) {
      found = &it;
    }
  }
  return found;
}

void group::begin_change(slot& at, member_change kind, member_id id) {
  take(at, begin_heartbeat_round(*at.node, local_time(at)));
  change_ =
      pending_change{kind, id, at.id, at.node->state.term, at.node->round, now_ + 1000};
}

void group::try_change(slot& at) {
  const auto change = *change_;
  if (change.leader != at.id || change.term != at.node->state.term ||
      now_ > change.give_up_at) {
    ++counts["member_refused"];
    change_.reset();
    return;
  }
  auto out =
      propose_member(*at.node, change.kind, {change.member, "10.0.0.1", 7000, false},
                     change.round, local_time(at));
  if (!out.error) {
    ++counts["member_changed"];
    change_.reset();
    take(at, std::move(out));
  }
}

// Repairs the group as an operator would: admits members with new identities,
// promotes them, and removes identities whose disks are lost.
void group::act_as_operator() {
  auto* at = leader();
  if (at == nullptr) {
    return;
  }
  if (change_) {
    try_change(*at);
    return;
  }
  const auto list = members(*at->node);
  const auto change = [&](member_change kind, member_id id) {
    begin_change(*at, kind, id);
  };
  for (const auto& it : slots_) {
    const auto* known = find_member(list, it.id);
    if (it.node && (known == nullptr || known->learner)) {
      change(known == nullptr ? member_change::add_learner : member_change::promote,
             it.id);
      return;
    }
  }
  for (const auto& it : list) {
    const bool exists = std::any_of(slots_.begin(), slots_.end(),
                                    [&](const slot& s) { return s.id == it.id; });
    if (!exists) {
      change(member_change::remove, it.id);
      return;
    }
  }
  // Removing a healthy voter at the moment when another one loses its disk
  // leaves no quorum with disks; no check can see the loss before its silence.
  const bool loss_is_known = now_ - disk_lost_at_ > 1500;
  if (!healed_ && loss_is_known && chance(0.02)) {
    change(member_change::remove, any_slot().id);
  }
}

slot& group::any_slot() {
  return slots_[static_cast<std::size_t>(
      pick(0, static_cast<std::int64_t>(slots_.size()) - 1))];
}

void group::inject_faults() {
  if (chance(0.01 * fault_rate_)) {
    crash(any_slot());
  }
  if (chance(0.001 * fault_rate_)) {
    for (auto& it : slots_) {
      crash(it);
    }
  }
  if (chance(0.01 * fault_rate_)) {
    any_slot().isolated_until = now_ + pick(50, 2000);
    ++counts["isolated"];
  }
  auto* at = leader();
  if (at != nullptr && chance(0.01 * fault_rate_)) {
    at->isolated_until = now_ + pick(50, 2000);
    ++counts["leader_isolated"];
  }
  // Leaders that end before they commit in their own term leave entries of
  // several terms behind, which is where counting rules go wrong.
  if (at != nullptr && at->node->commit_index > 0 &&
      term_at(at->node->log, at->node->commit_index) != at->node->state.term &&
      chance(0.25 * fault_rate_)) {
    if (chance(0.5)) {
      crash(*at);
      at->down_until = now_ + pick(5, 200);
    } else {
      at->isolated_until = now_ + pick(50, 800);
    }
    ++counts["new_leader_lost"];
    return;
  }
  if (at != nullptr && chance(0.005 * fault_rate_)) {
    crash(*at);
  }
  if (chance(0.005 * fault_rate_)) {
    lose_disk(any_slot());
  }
}

} // namespace simulation
