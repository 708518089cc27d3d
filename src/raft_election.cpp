// Leader election: pre-votes, votes and role changes.
#include "marigoldstep/raft.h"

#include <algorithm>

namespace marigoldstep::detail {

namespace {

void send_to_voters(const raft_node& node, const raft_message& message,
                    std::vector<raft_message>& out) {
  for (const auto& it : members(node)) {
    if (!it.learner && it.id != node.identity.id) {
      out.push_back(message);
      out.back().to = it.id;
    }
  }
}

// Each campaign without a leader doubles the timeout, up to this many times: the other
// voters' disks may be slower than this member's.
constexpr unsigned max_timeout_doublings = 2;
// A longer sync was a stall, which the others' disks need not share.
constexpr auto max_sync_allowance = milliseconds(2000);

// Learners use longer timeouts, so that a voter wins whenever one can.
constexpr int learner_timeout_factor = 3;

// The member's vote for itself; empty unless it is a voter.
std::set<member_id> own_vote(const raft_node& node) {
  if (is_voter(members(node), node.identity.id)) {
    return {node.identity.id};
  }
  return {};
}

void start_election(raft_node& node, time_point now, raft_output& out) {
  node.role = raft_role::candidate;
  node.campaign_began_at = now;
  ++node.campaigns;
  node.state = {node.state.term + 1, node.identity.id};
  store_state(node, out);
  // This member's own vote counts once it is durable; see count_own_vote.
  node.votes.clear();
  reset_election_deadline(node, now);
  auto request = make_message(node, 0);
  request.body = vote_request{false, last_index(node.log), last_term(node.log)};
  send_to_voters(node, request, out.messages);
}

// Begins a candidate's election timeout. The others' votes take a sync as long as its
// own, or two where another write is in progress.
void start_campaign_timeout(raft_node& node, time_point now) {
  const auto sync_allowance =
      std::min<milliseconds>(2 * (now - node.campaign_began_at), max_sync_allowance);
  const auto doublings = std::min(node.campaigns - 1, max_timeout_doublings);
  reset_election_deadline(node, now);
  node.election_deadline =
      now + (node.election_deadline - now) * (1U << doublings) + sync_allowance;
  node.campaign_began_at = {};
}

} // namespace

void reset_election_deadline(raft_node& node, time_point now) {
  std::uniform_int_distribution<milliseconds::rep> pick(
      node.settings.election_timeout_min.count(),
      node.settings.election_timeout_max.count());
  const bool is_self_voter = is_voter(members(node), node.identity.id);
  node.election_deadline = now + milliseconds(pick(node.random)) *
                                     (is_self_voter ? 1 : learner_timeout_factor);
}

bool may_campaign(const raft_node& node) {
  const auto& history = node.member_history;
  if (is_voter(history.back().members, node.identity.id)) {
    return true;
  }
  // Until its removal is committed, a removed voter may be the only member with the
  // newest log. Without it the group could not elect a leader (section 4.2.2 of
  // Ongaro's thesis).
  const bool removal_open =
      history.size() > 1 && history.back().index > node.commit_index &&
      is_voter(history[history.size() - 2].members, node.identity.id);
  // The same holds for a learner whose promotion is in the logs of some voters:
  // they need its vote, and it refuses candidates with an older log. Its vote for
  // itself doesn't count while its own log still lists it as a learner.
  return removal_open || find_member(history.back().members, node.identity.id) != nullptr;
}

bool has_live_leader(const raft_node& node, time_point now) {
  return node.role == raft_role::leader ||
         (node.leader != 0 &&
          now - node.last_leader_contact < node.settings.election_timeout_min);
}

bool is_up_to_date(const raft_node& node, const vote_request& body) {
  const auto own_term = last_term(node.log);
  return body.last_term > own_term ||
         (body.last_term == own_term && body.last_index >= last_index(node.log));
}

void become_follower(raft_node& node, term_number term, member_id leader, time_point now,
                     raft_output& out) {
  if (term != node.state.term) {
    node.state = {term, 0};
    store_state(node, out);
  }
  if (node.role == raft_role::leader) {
    fail_reads(node, out);
    node.progress.clear();
  }
  node.role = raft_role::follower;
  node.leader = leader;
  node.campaigns = leader == 0 ? node.campaigns : 0;
  node.votes.clear();
  reset_election_deadline(node, now);
}

void start_pre_vote(raft_node& node, time_point now, raft_output& out) {
  node.role = raft_role::pre_candidate;
  node.leader = 0;
  node.votes = own_vote(node);
  reset_election_deadline(node, now);
  if (node.votes.size() >= quorum_size(members(node))) {
    start_election(node, now, out);
    return;
  }
  auto request = make_message(node, 0);
  request.term = node.state.term + 1;
  request.body = vote_request{true, last_index(node.log), last_term(node.log)};
  send_to_voters(node, request, out.immediate_messages);
}

void count_own_vote(raft_node& node, time_point now, raft_output& out) {
  if (node.role != raft_role::candidate || !is_term_durable(node)) {
    return;
  }
  if (node.campaign_began_at != time_point{}) {
    start_campaign_timeout(node, now);
  }
  node.votes.merge(own_vote(node));
  if (node.votes.size() >= quorum_size(members(node))) {
    become_leader(node, now, out);
  }
}

void become_leader(raft_node& node, time_point now, raft_output& out) {
  node.role = raft_role::leader;
  node.leader = node.identity.id;
  node.campaigns = 0;
  node.votes.clear();
  node.reads.clear();
  node.progress.clear();
  node.incoming.reset();
  update_progress(node, now);
  // Committing this entry also commits those of earlier terms.
  append_entry(node, {last_index(node.log) + 1, node.state.term, entry_kind::no_op, {}},
               out);
  send_heartbeats(node, now, out);
}

void handle(raft_node& node, const raft_message& message, const vote_request& body,
            time_point now, raft_output& out) {
  auto reply = make_message(node, message.from);
  if (body.pre_vote) {
    const bool granted = message.term > node.state.term && is_up_to_date(node, body) &&
                         !has_live_leader(node, now);
    reply.term = granted ? message.term : node.state.term;
    reply.body = vote_reply{true, granted};
    out.messages.push_back(std::move(reply));
    return;
  }
  const bool may_vote = node.state.voted_for == 0 || node.state.voted_for == message.from;
  const bool granted = may_vote && is_up_to_date(node, body);
  if (granted && node.state.voted_for == 0) {
    node.state.voted_for = message.from;
    store_state(node, out);
  }
  if (granted) {
    reset_election_deadline(node, now);
  }
  reply.body = vote_reply{false, granted};
  out.messages.push_back(std::move(reply));
}

void handle(raft_node& node, const raft_message& message, const vote_reply& body,
            time_point now, raft_output& out) {
  if (!body.granted || !is_voter(members(node), message.from)) {
    return;
  }
  const auto awaited = body.pre_vote ? raft_role::pre_candidate : raft_role::candidate;
  const auto term = body.pre_vote ? node.state.term + 1 : node.state.term;
  if (node.role != awaited || message.term != term) {
    return;
  }
  node.votes.insert(message.from);
  if (node.votes.size() < quorum_size(members(node))) {
    return;
  }
  if (body.pre_vote) {
    start_election(node, now, out);
  } else {
    become_leader(node, now, out);
  }
}

} // namespace marigoldstep::detail
