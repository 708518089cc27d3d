#pragma once

#include "marigoldstep/types.h"

#include <optional>

namespace marigoldstep {

// Bytes that may be on their way to a router beyond those it acknowledged.
// Bounds the memory that a slow caller can use in the router.
inline constexpr std::uint64_t send_window = 256U << 10U;

// The answer to one attempt, kept whole so that it can be resumed from any
// offset, and how much of it the attached router has got.
struct response_buffer {
  std::size_t max_bytes = 0;
  bytes data;
  std::uint64_t sent = 0;         // offset of the next byte to send
  std::uint64_t acknowledged = 0; // bytes handed to the caller
};

// Appends bytes from the backend server. Returns false, and keeps nothing of
// them, when the answer would grow over max_bytes.
bool append(response_buffer& buffer, byte_view chunk);

// A piece of the answer that may be sent now.
struct response_chunk {
  std::uint64_t offset = 0;
  byte_view data; // valid until the next append
};

// The next piece of at most max_chunk bytes, marked as sent; none when all is
// sent or the window is full.
std::optional<response_chunk> take_chunk(response_buffer& buffer, std::size_t max_chunk);

// Opens the window. An offset that was not sent, or that lies before an earlier
// one, is ignored, and false returned.
bool acknowledge(response_buffer& buffer, std::uint64_t offset);

// Starts sending anew at offset, which counts as acknowledged. Returns false for
// an offset beyond the known bytes.
bool resume_from(response_buffer& buffer, std::uint64_t offset);

// Whether the router was sent every known byte.
bool all_sent(const response_buffer& buffer);
// Whether the router acknowledged every known byte.
bool all_acknowledged(const response_buffer& buffer);

} // namespace marigoldstep
