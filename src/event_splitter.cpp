#include "marigoldstep/event_splitter.h"

#include <charconv>

namespace marigoldstep {

namespace {

// Length of the line terminator at position at; 0 if there is none.
std::size_t line_end(std::string_view buf, std::size_t at) {
  if (buf[at] == '\n') {
    return 1;
  }
  return buf[at] == '\r' && at + 1 < buf.size() && buf[at + 1] == '\n' ? 2 : 0;
}

// Position after the empty line that ends the first event; 0 if it has not arrived yet.
std::size_t event_end(std::string_view buf) {
  for (std::size_t i = 0; i < buf.size(); ++i) {
    const auto n = line_end(buf, i);
    if (n != 0 && i + n < buf.size()) {
      const auto second = line_end(buf, i + n);
      if (second != 0) {
        return i + n + second;
      }
    }
  }
  return 0;
}

std::optional<std::uint64_t> event_id(std::string_view event) {
  constexpr std::string_view field = "id:";
  for (std::size_t at = 0; at < event.size();) {
    const auto end = std::min(event.find('\n', at), event.size());
    auto line = event.substr(at, end - at);
    at = end + 1;
    if (!line.starts_with(field)) {
      continue;
    }
    line.remove_prefix(field.size());
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    std::uint64_t value = 0;
    const auto [end_of_number, ec] =
        std::from_chars(line.data(), line.data() + line.size(), value);
    return ec == std::errc() ? std::optional(value) : std::nullopt;
  }
  return std::nullopt;
}

} // namespace

std::string split_events(event_splitter& state, std::string_view buf) {
  state.partial.append(buf);
  std::string out;
  std::string_view rest = state.partial;
  for (auto n = event_end(rest); n != 0; n = event_end(rest)) {
    const auto event = rest.substr(0, n);
    rest.remove_prefix(n);
    const auto id = event_id(event);
    if (id && state.last_event && *id <= *state.last_event) {
      continue;
    }
    state.last_event = id ? id : state.last_event;
    out.append(event);
  }
  state.partial = std::string(rest);
  return out;
}

bool is_inside_event(const event_splitter& state) {
  return state.partial.find_first_not_of("\r\n") != std::string::npos;
}

} // namespace marigoldstep
