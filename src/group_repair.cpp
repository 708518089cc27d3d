#include "marigoldstep/group_repair.h"

#include <algorithm>

namespace marigoldstep {

namespace {

bool same_address(const group_member& left, const group_member& right) {
  return left.host == right.host && left.port == right.port;
}

bool is_announced(const announced_process& it, const repair_settings& settings,
                  time_point now) {
  return now - it.last_seen <= settings.announcement_timeout;
}

// Whether the member hasn't acknowledged anything for longer than limit. Always false
// for this process.
bool is_silent(const raft_node& node, const repair_view& view, member_id id,
               milliseconds limit, time_point now) {
  if (id == node.identity.id || now - view.leader_since <= limit) {
    return false;
  }
  const auto it = node.progress.find(id);
  return it == node.progress.end() || now - it->second.last_reply > limit;
}

std::optional<repair_step> find_replaced(const raft_node& node, const repair_view& view,
                                         const repair_settings& settings,
                                         time_point now) {
  for (const auto& member : members(node)) {
    if (member.id == node.identity.id || view.announced.contains(member.id)) {
      continue;
    }
    for (const auto& [id, it] : view.announced) {
      if (same_address(it.member, member) && is_announced(it, settings, now)) {
        return repair_step{member_change::remove, member,
                           "another identity has its address"};
      }
    }
  }
  return std::nullopt;
}

std::optional<repair_step> find_caught_up(const raft_node& node, time_point now) {
  for (const auto& member : members(node)) {
    if (member.learner && is_caught_up(node, member.id, 0, now)) {
      return repair_step{member_change::promote, member, "caught up"};
    }
  }
  return std::nullopt;
}

std::optional<repair_step> find_non_member(const raft_node& node, const repair_view& view,
                                           const repair_settings& settings,
                                           time_point now) {
  for (const auto& [id, it] : view.announced) {
    if (find_member(members(node), id) == nullptr && is_announced(it, settings, now)) {
      return repair_step{member_change::add_learner, it.member, "not a member yet"};
    }
  }
  return std::nullopt;
}

std::optional<repair_step> find_lost(const raft_node& node, const repair_view& view,
                                     const repair_settings& settings, time_point now) {
  const bool spare = voter_count(members(node)) > required_voters(settings);
  for (const auto& member : members(node)) {
    if (is_silent(node, view, member.id, settings.silence_timeout, now) &&
        (member.learner || spare)) {
      return repair_step{member_change::remove, member, "silent"};
    }
  }
  return std::nullopt;
}

} // namespace

std::size_t required_voters(const repair_settings& settings) {
  return 2 * settings.tolerated_losses + 1;
}

std::optional<repair_step> next_repair_step(const raft_node& node,
                                            const repair_view& view,
                                            const repair_settings& settings,
                                            time_point now) {
  if (node.role != raft_role::leader ||
      node.member_history.back().index > node.commit_index) {
    return std::nullopt;
  }
  if (auto it = find_replaced(node, view, settings, now)) {
    return it;
  }
  if (auto it = find_caught_up(node, now)) {
    return it;
  }
  if (auto it = find_non_member(node, view, settings, now)) {
    return it;
  }
  return find_lost(node, view, settings, now);
}

} // namespace marigoldstep
