#pragma once

#include "marigoldstep/raft_types.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>

// The replicated log of the control group: Raft (Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm", 2014) with pre-vote, check
// quorum, quorum-confirmed reads and single-member changes (Ongaro's thesis,
// chapters 4, 6 and 9). Pure functions over plain structs: the caller passes in
// messages and the time, and does what the output says.
namespace marigoldstep {

struct raft_settings {
  // Randomized between the two, so that voters rarely campaign at once.
  duration election_timeout_min{300};
  duration election_timeout_max{600};
  duration heartbeat_interval{75};
  // Bounds of one append request. An entry over the limit goes alone.
  std::size_t max_append_bytes = 1U << 20U;
  std::size_t max_append_entries = 512;
  // Entries sent to a member and not yet acknowledged.
  std::uint64_t max_in_flight_entries = 4096;
  std::size_t max_uncommitted_bytes = 64U << 20U;
  // A chunk takes 45 ms over a link of 6 Mbit/s; one is under way at a time.
  std::size_t snapshot_chunk_bytes = 32U << 10U;
  // A chunk without a reply is sent again after this time.
  duration chunk_retry_timeout{500};
  // Largest snapshot accepted from a leader.
  std::uint64_t max_snapshot_bytes = 1U << 30U;
  // A snapshot is wanted after this many entries or bytes since the last one.
  std::uint64_t snapshot_entries = 10'000;
  std::size_t snapshot_bytes = 64U << 20U;
  // Entries kept in memory before a snapshot, so that a member that lags a
  // little needs no snapshot.
  std::uint64_t trailing_entries = 1000;
  // A member within this many entries of the commit index is caught up.
  std::uint64_t caught_up_entries = 64;
  // A member silent for longer doesn't count as caught up in a member change.
  duration caught_up_max_silence{250};
};

enum class raft_role { follower, pre_candidate, candidate, leader };

std::string_view name(raft_role role);

struct raft_log {
  // Position before the first entry in memory.
  log_index base_index = 0;
  term_number base_term = 0;
  std::deque<log_entry> entries;
  raft_snapshot snapshot;
  std::size_t bytes_since_snapshot = 0;
};

log_index last_index(const raft_log& log);
term_number last_term(const raft_log& log);
// 0 for an index outside of what is in memory.
term_number term_at(const raft_log& log, log_index index);

// Snapshot being sent to a member.
struct snapshot_transfer {
  raft_snapshot snapshot;
  std::uint64_t offset = 0;
  time_point sent_at{}; // of the newest chunk
};

// What a leader knows of another member.
struct peer_progress {
  log_index next_index = 1;
  log_index match_index = 0;
  std::uint64_t acked_round = 0;
  time_point heard_at{};
  // While probing, one request is out at a time until one succeeds.
  bool probing = true;
  bool paused = false;
  std::optional<snapshot_transfer> transfer;
};

struct pending_read {
  std::uint64_t token = 0;
  std::uint64_t round = 0; // confirmed once a quorum acknowledged this round
};

struct member_version {
  log_index index = 0;
  group_members members;
};

// Records handed out and not yet reported as synced.
struct pending_sync {
  std::uint64_t id = 0;
  log_index last_index = 0;
  term_number term = 0;
};

struct incoming_snapshot {
  member_id from = 0;
  log_index last_index = 0;
  term_number last_term = 0;
  bytes data;
};

// One member of the group. Filled by make_raft_node; callers only read it.
struct raft_node {
  raft_settings settings;
  member_identity identity;
  hard_state state;
  raft_role role = raft_role::follower;
  member_id leader = 0;
  raft_log log;
  log_index commit_index = 0;                 // everything up to here was handed out
  std::vector<member_version> member_history; // the last one is in force
  std::set<member_id> votes;
  std::map<member_id, peer_progress> progress;
  std::uint64_t round = 0;
  std::vector<pending_read> reads;
  std::optional<incoming_snapshot> incoming;
  std::uint64_t last_sync_id = 0;
  std::deque<pending_sync> pending_syncs;
  log_index durable_index = 0;
  term_number durable_term = 0;
  time_point last_leader_contact{};
  time_point election_deadline{};
  time_point heartbeat_due{};
  std::mt19937_64 random;
};

struct read_result {
  std::uint64_t token = 0;
  // False: this member doesn't lead any more; nothing is known.
  bool confirmed = false;
};

// What the caller must do after a call, in this order: store the records;
// send immediate_messages at once and messages once every record up to sync_id is
// synced, then report synced(); replace the state machine by install; apply
// committed; answer reads; take a snapshot when one is wanted.
struct raft_output {
  std::vector<raft_record> records;
  std::uint64_t sync_id = 0;
  std::vector<raft_message> immediate_messages;
  std::vector<raft_message> messages;
  std::optional<raft_snapshot> install;
  std::vector<log_entry> committed;
  std::vector<read_result> reads;
  bool snapshot_wanted = false;
  // Result of propose and propose_member: the first index given, or the error
  // and words for the operator.
  log_index proposed_index = 0;
  std::error_code error;
  std::string detail;
};

// What a member found in its store; see record_log.h.
struct raft_recovery {
  member_identity identity;
  hard_state state;
  raft_snapshot snapshot;
  std::vector<log_entry> entries; // follow the snapshot without a gap
};

raft_node make_raft_node(const raft_settings& settings, raft_recovery recovered,
                         std::uint64_t seed, time_point now);

// Records a new member's identity. Its messages wait until it is stored.
raft_output store_identity(raft_node& node);

// Makes an empty member the first of a new group. The other members adopt the
// group with the first message from it.
raft_output form_group(raft_node& node, std::uint64_t group, const group_members& members,
                       time_point now);

// Takes in a message. Messages of another group or to another id are dropped.
raft_output step(raft_node& node, const raft_message& message, time_point now);

// Runs the timers; to be called every few milliseconds.
raft_output tick(raft_node& node, time_point now);

// Reports that all records up to sync_id are durable.
raft_output synced(raft_node& node, std::uint64_t sync_id, time_point now);

// Appends commands at consecutive indexes. Errors: errc::not_leader,
// errc::rate_limited while too much is uncommitted.
raft_output propose(raft_node& node, std::vector<bytes> commands, time_point now);

// Asks for a confirmation, by a round of messages begun after this call, that
// this member leads. The token comes back in raft_output::reads.
raft_output read_index(raft_node& node, std::uint64_t token, time_point now);

enum class member_change { add_learner, promote, remove };

// Starts a round of messages to all members, for propose_member. Leader only.
raft_output begin_heartbeat_round(raft_node& node, time_point now);

// Changes one member through the log. Only voters that acknowledged
// confirmed_round, or a later one, count as caught up; a round begun when the
// operator asked keeps a member that failed just before from being counted.
// Errors: errc::not_leader, errc::bad_request, errc::unsafe_member_change, with
// words for the operator in detail.
raft_output propose_member(raft_node& node, member_change change,
                           const group_member& member, std::uint64_t confirmed_round,
                           time_point now);

// Replaces the log up to the commit index by a snapshot of the state machine,
// which must have applied exactly that.
raft_output compact(raft_node& node, bytes state, time_point now);

// The members in force: the newest in the log, committed or not.
const group_members& members(const raft_node& node);

// Whether a member has nearly the whole log, was heard lately and acknowledged
// the round or a later one; leader only.
bool is_caught_up(const raft_node& node, member_id id, std::uint64_t confirmed_round,
                  time_point now);

namespace detail {

// Parts of the algorithm, shared between its source files.
bool is_up_to_date(const raft_node& node, const vote_request& body);
void become_follower(raft_node& node, term_number term, member_id leader, time_point now,
                     raft_output& out);
void start_pre_vote(raft_node& node, time_point now, raft_output& out);
// A vote that a crash could still undo must not make a leader: the member could
// vote again in the same term.
void count_own_vote(raft_node& node, time_point now, raft_output& out);
void become_leader(raft_node& node, time_point now, raft_output& out);
void reset_election_deadline(raft_node& node, time_point now);
bool may_campaign(const raft_node& node);
bool has_live_leader(const raft_node& node, time_point now);

void handle(raft_node& node, const raft_message& message, const vote_request& body,
            time_point now, raft_output& out);
void handle(raft_node& node, const raft_message& message, const vote_reply& body,
            time_point now, raft_output& out);
void handle(raft_node& node, const raft_message& message, const append_request& body,
            time_point now, raft_output& out);
void handle(raft_node& node, const raft_message& message, const append_reply& body,
            time_point now, raft_output& out);
void handle(raft_node& node, const raft_message& message, const snapshot_request& body,
            time_point now, raft_output& out);
void handle(raft_node& node, const raft_message& message, const snapshot_reply& body,
            time_point now, raft_output& out);

raft_message make_message(const raft_node& node, member_id to);
void store_state(raft_node& node, raft_output& out);
void finish(raft_node& node, raft_output& out);

void append_entry(raft_node& node, log_entry entry, raft_output& out);
void truncate_from(raft_node& node, log_index index);
void commit_up_to(raft_node& node, log_index index, raft_output& out);
void advance_commit(raft_node& node, time_point now, raft_output& out);
void send_append(raft_node& node, member_id to, time_point now, raft_output& out);
void send_heartbeats(raft_node& node, time_point now, raft_output& out);
void send_chunk(raft_node& node, member_id to, time_point now, raft_output& out);
void start_transfer(raft_node& node, member_id to, time_point now, raft_output& out);
void update_progress(raft_node& node, time_point now);

void confirm_reads(raft_node& node, time_point now, raft_output& out);
void fail_reads(raft_node& node, raft_output& out);

} // namespace detail

} // namespace marigoldstep
