#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Server-sent events as they pass through a router, cut at event ends, so that a
// stream that breaks off can go on at another server after the last whole event.
namespace marigoldstep {

struct event_splitter {
  std::string partial;                     // bytes after the last whole event
  std::optional<std::uint64_t> last_event; // id of the last whole event
};

// Takes in bytes of a stream and returns those up to the end of the last whole
// event. Events whose ids aren't above last_event are left out: a resumed stream
// may repeat them.
std::string split_events(event_splitter& state, std::string_view buf);

} // namespace marigoldstep
