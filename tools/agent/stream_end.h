#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace marigoldstep::agent {

// Reads an event stream up to its end marker, an event whose only data is "[DONE]".
struct stream_end {
  std::string line; // beginning of the line in progress
  bool has_marker = false;
  std::size_t data_lines = 0; // of the event in progress
  bool has_ended = false;
};

// Returns how many bytes of the next piece come before the end of the stream. Where only
// the end marker tells that end, later bytes belong to no request.
std::size_t read_piece(stream_end& state, std::string_view piece);

// Whether the body ends with the end marker. Its event may lack its empty line only if
// the body is delimited: otherwise more could have followed.
bool is_whole_stream(const stream_end& state, bool is_delimited);

} // namespace marigoldstep::agent
