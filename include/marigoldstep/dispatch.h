#pragma once

#include "marigoldstep/routing.h"
#include "marigoldstep/server_directory.h"
#include "marigoldstep/types.h"

#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

// Choice of a backend server by a router that reaches the servers itself. Pure
// functions over what the router knows; the load they answer is many routers
// that each see a part of the requests and share counts a few times a second.
namespace marigoldstep {

// One part of a prompt. Requests share parts; a server that has read a part and
// all parts before it needn't read it again.
struct prompt_part {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;

  friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

// Requests in flight at a server and the tokens of their prompts and answers.
struct load_count {
  std::uint32_t requests = 0;
  std::uint64_t tokens = 0;

  friend bool operator==(const load_count&, const load_count&) = default;
};

// What answers told of a server.
struct server_stats {
  load_count local_load;               // in flight from this router
  load_count peer_load;                // from the other routers, as last told
  std::uint32_t reported_requests = 0; // running and waiting, from the last answer
  time_point reported_at{};
  unsigned consecutive_failures = 0;
  unsigned ejections = 0;  // since the last success
  double failure_rate = 0; // moving average of answers that failed
  unsigned responses = 0;  // answers behind the average, capped
  time_point ejected_until{};
};

// Where this router last sent a prompt with a shared part.
struct prefix_location {
  std::string server;
  time_point sent_at{};
};

namespace detail {
// A server of one service with what is known of it, found once a change.
struct indexed_server {
  const directory_entry* entry = nullptr;
  const server_stats* stats = nullptr;
  std::uint64_t id_hash = 0;
};

// Lookups by name for thousands of servers would take most of a decision.
struct dispatch_index {
  std::uint64_t generation = 0; // of the directory
  const server_directory* directory = nullptr;
  std::map<std::string, std::vector<indexed_server>> services;
};
} // namespace detail

struct dispatch_state {
  std::map<std::string, server_stats> stats;                           // by server id
  std::unordered_map<std::uint64_t, prefix_location> prefix_locations; // by the part's id
  detail::dispatch_index index;
};

struct dispatch_limits {
  // Servers not heard for longer get no requests while peer_load are left.
  duration silence_timeout{4000};
  // A server takes requests for a prompt up to this multiple of the mean load.
  double load_bound_ratio = 1.25;
  // Requests that may wait at a batching server beyond its slots.
  double queue_fraction = 0.2;
};

struct dispatch_request {
  std::string service;
  std::string zone; // of this router
  batch_limits batch;
  std::uint32_t max_connections = 0; // of one server, from all routers; 0: not limited
  std::vector<prompt_part> prompt;   // empty for plain services
  std::vector<std::string> tried;    // servers that had this request already
};

enum class dispatch_reason { home, bounded, least_loaded, last_resort, all_full, none };
std::string_view name(dispatch_reason value);

struct dispatch_choice {
  const announced_server* server = nullptr; // into the directory; null: refuse
  // Another server that has probably read the shared parts. Copying them takes a
  // tenth of the time and cost of reading them again.
  const announced_server* copy_from = nullptr;
  dispatch_reason reason = dispatch_reason::none;
  std::uint32_t load = 0;     // of the chosen server
  double mean_load = 0;       // of the service
  std::size_t candidates = 0; // servers considered
};

// Requests that a server carries as far as this router knows.
std::uint32_t estimated_load(const server_stats& stats, time_point now);

// Picks a server. Requests with a prompt go to the home of its largest shared
// part, by rendezvous hashing with bounded load (Mirrokni, Thorup and
// Zadimoghaddam, 2018), so that parts already read are found again; the peer_load
// go to the server with the most room, near ones first.
dispatch_choice choose_backend(const server_directory& directory, dispatch_state& state,
                               const dispatch_request& request,
                               const dispatch_limits& limits, time_point now,
                               std::mt19937_64& random);

// Idle connections that one of so many routers may keep to a server that takes
// max_connections from all of them. Where that is less than one for each, a fixed
// part of the routers keeps one; router and server decide which.
std::size_t idle_connections(std::uint32_t max_connections, std::uint32_t routers,
                             const std::string& router, const std::string& server);

void record_sent(dispatch_state& state, const std::string& id, std::uint64_t tokens);
// Remembers where a prompt's shared parts are from now on.
void record_prompt_sent(dispatch_state& state, const std::vector<prompt_part>& prompt,
                        const std::string& id, time_point now);
void record_finished(dispatch_state& state, const std::string& id, std::uint64_t tokens);

// An answer arrived that the server made itself. failed: a server error.
void record_response(dispatch_state& state, const std::string& id, bool failed,
                     time_point now);
// No answer: the connection failed, broke or carried something else. Ejects the
// server for a time that doubles with each failure in a row.
void record_broken_connection(dispatch_state& state, const std::string& id,
                              time_point now);
void record_reported_load(dispatch_state& state, const std::string& id,
                          std::uint32_t requests, time_point now);

} // namespace marigoldstep
