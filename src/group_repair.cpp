#include "marigoldstep/group_repair.h"

#include <algorithm>

namespace marigoldstep {

namespace {

bool same_address(const group_member& left, const group_member& right) {
  return left.host == right.host && left.port == right.port;
}

bool is_present(const present_process& it, const repair_settings& settings,
                time_point now) {
  return now - it.heard_at <= settings.presence;
}

// Whether a member hasn't acknowledged anything for so long; never this process.
bool is_silent(const raft_node& node, const repair_view& view, member_id id,
               duration limit, time_point now) {
  if (id == node.identity.id || now - view.leads_since <= limit) {
    return false;
  }
  const auto it = node.progress.find(id);
  return it == node.progress.end() || now - it->second.last_reply > limit;
}

std::optional<member_step> find_replaced(const raft_node& node, const repair_view& view,
                                         const repair_settings& settings,
                                         time_point now) {
  for (const auto& member : members(node)) {
    if (member.id == node.identity.id || view.present.contains(member.id)) {
      continue;
    }
    for (const auto& [id, it] : view.present) {
      if (same_address(it.member, member) && is_present(it, settings, now)) {
        return member_step{member_change::remove, member,
                           "another identity has its address"};
      }
    }
  }
  return std::nullopt;
}

std::optional<member_step> find_caught_up(const raft_node& node, time_point now) {
  for (const auto& member : members(node)) {
    if (member.learner && is_caught_up(node, member.id, 0, now)) {
      return member_step{member_change::promote, member, "caught up"};
    }
  }
  return std::nullopt;
}

std::optional<member_step> find_newcomer(const raft_node& node, const repair_view& view,
                                         const repair_settings& settings,
                                         time_point now) {
  for (const auto& [id, it] : view.present) {
    if (find_member(members(node), id) == nullptr && is_present(it, settings, now)) {
      return member_step{member_change::add_learner, it.member, "not a member yet"};
    }
  }
  return std::nullopt;
}

std::optional<member_step> find_lost(const raft_node& node, const repair_view& view,
                                     const repair_settings& settings, time_point now) {
  const bool spare = voter_count(members(node)) > wanted_voters(settings);
  for (const auto& member : members(node)) {
    if (is_silent(node, view, member.id, settings.lost_after, now) &&
        (member.learner || spare)) {
      return member_step{member_change::remove, member, "silent"};
    }
  }
  return std::nullopt;
}

} // namespace

std::size_t wanted_voters(const repair_settings& settings) {
  return 2 * settings.tolerated_losses + 1;
}

std::optional<member_step> next_member_step(const raft_node& node,
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
  if (auto it = find_newcomer(node, view, settings, now)) {
    return it;
  }
  return find_lost(node, view, settings, now);
}

} // namespace marigoldstep
