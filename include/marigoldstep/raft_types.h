#pragma once

#include "marigoldstep/types.h"
#include "marigoldstep/wire.h"

#include <memory>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace marigoldstep {

// Random id of a member of the control group, stored with its log. 0 means no
// member.
using member_id = std::uint64_t;
using log_index = std::uint64_t; // counts from 1
using term_number = std::uint64_t;

enum class entry_kind : std::uint8_t { normal, members, no_op };

struct log_entry {
  log_index index = 0;
  term_number term = 0;
  entry_kind kind = entry_kind::normal;
  bytes data;

  friend bool operator==(const log_entry&, const log_entry&) = default;
};

// A voter, or a learner, which receives the log but does not vote.
struct group_member {
  member_id id = 0;
  std::string host; // address that other members connect to
  std::uint16_t port = 0;
  bool learner = false;

  friend bool operator==(const group_member&, const group_member&) = default;
};
using group_members = std::vector<group_member>;

// State of the state machine after last_index, and the members as of it.
struct raft_snapshot {
  log_index last_index = 0; // 0: no snapshot
  term_number last_term = 0;
  group_members members;
  std::shared_ptr<const bytes> data;
};

// Stored by each member, as are hard_state, snapshot_marker and log_entry. An item
// is durable once the records of the raft_output that holds it are synced.
struct member_identity {
  member_id id = 0;
  std::uint64_t group = 0; // 0: not a member of a group yet

  friend bool operator==(const member_identity&, const member_identity&) = default;
};

struct hard_state {
  term_number term = 0;
  member_id voted_for = 0;

  friend bool operator==(const hard_state&, const hard_state&) = default;
};

// Records that the snapshot up to last_index replaces the entries up to it.
struct snapshot_marker {
  log_index last_index = 0;
  term_number last_term = 0;

  friend bool operator==(const snapshot_marker&, const snapshot_marker&) = default;
};

// An item of the stored log. An entry with the index of a stored one but another
// term replaces that entry and all after it.
using log_item = std::variant<member_identity, hard_state, snapshot_marker, log_entry>;

// A snapshot and the items to store with it. Together they replace everything
// stored before them.
struct log_checkpoint {
  raft_snapshot snapshot;
  std::vector<log_item> items;
};

using raft_record = std::variant<log_item, log_checkpoint>;

struct vote_request {
  bool pre_vote = false;
  log_index last_index = 0;
  term_number last_term = 0;
};

struct vote_reply {
  bool pre_vote = false;
  bool granted = false;
};

struct append_request {
  log_index previous_index = 0;
  term_number previous_term = 0;
  log_index commit_index = 0;
  std::uint64_t round = 0;
  std::vector<log_entry> entries;
};

struct append_reply {
  bool success = false;
  log_index match_index = 0; // on failure: the index to retry from
  std::uint64_t round = 0;
  log_index rejected_index = 0; // on failure: previous_index of the request
};

struct snapshot_request {
  log_index last_index = 0;
  term_number last_term = 0;
  group_members members;
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  bytes data;
};

struct snapshot_reply {
  std::uint64_t next_offset = 0;
  bool done = false;
  log_index last_index = 0; // of the snapshot this replies to
};

struct raft_message {
  member_id from = 0;
  member_id to = 0;
  std::uint64_t group = 0;
  term_number term = 0;
  std::variant<vote_request, vote_reply, append_request, append_reply, snapshot_request,
               snapshot_reply>
      body;
};

// Payload of an entry of kind members. decode_members sets ec to
// errc::malformed_message for invalid data.
bytes encode_members(const group_members& members);
group_members decode_members(byte_view data, std::error_code& ec);

// Null if there is no such member.
const group_member* find_member(const group_members& members, member_id id);
bool is_voter(const group_members& members, member_id id);
std::size_t voter_count(const group_members& members);
// Smallest majority of the voters.
std::size_t quorum_size(const group_members& members);

// Conversion to and from the wire format. from_wire sets ec to
// errc::malformed_message for a body that is no Raft message or that holds an
// invalid member list.
wire::RaftFrameT to_wire(const raft_message& message);
raft_message from_wire(const wire::RaftFrameT& frame, std::error_code& ec);

} // namespace marigoldstep
