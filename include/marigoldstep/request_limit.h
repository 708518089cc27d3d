#pragma once

#include "marigoldstep/types.h"

#include <cstdint>
#include <optional>

// A limit on the rate of requests that a backend server has asked for, and this router's
// share of it. The functions do no I/O.
//
// The limit holds for all routers together, which don't coordinate: each of n routers
// sends at most one request in n times the interval that the limit allows, at times of
// its own. A time that isn't used lapses soon. Without that, routers would save up
// requests while a server is little used and then send them together, one each, which
// with many routers exceeds any small limit.
namespace marigoldstep {

struct request_limit {
  incarnation started = 0; // of the server that asked for it
  double per_second = 0;   // of all routers; 0: no limit
  double interval_ms = 0;  // between this router's requests
  double next_ms = 0; // when it may send the next one, as time since the clock's start

  friend bool operator==(const request_limit&, const request_limit&) = default;
};

// Sets the limit that a response names, or removes it if the response names none.
// routers: that share it, at least 1. random_value is uniformly distributed; it spreads
// the first requests of the routers. Returns whether the limit has changed.
bool set_request_limit(request_limit& limit, incarnation started,
                       std::optional<double> per_second, std::uint32_t routers,
                       std::uint64_t random_value, time_point now);

// Time until this router may send the server a request; 0 if it may now. started: the
// incarnation to which the request would be sent.
milliseconds request_delay(const request_limit& limit, incarnation started,
                           time_point now);

// Records a request to the server.
void use_request_limit(request_limit& limit, incarnation started, time_point now);

} // namespace marigoldstep
