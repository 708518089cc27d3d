#include "marigoldstep/response_buffer.h"

#include <algorithm>

namespace marigoldstep {

bool append(response_buffer& buffer, byte_view chunk) {
  if (chunk.size() > buffer.max_bytes - buffer.data.size()) {
    return false;
  }
  buffer.data.insert(buffer.data.end(), chunk.begin(), chunk.end());
  return true;
}

std::optional<response_chunk> take_chunk(response_buffer& buffer, std::size_t max_chunk) {
  const auto end = std::min<std::uint64_t>(buffer.data.size(),
                                           buffer.acknowledged + send_window_bytes);
  if (buffer.sent >= end) {
    return std::nullopt;
  }
  const auto n = std::min<std::uint64_t>(end - buffer.sent, max_chunk);
  response_chunk out{buffer.sent, byte_view(buffer.data).subspan(buffer.sent, n)};
  buffer.sent += n;
  return out;
}

bool acknowledge(response_buffer& buffer, std::uint64_t offset) {
  if (offset > buffer.sent || offset < buffer.acknowledged) {
    return false;
  }
  buffer.acknowledged = offset;
  return true;
}

bool resume_from(response_buffer& buffer, std::uint64_t offset) {
  if (offset > buffer.data.size()) {
    return false;
  }
  buffer.sent = offset;
  buffer.acknowledged = offset;
  return true;
}

bool all_sent(const response_buffer& buffer) {
  return buffer.sent == buffer.data.size();
}

bool all_acknowledged(const response_buffer& buffer) {
  return buffer.acknowledged == buffer.data.size();
}

} // namespace marigoldstep
