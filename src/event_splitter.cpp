#include "marigoldstep/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace marigoldstep {

namespace {

// Two line terminators.
constexpr std::size_t max_event_end_bytes = 4;

// Length of the line terminator at position at; 0 if there is none.
std::size_t line_end(std::string_view buf, std::size_t at) {
  if (buf[at] == '\n') {
    return 1;
  }
  return buf[at] == '\r' && at + 1 < buf.size() && buf[at + 1] == '\n' ? 2 : 0;
}

// Position after the empty line that ends the first event; 0 if it has not arrived yet.
// The line ends around it begin at position from or later.
std::size_t event_end(std::string_view buf, std::size_t from) {
  for (std::size_t i = from; i < buf.size(); ++i) {
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

// Whole value of an id field; the specification allows one space before it.
std::optional<std::uint64_t> parse_id(std::string_view value) {
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  std::uint64_t id = 0;
  const auto* last = value.data() + value.size();
  const auto [end, ec] = std::from_chars(value.data(), last, id);
  return ec == std::errc() && end == last ? std::optional(id) : std::nullopt;
}

struct event_fields {
  std::optional<std::uint64_t> id; // absent when it is not a number
  bool has_data = false;           // events without data are not delivered
};

event_fields parse_event(std::string_view event) {
  constexpr std::string_view id_field = "id:";
  constexpr std::string_view data_field = "data";
  event_fields out;
  while (!event.empty()) {
    const auto end = std::min(event.find('\n'), event.size());
    auto line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with(id_field)) {
      out.id = parse_id(line.substr(id_field.size()));
    }
    out.has_data = out.has_data || line == data_field ||
                   (line.starts_with(data_field) && line[data_field.size()] == ':');
  }
  return out;
}

} // namespace

std::string split_events(event_splitter& state, std::string_view buf) {
  // No event ends in the bytes of earlier calls.
  const auto searched =
      state.partial.size() - std::min(state.partial.size(), max_event_end_bytes - 1);
  state.partial.append(buf);
  std::string out;
  std::string_view rest = state.partial;
  for (auto n = event_end(rest, searched); n != 0; n = event_end(rest, 0)) {
    const auto event = rest.substr(0, n);
    rest.remove_prefix(n);
    // A shortened event may have had data.
    const auto fields = std::exchange(state.has_dropped, false)
                            ? event_fields{std::nullopt, true}
                            : parse_event(event);
    if (fields.id && state.last_event && *fields.id <= *state.last_event) {
      continue;
    }
    if (fields.id || fields.has_data) {
      state.is_resumable = fields.id.has_value();
    }
    state.last_event = fields.id ? fields.id : state.last_event;
    out.append(event);
  }
  state.partial.erase(0, state.partial.size() - rest.size());
  return out;
}

bool is_too_long(const event_splitter& state) {
  return state.partial.size() > max_event_bytes;
}

void drop_partial(event_splitter& state) {
  const auto kept = std::min(state.partial.size(), max_event_end_bytes - 1);
  state.partial.erase(0, state.partial.size() - kept);
  state.has_dropped = true;
}

bool is_inside_event(const event_splitter& state) {
  if (state.has_dropped) {
    return true;
  }
  std::string_view rest = state.partial;
  while (!rest.empty()) {
    const auto end = rest.find('\n');
    const bool is_whole_comment = end != std::string_view::npos && rest.front() == ':';
    if (!is_whole_comment && rest.front() != '\r' && rest.front() != '\n') {
      return true;
    }
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
  }
  return false;
}

} // namespace marigoldstep
