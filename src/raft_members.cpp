// Single-member changes of the group (section 4.1 of Ongaro's thesis).
#include "marigoldstep/raft.h"

#include <algorithm>

namespace marigoldstep {

namespace {

std::size_t caught_up_voters(const raft_node& node, const group_members& list,
                             std::uint64_t round, time_point now) {
  return static_cast<std::size_t>(
      std::count_if(list.begin(), list.end(), [&](const auto& it) {
        return !it.learner && is_caught_up(node, it.id, round, now);
      }));
}

// The members after the change. If the change doesn't apply to this group, returns
// an empty list and sets reason.
group_members members_after_change(const raft_node& node, member_change change,
                                   const group_member& target, std::string& reason) {
  auto list = members(node);
  const auto it = std::find_if(list.begin(), list.end(),
                               [&](const auto& m) { return m.id == target.id; });
  const auto id = std::to_string(target.id);
  if (change == member_change::add_learner) {
    if (target.id == 0 || target.host.empty() || target.port == 0) {
      reason = "a new member needs an id, a host and a port";
    } else if (it != list.end()) {
      reason = "member " + id + " belongs to the group already";
    } else {
      list.push_back({target.id, target.host, target.port, true});
      return list;
    }
    return {};
  }
  if (it == list.end()) {
    reason = "there is no member " + id;
    return {};
  }
  if (change == member_change::remove) {
    list.erase(it);
    return list;
  }
  if (!it->learner) {
    reason = "member " + id + " is a voter already";
    return {};
  }
  it->learner = false;
  return list;
}

// Reason, for the operator, why the change must not start now; empty if it may.
std::string refusal_reason(const raft_node& node, member_change change, member_id target,
                           const group_members& next, std::uint64_t round,
                           time_point now) {
  if (term_at(node.log, node.commit_index) != node.state.term) {
    return "the leader is new and has not committed anything yet; try again in a second";
  }
  if (node.member_history.back().index > node.commit_index) {
    return "another member change is not committed yet; wait for it";
  }
  if (change == member_change::promote && !is_caught_up(node, target, round, now)) {
    return "learner " + std::to_string(target) +
           " has not caught up with the log or is silent; wait until it has";
  }
  const auto needed = quorum_size(next);
  const auto caught_up_count = caught_up_voters(node, next, round, now);
  const bool voters_change =
      change == member_change::promote || is_voter(members(node), target);
  if (voters_change && (voter_count(next) == 0 || caught_up_count < needed)) {
    return "only " + std::to_string(caught_up_count) + " of the " +
           std::to_string(voter_count(next)) +
           " voters that would remain are caught up, and " + std::to_string(needed) +
           " are needed; repair or add voters first";
  }
  return {};
}

raft_output refuse(errc code, std::string reason) {
  raft_output out;
  out.error = make_error_code(code);
  out.detail = std::move(reason);
  return out;
}

} // namespace

bool is_caught_up(const raft_node& node, member_id id, std::uint64_t confirmed_round,
                  time_point now) {
  if (id == node.identity.id) {
    return true;
  }
  const auto it = node.progress.find(id);
  return it != node.progress.end() &&
         now - it->second.last_reply < node.settings.caught_up_max_silence &&
         it->second.match_index + node.settings.caught_up_entries >= node.commit_index &&
         it->second.match_index > 0 && it->second.acked_round >= confirmed_round;
}

raft_output begin_heartbeat_round(raft_node& node, time_point now) {
  raft_output out;
  if (node.role == raft_role::leader) {
    ++node.round;
    detail::send_heartbeats(node, now, out);
    detail::finish(node, out);
  }
  return out;
}

raft_output propose_member(raft_node& node, member_change change,
                           const group_member& member, std::uint64_t confirmed_round,
                           time_point now) {
  if (node.role != raft_role::leader) {
    return refuse(errc::not_leader, "this member does not lead the group");
  }
  std::string reason;
  const auto next = members_after_change(node, change, member, reason);
  if (!reason.empty()) {
    return refuse(errc::bad_request, std::move(reason));
  }
  reason = refusal_reason(node, change, member.id, next, confirmed_round, now);
  if (!reason.empty()) {
    return refuse(errc::unsafe_member_change, std::move(reason));
  }
  raft_output out;
  out.proposed_index = last_index(node.log) + 1;
  detail::append_entry(
      node,
      {out.proposed_index, node.state.term, entry_kind::members, encode_members(next)},
      out);
  detail::update_progress(node, now);
  detail::send_heartbeats(node, now, out);
  detail::finish(node, out);
  return out;
}

} // namespace marigoldstep
