#include <catch2/catch.hpp>

#include "marigoldstep/link_liveness.h"

// Guards against a dead connection that counts as alive, and against a slow one that
// counts as dead and never finishes a long message.

using namespace marigoldstep;

namespace {

time_point at(int ms) {
  return time_point(milliseconds(ms));
}

} // namespace

TEST_CASE("a link without answers to its probes is silent") {
  link_liveness it;
  for (int ms = 0; ms <= 1500; ms += 500) {
    record_probe(it, 100U * static_cast<std::uint64_t>(ms));
    CHECK_FALSE(is_silent(it, 0, at(ms)));
  }
  CHECK(is_silent(it, 0, at(1501)));
  record_answer(it, at(1502));
  CHECK_FALSE(is_silent(it, 0, at(1502)));
}

TEST_CASE("a long message over a slow link doesn't make it silent") {
  link_liveness it;
  record_probe(it, 100);
  constexpr std::uint64_t message = 1'000'000; // 40 s at 0.2 Mbit/s
  record_probe(it, message + 200);
  // The answer to the first probe says nothing about the message.
  record_answer(it, at(10));
  CHECK_FALSE(is_silent(it, message + 200, at(40'000)));
  CHECK(is_silent(it, message + 200, at(42'000)));
  record_answer(it, at(40'100));
  CHECK_FALSE(is_silent(it, message + 200, at(41'000)));
  CHECK(is_silent(it, message + 200, at(41'700)));
}
