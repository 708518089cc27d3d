#pragma once

#include "marigoldstep/types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <unordered_map>

namespace marigoldstep {

// Whether what a peer makes a process hold can be taken back; first those that are taken
// back first.
enum class hold_kind {
  incomplete, // a request that has not arrived in full, so that nothing has run
  unread,     // a complete response that the peer has yet to read
  idle,       // a connection between two requests
  running,    // a backend server may be running the request; never taken back
};

// What a process holds for one peer.
struct memory_hold {
  hold_kind kind = hold_kind::running;
  std::size_t bytes = 0;       // allocated, not only used
  std::size_t connections = 0; // of clients
  time_point since{};          // the beginning of the request or of the wait for the peer

  friend bool operator==(const memory_hold&, const memory_hold&) = default;
};

// Limits of one process. By default nothing is limited.
struct memory_limits {
  std::size_t bytes = std::numeric_limits<std::size_t>::max();       // of all holds
  std::size_t connections = std::numeric_limits<std::size_t>::max(); // of clients
  std::size_t receive_buffer_bytes = 64U << 10U; // in the kernel, of one connection

  friend bool operator==(const memory_limits&, const memory_limits&) = default;
};

// Requests that hold no more than this may use the last quarter of the budget, so that
// large requests can't keep ordinary ones out.
inline constexpr std::size_t small_hold_bytes = 64U << 10U;

// What a client's connection takes without a request: its objects and the buffers that
// the socket library keeps.
inline constexpr std::size_t connection_bytes = 16U << 10U;

// Derives the limits from those of the process, in bytes and descriptors. Requests and
// responses get three eighths of the memory, connections a sixth, and what clients have
// sent but the process has not read a sixth; the rest is for the process itself. A half
// of the descriptors, without those that the process itself needs, is for clients; the
// other half is for connections to backend servers. 0: no limit.
memory_limits make_memory_limits(std::size_t process_bytes, std::size_t process_fds);

// The memory that all peers of a process hold, in sum.
struct memory_budget {
  memory_limits limits;
  std::unordered_map<std::uint64_t, memory_hold> holds; // by id
  std::size_t used = 0;                                 // bytes, sum of all holds
  std::size_t connections = 0;                          // sum of all holds
  std::uint64_t last_id = 0;
  // Released lately: an average over seconds with exponentially decreasing weights.
  double released_bytes = 0;
  time_point released_at{};
};

std::uint64_t add_hold(memory_budget& budget);
void set_hold(memory_budget& budget, std::uint64_t id, const memory_hold& hold,
              time_point now);
void remove_hold(memory_budget& budget, std::uint64_t id, time_point now);

// Whether a peer that holds this many bytes may hold that many more.
bool has_room(const memory_budget& budget, std::size_t held, std::size_t more = 0);

// The hold to be reclaimed next: of those that can be, the one with the largest product
// of bytes and age, which is a slow request or response before a fast one of the same
// size. Nothing if no hold of a relevant size can be reclaimed.
std::optional<std::uint64_t> find_reclaimable(const memory_budget& budget,
                                              time_point now);

// The hold whose connection is to be closed next to make room for another: by kind, and
// then the oldest. Only one that a client has had half a second for is closed. Nothing if
// there is none among those selected.
std::optional<std::uint64_t>
find_closable(const memory_budget& budget,
              const std::function<bool(std::uint64_t)>& is_selected, time_point now);

// When a request of this size will find room, by the rate at which memory was released
// lately.
milliseconds estimate_room_delay(const memory_budget& budget, std::size_t bytes,
                                 time_point now);

} // namespace marigoldstep
