#include "marigoldstep/group_repair.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;

namespace {

const time_point start{milliseconds(100'000)};

marigoldstep::group_member member(member_id id, bool learner = false) {
  return {id, "10.0.0." + std::to_string(id), 7000, learner};
}

// The state of a leader that next_repair_step() reads.
struct leader_view {
  raft_node node;
  repair_view view;
  repair_settings settings;

  leader_view(const group_members& list, member_id self = 1) {
    node.role = raft_role::leader;
    node.identity = {self, 9};
    node.log.base_index = node.commit_index = 10;
    node.member_history = {{5, list}};
    view.leader_since = start - milliseconds(60'000);
    for (const auto& it : list) {
      if (it.id != self) {
        record_reply(it.id);
        announce(it);
      }
    }
  }

  void record_reply(member_id id, milliseconds ago = milliseconds(0)) {
    auto& peer = node.progress[id];
    peer.last_reply = start - ago;
    peer.match_index = 10;
  }

  void announce(const marigoldstep::group_member& it,
                milliseconds ago = milliseconds(0)) {
    view.announced[it.id] = {it, start - ago};
  }

  std::optional<repair_step> next_step() const {
    return next_repair_step(node, view, settings, start);
  }
};

} // namespace

TEST_CASE("a complete group needs no change") {
  CHECK_FALSE(leader_view({member(1), member(2), member(3)}).next_step());
}

TEST_CASE("only a leader repairs the group, with one change at a time") {
  leader_view it({member(1), member(2), member(3)});
  it.announce(member(4));
  REQUIRE(it.next_step());
  it.node.member_history.push_back({11, {member(1), member(2), member(3)}});
  CHECK_FALSE(it.next_step());
  it.node.member_history.pop_back();
  it.node.role = raft_role::follower;
  CHECK_FALSE(it.next_step());
}

TEST_CASE("a member that lost its disk is removed, then added under its new identity") {
  leader_view it({member(1), member(2), member(3)});
  it.view.announced.erase(3);
  it.record_reply(3, milliseconds(5000));
  auto wiped = member(8);
  wiped.host = member(3).host;
  it.announce(wiped);
  const auto first = it.next_step();
  REQUIRE(first);
  CHECK(first->change == member_change::remove);
  CHECK(first->member.id == 3);
  it.node.member_history = {{6, {member(1), member(2)}}};
  const auto second = it.next_step();
  REQUIRE(second);
  CHECK(second->change == member_change::add_learner);
  CHECK(second->member == wiped);
  wiped.learner = true;
  it.node.member_history = {{7, {member(1), member(2), wiped}}};
  it.record_reply(8);
  const auto third = it.next_step();
  REQUIRE(third);
  CHECK(third->change == member_change::promote);
  CHECK(third->member.id == 8);
}

TEST_CASE("a silent voter is kept until another member has replaced it") {
  leader_view it({member(1), member(2), member(3)});
  it.record_reply(3, milliseconds(60'000));
  it.view.announced.erase(3);
  CHECK_FALSE(it.next_step());
}

TEST_CASE("a silent voter is removed if there are more voters than required") {
  leader_view it({member(1), member(2), member(3), member(4)});
  it.record_reply(3, milliseconds(2000));
  it.view.announced.erase(3);
  const auto step = it.next_step();
  REQUIRE(step);
  CHECK(step->change == member_change::remove);
  CHECK(step->member.id == 3);
}

TEST_CASE("a new leader waits before it treats a voter as silent") {
  leader_view it({member(1), member(2), member(3), member(4)});
  it.record_reply(3, milliseconds(2000));
  it.view.leader_since = start - milliseconds(1000);
  CHECK_FALSE(it.next_step());
}

TEST_CASE("a process whose announcement has timed out is not added") {
  leader_view it({member(1), member(2), member(3)});
  it.announce(member(4), milliseconds(5000));
  CHECK_FALSE(it.next_step());
}

TEST_CASE("a learner that lags is not promoted, and is removed when it is silent") {
  leader_view it({member(1), member(2), member(3), member(4, true)});
  it.node.commit_index = 500;
  CHECK_FALSE(it.next_step());
  it.record_reply(4, milliseconds(3000));
  const auto step = it.next_step();
  REQUIRE(step);
  CHECK(step->change == member_change::remove);
  CHECK(step->member.id == 4);
}

TEST_CASE("two tolerated losses require five voters") {
  CHECK(required_voters({2, {}, {}}) == 5);
}
