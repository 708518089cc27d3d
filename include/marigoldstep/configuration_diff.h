#pragma once

#include "marigoldstep/configuration.h"

#include <span>

namespace marigoldstep {

// Describes the differences between two configurations, one sentence for each, in the
// order of the configuration's sections.
std::vector<std::string> describe_changes(const configuration& before,
                                          const configuration& after);

// Fraction of a workspace's chats that lose their cached prefix in a change because
// their first candidate becomes another server. Estimated from sampled chat ids.
struct moved_chats {
  std::string workspace;
  double share = 0; // of the workspace's chats, 0 to 1

  friend bool operator==(const moved_chats&, const moved_chats&) = default;
};

// Returns one entry for each workspace with moved chats. Servers belong to the pool
// whose name is their service name. A chat whose pool has no server after the change
// counts as moved. New workspaces, and chats without a server before the change, don't
// count.
std::vector<moved_chats> estimate_moved_chats(const configuration& before,
                                              std::span<const server_info> servers_before,
                                              const configuration& after,
                                              std::span<const server_info> servers_after);

// Mean share of moved chats over all workspaces of before, weighted by their weights.
double mean_moved_share(const configuration& before, std::span<const moved_chats> moved);

} // namespace marigoldstep
