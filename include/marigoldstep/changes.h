#pragma once

#include "marigoldstep/wire.h"

#include <map>

namespace marigoldstep {

// The properties of a configuration text that the replicated state depends on. The
// leader determines them when it encodes a proposal, so that voters of different
// builds apply the same values.
struct config_properties {
  std::string problem; // first problem; empty when the text is valid
  unix_seconds claim_retention_s = 24UL * 3600;
  std::uint32_t loads_per_minute = 0; // limit of the weight store; 0: no limit
};

// Validates a configuration text and extracts its properties.
config_properties inspect_configuration(std::string_view text);

// The configuration text of one change.
struct config_text {
  std::string change_id;
  std::string text;
  config_properties properties;
};

struct change_reply_key {
  std::string change_id;
  wire::ChangeKind kind = wire::ChangeKind::propose;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
  friend auto operator<=>(const change_reply_key&, const change_reply_key&) = default;
};

// The first reply to a request, returned again for a resend. text_hash distinguishes a
// resent proposal from a different one under the same id once the text is removed.
struct first_reply {
  wire::ChangeReplyT reply;
  std::uint64_t text_hash = 0;
};

// Configuration changes and the accepted configuration.
struct change_registry {
  std::uint64_t accepted_version = 0;
  std::string accepted_text;
  std::string accepted_change_id;
  config_properties accepted_properties;
  config_text previous; // the version before; empty text when there is none
  std::vector<wire::ChangeRecordT> changes;     // oldest first
  std::map<std::string, config_text> proposals; // pending ones, by change id
  std::map<change_reply_key, first_reply> first_replies;
};

// Number of decided changes kept with their first replies: more than a day at 780
// changes a day. A later resend gets errc::unknown_change; an approval still can't be
// applied twice, because its base version has been superseded.
inline constexpr std::size_t max_decided_changes = 1000;
inline constexpr std::size_t max_pending_changes = 32;
inline constexpr std::size_t max_config_text_bytes = 8U << 20U;
inline constexpr std::size_t max_pending_text_bytes = 16U << 20U;
inline constexpr std::size_t max_change_name_bytes = 128;

// Stopping the accepted change creates a new change, whose id is that of the stopped
// change with this suffix. Proposals must not use it.
inline constexpr std::string_view stop_suffix = ".stop";

// Applies one request. A resend with the same change id and kind gets the first reply
// again; a proposal is refused if its id is in use with a different author, base
// version or text. Requests for unknown changes don't modify the registry.
wire::ChangeReplyT apply_change(change_registry& registry,
                                const wire::ChangeRequestT& request,
                                const config_properties& properties, unix_seconds now);

// Null if there is no such change, or it is no longer kept.
const wire::ChangeRecordT* find_change(const change_registry& registry,
                                       std::string_view change_id);

} // namespace marigoldstep
