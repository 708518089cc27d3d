#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Splits a relayed stream of server-sent events at event boundaries, so that a broken
// stream can be resumed at another server after the last complete event.
namespace marigoldstep {

struct event_splitter {
  std::string partial;                     // bytes after the last complete event
  std::optional<std::uint64_t> last_event; // id of the last complete event that has one
  // The last complete event with data has an id, so another server can be asked to
  // continue after it.
  bool is_resumable = true;
};

// Appends bytes of a stream and returns all complete events. Drops events whose id is
// not above last_event, because a resumed stream may repeat them.
std::string split_events(event_splitter& state, std::string_view buf);

// Whether an event or a comment has begun and its end has not arrived yet. Line ends and
// whole comments after the last event belong to none.
bool is_inside_event(const event_splitter& state);

} // namespace marigoldstep
