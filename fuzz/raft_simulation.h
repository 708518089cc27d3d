#pragma once

// Deterministic simulation of a Raft group: network, disks and clocks are simulated,
// a seeded random schedule injects faults, and an oracle checks every output.

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

// Deliberate bugs that the oracle must detect.
enum class injected_bug { none, skipped_sync, reused_identity, old_term_commit };

struct options {
  std::uint64_t seed = 1;
  std::size_t host_count = 3;
  std::size_t iterations = 2000; // with faults; 5 ms of simulated time each
  injected_bug bug = injected_bug::none;
};

// Replicated state machine: a running hash over all applied entries. Snapshots store
// it.
struct state_machine {
  log_index index = 0;
  std::uint64_t state_hash = 0;
};

// Expected committed log and leaders, derived only from the members' outputs.
struct oracle {
  std::vector<std::uint64_t> entry_hash{0}; // by log index
  std::vector<std::uint64_t> state_hash{0};
  std::vector<term_number> entry_term{0};
  std::vector<term_number> commit_term{0}; // term of the member that first applied it
  std::map<term_number, member_id> leaders;
  log_index acknowledged_index = 0; // latest write acknowledged to a client
  std::string violation;            // first one found; empty when there is none
};

// A disk: its durable contents, and the contents that the running process sees, which
// include writes that are not synced yet.
struct sim_disk {
  std::map<std::uint64_t, bytes> durable;
  std::map<std::uint64_t, bytes> cached;
  std::map<log_index, bytes> snapshots;
};

// A message that may be sent only after the sync it depends on.
struct deferred_message {
  std::uint64_t sync_id = 0;
  raft_message message;
};

struct queued_write {
  std::uint64_t sync_id = 0;
  std::vector<raft_record> records;
};

// A host with one member process and its disk. A crash ends the process and keeps the
// disk; a disk loss ends both.
struct sim_host {
  member_id id = 0;
  sim_disk disk;
  std::optional<raft_node> node; // empty while the process is down
  state_machine state;
  log_position position;
  std::vector<queued_write> write_queue;
  std::vector<storage_op> running_ops; // remaining storage operations of the current sync
  std::uint64_t running_sync_id = 0;
  std::int64_t running_op_until = 0;
  std::uint64_t synced_id = 0;
  std::vector<deferred_message> deferred;
  // Index and term of each write that a client proposed through this member.
  std::map<log_index, term_number> client_writes;
  // For each read token, the index that the result must reflect.
  std::map<std::uint64_t, log_index> client_reads;
  std::int64_t isolated_until = 0;
  std::int64_t down_until = 0;
  double clock_rate = 1;
  std::int64_t clock_offset = 0;
};

// A membership change that waits for a quorum to acknowledge its heartbeat round.
struct pending_change {
  member_change kind = member_change::add_learner;
  member_id member = 0;
  member_id leader = 0;
  term_number term = 0;
  std::uint64_t round = 0;
  std::int64_t expires_at = 0;
};

struct packet {
  std::size_t from_host = 0;
  raft_message message;
};

class simulated_group {
public:
  explicit simulated_group(const options& run_options);

  // Runs the schedule with faults, then without faults until the group commits a write
  // and confirms a read. Returns the first violation; empty when there is none.
  std::string run();

  // State of each member, one line each, to report with a violation.
  [[nodiscard]] std::string describe() const;
  [[nodiscard]] std::uint64_t steps() const { return steps_; }
  [[nodiscard]] const oracle& expected() const { return oracle_; }
  // Number of events by kind, faults among them; tests check the coverage with it.
  std::map<std::string, std::uint64_t> counts;

private:
  void report_violation(const std::string& text);
  bool chance(double p) { return std::bernoulli_distribution(p)(random_); }
  std::int64_t random_between(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
  }
  [[nodiscard]] time_point local_time(const sim_host& at) const;

  void start_process(sim_host& at);
  void crash(sim_host& at);
  void lose_disk(sim_host& at);
  bool can_lose_disk(const sim_host& at) const;
  void apply_op(sim_host& at, const storage_op& op, bool durable);
  void apply_torn_write(sim_host& at, const storage_op& op);
  void run_storage(sim_host& at);

  void handle_output(sim_host& at, raft_output out);
  void send(const sim_host& at, const raft_message& message);
  void apply_committed(sim_host& at, const std::vector<log_entry>& entries);
  void check_reads(sim_host& at, const std::vector<read_result>& reads);
  void install(sim_host& at, const raft_snapshot& snapshot);
  void commit_old_term_entries(sim_host& at);
  void check_leader(const sim_host& at);

  void run_iteration(bool with_faults);
  void deliver_messages();
  void inject_faults();
  void issue_client_requests(sim_host& at);
  void repair_membership();
  void start_member_change(sim_host& at, member_change kind, member_id id);
  void propose_pending_change(sim_host& at);
  sim_host* leader();
  sim_host& random_host();
  void heal();
  bool makes_progress();

  options options_;
  raft_settings settings_;
  std::mt19937_64 random_;
  std::int64_t now_ = 0;
  std::uint64_t steps_ = 0;
  std::uint64_t next_token_ = 1;
  std::uint64_t next_value_ = 1;
  member_id next_id_ = 1;
  double loss_probability_ = 0.05;
  double delay_probability_ = 0.05;
  double fault_rate_ = 1; // fraction of the highest fault rate
  std::optional<pending_change> change_;
  std::int64_t disk_lost_at_ = -10'000;
  bool healed_ = false;
  std::vector<sim_host> hosts_;
  std::multimap<std::int64_t, packet> network_;
  oracle oracle_;
};

} // namespace simulation
