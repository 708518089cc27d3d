#pragma once

#include "marigoldstep/configuration.h"
#include "marigoldstep/wire.h"

#include <map>

namespace marigoldstep {

// The replicated state of the control group: the same commands in the same
// order give the same state on every voter.
struct fleet_state {
  unix_seconds time = 0; // newest leader clock seen; never falls
  std::uint64_t accepted_version = 0;
  std::string accepted_text;
  std::vector<wire::ChangeRecordT> changes;
  std::map<std::string, std::string> proposed_texts; // by change id
};

// Encodes a request as a log entry; time is the leader's wall clock.
bytes encode_command(const wire::ControlFrameT& request, unix_seconds time);

// Applies a committed log entry and returns the body of the reply. A malformed
// entry changes nothing and yields an empty body.
wire::ControlBodyUnion apply_command(fleet_state& state, byte_view command);

// Snapshot of the whole state, and back. On damage sets ec.
bytes encode_snapshot(const fleet_state& state);
fleet_state decode_snapshot(byte_view data, std::error_code& ec);

} // namespace marigoldstep
