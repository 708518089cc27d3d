#include "marigoldstep/dispatch.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;

namespace {

const time_point start{milliseconds(100'000)};

struct fleet {
  server_directory directory;
  dispatch_state state;
  dispatch_limits limits;
  std::mt19937_64 random{7};
};

void add_server(fleet& it, const std::string& id, const std::string& version) {
  announced_server server;
  server.id = id;
  server.started = 1;
  server.sequence = 1;
  server.service = "s";
  server.host = "host-" + id;
  server.port = 80;
  server.slots = 64;
  server.version = version;
  apply_report(it.directory, server, milliseconds(0), start);
}

// Two servers of v1 and two of v2.
fleet make_fleet() {
  fleet out;
  add_server(out, "a", "v1");
  add_server(out, "b", "v1");
  add_server(out, "c", "v2");
  add_server(out, "d", "v2");
  return out;
}

dispatch_choice choose(fleet& it, const dispatch_request& request) {
  return choose_backend(it.directory, it.state, request, it.limits, start, it.random);
}

dispatch_request request_at(const std::string& version, std::uint64_t shared_part) {
  dispatch_request out;
  out.service = "s";
  out.batch = {64, 500'000};
  out.prompt = {{shared_part, 1000}, {shared_part * 1000 + 7, 100}};
  out.version = version;
  return out;
}

} // namespace

TEST_CASE("only servers of the requested version are chosen") {
  auto it = make_fleet();
  for (std::uint64_t part = 1; part <= 40; ++part) {
    const auto choice = choose(it, request_at("v2", part));
    REQUIRE(choice.server != nullptr);
    CHECK(choice.server->version == "v2");
  }
}

TEST_CASE("an ejected server of the requested version is preferred to another version") {
  auto it = make_fleet();
  it.state.stats["c"].ejected_until = it.state.stats["d"].ejected_until =
      start + milliseconds(1000);
  const auto choice = choose(it, request_at("v2", 1));
  REQUIRE(choice.server != nullptr);
  CHECK(choice.server->version == "v2");
  CHECK(choice.reason == dispatch_reason::last_resort);
}

TEST_CASE("the load bound follows from the mean over the servers of all versions") {
  auto it = make_fleet();
  it.state.stats["c"].local_load.requests = 20;
  it.state.stats["d"].local_load.requests = 4;
  const auto choice = choose(it, request_at("v2", 1));
  CHECK(choice.candidates == 4);
  CHECK(choice.mean_load == Approx(6));
  REQUIRE(choice.server != nullptr);
  CHECK(choice.server->id == "d");
}

TEST_CASE("a request for a version without servers is refused with that reason") {
  auto it = make_fleet();
  const auto choice = choose(it, request_at("v3", 1));
  CHECK(choice.server == nullptr);
  CHECK(choice.reason == dispatch_reason::no_version);
}

TEST_CASE("cached prompts are not copied from a server of another version") {
  auto it = make_fleet();
  const bool is_known_location = GENERATE(true, false);
  std::size_t copies = 0;
  for (std::uint64_t part = 1; part <= 40; ++part) {
    auto request = request_at("v1", part);
    if (is_known_location) {
      record_prompt_sent(it.state, request, part % 2 == 0 ? "c" : "a", start);
    }
    // A full home, so that another server is chosen.
    const auto home = choose(it, request).server->id;
    it.state.stats[home].local_load.requests = 60;
    const auto choice = choose(it, request);
    it.state.stats[home].local_load.requests = 0;
    REQUIRE(choice.server != nullptr);
    if (choice.copy_from != nullptr) {
      CHECK(choice.copy_from->version == choice.server->version);
      ++copies;
    }
  }
  CHECK(copies > 0);
}
