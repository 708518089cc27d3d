#include "marigoldstep/change_feed.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include <set>

using namespace marigoldstep;

namespace {

change_feed make_feed(int changes, int ids) {
  change_feed out;
  out.epoch = 7;
  for (int i = 0; i < changes; ++i) {
    record_change(out, "s" + std::to_string(i % ids));
  }
  return out;
}

} // namespace

TEST_CASE("a receiver gets each changed id once, in the order of the newest changes") {
  const auto feed = make_feed(25, 10);
  CHECK(feed.number == 25);
  CHECK(ids_changed_after(feed, 0).size() == 10);
  CHECK(ids_changed_after(feed, 23) == std::vector<std::string>{"s3", "s4"});
  CHECK(ids_changed_after(feed, 25).empty());
}

TEST_CASE("a removed id is no longer sent") {
  auto feed = make_feed(3, 3);
  remove_id(feed, "s1");
  CHECK_FALSE(contains(feed, "s1"));
  CHECK(ids_changed_after(feed, 0) == std::vector<std::string>{"s0", "s2"});
}

TEST_CASE("a position in another epoch or beyond the feed resumes at the start") {
  const auto feed = make_feed(5, 5);
  CHECK(resume_number(feed, {7, 3}) == 3);
  CHECK(resume_number(feed, {6, 3}) == 0);
  CHECK(resume_number(feed, {7, 9}) == 0);
}

TEST_CASE("a message advances a position only if no changes in between are missing") {
  feed_position at{7, 10};
  CHECK_FALSE(advance(at, {7, 11, 14}));
  CHECK(at == feed_position{7, 10});
  CHECK(advance(at, {7, 8, 14}));
  CHECK(at == feed_position{7, 14});
  // A late message does not move the position back.
  CHECK(advance(at, {7, 0, 9}));
  CHECK(at == feed_position{7, 14});
  CHECK_FALSE(advance(at, {8, 2, 5}));
  CHECK(advance(at, {8, 0, 5}));
  CHECK(at == feed_position{8, 5});
}

TEST_CASE("a receiver gets every change in the end even if messages are lost") {
  CHECK(rc::check([] {
    change_feed feed;
    feed.epoch = 1;
    feed_position at;
    std::set<std::string> stale;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
    for (const int step : steps) {
      if (step < 8) {
        const auto id = std::to_string(step);
        record_change(feed, id);
        stale.insert(id);
      } else {
        // After a lost acknowledgement (step 9) the sender knows an older position than
        // the receiver's. Step 10 loses the message.
        const auto resume_at = resume_number(feed, at);
        const auto after = step == 9 ? resume_at / 2 : resume_at;
        const auto ids = ids_changed_after(feed, after);
        if (step != 10 && advance(at, {feed.epoch, after, feed.number})) {
          for (const auto& id : ids) {
            stale.erase(id);
          }
        }
      }
    }
    const auto ids = ids_changed_after(feed, resume_number(feed, at));
    RC_ASSERT(std::set<std::string>(ids.begin(), ids.end()) == stale);
  }));
}
