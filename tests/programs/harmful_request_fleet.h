#pragma once

#include "crashing_fleet.h"

namespace marigoldstep::control::test {

inline const std::string harmful_target = "/safe/document?page=2";
inline const std::string harmful_body = "text of the harmful request";

// Whether a server gets the harmful request. It sees the caller's workspace.
inline bool is_harmful(const std::string& request) {
  return request.starts_with("POST " + harmful_target + " ") &&
         request.find("Marigoldstep-Tenant: w\r\n") != std::string::npos &&
         request.ends_with("\r\n\r\n" + harmful_body);
}

inline sent_request harmful_request() {
  return {"POST", harmful_target, "KEY", "", harmful_body, true};
}

struct harmful_request_fleet : crashing_fleet {
  int sound_count = 0;

  harmful_request_fleet(int control_processes, int gateway_count, int server_count)
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

  [[nodiscard]] bool is_quarantined(std::size_t requests) const {
    return std::all_of(gateways.begin(), gateways.end(), [&](const auto& it) {
      return it->traits.quarantine.size() == requests;
    });
  }

  // Sends load with the harmful request until it is quarantined, and waits until all
  // servers are back.
  void quarantine_harmful() {
    for (int i = 0; i < 30 && !is_quarantined(1); ++i) {
      send_load(milliseconds(500), {harmful_request()});
    }
    REQUIRE(is_quarantined(1));
    run_event_loop(std::chrono::milliseconds(2500));
  }

  // The response to one more request.
  std::string response_to(const sent_request& request) {
    send(request);
    const auto& result = *results.back();
    REQUIRE(wait_until([&] { return result.is_over; }));
    return result.received;
  }

  // Time of the third end, after which three more requests may reach servers.
  [[nodiscard]] time_point third_end() const {
    const auto all = ends();
    REQUIRE(all.size() >= 3);
    return all[2];
  }
};

} // namespace marigoldstep::control::test
