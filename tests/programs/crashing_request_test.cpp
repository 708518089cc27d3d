#include "crashing_fleet.h"

using namespace marigoldstep;
using namespace marigoldstep::control::test;

namespace {

const std::string harmful_target = "/safe/document?page=2";
const std::string harmful_body = "text of the harmful request";

// Whether a server gets the harmful request. It sees the caller's workspace.
bool is_harmful(const std::string& request) {
  return request.starts_with("POST " + harmful_target + " ") &&
         request.find("Marigoldstep-Tenant: w\r\n") != std::string::npos &&
         request.ends_with("\r\n\r\n" + harmful_body);
}

sent_request harmful_request() {
  return {"POST", harmful_target, "KEY", "", harmful_body, true};
}

struct fleet : crashing_fleet {
  int sound_count = 0;

  fleet(int control_processes, int gateway_count, int server_count)
      : crashing_fleet({is_harmful, false, 60, 2000}, control_processes, gateway_count,
                       server_count) {}

  // Sends a sound request that has some of the harmful one's path, body and caller.
  void send_sound() {
    const auto n = ++sound_count;
    const auto text = std::to_string(n);
    switch (n % 8) {
    case 0: // the same request of another caller
      send({"POST", harmful_target, "KEY2", "", harmful_body});
      break;
    case 1:
      send({"POST", "/once/document", "KEY", "", text});
      break;
    case 2:
    case 3:
      send({"POST", harmful_target, "KEY", "", harmful_body + text});
      break;
    case 4: // again and again
      send({"GET", "/safe/document?page=1", "KEY", "", ""});
      break;
    default:
      send({"POST", harmful_target + text, "KEY", "", harmful_body});
    }
  }

  // Sends sound requests at 24 a second, and each harmful one at 2.7 a second.
  void send_load(milliseconds time, const std::vector<sent_request>& harmful = {}) {
    const auto until = io::now() + time;
    for (int i = 0; io::now() < until; ++i) {
      send_sound();
      if (i % 9 == 0) {
        for (const auto& it : harmful) {
          send(it);
        }
      }
      run_event_loop(std::chrono::milliseconds(42));
    }
  }

  // Time of the third end, after which three more requests may reach servers.
  [[nodiscard]] time_point third_end() const {
    const auto all = ends();
    REQUIRE(all.size() >= 3);
    return all[2];
  }
};

} // namespace

TEST_CASE("a request that crashes servers doesn't reach further servers",
          "[!mayfail]") {
  fleet it(3, 3, 4);
  const auto began_at = io::now();
  it.send_load(milliseconds(2000));
  const auto harmful_from = io::now();
  it.send_load(milliseconds(15'000), {harmful_request()});
  const auto ended_at = io::now();
  run_event_loop(std::chrono::milliseconds(1000));
  const auto third = it.third_end();
  REQUIRE(third + 2 * stable_window < ended_at);
  CHECK(it.harmful_after(third + stable_window) <= 3);
  const auto before = it.served_share(began_at, harmful_from);
  CHECK(before > 0.9);
  CHECK(it.served_share(third + 2 * stable_window, ended_at) >= 0.9 * before);
}
