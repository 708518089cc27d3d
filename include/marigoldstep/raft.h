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
// messages and the current time, and performs the I/O that the output lists.
namespace marigoldstep {

struct raft_settings {
  // The timeout is drawn uniformly from this range, so that voters rarely start
  // elections at the same time.
  milliseconds election_timeout_min{300};
  milliseconds election_timeout_max{600};
  milliseconds heartbeat_interval{75};
  // Limits of one append request. An entry above the byte limit is sent alone.
  std::size_t max_append_bytes = 1U << 20U;
  std::size_t max_append_entries = 512;
  // Limit of entries sent to a member and not yet acknowledged.
  std::uint64_t max_in_flight_entries = 4096;
  std::size_t max_uncommitted_bytes = 64U << 20U;
  // A chunk takes 45 ms over a link of 6 Mbit/s; one is in flight at a time.
  std::size_t snapshot_chunk_bytes = 32U << 10U;
  // A chunk that was not acknowledged is sent again after this time.
  milliseconds chunk_retry_timeout{500};
  // Largest snapshot accepted from a leader.
  std::uint64_t max_snapshot_bytes = 1U << 30U;
  // A snapshot is requested after this many entries or bytes since the last one.
  std::uint64_t snapshot_entries = 10'000;
  std::size_t snapshot_bytes = 64U << 20U;
  // Entries before a snapshot that stay in memory, so that a member that lags by
  // fewer entries needs no snapshot.
  std::uint64_t trailing_entries = 1000;
  // A member counts as caught up within this many entries of the commit index.
  std::uint64_t caught_up_entries = 64;
  // A member that sent no reply for longer doesn't count as caught up.
  milliseconds caught_up_max_silence{250};
};

enum class raft_role { follower, pre_candidate, candidate, leader };

std::string_view name(raft_role role);

struct raft_log {
  // Index and term of the entry before the first one in memory.
  log_index base_index = 0;
  term_number base_term = 0;
  std::deque<log_entry> entries;
  raft_snapshot snapshot;
  std::size_t bytes_since_snapshot = 0;
};

log_index last_index(const raft_log& log);
term_number last_term(const raft_log& log);
// 0 if the index is not in memory.
term_number term_at(const raft_log& log, log_index index);

// Progress of sending a snapshot to a member.
struct snapshot_transfer {
  raft_snapshot snapshot;
  std::uint64_t offset = 0;
  time_point sent_at{}; // of the latest chunk
};

// Replication state that a leader keeps for another member.
struct peer_progress {
  log_index next_index = 1;
  log_index match_index = 0;
  std::uint64_t acked_round = 0;
  time_point last_reply{};
  // While probing for the matching index, one request is in flight at a time;
  // paused is set while it is. A successful reply ends the probing.
  bool probing = true;
  bool paused = false;
  std::optional<snapshot_transfer> transfer;
};

struct pending_read {
  std::uint64_t token = 0;
  std::uint64_t round = 0; // confirmed once a quorum has acknowledged it
};

struct member_version {
  log_index index = 0;
  group_members members;
};

// Records that were returned to the caller and not yet reported as synced.
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

// State of one member. Created by make_raft_node; callers only read it.
struct raft_node {
  raft_settings settings;
  member_identity identity;
  hard_state state;
  raft_role role = raft_role::follower;
  member_id leader = 0;
  raft_log log;
  log_index commit_index = 0; // entries up to it were returned to the caller
  std::vector<member_version> member_history; // the last one is current
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
  time_point campaign_began_at{}; // while a candidate's vote for itself isn't durable
  unsigned campaigns = 0;         // since a leader was known
  time_point heartbeat_due{};
  std::mt19937_64 random;
};

struct read_result {
  std::uint64_t token = 0;
  // False if this member is not, or no longer, the leader: nothing is known then.
  bool confirmed = false;
};

// What the caller must do after a call, in this order: store the records; send
// immediate_messages at once, and messages once every record up to sync_id is
// synced, then call synced(); replace the state machine by install; apply
// committed; complete reads; take a snapshot if snapshot_due is set.
struct raft_output {
  std::vector<raft_record> records;
  std::uint64_t sync_id = 0;
  std::vector<raft_message> immediate_messages;
  std::vector<raft_message> messages;
  std::optional<raft_snapshot> install;
  std::vector<log_entry> committed;
  std::vector<read_result> reads;
  bool snapshot_due = false;
  // Result of propose and propose_member: the index of the first appended entry,
  // or the error and a message for the operator.
  log_index proposed_index = 0;
  std::error_code error;
  std::string detail;
};

// State recovered from storage; see raft_log_format.h.
struct raft_recovery {
  member_identity identity;
  hard_state state;
  raft_snapshot snapshot;
  std::vector<log_entry> entries; // consecutive, from snapshot.last_index + 1
};

raft_node make_raft_node(const raft_settings& settings, raft_recovery recovered,
                         std::uint64_t seed, time_point now);

// Stores the identity of a new member. Its messages wait until that is durable.
raft_output store_identity(raft_node& node);

// Bootstraps a new group from a member with an empty log. Other members join the
// group with the first message that they receive from it.
raft_output form_group(raft_node& node, std::uint64_t group, const group_members& members,
                       time_point now);

// Handles a message. Messages of another group or to another id are dropped.
raft_output step(raft_node& node, const raft_message& message, time_point now);

// Runs the election and heartbeat timers. Call it every few milliseconds.
raft_output tick(raft_node& node, time_point now);

// Reports that all records up to sync_id are durable.
raft_output synced(raft_node& node, std::uint64_t sync_id, time_point now);

// Appends commands at consecutive indexes. Errors: errc::not_leader, and
// errc::rate_limited while more than max_uncommitted_bytes are uncommitted.
raft_output propose(raft_node& node, std::vector<bytes> commands, time_point now);

// Starts a linearizable read: confirms, by a heartbeat round that begins after
// this call, that this member is still the leader. The token is returned in
// raft_output::reads.
raft_output read_index(raft_node& node, std::uint64_t token, time_point now);

enum class member_change { add_learner, promote, remove };

// Starts a heartbeat round, whose number propose_member takes. Does nothing on a
// member that is not the leader.
raft_output begin_heartbeat_round(raft_node& node, time_point now);

// Adds, promotes or removes one member through a log entry. Only voters that
// acknowledged confirmed_round or a later round count as caught up. A round begun
// after the operator's request excludes members that failed just before it.
// Errors: errc::not_leader, errc::bad_request, errc::unsafe_member_change, with a
// message for the operator in detail.
raft_output propose_member(raft_node& node, member_change change,
                           const group_member& member, std::uint64_t confirmed_round,
                           time_point now);

// Replaces the log up to the commit index by a snapshot. state must be that of a
// state machine that has applied exactly the entries up to the commit index.
raft_output compact(raft_node& node, bytes state, time_point now);

// The current members: those of the newest members entry in the log, whether or
// not it is committed.
const group_members& members(const raft_node& node);

// Whether the member's term is on its disk. It campaigns only then.
bool is_term_durable(const raft_node& node);

// Whether a member lags by at most caught_up_entries, replied within
// caught_up_max_silence and acknowledged the round or a later one. Meaningful
// only on the leader.
bool is_caught_up(const raft_node& node, member_id id, std::uint64_t confirmed_round,
                  time_point now);

namespace detail {

// Functions shared by the source files of the algorithm.
bool is_up_to_date(const raft_node& node, const vote_request& body);
void become_follower(raft_node& node, term_number term, member_id leader, time_point now,
                     raft_output& out);
void start_pre_vote(raft_node& node, time_point now, raft_output& out);
// Counts a candidate's own vote once it is durable. Before that a crash could
// lose the vote, and the member could vote again in the same term. The other voters
// get the candidate's requests only then, so its election timeout begins there.
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
