// Checks of the oracle, and the simulated clients, operator and faults.
#include "raft_simulation.h"

#include <algorithm>

namespace simulation {

namespace {

std::uint64_t hash_of(const log_entry& entry) {
  return stable_hash(entry.data, entry.term * 4 + static_cast<std::uint64_t>(entry.kind));
}

std::uint64_t extend_state_hash(std::uint64_t state_hash, std::uint64_t entry_hash) {
  return stable_hash(
      as_bytes(std::to_string(state_hash) + ":" + std::to_string(entry_hash)));
}

state_machine decode_state(const bytes& data) {
  const std::string text(data.begin(), data.end());
  const auto space = text.find(' ');
  return {std::stoull(text.substr(0, space)), std::stoull(text.substr(space + 1))};
}

} // namespace

void simulated_group::check_leader(const sim_host& at) {
  if (!at.node || at.node->role != raft_role::leader) {
    return;
  }
  const auto [it, first] = oracle_.leaders.emplace(at.node->state.term, at.id);
  if (!first && it->second != at.id) {
    report_violation("two leaders in term " + std::to_string(at.node->state.term));
  }
  if (!first) {
    return;
  }
  // Leader completeness: the log of a new leader contains every entry committed in an
  // earlier term.
  const auto& log = at.node->log;
  for (auto i = log.base_index + 1; i < oracle_.entry_term.size(); ++i) {
    if (oracle_.commit_term[i] < it->first && term_at(log, i) != oracle_.entry_term[i]) {
      report_violation("the leader of term " + std::to_string(it->first) +
                       " lacks committed entry " + std::to_string(i));
      return;
    }
  }
}

void simulated_group::apply_committed(sim_host& at,
                                      const std::vector<log_entry>& entries) {
  for (const auto& it : entries) {
    const auto hash = hash_of(it);
    if (it.index != at.state.index + 1) {
      report_violation("entry " + std::to_string(it.index) + " applied out of order");
      return;
    }
    if (it.index == oracle_.entry_hash.size()) {
      oracle_.entry_hash.push_back(hash);
      oracle_.entry_term.push_back(it.term);
      oracle_.commit_term.push_back(at.node->state.term);
      oracle_.state_hash.push_back(extend_state_hash(oracle_.state_hash.back(), hash));
    }
    if (oracle_.entry_hash[it.index] != hash) {
      report_violation("committed entry " + std::to_string(it.index) +
                       " was overwritten");
      return;
    }
    at.state = {it.index, extend_state_hash(at.state.state_hash, hash)};
    const auto written = at.client_writes.find(it.index);
    if (written != at.client_writes.end()) {
      if (written->second == it.term) {
        oracle_.acknowledged_index = std::max(oracle_.acknowledged_index, it.index);
        ++counts["write"];
      }
      at.client_writes.erase(written);
    }
  }
}

void simulated_group::check_reads(sim_host& at, const std::vector<read_result>& reads) {
  for (const auto& it : reads) {
    if (it.confirmed && at.state.index < at.client_reads[it.token]) {
      report_violation("a confirmed read reflects entry " +
                       std::to_string(at.state.index) + ", but entry " +
                       std::to_string(at.client_reads[it.token]) +
                       " was acknowledged before it began");
    }
    counts["read"] += it.confirmed ? 1 : 0;
    at.client_reads.erase(it.token);
  }
}

void simulated_group::install(sim_host& at, const raft_snapshot& snapshot) {
  ++counts["install"];
  at.state = decode_state(*snapshot.data);
  if (at.state.index != snapshot.last_index ||
      at.state.index >= oracle_.state_hash.size() ||
      oracle_.state_hash[at.state.index] != at.state.state_hash) {
    report_violation(
        "the state of a snapshot differs from that of the committed entries");
  }
}

// Injected bug: commits entries that a quorum stores without requiring that they are of
// the current term.
void simulated_group::commit_old_term_entries(sim_host& at) {
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

void simulated_group::issue_client_requests(sim_host& at) {
  if (at.node->role != raft_role::leader || !chance(0.25)) {
    return;
  }
  if (chance(0.5)) {
    const auto token = next_token_++;
    at.client_reads[token] = oracle_.acknowledged_index;
    handle_output(at, read_index(*at.node, token, local_time(at)));
    return;
  }
  std::vector<bytes> commands;
  for (auto n = random_between(1, 6); n > 0; --n) {
    const auto text = std::to_string(next_value_++);
    commands.emplace_back(text.begin(), text.end());
  }
  const auto n = commands.size();
  auto out = propose(*at.node, std::move(commands), local_time(at));
  for (std::size_t i = 0; i < n && !out.error; ++i) {
    at.client_writes[out.proposed_index + i] = at.node->state.term;
  }
  handle_output(at, std::move(out));
}

sim_host* simulated_group::leader() {
  sim_host* found = nullptr;
  for (auto& it : hosts_) {
    const bool leads = it.node && it.node->role == raft_role::leader;
    if (leads && (found == nullptr || it.node->state.term > found->node->state.term)) {
      found = &it;
    }
  }
  return found;
}

void simulated_group::start_member_change(sim_host& at, member_change kind,
                                          member_id id) {
  handle_output(at, begin_heartbeat_round(*at.node, local_time(at)));
  change_ =
      pending_change{kind, id, at.id, at.node->state.term, at.node->round, now_ + 1000};
}

void simulated_group::propose_pending_change(sim_host& at) {
  const auto change = *change_;
  if (change.leader != at.id || change.term != at.node->state.term ||
      now_ > change.expires_at) {
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
    handle_output(at, std::move(out));
  }
}

// Acts as the operator: adds members with new identities as learners, promotes them, and
// removes members whose disks are lost. Also removes a random member now and then.
void simulated_group::repair_membership() {
  auto* at = leader();
  if (at == nullptr) {
    return;
  }
  if (change_) {
    propose_pending_change(*at);
    return;
  }
  const auto list = members(*at->node);
  const auto change = [&](member_change kind, member_id id) {
    start_member_change(*at, kind, id);
  };
  for (const auto& it : hosts_) {
    const auto* known = find_member(list, it.id);
    if (it.node && (known == nullptr || known->learner)) {
      change(known == nullptr ? member_change::add_learner : member_change::promote,
             it.id);
      return;
    }
  }
  for (const auto& it : list) {
    const bool exists = std::any_of(hosts_.begin(), hosts_.end(),
                                    [&](const sim_host& s) { return s.id == it.id; });
    if (!exists) {
      change(member_change::remove, it.id);
      return;
    }
  }
  // Removing a healthy voter just as another one loses its disk leaves no quorum with
  // disks, and the loss cannot be detected before that member has been silent.
  const bool loss_is_known = now_ - disk_lost_at_ > 1500;
  if (!healed_ && loss_is_known && chance(0.02)) {
    change(member_change::remove, random_host().id);
  }
}

sim_host& simulated_group::random_host() {
  return hosts_[static_cast<std::size_t>(
      random_between(0, static_cast<std::int64_t>(hosts_.size()) - 1))];
}

void simulated_group::inject_faults() {
  if (chance(0.01 * fault_rate_)) {
    crash(random_host());
  }
  if (chance(0.001 * fault_rate_)) {
    for (auto& it : hosts_) {
      crash(it);
    }
  }
  if (chance(0.01 * fault_rate_)) {
    random_host().isolated_until = now_ + random_between(50, 2000);
    ++counts["isolated"];
  }
  auto* at = leader();
  if (at != nullptr && chance(0.01 * fault_rate_)) {
    at->isolated_until = now_ + random_between(50, 2000);
    ++counts["leader_isolated"];
  }
  // Leaders that fail before they commit an entry of their own term leave uncommitted
  // entries of several terms, the case in which counting replicas of old-term entries is
  // unsafe (Raft paper, section 5.4.2).
  if (at != nullptr && at->node->commit_index > 0 &&
      term_at(at->node->log, at->node->commit_index) != at->node->state.term &&
      chance(0.25 * fault_rate_)) {
    if (chance(0.5)) {
      crash(*at);
      at->down_until = now_ + random_between(5, 200);
    } else {
      at->isolated_until = now_ + random_between(50, 800);
    }
    ++counts["new_leader_lost"];
    return;
  }
  if (at != nullptr && chance(0.005 * fault_rate_)) {
    crash(*at);
  }
  if (chance(0.005 * fault_rate_)) {
    lose_disk(random_host());
  }
}

} // namespace simulation
