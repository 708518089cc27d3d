#pragma once

#include <cstdint>
#include <string_view>

namespace marigoldstep::io {

// What makes two requests the same although they are sent at different times and to
// different routers. Ids, deadlines and all other fields of the head don't count.
struct request_identity {
  std::string_view method;
  std::string_view host;      // as in the routes
  std::string_view target;    // path and query
  std::string_view workspace; // empty on a route without keys
  std::string_view body;
};

// The first 64 bits of the BLAKE2b digest (RFC 7693) of the identity; never 0. The hash
// is cryptographic because callers choose the body: with another one, a caller could
// make a request that has the fingerprint of somebody else's.
std::uint64_t fingerprint(const request_identity& identity);

} // namespace marigoldstep::io
