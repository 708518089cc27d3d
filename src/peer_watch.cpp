#include "marigoldstep/peer_watch.h"

#include <algorithm>

namespace marigoldstep {

bool is_peer_lost(peer_watch& watch, const transport_state& state, time_point now,
                  milliseconds timeout) {
  if (!state.is_unacknowledged) {
    watch.owed_since = now;
    return false;
  }
  watch.owed_since = std::max(watch.owed_since, now - state.since_acknowledgement);
  return now - watch.owed_since >= timeout;
}

} // namespace marigoldstep
