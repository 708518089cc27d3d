#pragma once

#include "marigoldstep/types.h"

#include <array>
#include <span>

namespace marigoldstep {

// The servers of one pool or plain service, indexed for placement decisions. Rebuilt
// when the membership view changes.
struct placement_table {
  std::vector<server_info> servers;
  std::vector<std::uint64_t> seeds; // one per server, the hash of its node id

  // Only the serving servers, stored compactly because each decision reads all of them.
  struct serving_server {
    std::uint64_t seed = 0;
    std::uint32_t index = 0; // into servers
    std::uint32_t weight_milli = 0;
  };
  std::vector<serving_server> serving;
  std::uint32_t max_weight_milli = 0;
};

placement_table make_placement_table(std::span<const server_info> servers,
                                     std::string_view service);

// Input of the placement hash. The keys come from stable_hash, so that all routers
// compute the same placement without sharing state.
struct placement_key {
  std::uint64_t workspace = 0;
  std::uint64_t chat = 0;
  std::uint32_t spread = 0; // servers the workspace may use; 0 means all

  friend bool operator==(const placement_key&, const placement_key&) = default;
};

placement_key make_placement_key(std::string_view workspace, std::string_view chat_id,
                                 std::uint32_t spread);

inline constexpr std::size_t max_candidates = 8;

// Indices into placement_table::servers, most preferred first.
struct candidate_list {
  std::array<std::uint32_t, max_candidates> index{};
  std::size_t count = 0;
};

// Ranks candidates by rendezvous hashing (Thaler and Ravishankar, 1998), weighted by
// server_info::weight_milli. Returns at most max_count of them; servers that are not
// serving are excluded. With a spread, the chats of a workspace are divided into that
// many groups by jump consistent hash (Lamping and Veach, 2014); each group has one
// preferred server, and each chat its own order of the others.
candidate_list find_candidates(const placement_table& table, const placement_key& key,
                               std::size_t max_count);

// Spread for a workspace that causes the fraction load_share (0 to 1) of the load of a
// pool with this number of servers. There are few enough groups that its system prompt
// stays cached, and enough that no group is a large part of a server's load. 0 means
// all servers.
std::uint32_t recommended_spread(double load_share, std::size_t servers);

// State of one server as observed by a router from its replies.
struct server_observation {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 0; // 0 when not yet known
  std::uint32_t mean_milli = 0;
  time_point observed_at{};
  time_point avoid_until{}; // from the retry hint of a refusal
  bool circuit_open = false;
};

enum class choice_reason { preferred, overflow, last_resort, none };
std::string_view name(choice_reason value);

struct placement_choice {
  std::uint32_t server = 0; // index into placement_table::servers
  choice_reason reason = choice_reason::none;
  std::vector<std::string> passed_over; // "node id:reason" each
};

// Chooses one of the candidates. observations has one entry per server of the table;
// tried lists the indices of servers that already refused this request. reuse_bias (0
// to 1) raises the load up to which a candidate is used before the next one.
placement_choice choose_server(const placement_table& table,
                               const candidate_list& candidates,
                               std::span<const server_observation> observations,
                               std::span<const std::uint32_t> tried, double reuse_bias,
                               time_point now);

// Conditions of a router for admission, in addition to the agent's own load limit. A
// refusal because of an unmet condition costs one round trip; its verdict is not_run.
struct attempt_condition {
  bool only_if_cached = false;       // the agent has served this chat since its start
  std::uint32_t ceiling_percent = 0; // of the pool's mean load; 0 for none

  friend bool operator==(const attempt_condition&, const attempt_condition&) = default;
};

// Whether an agent with load attempts, running and queued, may admit under condition.
bool meets_condition(const attempt_condition& condition, bool cached, std::uint32_t load,
                     std::uint32_t mean_milli);

struct placement_step {
  std::uint32_t server = 0; // index into placement_table::servers
  choice_reason reason = choice_reason::none;
  attempt_condition condition;
};

// The attempts to make in one pass over the candidates, in order. A server that refused
// an attempt without a condition, or could not be reached, is skipped in later steps.
struct placement_plan {
  std::array<placement_step, 3 * max_candidates> steps{};
  std::size_t count = 0;
};

// Plans the attempts of a request. A returning chat is first tried at each candidate on
// condition that its prefix is cached there, which finds a server used for an earlier
// overflow without state in the router. A new chat goes to the first candidate below the
// ceiling, which reserves capacity up to the load limit for returning chats.
// Candidates whose circuit breaker is open are excluded.
placement_plan plan_attempts(const candidate_list& candidates,
                             std::span<const server_observation> observations,
                             bool returning, double reuse_bias, time_point now);

// Weight of a server that started age ago and has full_weight_milli when warm. Agents
// announce it. It rises in steps, so that a new server with an empty cache takes over
// chats gradually and routers receive few updates.
std::uint32_t slow_start_weight(milliseconds age, std::uint32_t full_weight_milli);

} // namespace marigoldstep
