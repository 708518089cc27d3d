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

TEST_CASE("each replaced connection that worked at first waits twice as long") {
  auto it = begin_link(at(0));
  int now = 0;
  for (const int timeout : {1500, 3000, 6000, 12'000, 24'000, 24'000}) {
    record_probe(it, at(now));
    record_answer(it, at(now + 1));
    record_probe(it, at(now + 1));
    CHECK_FALSE(is_silent(it, at(now + 1 + timeout)));
    CHECK(is_silent(it, at(now + 2 + timeout)));
    now += timeout + 2;
    it = begin_replacement(it, at(now));
  }
}

// A partition in which connections open must not lengthen the wait after it.
TEST_CASE("a replaced connection that never worked doesn't lengthen the wait") {
  auto it = begin_link(at(0));
  record_probe(it, at(0));
  record_answer(it, at(1));
  it = begin_replacement(it, at(2000));
  for (int now = 2000; now < 20'000; now += 3001) {
    record_probe(it, at(now));
    CHECK(is_silent(it, at(now + 3001)));
    it = begin_replacement(it, at(now + 3001));
    CHECK(it.timeout == min_silence_timeout);
  }
}

TEST_CASE("answers on time for longer than the timeout shorten the wait again") {
  auto it = begin_link(at(0));
  record_probe(it, at(0));
  record_answer(it, at(1));
  it = begin_replacement(it, at(1600));
  for (const int now : {1600, 2100, 4500}) {
    record_probe(it, at(now));
    record_answer(it, at(now + 10));
    CHECK(it.timeout == 2 * min_silence_timeout);
  }
  record_probe(it, at(5100));
  record_answer(it, at(5110));
  CHECK(it.timeout == min_silence_timeout);
}
