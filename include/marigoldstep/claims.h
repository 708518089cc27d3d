#pragma once

#include "marigoldstep/idempotency_key.h"
#include "marigoldstep/wire.h"

#include <map>
#include <memory>

namespace marigoldstep {

// Ordered by the time in the idempotency key first, so that the expired claims are a
// prefix of the table.
struct claim_key {
  unix_seconds time = 0;
  std::string workspace;
  std::string service;
  std::string key;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
  friend auto operator<=>(const claim_key&, const claim_key&) = default;
};

// The attempt that holds a claim, in one process of one agent. After a restart the
// agent has another incarnation and is a different holder, even for the same attempt.
struct claim_holder {
  attempt_id attempt;
  std::string node_id;
  marigoldstep::incarnation incarnation = 0;

  friend bool operator==(const claim_holder&, const claim_holder&) = default;
};

// A released record keeps the attempt that released it, so that a delayed duplicate of
// that attempt's claim request can't claim the key again.
enum class claim_phase : std::uint8_t { running, completed, cancelled, released };

struct claim_record {
  claim_phase phase = claim_phase::running;
  std::uint64_t body_hash = 0;
  claim_holder holder;
  std::shared_ptr<const wire::StoredAnswerT> response; // null when it isn't stored
};

// An agent that holds running claims.
struct holder_record {
  incarnation newest_incarnation = 0;
  std::size_t running = 0;
};

// Estimated memory.
struct claim_usage {
  std::size_t total_bytes = 0; // stored responses included
  std::size_t response_bytes = 0;

  friend bool operator==(const claim_usage&, const claim_usage&) = default;
};

// The claims of all at-most-once calls. A claim is never removed before it expires,
// because that would allow the call to run a second time.
struct claim_table {
  std::map<claim_key, claim_record> records;
  std::map<std::string, holder_record> holders;
  // Keys with an earlier time have expired and their claims are removed. Never
  // decreases, not even when the retention is extended, because those claims have been
  // removed.
  unix_seconds horizon = 0;
  claim_usage usage;
  std::map<std::string, claim_usage> workspace_usage;
};

// Larger responses aren't stored; the record then only says that the call completed.
inline constexpr std::size_t max_stored_response_bytes = 64U << 10U;
// Memory limits. Together with encoding the largest snapshot they keep a control
// process within its limit of 256 MB.
inline constexpr claim_usage max_claim_usage = {64U << 20U, 32U << 20U};
// Keeps a surge in one workspace from using up the memory for the claims of the others.
inline constexpr claim_usage max_workspace_usage = {max_claim_usage.total_bytes / 4,
                                                    max_claim_usage.response_bytes / 4};
// Maximum by which the time in a key may be ahead of the log time.
inline constexpr unix_seconds max_key_lead_s = 300;

// Removes the claims whose keys are older than retention_s at the log time now.
void expire_claims(claim_table& table, unix_seconds now, unix_seconds retention_s);

// Applies one request at the log time now. If it needs a new record and the table, or
// the share of its workspace, is full, it is refused with unavailable and
// errc::rate_limited and adds no record. A malformed key is refused with unavailable
// and errc::bad_idempotency_key.
wire::ClaimReplyT apply_claim(claim_table& table, const wire::ClaimRequestT& request,
                              unix_seconds now);

// Inserts a record, such as one read from a snapshot, and adds it to the usage.
void restore_claim(claim_table& table, claim_key key, claim_record record);

} // namespace marigoldstep
