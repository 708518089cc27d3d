#include "marigoldstep/dispatch.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>

using namespace marigoldstep;

namespace {

const time_point start{milliseconds(100'000)};

struct fleet {
  server_directory directory;
  dispatch_state state;
  dispatch_limits limits;
  std::mt19937_64 random{7};
};

void add_server(fleet& it, const std::string& id, std::uint32_t slots,
                const std::string& zone = "z") {
  announced_server server;
  server.id = id;
  server.started = 1;
  server.sequence = 1;
  server.service = "s";
  server.zone = zone;
  server.host = "host-" + id;
  server.port = 80;
  server.slots = slots;
  apply_report(it.directory, server, milliseconds(0), start);
}

fleet make_fleet(int n, std::uint32_t slots) {
  fleet out;
  for (int i = 0; i < n; ++i) {
    add_server(out, "s" + std::to_string(i), slots);
  }
  return out;
}

dispatch_choice choose(fleet& it, const dispatch_request& request,
                       time_point now = start) {
  return choose_backend(it.directory, it.state, request, it.limits, now, it.random);
}

dispatch_request prompt_request(std::uint64_t shared_part) {
  dispatch_request out;
  out.service = "s";
  out.batch = {64, 500'000};
  out.prompt = {{1, 500}, {shared_part, 10'000}, {shared_part * 1000 + 7, 1300}};
  return out;
}

dispatch_request plain_request() {
  dispatch_request out;
  out.service = "s";
  out.zone = "z";
  return out;
}

} // namespace

TEST_CASE("requests with the same shared part go to the same server") {
  auto it = make_fleet(9, 64);
  const auto first = choose(it, prompt_request(42));
  REQUIRE(first.server != nullptr);
  CHECK(first.reason == dispatch_reason::home);
  auto second = prompt_request(42);
  second.prompt.back() = {99, 200};
  CHECK(choose(it, second).server == first.server);
}

TEST_CASE("only the parts of a draining server get a new home") {
  auto it = make_fleet(9, 64);
  std::map<std::uint64_t, std::string> homes;
  for (std::uint64_t part = 1; part <= 300; ++part) {
    homes[part] = choose(it, prompt_request(part)).server->id;
  }
  auto draining = it.directory.entries.at("s3").server;
  draining.state = announced_state::draining;
  ++draining.sequence;
  apply_report(it.directory, draining, milliseconds(0), start);
  for (const auto& [part, home] : homes) {
    const auto now = choose(it, prompt_request(part)).server->id;
    CHECK(now != "s3");
    CHECK((home == "s3" || now == home));
  }
}

TEST_CASE("requests for a hot part spill over before its home is far above the mean") {
  // 400 requests in flight on 9 servers, nine in ten for one part.
  auto it = make_fleet(9, 64);
  for (std::uint64_t i = 0; i < 400; ++i) {
    const auto request = prompt_request(i % 10 == 0 ? 100 + i : 42);
    const auto choice = choose(it, request);
    REQUIRE(choice.server != nullptr);
    record_sent(it.state, choice.server->id, 100);
  }
  std::uint32_t max_load = 0;
  for (const auto& [id, stats] : it.state.stats) {
    max_load = std::max(max_load, stats.local_load.requests);
  }
  CHECK(max_load <= 2 * 400 / 9 + 3);
}

TEST_CASE("a prompt sent away from its home copies its shared parts from there") {
  auto it = make_fleet(9, 64);
  const auto request = prompt_request(42);
  const auto home = choose(it, request);
  CHECK(home.copy_from == nullptr);
  it.state.stats[home.server->id].peer_load = {60, 0};
  const auto away = choose(it, request);
  REQUIRE(away.copy_from != nullptr);
  CHECK(away.copy_from->id == home.server->id);
  // Now both servers have the parts.
  record_prompt_sent(it.state, request, away.server->id, start);
  CHECK(choose(it, request).copy_from == nullptr);
  it.state.stats[home.server->id].peer_load = {};
  const auto back = choose(it, request);
  CHECK(back.server == home.server);
  REQUIRE(back.copy_from != nullptr);
  CHECK(back.copy_from->id == away.server->id);
}

TEST_CASE("parts are copied from a draining server but not from one that is gone") {
  auto it = make_fleet(9, 64);
  const auto request = prompt_request(42);
  const auto home = choose(it, request).server->id;
  record_prompt_sent(it.state, request, home, start);
  auto leaving = it.directory.entries.at(home).server;
  leaving.state = announced_state::draining;
  ++leaving.sequence;
  apply_report(it.directory, leaving, milliseconds(0), start);
  REQUIRE(choose(it, request).copy_from != nullptr);
  CHECK(choose(it, request).copy_from->id == home);
  leaving.state = announced_state::gone;
  apply_report(it.directory, leaving, milliseconds(0), start);
  CHECK(choose(it, request).copy_from == nullptr);
}

TEST_CASE("requests from other routers count towards the load of a server") {
  auto it = make_fleet(2, 64);
  const auto home = choose(it, prompt_request(42)).server->id;
  it.state.stats[home].peer_load = {60, 0};
  CHECK(choose(it, prompt_request(42)).server->id != home);
}

TEST_CASE(
    "plain requests stay in the own zone under light load, else follow free slots") {
  fleet it;
  add_server(it, "near", 6, "z");
  add_server(it, "far", 6, "y");
  const auto near_share = [&] {
    constexpr int draws = 4000;
    int near = 0;
    for (int i = 0; i < draws; ++i) {
      near += choose(it, plain_request()).server->id == "near" ? 1 : 0;
    }
    return static_cast<double>(near) / draws;
  };
  CHECK(near_share() == 1);
  it.state.stats["near"].local_load.requests = 2;
  CHECK(near_share() == 1);
  // Weights 0.7 and 1.2 - 0.5 / 6; the standard deviation of the share is below 0.01.
  it.state.stats["near"].local_load.requests = 3;
  CHECK(near_share() == Approx(0.7 / (0.7 + 1.117)).margin(0.03));
  it.state.stats["near"].local_load.requests = 7;
  CHECK(near_share() < 0.05);
}

TEST_CASE("a recent report of a server takes precedence over a lower local count") {
  auto it = make_fleet(2, 6);
  record_reported_load(it.state, "s0", 5, start);
  CHECK(choose(it, plain_request()).server->id == "s1");
  CHECK(estimated_load(it.state.stats["s0"], start + milliseconds(1000)) == 0);
}

TEST_CASE("full servers get no requests and free servers are always used") {
  auto it = make_fleet(2, 6);
  for (int i = 0; i < 1000; ++i) {
    const auto choice = choose(it, plain_request());
    if (choice.server == nullptr) {
      CHECK(choice.reason == dispatch_reason::all_full);
      break;
    }
    record_sent(it.state, choice.server->id, 0);
  }
  CHECK(it.state.stats["s0"].local_load.requests >= 6);
  CHECK(it.state.stats["s1"].local_load.requests >= 6);
  CHECK(choose(it, plain_request()).server == nullptr);
  record_finished(it.state, "s1", 0);
  REQUIRE(choose(it, plain_request()).server != nullptr);
  CHECK(choose(it, plain_request()).server->id == "s1");
}

TEST_CASE("a request is not sent to a server that it already tried") {
  auto it = make_fleet(2, 6);
  auto request = plain_request();
  request.tried = {"s0"};
  CHECK(choose(it, request).server->id == "s1");
  request.tried = {"s0", "s1"};
  CHECK(choose(it, request).reason == dispatch_reason::none);
}

TEST_CASE("a server whose connections break is ejected for increasing times") {
  auto it = make_fleet(2, 6);
  record_broken_connection(it.state, "s0", start);
  record_broken_connection(it.state, "s0", start);
  for (int i = 0; i < 20; ++i) {
    CHECK(choose(it, plain_request()).server->id == "s1");
  }
  const auto first_ejection = it.state.stats["s0"].ejected_until - start;
  const auto later = start + first_ejection;
  record_broken_connection(it.state, "s0", later);
  CHECK(it.state.stats["s0"].ejected_until - later > first_ejection);
  record_response(it.state, "s0", false, later);
  CHECK(it.state.stats["s0"].ejected_until <= later);
}

TEST_CASE("an ejected server is used as a last resort if all are ejected") {
  auto it = make_fleet(1, 6);
  record_broken_connection(it.state, "s0", start);
  record_broken_connection(it.state, "s0", start);
  const auto choice = choose(it, plain_request());
  REQUIRE(choice.server != nullptr);
  CHECK(choice.reason == dispatch_reason::last_resort);
}

TEST_CASE("a server that fails far more often than the others gets no requests") {
  auto it = make_fleet(4, 6);
  for (int i = 0; i < 40; ++i) {
    for (int n = 0; n < 4; ++n) {
      // All servers fail one request in seven, but s0 fails every second one.
      const bool fails = n == 0 ? i % 2 == 0 : i % 7 == 0;
      record_response(it.state, "s" + std::to_string(n), fails, start);
    }
  }
  for (int i = 0; i < 50; ++i) {
    CHECK(choose(it, plain_request()).server->id != "s0");
  }
}

TEST_CASE("silent servers are used only if no other server is available") {
  auto it = make_fleet(2, 6);
  raise_last_seen(it.directory, "s1", start + milliseconds(10'000));
  const auto now = start + milliseconds(10'000);
  CHECK(choose(it, plain_request(), now).server->id == "s1");
  it.state.stats["s1"].ejected_until = now + milliseconds(1000);
  CHECK(choose(it, plain_request(), now).server != nullptr);
}

TEST_CASE("a server gets fewer requests than its connection limit") {
  auto it = make_fleet(1, 64);
  auto request = prompt_request(42);
  request.max_connections = 10;
  for (int i = 0; i < 9; ++i) {
    const auto choice = choose(it, request);
    REQUIRE(choice.server != nullptr);
    record_sent(it.state, choice.server->id, 0);
  }
  CHECK(choose(it, request).reason == dispatch_reason::all_full);
}

TEST_CASE("all routers together keep about half of a server's connections idle") {
  const auto routers = GENERATE(1U, 23U, 95U, 300U);
  std::size_t sum = 0;
  for (std::uint32_t i = 0; i < routers; ++i) {
    sum += idle_connections(200, routers, "router-" + std::to_string(i), "server");
  }
  // A hash selects the routers that keep one more, so the sum varies by a few.
  CHECK(sum <= 125);
  CHECK(sum >= 75);
  CHECK(idle_connections(0, routers, "r", "s") > 1000);
}

TEST_CASE("a server gets half as many requests during its warm-up") {
  auto it = make_fleet(1, 64);
  announced_server cold = it.directory.entries.at("s0").server;
  cold.id = "cold";
  cold.host = "host-cold";
  cold.warmup_left = milliseconds(2000);
  apply_report(it.directory, cold, milliseconds(500), start);
  const auto requests_to_cold = [&](time_point now) {
    std::map<std::string, int> sent;
    for (std::uint64_t i = 0; i < 60; ++i) {
      const auto choice = choose(it, prompt_request(i), now);
      REQUIRE(choice.server != nullptr);
      record_sent(it.state, choice.server->id, 0);
      ++sent[choice.server->id];
    }
    for (const auto& [id, n] : sent) {
      it.state.stats[id].local_load.requests = 0;
    }
    return sent["cold"];
  };
  it.limits.load_bound_ratio = 1;
  CHECK(requests_to_cold(start) <= 60 / 3 + 3);
  // The report was already half a second old when it was received.
  CHECK(requests_to_cold(start + milliseconds(1501)) >= 60 / 2 - 5);
}

TEST_CASE("decisions follow changes of the server directory") {
  auto it = make_fleet(2, 6);
  REQUIRE(choose(it, plain_request()).server != nullptr);
  add_server(it, "new", 600);
  for (int i = 0; i < 3; ++i) {
    const auto choice = choose(it, plain_request());
    record_sent(it.state, choice.server->id, 0);
  }
  CHECK(it.state.stats["new"].local_load.requests > 0);
  remove_silent(it.directory, milliseconds(1000), start + milliseconds(5000));
  CHECK(choose(it, plain_request()).server == nullptr);
}

namespace {

server_notice& notice_of(fleet& it, const std::string& id) {
  return it.state.stats[id].notice;
}

} // namespace

// A server that is leaving still counts as ready in the directory until its report has
// passed through control.
TEST_CASE(
    "a server that said it is leaving gets no requests, not even as a last resort") {
  auto it = make_fleet(2, 6);
  record_leaving(notice_of(it, "s0"), 1);
  for (int i = 0; i < 50; ++i) {
    CHECK(choose(it, plain_request()).server->id == "s1");
  }
  record_leaving(notice_of(it, "s1"), 1);
  const auto none = choose(it, plain_request());
  CHECK(none.server == nullptr);
  CHECK(none.reason == dispatch_reason::all_closed);
  CHECK_FALSE(none.reopens_in);
  auto restarted = it.directory.entries.at("s0").server;
  restarted.started = 2;
  apply_report(it.directory, restarted, milliseconds(0), start);
  CHECK(choose(it, plain_request()).server->id == "s0");
}

TEST_CASE("a prompt is still copied from its home while the home is leaving") {
  auto it = make_fleet(3, 64);
  const auto home = choose(it, prompt_request(5)).server->id;
  record_prompt_sent(it.state, prompt_request(5), home, start);
  record_leaving(notice_of(it, home), 1);
  const auto away = choose(it, prompt_request(5));
  REQUIRE(away.server != nullptr);
  CHECK(away.server->id != home);
  REQUIRE(away.copy_from != nullptr);
  CHECK(away.copy_from->id == home);
}

// Requests that return before the first server reopens would only be refused again.
TEST_CASE("when all servers back off the refusal names the time of the first to reopen") {
  auto it = make_fleet(3, 6);
  record_backoff(notice_of(it, "s0"), 1, milliseconds(3000), start);
  record_backoff(notice_of(it, "s1"), 1, milliseconds(1200), start);
  record_leaving(notice_of(it, "s2"), 1);
  const auto now = start + milliseconds(200);
  const auto refused = choose(it, plain_request(), now);
  CHECK(refused.server == nullptr);
  CHECK(refused.reason == dispatch_reason::all_closed);
  CHECK(refused.reopens_in == milliseconds(1000));
  CHECK(choose(it, plain_request(), start + milliseconds(1200)).server->id == "s1");
}

// Many requests at the end of a back-off would be refused together if the server is
// still full.
TEST_CASE("after a back-off one request probes the server while others are open") {
  auto it = make_fleet(2, 6);
  record_backoff(notice_of(it, "s0"), 1, milliseconds(1000), start);
  const auto now = start + milliseconds(1000);
  record_sent(it.state, "s0", 0);
  for (int i = 0; i < 50; ++i) {
    CHECK(choose(it, plain_request(), now).server->id == "s1");
  }
  record_accepted(notice_of(it, "s0"), 1, now);
  int chosen = 0;
  for (int i = 0; i < 50; ++i) {
    chosen += choose(it, plain_request(), now).server->id == "s0" ? 1 : 0;
  }
  CHECK(chosen > 10);
}

// Refusing callers while the only server may be open again serves nobody.
TEST_CASE("a server that is being probed is used if no other server is open") {
  auto it = make_fleet(1, 6);
  record_backoff(notice_of(it, "s0"), 1, milliseconds(1000), start);
  record_sent(it.state, "s0", 0);
  CHECK(choose(it, plain_request(), start + milliseconds(1000)).server != nullptr);
}

// Prompts whose home changes would otherwise be read again, though the server that had
// them still runs. This router has not sent the part itself, so it knows no location.
TEST_CASE("a server that has just joined copies the prefixes of which it is the home") {
  auto it = make_fleet(5, 64);
  std::map<std::uint64_t, std::string> homes;
  for (std::uint64_t part = 1; part <= 300; ++part) {
    const auto choice = choose(it, prompt_request(part));
    homes[part] = choice.server->id;
    CHECK(choice.copy_from == nullptr);
  }
  const auto joined_at = start + milliseconds(3000);
  announced_server server = it.directory.entries.at("s0").server;
  server.id = "new";
  server.host = "host-new";
  apply_report(it.directory, server, milliseconds(0), joined_at);
  int moved = 0;
  for (const auto& [part, home] : homes) {
    const auto choice = choose(it, prompt_request(part), joined_at);
    if (choice.server->id == "new") {
      ++moved;
      REQUIRE(choice.copy_from != nullptr);
      CHECK(choice.copy_from->id == home);
    } else {
      CHECK(choice.copy_from == nullptr);
    }
  }
  CHECK(moved > 20);
}

TEST_CASE("the prefixes of a draining or closed server are copied to their new homes") {
  const bool drains = GENERATE(true, false);
  auto it = make_fleet(5, 64);
  std::map<std::uint64_t, std::string> homes;
  for (std::uint64_t part = 1; part <= 300; ++part) {
    homes[part] = choose(it, prompt_request(part)).server->id;
  }
  if (drains) {
    auto server = it.directory.entries.at("s2").server;
    server.state = announced_state::draining;
    ++server.sequence;
    apply_report(it.directory, server, milliseconds(0), start);
  } else {
    record_backoff(notice_of(it, "s2"), 1, milliseconds(500), start);
  }
  for (const auto& [part, home] : homes) {
    const auto choice = choose(it, prompt_request(part));
    CHECK(choice.server->id != "s2");
    CHECK((choice.copy_from != nullptr) == (home == "s2"));
    if (choice.copy_from != nullptr) {
      CHECK(choice.copy_from->id == "s2");
    }
  }
}

// Routers learn late of each other's requests, so requests for a part in demand must
// not all go to one home between two reports.
TEST_CASE("a part in demand has homes in proportion to its share of the requests") {
  auto it = make_fleet(20, 64);
  for (const auto& [id, entry] : it.directory.entries) {
    it.state.stats[id].peer_load.requests = 8;
  }
  const auto homes_of = [&](std::uint64_t part) {
    std::map<std::string, int> out;
    for (int i = 0; i < 400; ++i) {
      ++out[choose(it, prompt_request(part)).server->id];
    }
    return out;
  };
  CHECK(homes_of(42).size() == 1);
  const part_key key{service_hash("s"), 42};
  // A tenth of 160 requests, with 2 at each home in half of the room above the mean.
  it.state.popular_parts[key] = 0.1;
  const auto many = homes_of(42);
  CHECK(many.size() >= 7);
  CHECK(many.size() <= 9);
  CHECK(homes_of(43).size() == 1);
  it.state.popular_parts[key] = 0.01;
  CHECK(homes_of(42).size() == 1);
  it.state.popular_parts[{service_hash("other"), 42}] = 1;
  CHECK(homes_of(42).size() == 1);
}

TEST_CASE("homes of a part in demand that are at the load bound get no more requests") {
  auto it = make_fleet(10, 64);
  it.state.popular_parts[{service_hash("s"), 42}] = 0.9;
  for (const auto& [id, entry] : it.directory.entries) {
    it.state.stats[id].peer_load.requests = id == "s3" ? 40 : 8;
  }
  for (int i = 0; i < 300; ++i) {
    CHECK(choose(it, prompt_request(42)).server->id != "s3");
  }
}

// A server that sheds load is often the home of the next request as well, and a route
// may allow a single attempt.
TEST_CASE("a server that refused a request is avoided while others are usable") {
  auto it = make_fleet(2, 6);
  const auto at = [](int ms) { return start + milliseconds(ms); };
  const auto gets_requests = [&](time_point now) {
    int n = 0;
    for (int i = 0; i < 100; ++i) {
      n += choose(it, plain_request(), now).server->id == "s0" ? 1 : 0;
    }
    return n > 0;
  };
  record_refusal(it.state, "s0", start);
  CHECK_FALSE(gets_requests(at(99)));
  CHECK(gets_requests(at(100)));
  record_refusal(it.state, "s0", at(100));
  CHECK_FALSE(gets_requests(at(299)));
  CHECK(gets_requests(at(300)));
  for (int i = 0; i < 20; ++i) {
    record_refusal(it.state, "s0", at(300));
  }
  CHECK(gets_requests(at(1100)));
  record_refusal(it.state, "s0", at(1100));
  record_response(it.state, "s0", false, at(1101));
  CHECK(gets_requests(at(1101)));
  record_refusal(it.state, "s0", at(1101));
  record_refusal(it.state, "s1", at(1101));
  CHECK(choose(it, plain_request(), at(1102)).server != nullptr);
}
