#pragma once

#include "marigoldstep/types.h"

#include <cstdint>

namespace marigoldstep::agent {

// Prompt tokens of a model's answer, and how many of them were in its cache.
struct token_usage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;

  friend bool operator==(const token_usage&, const token_usage&) = default;
};

// Reads the object "usage" of a whole answer: a JSON document, or the last JSON
// event of an event stream that has one. Zeros when there is none.
token_usage find_usage(byte_view response, bool is_event_stream);

} // namespace marigoldstep::agent
