#pragma once

#include "marigoldstep/server_directory.h"
#include "marigoldstep/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Departures of backend servers, as replicated state of the control group. A departure is
// recorded before it is confirmed to the server, so that a delayed report from before it
// can't announce the server again after every process has restarted. The functions do no
// I/O.
namespace marigoldstep {

// Longer than a report can be delayed.
inline constexpr unix_seconds departure_retention_s = 120;
// Beyond it the oldest departures are dropped.
inline constexpr std::size_t max_departures = 4096;

struct departure {
  announced_server server;   // leaving or gone
  std::uint64_t number = 0;  // counts the departures
  unix_seconds recorded = 0; // leader's wall clock

  friend bool operator==(const departure&, const departure&) = default;
};

struct departure_table {
  std::map<std::string, departure> by_id;
  std::uint64_t number = 0; // of the latest departure, also if it is no longer kept

  friend bool operator==(const departure_table&, const departure_table&) = default;
};

// Records a departure and drops the departures older than departure_retention_s. Does
// nothing else if one is recorded that is as new.
void record_departure(departure_table& table, const announced_server& server,
                      unix_seconds now);

// Whether a departure is recorded that this report, of any state, doesn't supersede.
bool is_recorded(const departure_table& table, const announced_server& server);

// The departures with a higher number, in the order in which they were recorded.
std::vector<departure> departures_after(const departure_table& table,
                                        std::uint64_t number);

// The departure that has to be recorded before this report of a server that is not ready
// is confirmed. The directory has applied the report. While a server says repeatedly that
// it is leaving, this is the first time that it said so.
announced_server required_departure(const server_directory& directory,
                                    const announced_server& report);

} // namespace marigoldstep
