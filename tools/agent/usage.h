#pragma once

#include "marigoldstep/types.h"

#include <cstdint>

namespace marigoldstep::agent {

// Number of prompt tokens of a model's response, and how many of them were cached.
struct token_usage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;

  friend bool operator==(const token_usage&, const token_usage&) = default;
};

// Reads the object "usage" of a complete response: from the JSON document, or from the
// last event of an event stream that contains one. Returns zeros if there is none.
token_usage find_usage(byte_view response, bool is_event_stream);

} // namespace marigoldstep::agent
