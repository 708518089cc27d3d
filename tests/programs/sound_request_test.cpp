#include "harmful_request_fleet.h"

using namespace marigoldstep;
using namespace marigoldstep::control::test;

// Guards against a request that is refused for ten minutes although it is sound under new
// software, because probes of the old software came before.
TEST_CASE("a request that is sound under new software is served soon after the change") {
  harmful_request_fleet it(3, 3, 4);
  it.send_load(milliseconds(1000));
  it.quarantine_harmful();
  // The two probes that thin evidence allows.
  it.send_load(milliseconds(22'000), {harmful_request()});
  REQUIRE(it.is_quarantined(1));
  const auto replace_servers = [&](const std::string& version, bool is_harmed) {
    for (auto& server : it.servers) {
      server->version = version;
      server->is_harmed = is_harmed;
      server->crash();
      it.send_load(milliseconds(800), {harmful_request()});
    }
  };
  replace_servers("v2", true);
  run_event_loop(std::chrono::milliseconds(1000));
  const auto changed_at = io::now();
  it.send_load(milliseconds(8000), {harmful_request()});
  CHECK(it.is_quarantined(1));
  CHECK(it.harmful_after(changed_at) <= 1);
  replace_servers("v3", false);
  it.send_load(milliseconds(6000), {harmful_request()});
  CHECK(it.is_quarantined(0));
  CHECK(it.response_to(harmful_request()).starts_with("HTTP/1.1 200 "));
}
