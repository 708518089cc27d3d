#pragma once

#include "marigoldstep/types.h"

#include <QByteArray>

#include <optional>

namespace marigoldstep::stand_in {

// Faults that a stand-in injects on request. A negative byte count disables the fault.
struct fault_settings {
  std::int64_t stall_after_bytes = -1; // then sends nothing more, stays connected
  std::int64_t cut_after_bytes = -1;   // then closes the connection
  // Added to the correct Content-Length; 0 disables the fault.
  std::int64_t length_error = 0;
  bool fail = false;          // responds with status 500 without running the request
  milliseconds delay{0};      // before the response begins
  double slow_factor = 1;     // engines only
  milliseconds refuse_for{0}; // refuses new connections for this long
  std::int64_t requests = 0;  // number of affected requests; 0: all until changed

  friend bool operator==(const fault_settings&, const fault_settings&) = default;
};

// Parses the JSON object of POST /admin/faults. Returns nullopt for an unknown key, a
// wrong type or a number out of range.
std::optional<fault_settings> parse_faults(const QByteArray& body);

// Returns the faults for the next request and counts that request.
fault_settings consume_faults(fault_settings& current);

// Number of bytes that may be sent of the next size body bytes, after sent bytes.
std::int64_t sendable_bytes(const fault_settings& faults, std::int64_t sent,
                            std::int64_t size);

} // namespace marigoldstep::stand_in
