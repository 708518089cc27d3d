#pragma once

#include "marigoldstep/configuration.h"

#include <span>

namespace marigoldstep {

// What changes for callers between two configurations, one sentence each, in the
// order of the configuration's sections.
std::vector<std::string> describe_changes(const configuration& before,
                                          const configuration& after);

// Chats that find no warm cache after a change because their first candidate is
// another server. An estimate from sampled chat ids.
struct moved_chats {
  std::string workspace;
  double share = 0; // of the workspace's chats, 0 to 1

  friend bool operator==(const moved_chats&, const moved_chats&) = default;
};

// One entry for each workspace with moved chats. Servers are matched to pools by
// service name. A chat whose pool has no server after the change counts as moved;
// workspaces that are new, and chats without a server before, don't count.
std::vector<moved_chats> estimate_moved_chats(const configuration& before,
                                              std::span<const server_info> servers_before,
                                              const configuration& after,
                                              std::span<const server_info> servers_after);

// Mean share over all workspaces of before, by their weights.
double mean_moved_share(const configuration& before, std::span<const moved_chats> moved);

} // namespace marigoldstep
