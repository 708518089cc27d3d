#pragma once

#include "marigoldstep/evacuation.h"
#include "marigoldstep/request_limit.h"
#include "marigoldstep/routing.h"
#include "marigoldstep/server_directory.h"
#include "marigoldstep/server_notice.h"
#include "marigoldstep/types.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

// Load balancing for a router that connects to backend servers directly. The
// functions do no I/O and use only the state of this router. Every router handles only
// its own part of the requests; routers exchange their in-flight counts a few times
// per second.
namespace marigoldstep {

// One part of a prompt. A prefix is the sequence of a prompt's parts from the first one
// up to some part. Requests that start with the same parts share a prefix, and a server
// that has cached a prefix does not have to prefill it again.
struct prompt_part {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;

  friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

// An id in hexadecimal without leading zeros, as callers write those of parts.
std::string hex_id(std::uint64_t id);
// Ids of the parts in order, separated by slashes; for log lines.
std::string to_string(const std::vector<prompt_part>& prompt);

// A part of the prompts of a service. Services are identified by a hash.
struct part_key {
  std::uint32_t service = 0;
  std::uint64_t part = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
  friend auto operator<=>(const part_key&, const part_key&) = default;
};
std::uint32_t service_hash(std::string_view service);

// Requests in flight at a server and the tokens of their prompts and responses.
struct load_count {
  std::uint32_t requests = 0;
  std::uint64_t tokens = 0;

  friend bool operator==(const load_count&, const load_count&) = default;
};

// Load and health of one server, as learned from its responses and from the other
// routers.
struct server_stats {
  load_count local_load;               // in flight from this router
  load_count peer_load;                // from the other routers, as last reported
  std::uint32_t reported_requests = 0; // running and queued, from the last response
  time_point reported_at{};
  unsigned consecutive_failures = 0;
  unsigned ejections = 0;  // since the last success
  double failure_rate = 0; // moving average over responses, 0 to 1
  unsigned responses = 0;  // behind failure_rate, capped
  time_point ejected_until{};
  unsigned consecutive_refusals = 0;
  time_point avoided_until{}; // after a refusal; ended by an accepted request
  server_notice notice;
  request_limit limit;
  request_limit cold_limit; // in force while the server is cold
  // The server may be cold until then, whatever it has reported.
  time_point assumed_cold_until{};
};

// The server to which this router last sent a prompt with a given part as its largest
// shared part. It probably has the prefix up to that part cached.
struct prefix_location {
  std::string server;
  time_point sent_at{};
};

namespace detail {
// A ready server of a service with its stats, resolved once per directory change.
struct indexed_server {
  const directory_entry* entry = nullptr;
  const server_stats* stats = nullptr;
  std::uint64_t id_hash = 0;
};

// A prefix not sent to a server for longer has probably been evicted from its cache.
inline constexpr auto prefix_location_ttl = milliseconds(60'000);

// Id of the largest shared part of a prompt, which decides its home; 0 without a prompt.
std::uint64_t home_key(const std::vector<prompt_part>& prompt);

// Servers by service. With thousands of servers, lookups by name would take
// most of the time of a decision.
struct dispatch_index {
  std::uint64_t generation = 0; // of the directory
  std::uint64_t evacuation_number = 0;
  const server_directory* directory = nullptr;
  std::map<std::string, std::vector<indexed_server>> services;
  // Servers that get no new requests but still serve copies of their cached prompts.
  std::map<std::string, std::vector<indexed_server>> draining;
  std::map<std::string, std::vector<indexed_server>> evacuated;
};
} // namespace detail

struct dispatch_state {
  std::map<std::string, server_stats> stats;                           // by server id
  std::unordered_map<std::uint64_t, prefix_location> prefix_locations; // by part id
  // Parts in demand, with their shares of the requests with prompts, from 0 to 1. All
  // routers have the same values, so that they give a part the same homes.
  std::map<part_key, double> popular_parts;
  evacuated_zones evacuations;
  // Requests that this router has sent since its last report, by largest shared part.
  std::map<part_key, std::uint32_t> part_requests;
  detail::dispatch_index index;
};

struct dispatch_limits {
  // A server without an update for longer gets no requests while others are usable.
  milliseconds silence_timeout{4000};
  // A server takes requests with a prompt up to this multiple of the mean load.
  double load_bound_ratio = 1.25;
  // Requests that may queue at a server, as a fraction of its slots.
  double queue_fraction = 0.2;
  // Routers of the fleet; 0: unknown. A plain service with fewer slots than routers is
  // scarce: what the others have in flight there is known only when it has ended.
  std::uint32_t routers = 0;
};

struct dispatch_request {
  std::string service;
  std::string zone; // of this router
  batch_limits batch;
  std::uint32_t max_connections = 0; // of one server, from all routers; 0: not limited
  std::vector<prompt_part> prompt;   // empty for plain services
  std::vector<std::string> tried;    // servers already tried for this request
  // Only servers of this software version are candidates; their load bound still follows
  // from the mean over all servers. Unset: any version.
  std::optional<std::string> version;
};

enum class dispatch_reason {
  home,
  popular, // one of the homes of a part in demand
  bounded,
  least_loaded,
  last_resort,
  all_full,
  all_closed, // every server is leaving, has asked for no requests for a while, or has
              // got as many as it asked for
  no_version, // no server of the requested version is left
  evacuated,  // every server is in an evacuated availability zone
  none,
};
std::string_view name(dispatch_reason value);

struct dispatch_choice {
  const announced_server* server = nullptr; // into the directory; null: refuse
  // Another server that probably has the shared prefix cached. Copying its KV cache
  // takes a tenth of the time and cost of prefilling it again.
  const announced_server* copy_from = nullptr;
  dispatch_reason reason = dispatch_reason::none;
  std::uint32_t load = 0;     // of the chosen server, requests
  double mean_load = 0;       // over the candidates, requests
  std::size_t candidates = 0; // servers considered
  // With all_closed: time until the first server takes requests again; unset if none
  // said.
  std::optional<milliseconds> reopens_in;
};

// Requests in flight at a server, from the counts of all routers or from a recent
// report of the server, whichever is higher.
std::uint32_t estimated_load(const server_stats& stats, time_point now);

// The same for a server of a scarce service, without the counts of the others.
std::uint32_t estimated_scarce_load(const server_stats& stats, time_point now);

// Chooses a server. A request with a prompt goes to the home of its largest shared
// part, by rendezvous hashing with bounded loads (Mirrokni, Thorup and
// Zadimoghaddam, 2018), so that cached prefixes are reused. Other requests go to a
// random server, weighted by free slots, with a preference for this router's zone.
dispatch_choice choose_backend(const server_directory& directory, dispatch_state& state,
                               const dispatch_request& request,
                               const dispatch_limits& limits, time_point now,
                               std::mt19937_64& random);

// Idle connections that a router may keep open to a server, when routers routers share
// max_connections of it. If that is less than one connection per router, a fixed
// subset of the routers keeps one, by a hash of router and server.
std::size_t idle_connections(std::uint32_t max_connections, std::uint32_t routers,
                             const std::string& router, const std::string& server);

// Whether a request may be sent to the server now. To be checked again when a connection
// has been opened, since the server may have responded to other requests meanwhile.
bool may_send_to(const dispatch_state& state, const announced_server& server,
                 time_point now);

// Whether the server counts as cold: it has reported so, or its zone's evacuation has
// just ended. Cold servers are slow, and fail if they get many requests.
bool is_cold(const directory_entry& entry, const server_stats& stats, time_point now);
// Limits what this router sends to the server while it is cold to its share of
// per_second, which holds for all routers together; 0: no limit. random_value spreads the
// routers.
void limit_cold_server(dispatch_state& state, const directory_entry& entry,
                       double per_second, std::uint32_t routers,
                       std::uint64_t random_value, time_point now);
// Counts a request against the limits of its server.
void use_limits(dispatch_state& state, const announced_server& server, time_point now);

void record_sent(dispatch_state& state, const std::string& id, std::uint64_t tokens);
// Stores id as the location of the prompt's largest shared part, and counts the request
// for that part.
void record_prompt_sent(dispatch_state& state, const dispatch_request& request,
                        const std::string& id, time_point now);
void record_finished(dispatch_state& state, const std::string& id, std::uint64_t tokens);

// Records a response that the server itself produced. failed: a server error.
void record_response(dispatch_state& state, const std::string& id, bool failed,
                     time_point now);
// Records an attempt without a usable response: the connection failed, broke or
// carried something else. After consecutive failures, ejects the server for a time
// that doubles with each ejection.
void record_broken_connection(dispatch_state& state, const std::string& id,
                              time_point now);
// Records that the server refused a request without running it. Avoids the server for a
// time that doubles with each refusal in a row, while others are usable: it refuses the
// next request probably as well, and a caller's attempts are few.
void record_refusal(dispatch_state& state, const std::string& id, time_point now);
void record_reported_load(dispatch_state& state, const std::string& id,
                          std::uint32_t requests, time_point now);

} // namespace marigoldstep
