#include "programs/agent_harness.h"

using namespace agent_harness;

namespace {

const QByteArray ok = "HTTP/1.1 200 OK\r\n";
const QByteArray events = ok + "Content-Type: text/event-stream\r\n";

struct patient_fixture : agent_fixture {
  patient_fixture() { settings.idle_timeout = milliseconds(1000); }
};

// Runs one attempt whose backend server sends text and, if closes is set, closes its
// connection in order. Returns the result.
std::string run_attempt(agent_fixture& fixture, fake_router& router,
                        const QByteArray& text, const std::string& method = "GET",
                        bool closes = true) {
  fixture.backend->calls.clear();
  fixture.backend->on_call = [&text, closes](fake_backend::call& call) {
    fake_backend::write(call, text, closes);
  };
  router.ends.clear();
  router.body.clear();
  auto start = router.make_start(io::make_attempt_id());
  start.method = method;
  start.body = {};
  router.send(std::move(start));
  REQUIRE(router.wait_for_end());
  CHECK(fixture.backend->calls.size() == 1);
  return router.last_result();
}

} // namespace

TEST_CASE("a response that is cut at any byte is not reported as completed") {
  patient_fixture fixture;
  auto& node = fixture.start();
  fake_router router(node.port());
  const QByteArray stream = "data: 1\n\ndata: [DONE]\n\n";
  const auto size = QByteArray::number(stream.size(), 16);
  const auto text = GENERATE_COPY(
      ok + "Content-Length: 3\r\n\r\nabc",
      ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
      events + "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + stream +
          "\r\n0\r\n\r\n",
      events + "\r\n" + stream);
  CHECK(run_attempt(fixture, router, text) == "completed/ok");
  for (qsizetype n = 0; n < text.size(); ++n) {
    CAPTURE(text.left(n).toStdString());
    CHECK(run_attempt(fixture, router, text.left(n)) == "may_have_run/answer_truncated");
  }
}

TEST_CASE("a connection that closes inside a chunk size ends its attempt at once") {
  patient_fixture fixture;
  fixture.settings.idle_timeout = milliseconds(60'000);
  auto& node = fixture.start();
  fake_router router(node.port());
  const QByteArray head = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const QByteArray cut = GENERATE("1", "10", "10\r", "3\r\nabc\r\n1");
  CAPTURE(cut.toStdString());
  CHECK(run_attempt(fixture, router, head + cut) == "may_have_run/answer_truncated");
}

TEST_CASE("an end marker inside an event does not end its stream") {
  patient_fixture fixture;
  auto& node = fixture.start();
  fake_router router(node.port());
  const QByteArray event =
      GENERATE("data: say data: [DONE]\n\n", "data: 1\ndata: [DONE]\n\n",
               "data: [DONE]\r\ndata: 1\r\n\r\n", "data: [DONE]x\n\n", "database: 1\n\n");
  const bool is_delimited = GENERATE(true, false);
  const auto length = "Content-Length: " + QByteArray::number(event.size()) + "\r\n";
  CAPTURE(event.toStdString(), is_delimited);
  CHECK(run_attempt(fixture, router,
                    events + (is_delimited ? length : "") + "\r\n" + event) ==
        "may_have_run/answer_truncated");
}

TEST_CASE("a response without a body needs no end marker of a stream") {
  patient_fixture fixture;
  auto& node = fixture.start();
  fake_router router(node.port());
  CHECK(run_attempt(fixture, router, events + "\r\n", "HEAD") == "completed/ok");
  CHECK(run_attempt(fixture, router,
                    "HTTP/1.1 204 No\r\nContent-Type: text/event-stream\r\n\r\n") ==
        "completed/ok");
}

TEST_CASE("a response to HEAD is complete with its head whatever length it announces") {
  patient_fixture fixture;
  auto& node = fixture.start();
  fake_router router(node.port());
  const QByteArray field =
      GENERATE("Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n");
  const bool closes = GENERATE(true, false);
  CAPTURE(field.toStdString(), closes);
  CHECK(run_attempt(fixture, router, ok + field + "\r\n", "HEAD", closes) ==
        "completed/ok");
}

TEST_CASE("an informational response is not reported as the final one") {
  patient_fixture fixture;
  auto& node = fixture.start();
  fake_router router(node.port());
  const std::string method = GENERATE("GET", "HEAD");
  const QByteArray interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
  CHECK(run_attempt(fixture, router, interim, method) == "may_have_run/answer_truncated");
  CHECK(router.status == 0);
  CHECK(run_attempt(fixture, router, interim + ok + "Content-Length: 0\r\n\r\n",
                    method) == "completed/ok");
  CHECK(router.status == 200);
}

TEST_CASE("a router is told that another one has taken over its response") {
  patient_fixture fixture;
  auto& node = fixture.start();
  fixture.backend->on_call = [](fake_backend::call& call) {
    fake_backend::write(call, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhe", false);
  };
  fake_router router(node.port());
  const auto id = io::make_attempt_id();
  router.send(router.make_start(id));
  REQUIRE(wait_for([&] { return router.body == "he"; }));
  fake_router other(node.port());
  other.resume(id, 2);
  REQUIRE(router.wait_for_end());
  CHECK(router.last_result() == "may_have_run/attempt_expired");
  CHECK(other.ends.empty());
}
