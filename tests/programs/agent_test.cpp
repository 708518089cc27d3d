#include "programs/agent_harness.h"

using namespace agent_harness;

// Guards against an answer that is changed on its way, and against a duplicate
// start message running a call twice.
TEST_CASE("an answer is passed on whole and once") {
  fleet all;
  auto& node = all.start();
  fake_router router(node.port());
  const auto id = io::make_attempt_id();
  router.send(router.make_start(id));
  router.send(router.make_start(id));
  REQUIRE(router.wait_end());
  CHECK(router.last_end() == "completed/ok");
  CHECK(router.status == 200);
  CHECK(router.body == "hello");
  CHECK(all.backend->calls.size() == 1);
  CHECK(all.backend->calls[0]->head.contains("X-Priority: 0"));
  CHECK(all.backend->calls[0]->body == "q");
}
