#include "marigoldstep/io/deadline_timer.h"

#include "event_loop.h"
#include "marigoldstep/io/clock.h"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace marigoldstep;
using io::deadline_timer;

namespace {

struct timed_run {
  time_point deadline{};
  time_point reached{};
  std::unique_ptr<deadline_timer> timer;
};

} // namespace

// Guards against a request that is cut before its deadline: a coarse timer of this length
// may fire 150 ms early, depending on the phase of the clock.
TEST_CASE("a deadline is never reached early, at any phase of the clock") {
  constexpr auto delay = milliseconds(3000);
  constexpr auto step = milliseconds(40);
  constexpr std::size_t run_count = 25;
  test_application();
  std::vector<timed_run> runs(run_count);
  for (auto& it : runs) {
    it.timer = std::make_unique<deadline_timer>([&it] { it.reached = io::now(); });
    it.deadline = io::now() + delay;
    it.timer->start(it.deadline);
    run_event_loop(step);
  }
  REQUIRE(wait_until([&] { return runs.back().reached != time_point(); }));
  for (const auto& it : runs) {
    CHECK(it.reached >= it.deadline);
    CHECK_FALSE(it.timer->is_active());
  }
}

// Guards against an idle timeout that ends a connection although bytes have arrived.
TEST_CASE("a deadline that moves is reached once, at its last time") {
  test_application();
  int n = 0;
  deadline_timer timer([&n] { ++n; });
  const auto moved_later = GENERATE(true, false);
  timer.start(milliseconds(moved_later ? 20 : 60'000));
  const auto deadline = io::now() + milliseconds(80);
  timer.start(deadline);
  REQUIRE(wait_until([&] { return n > 0; }));
  CHECK(io::now() >= deadline);
  run_event_loop(milliseconds(50));
  CHECK(n == 1);
}

// Guards against a time limit of months, which overflows the interval of a QTimer.
TEST_CASE("a deadline beyond the range of Qt's timers isn't reached at once") {
  test_application();
  bool is_reached = false;
  deadline_timer timer([&] { is_reached = true; });
  timer.start(io::now() + std::chrono::hours(24 * 365));
  run_event_loop(milliseconds(50));
  CHECK_FALSE(is_reached);
  CHECK(timer.is_active());
}

// Guards against a timer that ends what its owner has finished meanwhile.
TEST_CASE("a stopped deadline isn't reached, and a past one is reached from the loop") {
  test_application();
  int n = 0;
  deadline_timer timer([&n] { ++n; });
  timer.start(milliseconds(1));
  timer.stop();
  run_event_loop(milliseconds(20));
  CHECK(n == 0);
  timer.start(io::now() - milliseconds(5));
  CHECK(n == 0);
  CHECK(wait_until([&] { return n == 1; }));
}
