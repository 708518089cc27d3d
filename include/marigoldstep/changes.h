#pragma once

#include "marigoldstep/wire.h"

#include <map>

namespace marigoldstep {

// What the replicated state needs to know of a configuration text. The leader
// finds it out when it encodes a proposal, so that voters of different builds
// apply the same.
struct config_facts {
  std::string problem; // first problem; empty when the text is valid
  unix_seconds claim_retention_s = 24UL * 3600;
  std::uint32_t loads_per_minute = 0; // of the weight store; 0: no limit
};

config_facts inspect_configuration(std::string_view text);

// The text of one change.
struct config_text {
  std::string change_id;
  std::string text;
  config_facts facts;
};

struct change_answer_key {
  std::string change_id;
  wire::ChangeKind kind = wire::ChangeKind::propose;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
  friend auto operator<=>(const change_answer_key&, const change_answer_key&) = default;
};

// The first answer to a request. text_hash tells a resent proposal from another
// one under the same id after the text has been dropped.
struct change_answer {
  wire::ChangeReplyT reply;
  std::uint64_t text_hash = 0;
};

// Configuration changes and the accepted configuration.
struct change_registry {
  std::uint64_t accepted_version = 0;
  std::string accepted_text;
  std::string accepted_change_id;
  config_facts accepted_facts;
  config_text previous; // of the version before; empty text when there is none
  std::vector<wire::ChangeRecordT> changes;     // oldest first
  std::map<std::string, config_text> proposals; // pending ones, by change id
  std::map<change_answer_key, change_answer> answers;
};

// Decided changes that are remembered, with their first answers: more than a day
// at 780 changes a day. A resend after that finds its change unknown; an approval
// then still cannot be applied twice, because its base version is gone.
inline constexpr std::size_t max_decided_changes = 1000;
inline constexpr std::size_t max_pending_changes = 32;
inline constexpr std::size_t max_config_text_size = 8U << 20U;
inline constexpr std::size_t max_pending_text_size = 16U << 20U;
inline constexpr std::size_t max_change_name_size = 128;

// The change that a stop of the accepted change creates has the stopped change's
// id with this suffix. Proposals may not use it.
inline constexpr std::string_view stop_suffix = ".stop";

// Applies one request. A resend of the same change id and kind gets the first
// answer again; a proposal under an id that another author, base or text already
// uses is refused. Requests about unknown changes leave no trace.
wire::ChangeReplyT apply_change(change_registry& registry,
                                const wire::ChangeRequestT& request,
                                const config_facts& facts, unix_seconds now);

// Null when the change is not remembered.
const wire::ChangeRecordT* find_change(const change_registry& registry,
                                       std::string_view change_id);

} // namespace marigoldstep
