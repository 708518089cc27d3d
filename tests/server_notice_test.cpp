#include "marigoldstep/server_notice.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace marigoldstep;

namespace {

const time_point start{milliseconds(100'000)};

time_point after(int ms) {
  return start + milliseconds(ms);
}

} // namespace

// A restarted server at the same address must not stay excluded, and a late response of
// its previous incarnation must not exclude it again.
TEST_CASE("a notice that a server is leaving holds for its incarnation only") {
  server_notice notice;
  CHECK(record_leaving(notice, 5));
  CHECK_FALSE(record_leaving(notice, 5));
  CHECK(admission(notice, 5, after(60'000)) == server_admission::leaving);
  CHECK(admission(notice, 6, start) == server_admission::open);
  CHECK(record_backoff(notice, 6, milliseconds(10), start));
  CHECK_FALSE(record_leaving(notice, 5));
  CHECK(admission(notice, 6, start) == server_admission::backing_off);
  CHECK(admission(notice, 6, after(10)) == server_admission::probe);
}

// A server that answers several requests at once may name a shorter time in a later
// response, or accept a request that it received before.
TEST_CASE("a back-off is never shortened by a later response") {
  server_notice notice;
  CHECK(record_backoff(notice, 1, milliseconds(3000), start));
  CHECK_FALSE(record_backoff(notice, 1, milliseconds(500), after(100)));
  record_accepted(notice, 1, after(200));
  CHECK(admission(notice, 1, after(2999)) == server_admission::backing_off);
  CHECK(admission(notice, 1, after(3000)) == server_admission::probe);
  record_accepted(notice, 1, after(3050));
  CHECK(admission(notice, 1, after(3051)) == server_admission::open);
}

TEST_CASE("a back-off of zero or less is none, and a huge one is limited") {
  server_notice notice;
  CHECK_FALSE(record_backoff(notice, 1, milliseconds(0), start));
  CHECK_FALSE(record_backoff(notice, 1, milliseconds(-5), start));
  CHECK(admission(notice, 1, start) == server_admission::open);
  CHECK(record_backoff(notice, 1, milliseconds::max(), start));
  CHECK(admission(notice, 1, start + max_server_backoff) == server_admission::probe);
}

// Any order of notices of one incarnation must leave the server closed for as long as
// its longest request demands.
TEST_CASE("the order of notices does not matter") {
  CHECK(rc::check("closed until the latest end", [] {
    const auto delays =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 20'000));
    server_notice notice;
    auto latest = start;
    auto now = start;
    for (const int it : delays) {
      now += milliseconds(*rc::gen::inRange(0, 300));
      record_backoff(notice, 1, milliseconds(it), now);
      latest = std::max(latest, now + milliseconds(it));
      if (*rc::gen::arbitrary<bool>()) {
        record_accepted(notice, 1, now);
      }
    }
    if (latest > now) {
      RC_ASSERT(is_closed(admission(notice, 1, latest - milliseconds(1))));
    }
    RC_ASSERT(!is_closed(admission(notice, 1, latest)));
  }));
}
