#pragma once

#include "marigoldstep/raft.h"

#include <map>
#include <optional>

// Keeps the control group at its size without an operator: adds processes that
// replace lost ones and removes lost members. Runs on the leader.
namespace marigoldstep {

// A control process that announced itself recently.
struct announced_process {
  group_member member; // id, and the address for the other members
  time_point last_seen{};
};

struct repair_settings {
  // Number of simultaneous losses that the group must survive; this takes
  // 2 * losses + 1 voters.
  std::size_t tolerated_losses = 1;
  // A process counts as running for this long after its last announcement.
  milliseconds announcement_timeout{2500};
  // A learner silent for longer is removed, and a voter once there are more voters than
  // required.
  milliseconds silence_timeout{1500};
};

// State of the leader that isn't part of its raft_node.
struct repair_view {
  std::map<member_id, announced_process> announced;
  time_point leader_since{};
};

struct repair_step {
  member_change change = member_change::add_learner;
  group_member member;
  std::string_view reason;
};

// Number of voters needed to survive the tolerated losses.
std::size_t required_voters(const repair_settings& settings);

// Returns the next change of the group if one is due. There is at most one at a time,
// in this order of precedence: a member is removed if another identity announced
// itself at its address, which means that the member lost its disk; a learner that caught
// up is promoted; a process outside of the group is added; a silent learner is removed,
// and so is a silent voter if there are more voters than required.
std::optional<repair_step> next_repair_step(const raft_node& node,
                                            const repair_view& view,
                                            const repair_settings& settings,
                                            time_point now);

} // namespace marigoldstep
