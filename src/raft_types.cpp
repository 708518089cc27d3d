#include "marigoldstep/raft_types.h"

#include <algorithm>

namespace marigoldstep {

namespace {

template <typename Native> using owned_ptr = std::unique_ptr<Native>;

wire::LogEntryT entry_to_wire(const log_entry& entry) {
  wire::LogEntryT out;
  out.index = entry.index;
  out.term = entry.term;
  out.kind = static_cast<wire::EntryKind>(entry.kind);
  out.data = entry.data;
  return out;
}

log_entry entry_from_wire(const wire::LogEntryT& entry) {
  return {entry.index, entry.term, static_cast<entry_kind>(entry.kind), entry.data};
}

void set_body(wire::RaftBodyUnion& out, const vote_request& body) {
  wire::VoteRequestT native;
  native.pre_vote = body.pre_vote;
  native.last_index = body.last_index;
  native.last_term = body.last_term;
  out.Set(native);
}

void set_body(wire::RaftBodyUnion& out, const vote_reply& body) {
  wire::VoteReplyT native;
  native.pre_vote = body.pre_vote;
  native.granted = body.granted;
  out.Set(native);
}

void set_body(wire::RaftBodyUnion& out, const append_request& body) {
  wire::AppendRequestT native;
  native.previous_index = body.previous_index;
  native.previous_term = body.previous_term;
  native.commit_index = body.commit_index;
  native.round = body.round;
  for (const auto& it : body.entries) {
    native.entries.push_back(std::make_unique<wire::LogEntryT>(entry_to_wire(it)));
  }
  out.Set(std::move(native));
}

void set_body(wire::RaftBodyUnion& out, const append_reply& body) {
  wire::AppendReplyT native;
  native.success = body.success;
  native.match_index = body.match_index;
  native.round = body.round;
  native.rejected_index = body.rejected_index;
  out.Set(native);
}

void set_body(wire::RaftBodyUnion& out, const snapshot_request& body) {
  wire::SnapshotRequestT native;
  native.last_index = body.last_index;
  native.last_term = body.last_term;
  native.members = encode_members(body.members);
  native.offset = body.offset;
  native.total = body.total;
  native.data = body.data;
  out.Set(std::move(native));
}

void set_body(wire::RaftBodyUnion& out, const snapshot_reply& body) {
  wire::SnapshotReplyT native;
  native.next_offset = body.next_offset;
  native.done = body.done;
  native.last_index = body.last_index;
  out.Set(native);
}

append_request append_from_wire(const wire::AppendRequestT& native) {
  append_request out{
      native.previous_index, native.previous_term, native.commit_index, native.round, {}};
  for (const auto& it : native.entries) {
    out.entries.push_back(entry_from_wire(*it));
  }
  return out;
}

snapshot_request snapshot_from_wire(const wire::SnapshotRequestT& native,
                                    std::error_code& ec) {
  return {native.last_index, native.last_term, decode_members(native.members, ec),
          native.offset,     native.total,     native.data};
}

} // namespace

bytes encode_members(const group_members& members) {
  wire::MemberListT list;
  for (const auto& it : members) {
    wire::MemberT native;
    native.id = it.id;
    native.host = it.host;
    native.port = it.port;
    native.learner = it.learner;
    list.members.push_back(std::make_unique<wire::MemberT>(native));
  }
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::MemberList::Pack(builder, &list));
  const auto* begin = builder.GetBufferPointer();
  return {begin, begin + builder.GetSize()};
}

group_members decode_members(byte_view data, std::error_code& ec) {
  ec.clear();
  flatbuffers::Verifier verifier(data.data(), data.size());
  if (data.empty() || !verifier.VerifyBuffer<wire::MemberList>(nullptr)) {
    ec = make_error_code(errc::malformed_message);
    return {};
  }
  group_members out;
  const owned_ptr<wire::MemberListT> list(
      flatbuffers::GetRoot<wire::MemberList>(data.data())->UnPack());
  for (const auto& it : list->members) {
    out.push_back({it->id, it->host, it->port, it->learner});
  }
  return out;
}

const group_member* find_member(const group_members& members, member_id id) {
  const auto it = std::find_if(members.begin(), members.end(),
                               [&](const auto& m) { return m.id == id; });
  return it == members.end() ? nullptr : &*it;
}

bool is_voter(const group_members& members, member_id id) {
  const auto* it = find_member(members, id);
  return it != nullptr && !it->learner;
}

std::size_t voter_count(const group_members& members) {
  return static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(), [](const auto& it) { return !it.learner; }));
}

std::size_t quorum_size(const group_members& members) {
  return voter_count(members) / 2 + 1;
}

wire::RaftFrameT to_wire(const raft_message& message) {
  wire::RaftFrameT frame;
  frame.from = message.from;
  frame.to = message.to;
  frame.group = message.group;
  frame.term = message.term;
  std::visit([&](const auto& body) { set_body(frame.body, body); }, message.body);
  return frame;
}

raft_message from_wire(const wire::RaftFrameT& frame, std::error_code& ec) {
  ec.clear();
  raft_message out{frame.from, frame.to, frame.group, frame.term, {}};
  if (const auto* vote = frame.body.AsVoteRequest()) {
    out.body = vote_request{vote->pre_vote, vote->last_index, vote->last_term};
  } else if (const auto* voted = frame.body.AsVoteReply()) {
    out.body = vote_reply{voted->pre_vote, voted->granted};
  } else if (const auto* append = frame.body.AsAppendRequest()) {
    out.body = append_from_wire(*append);
  } else if (const auto* appended = frame.body.AsAppendReply()) {
    out.body = append_reply{appended->success, appended->match_index, appended->round,
                            appended->rejected_index};
  } else if (const auto* snapshot = frame.body.AsSnapshotRequest()) {
    out.body = snapshot_from_wire(*snapshot, ec);
  } else if (const auto* snapshot_ack = frame.body.AsSnapshotReply()) {
    out.body = snapshot_reply{snapshot_ack->next_offset, snapshot_ack->done,
                              snapshot_ack->last_index};
  } else {
    ec = make_error_code(errc::malformed_message);
  }
  return out;
}

} // namespace marigoldstep
