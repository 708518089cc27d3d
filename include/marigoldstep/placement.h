#pragma once

#include "marigoldstep/types.h"

#include <array>
#include <span>

namespace marigoldstep {

// The servers of one pool or plain service, prepared for placement decisions.
// Built anew when the membership view changes.
struct placement_table {
  std::vector<server_info> servers;
  std::vector<std::uint64_t> seeds; // one per server, from its node id
};

placement_table make_placement_table(std::span<const server_info> servers,
                                     std::string_view service);

// What a placement decision is made from. Keys come from stable_hash, so that
// all routers agree without sharing state.
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

// Order of candidates by rendezvous hashing (Thaler and Ravishankar, 1998),
// weighted by server_info::weight_milli. Servers that are not serving are left
// out.
candidate_list find_candidates(const placement_table& table, const placement_key& key,
                               std::size_t wanted);

// What a router has learned of one server from its replies.
struct server_observation {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 0; // 0 when not yet known
  std::uint32_t mean_milli = 0;
  time_point observed_at{};
  time_point avoid_until{}; // a refusal's retry hint
  bool circuit_open = false;
};

enum class choice_reason { preferred, overflow, last_resort, none };
std::string_view name(choice_reason value);

struct choice {
  std::uint32_t server = 0; // index into placement_table::servers
  choice_reason reason = choice_reason::none;
  std::vector<std::string> passed_over; // "node id:reason" each
};

// Picks among the candidates. observations has one entry per server of the
// table; tried marks servers that refused this request already. reuse_bias moves
// the load at which the next candidate is preferred.
choice choose_server(const placement_table& table, const candidate_list& candidates,
                     std::span<const server_observation> observations,
                     std::span<const std::uint32_t> tried, double reuse_bias,
                     time_point now);

} // namespace marigoldstep
