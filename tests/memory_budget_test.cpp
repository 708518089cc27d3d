#include "marigoldstep/memory_budget.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace marigoldstep;

namespace {

constexpr std::size_t mb = 1U << 20U;
constexpr time_point start{milliseconds(1'000'000)};

memory_budget make_budget(std::size_t bytes) {
  memory_budget out;
  out.limits.bytes = bytes;
  return out;
}

std::uint64_t add(memory_budget& budget, hold_kind kind, std::size_t bytes,
                  time_point since, std::size_t connections = 1) {
  const auto id = add_hold(budget);
  set_hold(budget, id, {kind, bytes, connections, since}, start);
  return id;
}

} // namespace

// Guards against a limit that a request at the limits of the users' pages meets in calm.
TEST_CASE("the smallest machines have room for one request at the limits") {
  constexpr std::size_t body_bytes = 4U << 20U;
  constexpr std::size_t copies = 3;
  const auto memory_mb = GENERATE(std::size_t{112}, std::size_t{160}, std::size_t{256});
  const auto limits = make_memory_limits(memory_mb * mb, 2870);
  CHECK(limits.bytes - limits.bytes / 4 >= copies * body_bytes);
  CHECK(limits.connections >= 1000);
  // What the limits allow in sum leaves room for the process itself.
  CHECK(limits.bytes +
            limits.connections * (connection_bytes + limits.receive_buffer_bytes) <=
        memory_mb * mb * 3 / 4);
}

TEST_CASE("few descriptors leave some for clients and some for everything else") {
  const auto fds = GENERATE(64, 160, 1024, 4096);
  const auto limits = make_memory_limits(0, static_cast<std::size_t>(fds));
  CHECK(limits.connections >= 8);
  CHECK(limits.connections <= static_cast<std::size_t>(fds) / 2);
}

// Guards against ordinary requests that are given up for a crowd of large ones.
TEST_CASE("the largest and slowest of the incomplete requests gives way first") {
  auto budget = make_budget(100 * mb);
  add(budget, hold_kind::incomplete, mb, start - milliseconds(100));
  const auto slow = add(budget, hold_kind::incomplete, mb, start - milliseconds(900));
  add(budget, hold_kind::incomplete, 2000, start - milliseconds(9000));
  const auto large = add(budget, hold_kind::unread, 8 * mb, start - milliseconds(200));
  CHECK(find_reclaimable(budget, start) == large);
  remove_hold(budget, large, start);
  CHECK(find_reclaimable(budget, start) == slow);
}

// Guards against a request that is cut off while a server may be running it.
TEST_CASE("a request that may be running is never given up") {
  auto budget = make_budget(mb);
  add(budget, hold_kind::running, 9 * mb, start - milliseconds(90'000));
  add(budget, hold_kind::idle, 9 * mb, start - milliseconds(90'000), 0);
  CHECK_FALSE(find_reclaimable(budget, start));
  CHECK_FALSE(find_closable(
      budget, [](std::uint64_t id) { return id == 1; }, start));
}

// Guards against large requests that keep ordinary ones out.
TEST_CASE("small requests have room when large ones have none") {
  auto budget = make_budget(8 * mb);
  add(budget, hold_kind::running, 6 * mb, start);
  CHECK_FALSE(has_room(budget, 0, mb));
  CHECK(has_room(budget, 0, small_hold_bytes));
  add(budget, hold_kind::running, 2 * mb, start);
  CHECK_FALSE(has_room(budget, 0, small_hold_bytes));
}

// Guards against kept connections of ordinary callers that are closed for a crowd.
TEST_CASE("connections with incomplete requests are closed before idle ones") {
  auto budget = make_budget(mb);
  add(budget, hold_kind::running, 0, start - milliseconds(9000));
  const auto kept = add(budget, hold_kind::idle, 0, start - milliseconds(8000));
  const auto unread = add(budget, hold_kind::unread, 0, start - milliseconds(7000));
  add(budget, hold_kind::incomplete, 0, start - milliseconds(10));
  const auto older = add(budget, hold_kind::incomplete, 0, start - milliseconds(20));
  const auto any = [](std::uint64_t) { return true; };
  const auto not_incomplete = [&](auto id) { return id == unread || id == kept; };
  const auto later = start + milliseconds(490);
  CHECK(find_closable(budget, any, later) == older);
  CHECK(find_closable(budget, not_incomplete, later) == unread);
  CHECK(find_closable(
            budget, [&](auto id) { return id == kept; }, later) == kept);
  // A client has had no time to send its request yet.
  CHECK(find_closable(budget, any, start) == unread);
}

// Guards against a Retry-After that lets callers return before there is room.
TEST_CASE("the retry delay follows the rate at which memory is released") {
  auto budget = make_budget(8 * mb);
  const auto id = add(budget, hold_kind::running, 8 * mb, start);
  const auto stuck = estimate_room_delay(budget, mb, start);
  CHECK(stuck == milliseconds(5000));
  set_hold(budget, id, {hold_kind::running, 6 * mb, 1, start}, start);
  const auto moving = estimate_room_delay(budget, mb, start);
  CHECK(moving < stuck);
  CHECK(moving >= milliseconds(200));
  remove_hold(budget, id, start);
  CHECK(estimate_room_delay(budget, mb, start) == milliseconds(200));
}

// Guards against a sum that drifts from what is held.
TEST_CASE("the sums are those of all holds after any changes") {
  CHECK(rc::check(
      [](const std::vector<std::tuple<std::uint8_t, std::uint16_t, bool>>& steps) {
        memory_budget budget;
        std::vector<std::uint64_t> ids;
        auto now = start;
        for (const auto& [which, bytes, removes] : steps) {
          now += milliseconds(which);
          if (ids.empty() || which % 3 == 0) {
            ids.push_back(add_hold(budget));
          }
          const auto id = ids[which % ids.size()];
          if (removes) {
            remove_hold(budget, id, now);
            std::erase(ids, id);
          } else {
            set_hold(budget, id, {hold_kind::incomplete, bytes, which % 2U, now}, now);
          }
        }
        std::size_t used = 0;
        std::size_t connections = 0;
        for (const auto& [id, it] : budget.holds) {
          used += it.bytes;
          connections += it.connections;
        }
        RC_ASSERT(budget.holds.size() == ids.size());
        RC_ASSERT(budget.used == used);
        RC_ASSERT(budget.connections == connections);
      }));
}
