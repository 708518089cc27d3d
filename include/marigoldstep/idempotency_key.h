#pragma once

#include "marigoldstep/types.h"

namespace marigoldstep {

// Longest accepted key: 12 digits, a hyphen and a token of 64 characters.
inline constexpr std::size_t max_idempotency_key_chars = 77;

// Returns the time in an idempotency key, or nullopt when the key is malformed. Accepts
// a version 7 UUID (RFC 9562, section 5.7) and "<unix seconds>-<token>" with a token
// of 8 to 64 characters from [A-Za-z0-9_-]. A text in the format of a UUID is parsed
// only as a UUID. Keys are compared byte for byte.
std::optional<unix_seconds> parse_idempotency_key(std::string_view key);

} // namespace marigoldstep
