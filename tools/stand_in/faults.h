#pragma once

#include "marigoldstep/types.h"

#include <QByteArray>

#include <optional>

namespace marigoldstep::stand_in {

// Faults that a stand-in shows on command. A negative byte count means never.
struct fault_settings {
  std::int64_t stall_after_bytes = -1; // then send nothing more, stay connected
  std::int64_t cut_after_bytes = -1;   // then close the connection
  // Added to the true length in a Content-Length header; 0 means no fault.
  std::int64_t length_error = 0;
  bool fail = false;         // answer 500 without running the request
  duration delay{0};         // before the answer begins
  double slow_factor = 1;    // engines only
  duration refuse_for{0};    // refuse new connections for this long
  std::int64_t requests = 0; // affected requests; 0: until changed

  friend bool operator==(const fault_settings&, const fault_settings&) = default;
};

// Reads the JSON object of POST /admin/faults. Nothing for an unknown key, a
// wrong type or a number out of range.
std::optional<fault_settings> parse_faults(const QByteArray& body);

// Faults for the next request; counts it.
fault_settings consume_faults(fault_settings& current);

// How many of the next size body bytes may be sent when sent bytes went before.
std::int64_t sendable_bytes(const fault_settings& faults, std::int64_t sent,
                            std::int64_t size);

} // namespace marigoldstep::stand_in
