#include "marigoldstep/raft.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;

namespace {

constexpr member_id leader_id = 1;
constexpr member_id learner_id = 2;
constexpr std::size_t entry_bytes = 100'000;

// A group of one voter, driven by hand; every record is durable at once.
struct single_voter {
  time_point now{duration(1000)};
  raft_node node;
  std::size_t sent_bytes = 0; // to the learner

  explicit single_voter(const raft_settings& settings)
      : node(make_raft_node(settings, {{leader_id, 0}, {}, {}, {}}, 7, now)) {
    handle(store_identity(node));
    handle(form_group(node, 5, {{leader_id, "a", 1, false}}, now));
    while (node.role != raft_role::leader) {
      run(duration(15));
    }
  }

  void handle(raft_output out) {
    for (const auto& list : {out.immediate_messages, out.messages}) {
      for (const auto& it : list) {
        if (it.to == learner_id) {
          sent_bytes += size_of(it);
        }
      }
    }
    if (!out.records.empty()) {
      handle(synced(node, out.sync_id, now));
    }
  }

  static std::size_t size_of(const raft_message& message) {
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

  void run(duration time) {
    const auto end = now + time;
    while (now < end) {
      now += duration(15);
      handle(tick(node, now));
    }
  }

  void add_learner() {
    handle(propose_member(node, member_change::add_learner, {learner_id, "b", 1, true}, 0,
                          now));
  }
};

} // namespace

TEST_CASE("a learner that hasn't answered gets no entries again and again") {
  single_voter group({});
  group.handle(propose(group.node, {bytes(entry_bytes, 1)}, group.now));
  group.add_learner();
  group.run(duration(3000));
  CHECK(group.sent_bytes <= entry_bytes);
}

TEST_CASE("a snapshot chunk is repeated after a pause only") {
  raft_settings settings;
  settings.trailing_entries = 0;
  single_voter group(settings);
  group.handle(propose(group.node, {bytes(entry_bytes, 1)}, group.now));
  group.run(duration(30));
  group.handle(compact(group.node, bytes(entry_bytes, 2), group.now));
  group.add_learner();
  group.run(duration(100));
  // The learner says that it has nothing, so that a snapshot begins.
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
  group.run(duration(3000));
  // A link of 6 Mbit/s carries 2.2 MB in this time; heartbeats need some of it.
  CHECK(group.sent_bytes <= 7 * settings.snapshot_chunk_bytes);
}
