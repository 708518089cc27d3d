#pragma once

#include "marigoldstep/raft.h"

#include <map>
#include <optional>

// Keeps the control group at its size without an operator: admits processes that
// replace lost ones, and removes members that are gone. The leader runs it.
namespace marigoldstep {

// A control process that introduced itself lately.
struct present_process {
  group_member member; // id and where members reach it
  time_point heard_at{};
};

struct repair_settings {
  // Losses that the group must bear at once; it needs 2 * losses + 1 voters.
  std::size_t tolerated_losses = 1;
  // A process that introduced itself within this time is there.
  duration presence{2500};
  // A voter silent for longer may be removed once another has taken its place.
  duration lost_after{1500};
};

// What the leader knows besides its own raft_node.
struct repair_view {
  std::map<member_id, present_process> present;
  time_point leads_since{};
};

struct member_step {
  member_change change = member_change::add_learner;
  group_member member;
  std::string_view reason;
};

// Voters that bear the tolerated losses.
std::size_t wanted_voters(const repair_settings& settings);

// The next change of the group, if one is due; at most one is made at a time. In
// this order: a member whose address another identity has taken lost its disk and
// is removed; a learner that caught up is promoted; a process outside of the
// group is added; a silent voter beyond the wanted number is removed, and so is a
// silent learner.
std::optional<member_step> next_member_step(const raft_node& node,
                                            const repair_view& view,
                                            const repair_settings& settings,
                                            time_point now);

} // namespace marigoldstep
