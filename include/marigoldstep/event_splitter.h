#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Splits a relayed stream of server-sent events at event boundaries, so that a broken
// stream can be resumed at another server after the last complete event.
namespace marigoldstep {

// Maximum length of an event that is kept until its end has arrived.
inline constexpr std::size_t max_event_bytes = 1U << 20U;

struct event_splitter {
  // Bytes after the last complete event, but for those that drop_partial() removed.
  std::string partial;
  bool has_dropped = false;                // the unfinished event is not kept as a whole
  std::optional<std::uint64_t> last_event; // id of the last complete event that has one
  // The last complete event with data has an id, so another server can be asked to
  // continue after it.
  bool is_resumable = true;
};

// Appends bytes of a stream and returns all complete events. Drops events whose id is
// not above last_event, because a resumed stream may repeat them.
std::string split_events(event_splitter& state, std::string_view buf);

// Whether the unfinished event is longer than max_event_bytes.
bool is_too_long(const event_splitter& state);

// Forgets the unfinished event but for what is needed to find its end. For streams that
// are forwarded as they arrive; no other server can continue after such an event.
void drop_partial(event_splitter& state);

// Whether an event or a comment has begun and its end has not arrived yet. Line ends and
// whole comments after the last event belong to none.
bool is_inside_event(const event_splitter& state);

} // namespace marigoldstep
