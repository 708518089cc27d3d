#include "marigoldstep/dispatch.h"
#include "marigoldstep/request_limit.h"
#include "platform/messages.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <deque>
#include <random>

using namespace marigoldstep;

namespace {

constexpr incarnation started = 5;
const time_point start{milliseconds(1'000'000)};

// Sends requests through routers that share a limit, at demand a second over all. Returns
// the most requests in any 4 s, and how many were sent in all.
struct rate_result {
  std::size_t most = 0;
  std::size_t all = 0;
};

rate_result send_requests(std::uint32_t routers, double limit, double demand,
                          milliseconds time, bool in_bursts, std::mt19937_64& random) {
  std::vector<request_limit> limits(routers);
  for (auto& it : limits) {
    set_request_limit(it, started, limit, routers, random(), start);
  }
  rate_result out;
  std::deque<time_point> recent;
  for (auto now = start; now < start + time; now += milliseconds(1)) {
    const bool is_calm = in_bursts && (now - start).count() % 10'000 < 7000;
    std::bernoulli_distribution arrives(is_calm ? 0 : demand / 1000);
    if (!arrives(random)) {
      continue;
    }
    auto& it = limits[random() % routers];
    if (request_delay(it, started, now) > milliseconds(0)) {
      continue;
    }
    use_request_limit(it, started, now);
    // The response names the limit again.
    set_request_limit(it, started, limit, routers, random(), now);
    ++out.all;
    recent.push_back(now);
    while (now - recent.front() >= milliseconds(4000)) {
      recent.pop_front();
    }
    out.most = std::max(out.most, recent.size());
  }
  return out;
}

} // namespace

TEST_CASE("routers together stay within one and a half times a server's limit") {
  const auto routers = GENERATE(1U, 3U, 5U, 24U, 68U, 300U);
  const auto limit = GENERATE(0.5, 4.0, 20.0);
  const auto in_bursts = GENERATE(false, true);
  CAPTURE(routers, limit, in_bursts);
  std::mt19937_64 random(routers);
  for (int i = 0; i < 5; ++i) {
    const auto result = send_requests(routers, limit, 10 * limit, milliseconds(60'000),
                                      in_bursts, random);
    CHECK(static_cast<double>(result.most) <= 1.5 * limit * 4 + 5);
  }
}

TEST_CASE("what a server's limit allows is used under a high demand") {
  const auto routers = GENERATE(1U, 3U, 5U);
  std::mt19937_64 random(routers);
  const auto result = send_requests(routers, 4, 20, milliseconds(60'000), false, random);
  CHECK(static_cast<double>(result.all) >= 0.75 * 4 * 60);
}

TEST_CASE("a limit ends with the first response that names none, and with the server") {
  request_limit limit;
  CHECK_FALSE(set_request_limit(limit, started, std::nullopt, 1, 1, start));
  CHECK(set_request_limit(limit, started, 1.0, 1, 1, start));
  CHECK_FALSE(set_request_limit(limit, started, 1.0, 1, 1, start));
  use_request_limit(limit, started, start);
  CHECK(request_delay(limit, started, start) > milliseconds(500));
  CHECK(request_delay(limit, started + 1, start) == milliseconds(0));
  // A late response of an earlier incarnation says nothing.
  CHECK_FALSE(set_request_limit(limit, started - 1, std::nullopt, 1, 1, start));
  CHECK(request_delay(limit, started, start) > milliseconds(500));
  CHECK(set_request_limit(limit, started, 100.0, 1, 1, start));
  CHECK(request_delay(limit, started, start) < milliseconds(20));
  CHECK(set_request_limit(limit, started, std::nullopt, 1, 1, start));
  CHECK(request_delay(limit, started, start) == milliseconds(0));
}

TEST_CASE("a limit of zero still lets a request through that may show its end") {
  request_limit limit;
  set_request_limit(limit, started, 0.0, 1, 1, start);
  use_request_limit(limit, started, start);
  CHECK(request_delay(limit, started, start) > milliseconds(1000));
  CHECK(request_delay(limit, started, start) < milliseconds(10'000));
}

TEST_CASE("requests go to servers without a limit, or are refused until the next slot") {
  server_directory directory;
  for (std::uint16_t i = 0; i < 2; ++i) {
    announced_server server;
    server.id = "s" + std::to_string(i);
    server.started = started;
    server.sequence = 1;
    server.service = "s";
    server.host = "10.0.0.1";
    server.port = static_cast<std::uint16_t>(80 + i);
    server.slots = 4;
    apply_report(directory, server, milliseconds(0), start);
  }
  dispatch_state state;
  dispatch_request request;
  request.service = "s";
  std::mt19937_64 random(1);
  const auto choose = [&](time_point now) {
    return choose_backend(directory, state, request, {}, now, random);
  };
  auto& limited = state.stats["s0"].limit;
  set_request_limit(limited, started, 1.0, 1, 0, start);
  use_request_limit(limited, started, start);
  for (int i = 0; i < 20; ++i) {
    REQUIRE(choose(start).server != nullptr);
    CHECK(choose(start).server->id == "s1");
  }
  auto& other = state.stats["s1"].limit;
  set_request_limit(other, started, 0.5, 1, 0, start);
  use_request_limit(other, started, start);
  const auto refused = choose(start);
  CHECK(refused.server == nullptr);
  CHECK(refused.reason == dispatch_reason::all_closed);
  REQUIRE(refused.reopens_in);
  CHECK(*refused.reopens_in == request_delay(limited, started, start));
  CHECK(choose(start + *refused.reopens_in).server != nullptr);
}

TEST_CASE("a response's limit is a decimal number of requests a second") {
  const auto parse = [](const std::string& value) {
    io::http_head head;
    head.status = 200;
    head.fields = {{"Server-Limit", value}};
    return platform::parse_response_head(head);
  };
  CHECK(parse("4").request_limit == 4.0);
  CHECK(parse("2.75").request_limit == 2.75);
  CHECK(parse("0").request_limit == 0.0);
  const std::string bad = GENERATE("", "-1", "nan", "inf", "1e9", "4 a second");
  CHECK_FALSE(parse(bad).request_limit);
  CHECK_FALSE(parse(bad).problem.empty());
}
