#include <catch2/catch.hpp>

#include "marigoldstep/link_liveness.h"

// Guards against a dead connection that counts as alive, and against a slow one that is
// replaced again and again before a long message gets through.

using namespace marigoldstep;

namespace {

time_point at(int ms) {
  return time_point(milliseconds(ms));
}

} // namespace

TEST_CASE("a link without an answer to a probe is silent") {
  link_liveness it;
  CHECK_FALSE(is_silent(it, at(10'000)));
  for (int ms = 10'000; ms <= 11'500; ms += 500) {
    record_probe(it, at(ms));
    CHECK_FALSE(is_silent(it, at(ms)));
  }
  CHECK(is_silent(it, at(11'501)));
  record_answer(it, at(11'502));
  CHECK_FALSE(is_silent(it, at(11'502)));
  CHECK(is_silent(it, at(12'001)));
}

TEST_CASE("each replaced connection waits twice as long for an answer") {
  link_liveness it;
  int now = 0;
  for (const int timeout : {1500, 3000, 6000, 12'000, 24'000, 24'000}) {
    record_probe(it, at(now));
    CHECK_FALSE(is_silent(it, at(now + timeout)));
    CHECK(is_silent(it, at(now + timeout + 1)));
    now += timeout + 1;
    it = replace_silent(it, at(now));
  }
}

TEST_CASE("only a quick answer shortens the wait again") {
  link_liveness it;
  record_probe(it, at(0));
  it = replace_silent(it, at(1600));
  record_probe(it, at(1600));
  record_answer(it, at(4000));
  record_probe(it, at(4000));
  CHECK_FALSE(is_silent(it, at(7000)));
  record_answer(it, at(4010));
  record_probe(it, at(4500));
  CHECK(is_silent(it, at(6001)));
}
