#pragma once

#include "marigoldstep/request_trait.h"
#include "marigoldstep/types.h"

#include <map>

// Crashes of backend servers, by the traits of the requests that were running there.
namespace marigoldstep {

// The crash of one incarnation of a server.
struct server_crash {
  std::uint32_t server = 0;  // hash of the server's id and incarnation
  std::uint32_t service = 0; // hash of its service
  std::uint32_t version = 0; // hash of its software version
  time_point at{};
  bool answering = false; // the response to a request with the trait had begun

  friend bool operator==(const server_crash&, const server_crash&) = default;
};

using crashes_by_server = std::map<std::uint32_t, server_crash>;

// Traits under which servers crashed. Most of them belong to requests that only ran
// beside the one that crashed the server, and never come again.
struct crash_table {
  std::map<request_trait, crashes_by_server> suspects;
  std::size_t max_suspects = 8192;
  std::size_t max_crashes = 16; // of one suspect
};

// Returns whether the table didn't have this crash of this trait. A full table drops the
// half of its suspects with the fewest crashes, of these the ones with the oldest.
bool add_crash(crash_table& table, const request_trait& trait, const server_crash& crash);

// Removes crashes of before this time, and suspects without crashes.
void remove_crashes_before(crash_table& table, time_point at);

} // namespace marigoldstep
