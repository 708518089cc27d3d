#include "raft_simulation.h"

#include <algorithm>

namespace simulation {

namespace {

constexpr std::int64_t iteration_ms = 5;
// Time for a group without faults to commit a write and confirm a read: several
// elections of at most 600 ms each, with clocks that run 20% slow.
constexpr std::int64_t progress_limit_ms = 5000;

bytes to_bytes(const std::string& text) {
  return {text.begin(), text.end()};
}

bytes encode_state(const state_machine& state) {
  return to_bytes(std::to_string(state.index) + " " + std::to_string(state.state_hash));
}

state_machine decode_state(const bytes& data) {
  const std::string text(data.begin(), data.end());
  const auto space = text.find(' ');
  return {std::stoull(text.substr(0, space)), std::stoull(text.substr(space + 1))};
}

} // namespace

simulated_group::simulated_group(const options& run_options)
    : options_(run_options), random_(run_options.seed) {
  // Small limits let short runs reach every path, such as chunked snapshot transfers.
  settings_.snapshot_entries = 40;
  settings_.trailing_entries = 5;
  settings_.snapshot_chunk_bytes = 16;
  settings_.max_append_entries = 4;
  settings_.max_in_flight_entries = 16;
  settings_.caught_up_entries = 8;
  loss_probability_ = 0.01 * static_cast<double>(random_between(0, 20));
  delay_probability_ = 0.01 * static_cast<double>(random_between(0, 15));
  fault_rate_ = 0.05 * static_cast<double>(random_between(1, 20));
  hosts_.resize(options_.host_count);
  group_members list;
  for (auto& it : hosts_) {
    it.clock_rate = 0.8 + 0.01 * static_cast<double>(random_between(0, 45));
    it.clock_offset = random_between(0, 1'000'000);
    start_process(it);
    list.push_back({it.id, "10.0.0.1", 7000, false});
  }
  auto& first = hosts_.front();
  handle_output(first, form_group(*first.node, 77, list, local_time(first)));
  // The initial group is formed and stored without faults.
  healed_ = true;
  while (!first.write_queue.empty() || !first.running_ops.empty()) {
    now_ += iteration_ms;
    run_storage(first);
  }
  healed_ = false;
}

void simulated_group::report_violation(const std::string& text) {
  if (oracle_.violation.empty()) {
    oracle_.violation = "at step " + std::to_string(steps_) + ", " +
                        std::to_string(now_) + " ms: " + text;
  }
}

time_point simulated_group::local_time(const sim_host& at) const {
  const auto local = at.clock_rate * static_cast<double>(now_);
  return time_point(milliseconds(at.clock_offset + static_cast<std::int64_t>(local)));
}

void simulated_group::start_process(sim_host& at) {
  std::vector<segment_image> images;
  for (const auto& [number, data] : at.disk.durable) {
    images.push_back({number, data});
  }
  std::error_code ec;
  std::string detail;
  auto found = recover_log(
      images,
      [&](log_index index, std::error_code& load_ec) {
        return decode_snapshot_file(at.disk.snapshots[index], load_ec);
      },
      ec, detail);
  if (ec) {
    report_violation("recovery rejected an undamaged disk: " + detail);
    return;
  }
  if (found.last_segment != 0) {
    at.disk.durable[found.last_segment].resize(found.valid_size);
    at.position = {found.last_segment, found.valid_size};
  } else {
    at.position = {};
  }
  if (found.raft.identity.id == 0) {
    if (at.id == 0 || options_.bug != injected_bug::reused_identity) {
      at.id = next_id_++;
    }
    found.raft.identity = {at.id, 0};
    const std::vector<raft_record> first{log_item(found.raft.identity)};
    for (const auto& op : plan_writes(at.position, first)) {
      apply_op(at, op, true);
    }
  }
  at.disk.cached = at.disk.durable;
  at.state = {};
  if (found.raft.snapshot.data) {
    at.state = decode_state(*found.raft.snapshot.data);
  }
  at.synced_id = 0;
  at.node = make_raft_node(settings_, std::move(found.raft), random_(), local_time(at));
}

void simulated_group::crash(sim_host& at) {
  if (!at.node) {
    return;
  }
  if (!at.running_ops.empty()) {
    apply_torn_write(at, at.running_ops.front());
  }
  at.node.reset();
  at.write_queue.clear();
  at.running_ops.clear();
  at.deferred.clear();
  at.client_writes.clear();
  at.client_reads.clear();
  at.disk.cached = at.disk.durable;
  at.down_until = now_ + random_between(5, 1500);
  ++counts["crash"];
}

// A disk may be lost only if, in every running member's configuration, a quorum of
// voters keep their disks. All hosts must be running.
bool simulated_group::can_lose_disk(const sim_host& at) const {
  // A member that acknowledges the heartbeat round of a change and loses its disk
  // before the change is proposed can leave a group of two without a quorum. No member
  // can detect this in time (seed 2606 with 2 members).
  if (change_) {
    return false;
  }
  std::set<member_id> intact;
  for (const auto& it : hosts_) {
    if (it.id != at.id && it.node && !members(*it.node).empty()) {
      intact.insert(it.id);
    }
  }
  return std::all_of(hosts_.begin(), hosts_.end(), [&](const sim_host& it) {
    if (!it.node) {
      return false;
    }
    const auto& list = members(*it.node);
    const auto left = std::count_if(list.begin(), list.end(), [&](const auto& m) {
      return !m.learner && intact.contains(m.id);
    });
    return list.empty() || static_cast<std::size_t>(left) >= quorum_size(list);
  });
}

void simulated_group::lose_disk(sim_host& at) {
  if (!can_lose_disk(at)) {
    return;
  }
  crash(at);
  at.disk = {};
  disk_lost_at_ = now_;
  ++counts["disk_lost"];
}

void simulated_group::apply_op(sim_host& at, const storage_op& op, bool durable) {
  auto& files = at.disk.cached;
  switch (op.action) {
  case storage_action::store_snapshot:
    at.disk.snapshots[op.index] = op.data;
    return;
  case storage_action::start_segment:
    files[op.segment] = op.data;
    break;
  case storage_action::append:
    files[op.segment].insert(files[op.segment].end(), op.data.begin(), op.data.end());
    break;
  case storage_action::remove_before:
    std::erase_if(files, [&](const auto& it) { return it.first < op.segment; });
    std::erase_if(at.disk.durable, [&](const auto& it) { return it.first < op.segment; });
    std::erase_if(at.disk.snapshots, [&](const auto& it) { return it.first < op.index; });
    return;
  }
  if (durable) {
    at.disk.durable[op.segment] = files[op.segment];
  }
}

// Applies what a crash leaves of a write: all of it, nothing, a prefix, or a prefix
// with a zeroed tail.
void simulated_group::apply_torn_write(sim_host& at, const storage_op& op) {
  if (op.action == storage_action::store_snapshot ||
      op.action == storage_action::remove_before) {
    if (chance(0.5)) {
      apply_op(at, op, true);
    }
    return;
  }
  auto part = op;
  part.data.resize(static_cast<std::size_t>(
      random_between(0, static_cast<std::int64_t>(op.data.size()))));
  if (!part.data.empty() && chance(0.3)) {
    const auto hole = static_cast<std::size_t>(
        random_between(0, static_cast<std::int64_t>(part.data.size()) - 1));
    std::fill(part.data.begin() + static_cast<std::ptrdiff_t>(hole), part.data.end(), 0);
  }
  if (part.action == storage_action::start_segment && chance(0.3)) {
    return;
  }
  apply_op(at, part, true);
  ++counts["torn_write"];
}

void simulated_group::run_storage(sim_host& at) {
  if (at.running_ops.empty() && !at.write_queue.empty()) {
    std::vector<raft_record> records;
    for (auto& it : at.write_queue) {
      at.running_sync_id = it.sync_id;
      records.insert(records.end(), it.records.begin(), it.records.end());
    }
    at.write_queue.clear();
    at.running_ops = plan_writes(at.position, records);
    at.running_op_until = now_ + random_between(0, 8);
  }
  if (at.running_ops.empty() || now_ < at.running_op_until) {
    return;
  }
  // Crashes during the write, or after it and before its completion is reported.
  if (!healed_ && chance(0.01 * fault_rate_)) {
    if (chance(0.3)) {
      apply_op(at, at.running_ops.front(), true);
      at.running_ops.clear();
    }
    crash(at);
    return;
  }
  const bool skipped = options_.bug == injected_bug::skipped_sync && chance(0.2);
  apply_op(at, at.running_ops.front(), !skipped);
  at.running_ops.erase(at.running_ops.begin());
  // A few syncs are slow.
  at.running_op_until =
      now_ + (chance(0.03) && !healed_ ? random_between(20, 700) : random_between(0, 8));
  ++steps_;
  if (!at.running_ops.empty()) {
    return;
  }
  at.synced_id = at.running_sync_id;
  for (const auto& it : at.deferred) {
    if (it.sync_id <= at.synced_id) {
      send(at, it.message);
    }
  }
  std::erase_if(at.deferred, [&](const auto& it) { return it.sync_id <= at.synced_id; });
  handle_output(at, synced(*at.node, at.synced_id, local_time(at)));
}

void simulated_group::handle_output(sim_host& at, raft_output out) {
  if (!out.records.empty()) {
    at.write_queue.push_back({out.sync_id, std::move(out.records)});
  }
  for (const auto& it : out.immediate_messages) {
    send(at, it);
  }
  for (auto& it : out.messages) {
    if (out.sync_id <= at.synced_id) {
      send(at, it);
    } else {
      at.deferred.push_back({out.sync_id, std::move(it)});
    }
  }
  if (out.install) {
    install(at, *out.install);
  }
  apply_committed(at, out.committed);
  check_reads(at, out.reads);
  check_leader(at);
  if (options_.bug == injected_bug::old_term_commit) {
    commit_old_term_entries(at);
  }
  if (out.snapshot_due) {
    ++counts["snapshot"];
    handle_output(at, compact(*at.node, encode_state(at.state), local_time(at)));
  }
}

void simulated_group::send(const sim_host& at, const raft_message& message) {
  if (!healed_ && chance(loss_probability_)) {
    ++counts["lost"];
    return;
  }
  const auto from = static_cast<std::size_t>(&at - hosts_.data());
  const int copies = !healed_ && chance(0.03) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const auto delay = !healed_ && chance(delay_probability_) ? random_between(5, 900)
                                                              : random_between(1, 6);
    network_.emplace(now_ + delay, packet{from, message});
  }
}

void simulated_group::deliver_messages() {
  while (!network_.empty() && network_.begin()->first <= now_) {
    const auto it = std::move(network_.begin()->second);
    network_.erase(network_.begin());
    const auto& sender = hosts_[it.from_host];
    for (auto& at : hosts_) {
      const bool reachable = at.isolated_until <= now_ && sender.isolated_until <= now_;
      if (at.id == it.message.to && at.node && reachable) {
        ++steps_;
        handle_output(at, step(*at.node, it.message, local_time(at)));
      }
    }
  }
}

void simulated_group::run_iteration(bool with_faults) {
  now_ += iteration_ms;
  deliver_messages();
  for (auto& at : hosts_) {
    if (!at.node && now_ >= at.down_until) {
      start_process(at);
    }
    if (!at.node) {
      continue;
    }
    ++steps_;
    handle_output(at, tick(*at.node, local_time(at)));
    run_storage(at);
    if (at.node) {
      issue_client_requests(at);
    }
  }
  if (with_faults) {
    inject_faults();
  }
  if (now_ % 50 == 0) {
    repair_membership();
  }
}

std::string simulated_group::run() {
  for (std::size_t i = 0; i < options_.iterations && oracle_.violation.empty(); ++i) {
    run_iteration(true);
  }
  if (oracle_.violation.empty()) {
    heal();
    if (!makes_progress()) {
      report_violation("a healed group made no progress");
    }
  }
  return oracle_.violation;
}

std::string simulated_group::describe() const {
  std::string out;
  for (const auto& it : hosts_) {
    out += "member " + std::to_string(it.id);
    if (!it.node) {
      out += " down\n";
      continue;
    }
    const auto& node = *it.node;
    out += " " + std::string(name(node.role)) + " term " +
           std::to_string(node.state.term) + " last " +
           std::to_string(last_index(node.log)) + " commit " +
           std::to_string(node.commit_index) + " durable " +
           std::to_string(node.durable_index) + " reads " +
           std::to_string(node.reads.size()) + " queued " +
           std::to_string(it.write_queue.size()) + " members";
    for (const auto& m : members(node)) {
      out += " " + std::to_string(m.id) + (m.learner ? "(learner)" : "");
    }
    for (const auto& [id, peer] : node.progress) {
      out += "; " + std::to_string(id) + " match " + std::to_string(peer.match_index) +
             " next " + std::to_string(peer.next_index) +
             (peer.transfer ? " transfer" : "") + (peer.probing ? " probing" : "");
    }
    out += "\n";
  }
  return out;
}

void simulated_group::heal() {
  healed_ = true;
  for (auto& it : hosts_) {
    it.isolated_until = 0;
    it.down_until = std::min(it.down_until, now_);
  }
}

bool simulated_group::makes_progress() {
  const auto until = now_ + progress_limit_ms;
  const auto reads = counts["read"];
  const auto before = oracle_.acknowledged_index;
  while (now_ < until && oracle_.violation.empty()) {
    run_iteration(false);
    if (oracle_.acknowledged_index > before && counts["read"] > reads) {
      return true;
    }
  }
  return !oracle_.violation.empty();
}

} // namespace simulation
