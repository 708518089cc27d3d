#include "agent/stream_end.h"

namespace marigoldstep::agent {

namespace {

constexpr std::string_view end_marker = "data: [DONE]";
// Enough to tell the end marker from a longer line.
constexpr std::size_t max_line_bytes = end_marker.size() + 2;

std::string_view without_return(std::string_view line) {
  return line.ends_with('\r') ? line.substr(0, line.size() - 1) : line;
}

bool is_data(std::string_view line) {
  return line == "data" || line.starts_with("data:");
}

void end_line(stream_end& state) {
  const auto line = without_return(state.line);
  if (line.empty()) {
    state.has_ended = state.has_marker && state.data_lines == 1;
    state.has_marker = false;
    state.data_lines = 0;
  } else if (is_data(line)) {
    state.has_marker = state.has_marker || line == end_marker;
    ++state.data_lines;
  }
  state.line.clear();
}

} // namespace

std::size_t read_piece(stream_end& state, std::string_view piece) {
  std::size_t n = 0;
  for (; n < piece.size() && !state.has_ended; ++n) {
    if (piece[n] == '\n') {
      end_line(state);
    } else if (state.line.size() < max_line_bytes) {
      state.line += piece[n];
    }
  }
  return n;
}

bool is_whole_stream(const stream_end& state, bool is_delimited) {
  if (state.has_ended || !is_delimited) {
    return state.has_ended;
  }
  auto rest = state;
  end_line(rest);
  return rest.has_ended || (rest.has_marker && rest.data_lines == 1);
}

} // namespace marigoldstep::agent
