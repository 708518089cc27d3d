#pragma once

#include "marigoldstep/types.h"

namespace marigoldstep {

// What a transport connection shows about its peer.
struct transport_state {
  // Whether something was sent that the peer's machine has yet to acknowledge: data, or
  // probes of a peer that takes no more data for now.
  bool is_unacknowledged = false;
  milliseconds since_acknowledgement{0}; // the latest of any kind
};

// How long a peer's machine owes an acknowledgement. A machine that lives acknowledges
// data and probes even while its process reads nothing (RFC 9293, section 3.8.6.1).
struct peer_watch {
  time_point owed_since{};
};

// Records the state of the connection at a time, and returns whether the peer's machine
// has owed an acknowledgement for the timeout. Times don't decrease from call to call.
bool is_peer_lost(peer_watch& watch, const transport_state& state, time_point now,
                  milliseconds timeout);

} // namespace marigoldstep
