#pragma once

#include "marigoldstep/types.h"

#include <optional>

namespace marigoldstep {

// Maximum number of unacknowledged bytes sent to a router. Limits the memory that a slow
// caller can use in the router.
inline constexpr std::uint64_t send_window_bytes = 256U << 10U;

// The complete response of one attempt, kept so that it can be resumed from any offset,
// and the progress of the attached router.
struct response_buffer {
  std::size_t max_bytes = 0;
  bytes data;
  std::uint64_t sent = 0;         // offset of the next byte to send
  std::uint64_t acknowledged = 0; // bytes passed to the caller
};

// Appends bytes from the backend server. Returns false and appends nothing if the
// response would exceed max_bytes.
bool append(response_buffer& buffer, byte_view chunk);

// A part of the response that may be sent now.
struct response_chunk {
  std::uint64_t offset = 0;
  byte_view data; // valid until the next append
};

// Returns the next chunk of at most max_chunk bytes and marks it as sent; none if all
// bytes are sent or the window is full.
std::optional<response_chunk> take_chunk(response_buffer& buffer, std::size_t max_chunk);

// Advances the window to offset. Ignores an offset that was not sent yet or is lower than
// an earlier one, and returns false.
bool acknowledge(response_buffer& buffer, std::uint64_t offset);

// Restarts sending at offset, which counts as acknowledged. Returns false if offset is
// beyond the buffered bytes.
bool resume_from(response_buffer& buffer, std::uint64_t offset);

// Whether all buffered bytes were sent to the router.
bool all_sent(const response_buffer& buffer);
// Whether the router acknowledged all buffered bytes.
bool all_acknowledged(const response_buffer& buffer);

} // namespace marigoldstep
