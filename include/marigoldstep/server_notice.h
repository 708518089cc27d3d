#pragma once

#include "marigoldstep/types.h"

#include <string_view>

// What a backend server has told this router about the requests that it still takes.
// The functions do no I/O. A notice binds this router alone and is valid for one
// incarnation: a server that has restarted takes requests again.
namespace marigoldstep {

// The longest back-off that a server can ask for. A longer one is shortened to this.
inline constexpr auto max_server_backoff = milliseconds(600'000);

struct server_notice {
  incarnation started = 0; // of the server that gave the notice
  bool leaving = false;
  time_point backoff_until{};
  // A back-off was recorded and no request has been accepted since.
  bool unconfirmed = false;

  friend bool operator==(const server_notice&, const server_notice&) = default;
};

// Whether a request may be sent to a server.
enum class server_admission {
  open,
  probe,       // its back-off ended, but it has not accepted a request since
  backing_off, // it asked for no requests until a time that has not come yet
  leaving,     // it takes no more requests
};
std::string_view name(server_admission value);

// Records that the server takes no more requests. Returns whether that is news.
// A notice of an earlier incarnation than the one known is ignored.
bool record_leaving(server_notice& notice, incarnation started);

// Records that the server asked for no requests for the given time, which is limited to
// max_server_backoff. A shorter back-off never ends a longer one. Returns whether the
// back-off was extended.
bool record_backoff(server_notice& notice, incarnation started, milliseconds delay,
                    time_point now);

// Records that the server accepted a request.
void record_accepted(server_notice& notice, incarnation started, time_point now);

// started: the incarnation to which the request would be sent.
server_admission admission(const server_notice& notice, incarnation started,
                           time_point now);

// Whether no request may be sent.
inline bool is_closed(server_admission value) {
  return value == server_admission::backing_off || value == server_admission::leaving;
}

} // namespace marigoldstep
