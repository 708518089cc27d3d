#include "marigoldstep/raft.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;

namespace {

constexpr member_id leader_id = 1;
constexpr member_id learner_id = 2;
constexpr std::size_t entry_bytes = 100'000;

// A group of one voter whose clock the test advances. Every record is durable
// immediately.
struct single_voter_group {
  time_point now{milliseconds(1000)};
  raft_node node;
  std::size_t sent_bytes = 0; // to the learner

  explicit single_voter_group(const raft_settings& settings)
      : node(make_raft_node(settings, {{leader_id, 0}, {}, {}, {}}, 7, now)) {
    handle(store_identity(node));
    handle(form_group(node, 5, {{leader_id, "a", 1, false}}, now));
    while (node.role != raft_role::leader) {
      advance(milliseconds(15));
    }
  }

  void handle(raft_output out) {
    for (const auto& list : {out.immediate_messages, out.messages}) {
      for (const auto& it : list) {
        if (it.to == learner_id) {
          sent_bytes += payload_size(it);
        }
      }
    }
    if (!out.records.empty()) {
      handle(synced(node, out.sync_id, now));
    }
  }

  // Bytes of the entries or the snapshot chunk.
  static std::size_t payload_size(const raft_message& message) {
    std::size_t n = 0;
    if (const auto* append = std::get_if<append_request>(&message.body)) {
      for (const auto& it : append->entries) {
        n += it.data.size();
      }
    } else if (const auto* chunk = std::get_if<snapshot_request>(&message.body)) {
      n += chunk->data.size();
    }
    return n;
  }

  void advance(milliseconds time) {
    const auto end = now + time;
    while (now < end) {
      now += milliseconds(15);
      handle(tick(node, now));
    }
  }

  void add_learner() {
    handle(propose_member(node, member_change::add_learner, {learner_id, "b", 1, true}, 0,
                          now));
  }
};

} // namespace

// Guards against a leader that sends the same entries to a silent learner in every
// heartbeat and so fills a slow link.
TEST_CASE("entries are not resent to a learner that has not replied") {
  single_voter_group group({});
  group.handle(propose(group.node, {bytes(entry_bytes, 1)}, group.now));
  group.add_learner();
  group.advance(milliseconds(3000));
  CHECK(group.sent_bytes <= entry_bytes);
}

// Guards against a leader that resends an unacknowledged snapshot chunk in every
// heartbeat and so fills a slow link.
TEST_CASE("a snapshot chunk is resent only after the retry timeout") {
  raft_settings settings;
  settings.trailing_entries = 0;
  single_voter_group group(settings);
  group.handle(propose(group.node, {bytes(entry_bytes, 1)}, group.now));
  group.advance(milliseconds(30));
  group.handle(compact(group.node, bytes(entry_bytes, 2), group.now));
  group.add_learner();
  group.advance(milliseconds(100));
  // The learner replies that its log is empty, which starts a snapshot transfer.
  raft_message reply;
  reply.from = learner_id;
  reply.to = leader_id;
  reply.group = 5;
  reply.term = group.node.state.term;
  const auto& peer = group.node.progress.at(learner_id);
  reply.body = append_reply{false, 1, 0, peer.next_index - 1};
  group.handle(step(group.node, reply, group.now));
  REQUIRE(group.node.progress.at(learner_id).transfer);
  group.sent_bytes = 0;
  group.advance(milliseconds(3000));
  // A link of 6 Mbit/s carries 2.2 MB in this time, part of which heartbeats need.
  CHECK(group.sent_bytes <= 7 * settings.snapshot_chunk_bytes);
}
