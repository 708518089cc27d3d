#pragma once

#include "marigoldstep/configuration.h"
#include "marigoldstep/io/control_client.h"

namespace marigoldstep::load {

// A plain service that the run calls.
struct service_load {
  std::string name;
  std::string path = "/bookings";
  std::uint32_t calls = 0;        // POST calls with an idempotency key
  std::uint32_t lookups = 0;      // GET calls
  std::vector<io::endpoint> runs; // stand-ins that tell which calls ran
  std::vector<io::endpoint> direct_targets;
};

struct workspace_load {
  std::string name;
  std::uint32_t weight = 1;
  std::vector<std::string> models;
};

struct resend_policy {
  std::uint32_t max_sends = 6; // of one request, the first included
  duration pause{150};         // before a send that no hint delays longer
  // Share of the calls told "not run" that are not sent again, so that the
  // services' counts can prove the promise.
  double keep_not_run_share = 0.5;
};

struct load_settings {
  std::vector<io::endpoint> targets;
  bool direct = false; // targets are engines, called without router and agent
  std::vector<io::endpoint> direct_targets;
  double direct_share = 0; // share of the chats sent to direct_targets
  std::vector<workspace_load> workspaces;
  std::vector<service_load> services;
  resend_policy resend;

  std::uint32_t chats = 100;
  std::uint32_t turns = 3;
  std::uint32_t response_tokens = 24;
  std::uint32_t system_tokens = 200;
  std::uint32_t message_tokens = 30;
  double stream_share = 0.5;
  double patient_share = 0.2;
  duration median_pause{1500}; // between the turns of a chat
  duration max_pause{20'000};
  std::uint32_t concurrency = 64;
  duration start_window{10'000};      // first turns and calls begin within it
  duration run_limit{60'000};         // nothing is sent for the first time later
  duration idle_timeout{15'000};      // an exchange without a byte this long failed
  std::uint32_t rechecked_calls = 20; // completed calls sent again at the end
  std::uint64_t seed = 1;
  bool json = false;
};

load_settings parse_load_settings(yaml_mapping& map);

} // namespace marigoldstep::load
