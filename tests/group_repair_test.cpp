#include "marigoldstep/group_repair.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;

namespace {

const time_point start{duration(100'000)};

marigoldstep::group_member member(member_id id, bool learner = false) {
  return {id, "10.0.0." + std::to_string(id), 7000, learner};
}

// A leader's view, built by hand: what next_repair_step() reads of a node.
struct leader_view {
  raft_node node;
  repair_view view;
  repair_settings settings;

  leader_view(const group_members& list, member_id self = 1) {
    node.role = raft_role::leader;
    node.identity = {self, 9};
    node.log.base_index = node.commit_index = 10;
    node.member_history = {{5, list}};
    view.leader_since = start - duration(60'000);
    for (const auto& it : list) {
      if (it.id != self) {
        hear(it.id);
        introduce(it);
      }
    }
  }

  void hear(member_id id, duration ago = duration(0)) {
    auto& peer = node.progress[id];
    peer.last_reply = start - ago;
    peer.match_index = 10;
  }

  void introduce(const marigoldstep::group_member& it, duration ago = duration(0)) {
    view.announced[it.id] = {it, start - ago};
  }

  std::optional<repair_step> next() const {
    return next_repair_step(node, view, settings, start);
  }
};

} // namespace

TEST_CASE("a whole group needs no change") {
  CHECK_FALSE(leader_view({member(1), member(2), member(3)}).next());
}

TEST_CASE("only a leader repairs, and one change at a time") {
  leader_view it({member(1), member(2), member(3)});
  it.introduce(member(4));
  REQUIRE(it.next());
  it.node.member_history.push_back({11, {member(1), member(2), member(3)}});
  CHECK_FALSE(it.next());
  it.node.member_history.pop_back();
  it.node.role = raft_role::follower;
  CHECK_FALSE(it.next());
}

TEST_CASE("a member that lost its disk is removed first, then comes back as another") {
  leader_view it({member(1), member(2), member(3)});
  it.view.announced.erase(3);
  it.hear(3, duration(5000));
  auto wiped = member(8);
  wiped.host = member(3).host;
  it.introduce(wiped);
  const auto first = it.next();
  REQUIRE(first);
  CHECK(first->change == member_change::remove);
  CHECK(first->member.id == 3);
  it.node.member_history = {{6, {member(1), member(2)}}};
  const auto second = it.next();
  REQUIRE(second);
  CHECK(second->change == member_change::add_learner);
  CHECK(second->member == wiped);
  wiped.learner = true;
  it.node.member_history = {{7, {member(1), member(2), wiped}}};
  it.hear(8);
  const auto third = it.next();
  REQUIRE(third);
  CHECK(third->change == member_change::promote);
  CHECK(third->member.id == 8);
}

TEST_CASE("a silent voter stays while nobody has taken its place") {
  leader_view it({member(1), member(2), member(3)});
  it.hear(3, duration(60'000));
  it.view.announced.erase(3);
  CHECK_FALSE(it.next());
}

TEST_CASE("a silent voter goes once more than the wanted number are there") {
  leader_view it({member(1), member(2), member(3), member(4)});
  it.hear(3, duration(2000));
  it.view.announced.erase(3);
  const auto step = it.next();
  REQUIRE(step);
  CHECK(step->change == member_change::remove);
  CHECK(step->member.id == 3);
}

TEST_CASE("a new leader waits before it calls anybody silent") {
  leader_view it({member(1), member(2), member(3), member(4)});
  it.hear(3, duration(2000));
  it.view.leader_since = start - duration(1000);
  CHECK_FALSE(it.next());
}

TEST_CASE("a process that introduced itself long ago isn't admitted") {
  leader_view it({member(1), member(2), member(3)});
  it.introduce(member(4), duration(5000));
  CHECK_FALSE(it.next());
}

TEST_CASE("a learner that is behind isn't promoted, and goes when it falls silent") {
  leader_view it({member(1), member(2), member(3), member(4, true)});
  it.node.commit_index = 500;
  CHECK_FALSE(it.next());
  it.hear(4, duration(3000));
  const auto step = it.next();
  REQUIRE(step);
  CHECK(step->change == member_change::remove);
  CHECK(step->member.id == 4);
}

TEST_CASE("five voters bear two losses") {
  CHECK(required_voters({2, {}, {}}) == 5);
}
