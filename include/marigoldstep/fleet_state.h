#pragma once

#include "marigoldstep/changes.h"
#include "marigoldstep/claims.h"
#include "marigoldstep/configuration.h"
#include "marigoldstep/departures.h"
#include "marigoldstep/operators.h"
#include "marigoldstep/wire.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace marigoldstep {

// Replicated state machine of the control group: the same commands in the same order
// give the same state on every voter.
struct fleet_state : change_registry {
  std::uint64_t routing_version = 0; // 0: none stored yet
  bytes routing_packed_text;         // as in wire::StoreRouting
  unix_seconds time = 0;             // latest wall clock of a leader; never decreases
  claim_table claims;
  operator_table operators;
  std::uint64_t fencing = 0;           // last fencing token issued
  std::deque<unix_seconds> load_times; // loads granted within the last minute
  // Software versions that the servers of each service have had. A control process
  // announces no server before its version is here.
  std::map<std::string, std::set<std::string>> server_versions;
  // Evacuated availability zones, with the time since when, and the number of changes.
  std::map<std::string, unix_seconds> evacuated_zones;
  std::uint64_t evacuation_number = 0;
  departure_table departures;
  // Routers of the fleet, as a leader recorded last; 0: not recorded yet.
  std::uint32_t router_count = 0;
};

// Whether the servers of the service are recorded to have had the version.
bool has_version(const fleet_state& state, const std::string& service,
                 const std::string& version);

// Encodes a request as a log entry; time is the leader's wall clock. The operator key
// is omitted, because the log must hold no secrets. A proposed configuration is
// validated here, once, so that voters of different builds apply the same result.
bytes encode_command(const wire::ControlFrameT& request, unix_seconds time);

// Applies a committed log entry and returns the body of the reply. A malformed
// entry changes nothing; the body is then empty.
wire::ControlBodyUnion apply_command(fleet_state& state, byte_view command);

// Conversion of a departure in the log; warmup_left is omitted.
std::unique_ptr<wire::DepartureT> to_wire(const announced_server& server);
announced_server from_wire(const wire::DepartureT& entry);

// Encodes the whole state as a snapshot, and decodes it. Malformed input sets ec to
// errc::storage_corrupt and returns an empty state.
bytes encode_snapshot(const fleet_state& state);
fleet_state decode_snapshot(byte_view data, std::error_code& ec);

} // namespace marigoldstep
