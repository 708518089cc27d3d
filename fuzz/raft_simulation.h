#pragma once

// A group of members over a simulated network, disks and clocks, driven by a
// seeded schedule of faults, with an oracle that checks every result.

#include "marigoldstep/raft.h"
#include "marigoldstep/raft_log_format.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace simulation {

using namespace marigoldstep;

// Faults planted into the group to prove that the check finds them.
enum class planted_fault { none, skipped_sync, reused_identity, counted_old_term };

struct options {
  std::uint64_t seed = 1;
  std::size_t slots = 3;
  std::size_t loops = 2000; // of the faulty part; 5 ms each
  planted_fault fault = planted_fault::none;
};

// State machine: a hash over all commands. Snapshots carry it.
struct machine {
  log_index index = 0;
  std::uint64_t chain = 0;
};

// What must hold, learned from the members' outputs alone.
struct oracle {
  std::vector<std::uint64_t> entry_hash{0}; // by index
  std::vector<std::uint64_t> chain{0};
  std::vector<term_number> entry_term{0};
  std::vector<term_number> known_in{0}; // term in which the commit was known
  std::map<term_number, member_id> leaders;
  log_index acknowledged = 0; // newest write reported to a client
  std::string violation;      // first one; empty when all is well
};

// One disk: what is durable, and what the running process sees of it.
struct sim_disk {
  std::map<std::uint64_t, bytes> durable;
  std::map<std::uint64_t, bytes> cached;
  std::map<log_index, bytes> snapshots;
};

struct held_message {
  std::uint64_t sync_id = 0;
  raft_message message;
};

struct queued_write {
  std::uint64_t sync_id = 0;
  std::vector<raft_record> records;
};

// Place of one process. A crash ends the process; a lost disk also the disk.
struct slot {
  member_id id = 0;
  sim_disk disk;
  std::optional<raft_node> node; // empty while the process is down
  machine state;
  log_position position;
  std::vector<queued_write> queue;
  std::vector<storage_op> running; // storage steps of the current sync
  std::uint64_t running_id = 0;
  std::int64_t running_until = 0;
  std::uint64_t synced_id = 0;
  std::vector<held_message> held;
  std::map<log_index, term_number> writes;  // proposed by a client here
  std::map<std::uint64_t, log_index> reads; // token, state it must show
  std::int64_t isolated_until = 0;
  std::int64_t down_until = 0;
  double clock_rate = 1;
  std::int64_t clock_offset = 0;
};

// A member change whose round is being acknowledged.
struct pending_change {
  member_change kind = member_change::add_learner;
  member_id member = 0;
  member_id leader = 0;
  term_number term = 0;
  std::uint64_t round = 0;
  std::int64_t give_up_at = 0;
};

struct packet {
  std::size_t from_slot = 0;
  raft_message message;
};

class group {
public:
  explicit group(const options& chosen);

  // Runs the faulty schedule, then a healed group that must make progress.
  // Returns the first violation; empty when all is well.
  std::string run();

  // One line a member, for the report of a violation.
  [[nodiscard]] std::string describe() const;
  [[nodiscard]] std::uint64_t steps() const { return steps_; }
  [[nodiscard]] const oracle& facts() const { return oracle_; }
  // How often a fault of each kind happened, for the coverage check.
  std::map<std::string, std::uint64_t> counts;

private:
  void violate(const std::string& text);
  bool chance(double p) { return std::bernoulli_distribution(p)(random_); }
  std::int64_t pick(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
  }
  [[nodiscard]] time_point local_time(const slot& at) const;

  void start_process(slot& at);
  void crash(slot& at);
  void lose_disk(slot& at);
  bool may_lose(const slot& at) const;
  void apply_op(slot& at, const storage_op& op, bool durable);
  void tear(slot& at, const storage_op& op);
  void run_storage(slot& at);

  void take(slot& at, raft_output out);
  void send(const slot& at, const raft_message& message);
  void apply_committed(slot& at, const std::vector<log_entry>& entries);
  void answer_reads(slot& at, const std::vector<read_result>& reads);
  void install(slot& at, const raft_snapshot& snapshot);
  void count_old_term(slot& at);
  void check_leader(const slot& at);

  void loop(bool faulty);
  void deliver();
  void inject_faults();
  void act_as_client(slot& at);
  void act_as_operator();
  void begin_change(slot& at, member_change kind, member_id id);
  void try_change(slot& at);
  slot* leader();
  slot& any_slot();
  void heal();
  bool progresses();

  options options_;
  raft_settings settings_;
  std::mt19937_64 random_;
  std::int64_t now_ = 0;
  std::uint64_t steps_ = 0;
  std::uint64_t next_token_ = 1;
  std::uint64_t next_value_ = 1;
  member_id next_id_ = 1;
  double loss_ = 0.05;
  double late_ = 0.05;
  double fault_rate_ = 1; // of the schedule, relative to the highest
  std::optional<pending_change> change_;
  std::int64_t disk_lost_at_ = -10'000;
  bool healed_ = false;
  std::vector<slot> slots_;
  std::multimap<std::int64_t, packet> network_;
  oracle oracle_;
};

} // namespace simulation
