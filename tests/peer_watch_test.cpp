#include "marigoldstep/peer_watch.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;

namespace {

constexpr auto timeout = milliseconds(1500);
constexpr auto step = milliseconds(250);
const time_point start{milliseconds(100'000)};

} // namespace

// Guards against a connection that is given up while its peer's machine acknowledges.
TEST_CASE("a peer that takes no data but acknowledges probes isn't lost") {
  peer_watch watch{start};
  for (auto at = start; at < start + 40 * timeout; at += step) {
    // A probe is under way at some looks, and its acknowledgement comes before the next.
    const bool has_probe = (at - start) % (4 * step) == milliseconds(0);
    CHECK_FALSE(is_peer_lost(watch, {has_probe, 4 * step}, at, timeout));
  }
}

// Guards against a request that waits for a machine that is gone.
TEST_CASE("a peer that acknowledges nothing is lost after the timeout") {
  peer_watch watch{start};
  const auto sent_at = start + step;
  CHECK_FALSE(is_peer_lost(watch, {false, milliseconds(60'000)}, sent_at, timeout));
  // A connection that was idle for long owes nothing for that time.
  for (auto at = sent_at + step; at < sent_at + timeout; at += step) {
    CHECK_FALSE(
        is_peer_lost(watch, {true, milliseconds(60'000) + (at - start)}, at, timeout));
  }
  CHECK(is_peer_lost(watch, {true, milliseconds(70'000)}, sent_at + timeout, timeout));
}

TEST_CASE("each acknowledgement begins the timeout anew") {
  peer_watch watch{start};
  const auto acknowledged_at = start + milliseconds(1400);
  CHECK_FALSE(is_peer_lost(watch, {true, milliseconds(1400)}, start + milliseconds(1400),
                           timeout));
  const auto later = acknowledged_at + timeout;
  CHECK_FALSE(is_peer_lost(watch, {true, timeout - step}, later - step, timeout));
  CHECK(is_peer_lost(watch, {true, timeout}, later, timeout));
}
