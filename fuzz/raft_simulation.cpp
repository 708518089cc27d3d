#include "raft_simulation.h"

#include <algorithm>

namespace simulation {

namespace {

constexpr std::int64_t loop_ms = 5;
// Time for a healed group to commit a write and confirm a read: several
// elections of at most 600 ms, with clocks that run 20% slow.
constexpr std::int64_t progress_limit_ms = 5000;

bytes to_bytes(const std::string& text) {
  return {text.begin(), text.end()};
}

bytes encode_machine(const machine& state) {
  return to_bytes(std::to_string(state.index) + " " + std::to_string(state.chain));
}

machine decode_machine(const bytes& data) {
  const std::string text(data.begin(), data.end());
  const auto space = text.find(' ');
  return {std::stoull(text.substr(0, space)), std::stoull(text.substr(space + 1))};
}

} // namespace

group::group(const options& chosen) : options_(chosen), random_(chosen.seed) {
  // Small limits, so that short runs reach every path.
  settings_.snapshot_entries = 40;
  settings_.trailing_entries = 5;
  settings_.snapshot_chunk_bytes = 16;
  settings_.max_append_entries = 4;
  settings_.max_in_flight_entries = 16;
  settings_.caught_up_entries = 8;
  loss_ = 0.01 * static_cast<double>(pick(0, 20));
  late_ = 0.01 * static_cast<double>(pick(0, 15));
  fault_rate_ = 0.05 * static_cast<double>(pick(1, 20));
  slots_.resize(options_.slots);
  group_members list;
  for (auto& it : slots_) {
    it.clock_rate = 0.8 + 0.01 * static_cast<double>(pick(0, 45));
    it.clock_offset = pick(0, 1'000'000);
    start_process(it);
    list.push_back({it.id, "10.0.0.1", 7000, false});
  }
  auto& first = slots_.front();
  take(first, form_group(*first.node, 77, list, local_time(first)));
  // Forming the group is the operator's step; faults begin once it is stored.
  healed_ = true;
  while (!first.queue.empty() || !first.running.empty()) {
    now_ += loop_ms;
    run_storage(first);
  }
  healed_ = false;
}

void group::violate(const std::string& text) {
  if (oracle_.violation.empty()) {
    oracle_.violation = "at step " + std::to_string(steps_) + ", " +
                        std::to_string(now_) + " ms: " + text;
  }
}

time_point group::local_time(const slot& at) const {
  const auto local = at.clock_rate * static_cast<double>(now_);
  return time_point(duration(at.clock_offset + static_cast<std::int64_t>(local)));
}

void group::start_process(slot& at) {
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
    violate("recovery refused a disk without damage: " + detail);
    return;
  }
  if (found.last_segment != 0) {
    at.disk.durable[found.last_segment].resize(found.valid_size);
    at.position = {found.last_segment, found.valid_size};
  } else {
    at.position = {};
  }
  if (found.raft.identity.id == 0) {
    if (at.id == 0 || options_.fault != planted_fault::reused_identity) {
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
    at.state = decode_machine(*found.raft.snapshot.data);
  }
  at.synced_id = 0;
  at.node = make_raft_node(settings_, std::move(found.raft), random_(), local_time(at));
}

void group::crash(slot& at) {
  if (!at.node) {
    return;
  }
  if (!at.running.empty()) {
    tear(at, at.running.front());
  }
  at.node.reset();
  at.queue.clear();
  at.running.clear();
  at.held.clear();
  at.writes.clear();
  at.reads.clear();
  at.disk.cached = at.disk.durable;
  at.down_until = now_ + pick(5, 1500);
  ++counts["crash"];
}

// A disk may be lost while every member's view of the group keeps a quorum of
// voters with their disks.
bool group::may_lose(const slot& at) const {
  // A member that acknowledges the round of a change and loses its disk before
  // the change is proposed can leave a group of two without a quorum; nothing
  // could have known (seed 2606 with 2 members).
  if (change_) {
    return false;
  }
  std::set<member_id> intact;
  for (const auto& it : slots_) {
    if (it.id != at.id && it.node && !members(*it.node).empty()) {
      intact.insert(it.id);
    }
  }
  return std::all_of(slots_.begin(), slots_.end(), [&](const slot& it) {
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

void group::lose_disk(slot& at) {
  if (!may_lose(at)) {
    return;
  }
  crash(at);
  at.disk = {};
  disk_lost_at_ = now_;
  ++counts["disk_lost"];
}

void group::apply_op(slot& at, const storage_op& op, bool durable) {
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

// What a crash leaves of a write: all, nothing, a part, or a part with holes.
void group::tear(slot& at, const storage_op& op) {
  if (op.action == storage_action::store_snapshot ||
      op.action == storage_action::remove_before) {
    if (chance(0.5)) {
      apply_op(at, op, true);
    }
    return;
  }
  auto part = op;
  part.data.resize(
      static_cast<std::size_t>(pick(0, static_cast<std::int64_t>(op.data.size()))));
  if (!part.data.empty() && chance(0.3)) {
    const auto hole = static_cast<std::size_t>(
        pick(0, static_cast<std::int64_t>(part.data.size()) - 1));
    std::fill(part.data.begin() + static_cast<std::ptrdiff_t>(hole), part.data.end(), 0);
  }
  if (part.action == storage_action::start_segment && chance(0.3)) {
    return;
  }
  apply_op(at, part, true);
  ++counts["torn_write"];
}

void group::run_storage(slot& at) {
  if (at.running.empty() && !at.queue.empty()) {
    std::vector<raft_record> records;
    for (auto& it : at.queue) {
      at.running_id = it.sync_id;
      records.insert(records.end(), it.records.begin(), it.records.end());
    }
    at.queue.clear();
    at.running = plan_writes(at.position, records);
    at.running_until = now_ + pick(0, 8);
  }
  if (at.running.empty() || now_ < at.running_until) {
    return;
  }
  // A crash during the write, or after it and before the caller learns of it.
  if (!healed_ && chance(0.01 * fault_rate_)) {
    if (chance(0.3)) {
      apply_op(at, at.running.front(), true);
      at.running.clear();
    }
    crash(at);
    return;
  }
  const bool skipped = options_.fault == planted_fault::skipped_sync && chance(0.2);
  apply_op(at, at.running.front(), !skipped);
  at.running.erase(at.running.begin());
  // Some syncs take long.
  at.running_until = now_ + (chance(0.03) && !healed_ ? pick(20, 700) : pick(0, 8));
  ++steps_;
  if (!at.running.empty()) {
    return;
  }
  at.synced_id = at.running_id;
  for (const auto& it : at.held) {
    if (it.sync_id <= at.synced_id) {
      send(at, it.message);
    }
  }
  std::erase_if(at.held, [&](const auto& it) { return it.sync_id <= at.synced_id; });
  take(at, synced(*at.node, at.synced_id, local_time(at)));
}

void group::take(slot& at, raft_output out) {
  if (!out.records.empty()) {
    at.queue.push_back({out.sync_id, std::move(out.records)});
  }
  for (const auto& it : out.immediate_messages) {
    send(at, it);
  }
  for (auto& it : out.messages) {
    if (out.sync_id <= at.synced_id) {
      send(at, it);
    } else {
      at.held.push_back({out.sync_id, std::move(it)});
    }
  }
  if (out.install) {
    install(at, *out.install);
  }
  apply_committed(at, out.committed);
  answer_reads(at, out.reads);
  check_leader(at);
  if (options_.fault == planted_fault::counted_old_term) {
    count_old_term(at);
  }
  if (out.snapshot_wanted) {
    ++counts["snapshot"];
    take(at, compact(*at.node, encode_machine(at.state), local_time(at)));
  }
}

void group::send(const slot& at, const raft_message& message) {
  if (!healed_ && chance(loss_)) {
    ++counts["lost"];
    return;
  }
  const auto from = static_cast<std::size_t>(&at - slots_.data());
  const int copies = !healed_ && chance(0.03) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const auto delay = !healed_ && chance(late_) ? pick(5, 900) : pick(1, 6);
    network_.emplace(now_ + delay, packet{from, message});
  }
}

void group::deliver() {
  while (!network_.empty() && network_.begin()->first <= now_) {
    const auto it = std::move(network_.begin()->second);
    network_.erase(network_.begin());
    const auto& sender = slots_[it.from_slot];
    for (auto& at : slots_) {
      const bool reachable = at.isolated_until <= now_ && sender.isolated_until <= now_;
      if (at.id == it.message.to && at.node && reachable) {
        ++steps_;
        take(at, step(*at.node, it.message, local_time(at)));
      }
    }
  }
}

void group::loop(bool faulty) {
  now_ += loop_ms;
  deliver();
  for (auto& at : slots_) {
    if (!at.node && now_ >= at.down_until) {
      start_process(at);
    }
    if (!at.node) {
      continue;
    }
    ++steps_;
    take(at, tick(*at.node, local_time(at)));
    run_storage(at);
    if (at.node) {
      act_as_client(at);
    }
  }
  if (faulty) {
    inject_faults();
  }
  if (now_ % 50 == 0) {
    act_as_operator();
  }
}

std::string group::run() {
  for (std::size_t i = 0; i < options_.loops && oracle_.violation.empty(); ++i) {
    loop(true);
  }
  if (oracle_.violation.empty()) {
    heal();
    if (!progresses()) {
      violate("a healed group made no progress");
    }
  }
  return oracle_.violation;
}

std::string group::describe() const {
  std::string out;
  for (const auto& it : slots_) {
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
           std::to_string(it.queue.size()) + " members";
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

void group::heal() {
  healed_ = true;
  for (auto& it : slots_) {
    it.isolated_until = 0;
    it.down_until = std::min(it.down_until, now_);
  }
}

bool group::progresses() {
  const auto until = now_ + progress_limit_ms;
  const auto reads = counts["read"];
  const auto before = oracle_.acknowledged;
  while (now_ < until && oracle_.violation.empty()) {
    loop(false);
    if (oracle_.acknowledged > before && counts["read"] > reads) {
      return true;
    }
  }
  return !oracle_.violation.empty();
}

} // namespace simulation
