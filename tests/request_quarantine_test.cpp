#include "quarantine_model.h"

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace marigoldstep;
using namespace marigoldstep::test;

TEST_CASE("a part under which servers crash is refused at all routers") {
  quarantine_model it;
  it.quarantine_harmful();
  for (std::size_t i = 0; i < it.routers.size(); ++i) {
    CHECK(it.is_refused(i, {common, harmful}));
    CHECK_FALSE(it.is_refused(i, {common, 5}));
    // The last part belongs to one request and is never a cause.
    const auto of_last = make_traits(service, {{common, 1}, {harmful, 1}}, 0);
    CHECK_FALSE(refuse_request(it.routers[i], of_last, 1, it.now));
    const auto of_other_service = traits_of({harmful}, service + 1);
    CHECK_FALSE(refuse_request(it.routers[i], of_other_service, 1, it.now));
  }
}

TEST_CASE("parts beside a harmful one stay in use while no response is completed") {
  quarantine_model it;
  for (int i = 0; i < 3; ++i) {
    it.complete(1, {common, 11});
  }
  it.run(milliseconds(5000));
  for (std::uint64_t i = 0; i < 12; ++i) {
    it.crash({{common, harmful}, {common, 11 + i % 3}});
    it.run(milliseconds(100));
  }
  it.run(milliseconds(2000));
  CHECK(it.quarantined() == std::set{harmful});
}

TEST_CASE("a caller can't have a part of others refused by adding it to harmful ones") {
  quarantine_model it;
  for (int i = 0; i < 30; ++i) {
    it.crash({{common, harmful}, {common, 100 + static_cast<std::uint64_t>(i)}});
    it.complete(static_cast<std::size_t>(i % 3), {common, 13});
    it.run(milliseconds(300));
    CHECK_FALSE(it.quarantined().contains(common));
  }
  CHECK(it.quarantined() == std::set{harmful});
}

TEST_CASE("the loss of all servers at one moment quarantines nothing") {
  quarantine_model it;
  const bool is_new_fleet = GENERATE(true, false);
  if (!is_new_fleet) {
    it.complete(0, {common, 11});
  }
  for (int i = 0; i < 40; ++i) {
    it.crash({{common, 11}, {common, 12}});
  }
  it.run(milliseconds(5000));
  CHECK(it.quarantined().empty());
}

TEST_CASE("crashes by chance quarantine nothing") {
  rc::prop("at any rate of crashes beside completed responses", [] {
    quarantine_model it;
    const auto parts = *rc::gen::inRange<std::uint64_t>(3, 20);
    for (int i = 0; i < 40; ++i) {
      // Each part is in completed responses more often than in crashes.
      for (std::uint64_t part = 0; part < parts; ++part) {
        it.complete(*rc::gen::inRange<std::size_t>(0, 3), {common, part});
      }
      std::vector<std::vector<std::uint64_t>> running;
      for (int n = *rc::gen::inRange(0, 5); n > 0; --n) {
        running.push_back({common, *rc::gen::inRange<std::uint64_t>(0, parts)});
      }
      it.crash(running);
      it.run(milliseconds(*rc::gen::inRange(0, 300)));
      RC_ASSERT(it.quarantined().empty());
    }
  });
}

TEST_CASE("a completed response lifts the quarantine") {
  quarantine_model it;
  it.quarantine_harmful();
  it.complete(2, {common, harmful});
  it.run(2 * interval);
  CHECK(it.quarantined().empty());
  CHECK_FALSE(it.is_refused(0, {harmful}));
  CHECK(it.changes.back().reason == quarantine_reason::completed);
}

TEST_CASE("a part that only ran beside the harmful one is released") {
  quarantine_model it;
  for (int i = 0; i < 3; ++i) {
    // The harmless part has more responses that had begun, and is taken first.
    it.crash({{common, 11}});
    const auto server = it.next_server - 1;
    record_crash(it.routers[0], traits_of({harmful}),
                 {server, service, 1, it.now, false});
    it.complete(0, {common});
    it.run(milliseconds(400));
  }
  it.run(milliseconds(800));
  REQUIRE(it.quarantined() == std::set<std::uint64_t>{11});
  for (int i = 0; i < 4; ++i) {
    it.crash({{common, harmful}});
    it.complete(0, {common});
    it.run(milliseconds(400));
  }
  it.run(milliseconds(1000));
  CHECK(it.quarantined() == std::set{harmful});
}

TEST_CASE("a new leader and a new router learn what is quarantined") {
  quarantine_model it;
  it.quarantine_harmful();
  // The records of the crashes are outdated by then.
  it.run(milliseconds(70'000));
  REQUIRE(it.quarantined() == std::set{harmful});
  it.leader = {};
  it.routers.emplace_back();
  it.run(2 * interval);
  CHECK(it.quarantined() == std::set{harmful});
  CHECK(it.is_refused(3, {common, harmful}));
  CHECK(it.changes.back().reason == quarantine_reason::reported);
}

// Routers report crashes again to a new leader, which has heard of no completed response.
TEST_CASE("a new leader waits for completed responses before it quarantines a part") {
  quarantine_model it;
  for (int i = 0; i < 8; ++i) {
    it.complete(0, {common});
    it.crash({{common, harmful}, {common, 20 + static_cast<std::uint64_t>(i)}});
    it.run(milliseconds(500));
  }
  it.crash({{common, 19}});
  it.complete(0, {common});
  it.leader = {};
  it.changes.clear();
  it.run(milliseconds(5000));
  CHECK(it.quarantined() == std::set{harmful});
  for (const auto& change : it.changes) {
    CHECK(change.trait == key(harmful));
  }
}

TEST_CASE("a router that missed the lift of a quarantine doesn't restore it") {
  quarantine_model it;
  it.quarantine_harmful();
  CHECK(lift_quarantine(it.leader, key(harmful), it.now));
  CHECK_FALSE(lift_quarantine(it.leader, key(harmful), it.now));
  it.run(2 * interval);
  CHECK(it.quarantined().empty());
  CHECK_FALSE(it.is_refused(1, {harmful}));
}

TEST_CASE("after a change of the servers' software one request probes the part") {
  quarantine_model it;
  it.quarantine_harmful();
  it.inputs.versions[service] = {1, 2};
  REQUIRE(it.is_refused(1, {common, harmful}));
  it.run(2 * interval);
  CHECK(it.is_refused(1, {common, harmful})); // some servers still have the old one
  it.inputs.versions[service] = {2};
  it.run(2 * interval);
  CHECK(it.is_refused(0, {common, harmful}));
  CHECK_FALSE(it.is_refused(1, {common, harmful}));
  CHECK(it.is_refused(1, {common, harmful}));
  SECTION("a completed response ends the quarantine") {
    it.complete(1, {common, harmful});
    it.run(2 * interval);
    CHECK(it.quarantined().empty());
  }
  SECTION("another crash keeps it") {
    it.crash({{common, harmful}}, 2);
    int sent = 0;
    for (int i = 0; i < 300; ++i) {
      it.run(milliseconds(1000));
      sent += it.is_refused(1, {common, harmful}) ? 0 : 1;
    }
    CHECK(it.quarantined() == std::set{harmful});
    CHECK(sent == 0);
  }
}

TEST_CASE("a quarantine ends only when its part isn't requested any more") {
  quarantine_model it;
  it.quarantine_harmful();
  for (int i = 0; i < 30; ++i) {
    CHECK(it.is_refused(2, {harmful}));
    it.run(milliseconds(60'000));
  }
  CHECK(it.quarantined() == std::set{harmful});
  it.run(milliseconds(620'000));
  CHECK(it.quarantined().empty());
}

TEST_CASE("records about parts that are never the same stay bounded") {
  quarantine_model it(1);
  for (std::uint64_t i = 0; i < 30'000; ++i) {
    it.complete(0, {100'000 + 2 * i});
    it.crash({{100'001 + 2 * i}});
    it.now += milliseconds(1);
  }
  const auto report = take_report(it.routers[0], it.now);
  CHECK(report.crashes.size() <= 64);
  const auto& completed = it.routers[0].completed;
  CHECK(completed.newer.size() + completed.older.size() <= 20'000);
  CHECK(it.routers[0].crashes.suspects.size() <= 8192);
  CHECK(it.routers[0].unreported.size() <= 8192);
  trait_report many;
  for (std::uint64_t i = 0; i < 200; ++i) {
    many.crashes[key(i)] = {{1, service, 1, it.now, true}, {2, service, 1, it.now, true}};
  }
  request_quarantine leader;
  merge_report(leader, many, 1, it.now);
  update_quarantine(leader, it.inputs, it.now);
  CHECK(leader.crashes.suspects.size() == 200);
  CHECK(make_notice(leader).watched.size() == 32);
}
