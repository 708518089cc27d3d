#pragma once

#include "marigoldstep/idempotency_key.h"
#include "marigoldstep/wire.h"

#include <map>
#include <memory>

namespace marigoldstep {

// Ordered by the key's own time first, so that expired claims are a prefix of the
// table.
struct claim_key {
  unix_seconds time = 0;
  std::string workspace;
  std::string service;
  std::string key;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
  friend auto operator<=>(const claim_key&, const claim_key&) = default;
};

// The attempt that holds a claim, in one process of one agent. A restarted agent
// has another incarnation and so is another holder, even for the same attempt.
struct claim_holder {
  attempt_id attempt;
  std::string node_id;
  marigoldstep::incarnation incarnation = 0;

  friend bool operator==(const claim_holder&, const claim_holder&) = default;
};

// released keeps the released attempt, so that a late copy of its claim message
// cannot take the key again.
enum class claim_phase : std::uint8_t { running, completed, cancelled, released };

struct claim_record {
  claim_phase phase = claim_phase::running;
  std::uint64_t body_hash = 0;
  claim_holder holder;
  std::shared_ptr<const wire::StoredAnswerT> answer; // null when only the fact is kept
};

// What is known of an agent that holds running claims.
struct holder_record {
  incarnation newest_incarnation = 0;
  std::size_t running = 0;
};

// Estimated memory.
struct claim_usage {
  std::size_t total = 0; // answers included
  std::size_t answers = 0;

  friend bool operator==(const claim_usage&, const claim_usage&) = default;
};

// All claims of at-most-once calls. Nothing is dropped before it expires:
// dropping a claim early would allow a second run.
struct claim_table {
  std::map<claim_key, claim_record> records;
  std::map<std::string, holder_record> holders;
  // Keys with an earlier time are expired for ever. Only rises, also when the
  // retention is made longer, because their claims have been dropped.
  unix_seconds horizon = 0;
  claim_usage usage;
  std::map<std::string, claim_usage> workspace_usage;
};

// Larger answers are not kept, only the fact that the call completed.
inline constexpr std::size_t max_stored_answer_bytes = 64U << 10U;
// Bounds on memory. With the largest snapshot in the making they stay within the
// 256 MB that a control process may use.
inline constexpr claim_usage max_claim_usage = {64U << 20U, 32U << 20U};
// Keeps one workspace's surge from taking the room for claims of all others.
inline constexpr claim_usage max_workspace_usage = {max_claim_usage.total / 4,
                                                    max_claim_usage.answers / 4};
// How far a key's time may be ahead of the log's time.
inline constexpr unix_seconds max_key_lead_s = 300;

// Drops the claims whose keys are older than retention_s at the log time now.
void expire_claims(claim_table& table, unix_seconds now, unix_seconds retention_s);

// Applies one request at the log time now. When the table is full a request that
// would need a new record is refused with unavailable and errc::rate_limited, and
// changes nothing; likewise when its workspace has used up its part of the table. A
// malformed key gives unavailable and errc::bad_idempotency_key.
wire::ClaimReplyT apply_claim(claim_table& table, const wire::ClaimRequestT& request,
                              unix_seconds now);

// Inserts a record read from a snapshot and accounts for it.
void restore_claim(claim_table& table, claim_key key, claim_record record);

} // namespace marigoldstep
