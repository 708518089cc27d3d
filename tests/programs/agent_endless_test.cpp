#include "programs/agent_harness.h"

#include "endless_peer.h"

// Guards against backend servers whose bytes never end: no limit in an agent's memory, a
// slot that stays in use, or a response that is reported as completed.

using namespace agent_harness;

namespace {

constexpr std::size_t mib = 1U << 20U;
// Of the whole process for one call. The configuration allows responses of 2 MB, which
// the test's router keeps as well.
constexpr std::size_t max_growth_bytes = 16 * mib;
constexpr auto slow = std::chrono::milliseconds(10);
constexpr auto idle_timeout = milliseconds(500);
// The idle timeout and time for the test.
constexpr auto max_held = idle_timeout + milliseconds(700);

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
const std::string stream = ok + "Content-Type: text/event-stream\r\n";
const std::string chunked_stream = stream + "Transfer-Encoding: chunked\r\n\r\n";

struct endless_case {
  std::string name;
  endless_bytes bytes;
};

// Responses whose framing has no end.
std::vector<endless_case> framing_without_end() {
  return {{"status line", {"HTTP/1.1 200 ", "O"}},
          {"garbage", {"", "garbage\n"}},
          {"garbage without lines", {"", "x"}},
          {"empty lines", {"", "\r\n"}},
          {"header line", {ok + "X: ", "a"}},
          {"header lines", {ok, "X: a\r\n"}},
          {"interim responses", {"", "HTTP/1.1 100 Continue\r\n\r\n"}},
          {"early hints", {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}},
          {"chunk size", {chunked, "0"}},
          {"chunk extension", {chunked + "5;a=", "x"}},
          {"chunk extension of a stream", {chunked_stream + "5;a=", "x"}},
          {"trailer line", {chunked + "5\r\nhello\r\n0\r\nX: ", "a"}},
          {"trailer lines", {chunked + "5\r\nhello\r\n0\r\n", "X: a\r\n"}}};
}

std::vector<endless_case> body_without_end() {
  return {{"body without length", {ok + "\r\n", "x"}},
          {"body with length", {ok + "Content-Length: 9999999999\r\n\r\n", "x"}},
          {"body in chunks", {chunked, "5\r\nhello\r\n"}},
          {"error body", {"HTTP/1.1 500 Error\r\n\r\n", "x"}},
          {"event line", {stream + "\r\ndata: ", "x"}},
          {"event lines", {stream + "\r\n", "data: x\n"}},
          {"events", {stream + "\r\n", "data: x\n\n"}},
          {"empty lines of a stream", {stream + "\r\n", "\n"}},
          {"comments", {chunked_stream, "3\r\n:\n\n\r\n"}}};
}

struct endless_fixture : agent_fixture {
  explicit endless_fixture(const endless_bytes& what) : endless({what}) {
    settings.idle_timeout = idle_timeout;
    settings.backend = endless.address();
  }
  endless_server endless;
};

// Runs an attempt to its end and returns how long it took.
milliseconds run(fake_router& router, wire::StartAttemptT start) {
  const auto begin = io::now();
  router.send(std::move(start));
  CHECK(router.wait_for_end());
  return io::now() - begin;
}

} // namespace

TEST_CASE("a call whose framing has no end is truncated within the idle timeout") {
  for (auto tried : framing_without_end()) {
    for (const auto per_byte : {std::chrono::milliseconds(0), slow}) {
      CAPTURE(tried.name, per_byte.count());
      tried.bytes.pause_per_byte = per_byte;
      endless_fixture fixture(tried.bytes);
      auto& node = fixture.start();
      fake_router router(node.port());
      const memory_watch memory;
      CHECK(run(router, router.make_start(io::make_attempt_id())) < max_held);
      CHECK(router.last_result() == "may_have_run/answer_truncated");
      CHECK(memory.growth() < max_growth_bytes);
      CHECK(fixture.endless.requests == 1);
      CHECK(node.runner().running() == 0);
      CHECK(wait_for([&] { return fixture.endless.closed_by_reader == 1; }));
    }
  }
}

TEST_CASE("a body without end ends its call at the configured size") {
  for (const auto& tried : body_without_end()) {
    CAPTURE(tried.name);
    endless_fixture fixture(tried.bytes);
    auto& node = fixture.start();
    fake_router router(node.port());
    const memory_watch memory;
    run(router, router.make_start(io::make_attempt_id()));
    CHECK(router.last_result() == "may_have_run/answer_too_large");
    CHECK(memory.growth() < max_growth_bytes);
    CHECK(node.runner().running() == 0);
    CHECK(wait_for([&] { return fixture.endless.closed_by_reader == 1; }));
  }
}

TEST_CASE("a call that may run once is sent once to a server without end") {
  auto cases = framing_without_end();
  const auto more = body_without_end();
  cases.insert(cases.end(), more.begin(), more.end());
  for (const auto& tried : cases) {
    CAPTURE(tried.name);
    endless_fixture fixture(tried.bytes);
    auto& node = fixture.start();
    fake_router router(node.port());
    const memory_watch memory;
    run(router, router.make_non_repeatable_start(io::make_attempt_id()));
    CHECK(router.last_result().starts_with("may_have_run/"));
    CHECK(memory.growth() < max_growth_bytes);
    CHECK(fixture.endless.requests == 1);
    CHECK(fixture.control->count_claims(wire::ClaimKind::release) == 0);
    CHECK(wait_for([&] { return fixture.endless.closed_by_reader == 1; }));
  }
}

TEST_CASE("bytes without end after a response close its connection") {
  const std::string response = GENERATE_COPY(ok + "Content-Length: 5\r\n\r\nhello",
                                             chunked + "5\r\nhello\r\n0\r\n\r\n");
  const auto per_byte = GENERATE(std::chrono::milliseconds(0), slow);
  CAPTURE(response, per_byte.count());
  endless_fixture fixture(
      {response, "x", std::chrono::milliseconds(GENERATE(0, 50)), per_byte});
  auto& node = fixture.start();
  fake_router router(node.port());
  const memory_watch memory;
  run(router, router.make_start(io::make_attempt_id()));
  CHECK(router.last_result() == "completed/ok");
  CHECK(router.body == "hello");
  CHECK(wait_for([&] { return fixture.endless.closed_by_reader == 1; }));
  CHECK(memory.growth() < max_growth_bytes);
}

TEST_CASE("calls without end do not hold up an agent") {
  const auto what = GENERATE(
      endless_bytes{chunked + "5;a=", "x"}, endless_bytes{ok, "X: a\r\n"},
      endless_bytes{"", "garbage\n"}, endless_bytes{"", "HTTP/1.1 100 Continue\r\n\r\n"});
  constexpr auto max_delay = std::chrono::milliseconds(200);
  CAPTURE(what.begin, what.piece);
  endless_fixture fixture(what);
  auto& node = fixture.start();
  fake_router router(node.port());
  for (int i = 0; i < 2; ++i) {
    router.send(router.make_start(io::make_attempt_id()));
  }
  CHECK(wait_for([&] { return fixture.endless.requests == 2; }));
  fake_router other(node.port());
  const auto begin = io::now();
  other.send_for_attempt<wire::CancelAttemptT>(io::make_attempt_id());
  CHECK(other.wait_for_end());
  CHECK(io::now() - begin < max_delay);
  CHECK(wait_for([&] { return router.ends.size() == 2; }));
}
