#include "programs/agent_harness.h"

using namespace agent_harness;

namespace {

const QByteArray ok = "HTTP/1.1 200 OK\r\n";
const QByteArray events = ok + "Content-Type: text/event-stream\r\n";

// Runs one attempt whose backend server sends text and closes its connection in order.
// Returns its result.
std::string run_attempt(agent_fixture& fixture, fake_router& router,
                        const QByteArray& text, const std::string& method = "GET") {
  fixture.backend->calls.clear();
  fixture.backend->on_call = [&text](fake_backend::call& call) {
    fake_backend::write(call, text, true);
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

TEST_CASE("a response without a body needs no end marker of a stream") {
  agent_fixture fixture;
  auto& node = fixture.start();
  fake_router router(node.port());
  CHECK(run_attempt(fixture, router, events + "\r\n", "HEAD") == "completed/ok");
  CHECK(run_attempt(fixture, router,
                    "HTTP/1.1 204 No\r\nContent-Type: text/event-stream\r\n\r\n") ==
        "completed/ok");
}
