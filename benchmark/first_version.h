#pragma once

#include "marigoldstep/placement.h"

namespace marigoldstep::bench {

// Placement of the project's first version, kept as a baseline: one weighted rendezvous
// pass with a logarithm per server, and the same overflow order.
candidate_list first_version_candidates(const placement_table& table,
                                        const placement_key& key, std::size_t max_count);

placement_choice first_version_choice(const candidate_list& candidates,
                                      std::span<const server_observation> observations,
                                      std::span<const std::uint32_t> tried,
                                      double reuse_bias, time_point now);

} // namespace marigoldstep::bench
