#pragma once

#include "marigoldstep/configuration.h"
#include "marigoldstep/io/control_client.h"

namespace marigoldstep::load {

// Load for one plain service.
struct service_load {
  std::string name;
  std::string path = "/bookings";
  std::uint32_t calls = 0;        // POST calls with an idempotency key
  std::uint32_t lookups = 0;      // GET calls
  std::vector<io::endpoint> runs; // stand-ins that count the calls that ran
  std::vector<io::endpoint> direct_targets;
};

struct workspace_load {
  std::string name;
  std::uint32_t weight = 1;
  std::vector<std::string> models;
};

struct resend_policy {
  std::uint32_t max_sends = 6; // per request, including the first
  milliseconds pause{150};     // mean delay before a resend; Retry-After can extend it
  // Share of the calls that are not resent after "not run", so that the services' run
  // counts can confirm that they did not run.
  double keep_not_run_share = 0.5;
};

struct load_settings {
  std::vector<io::endpoint> targets;
  bool direct = false; // targets are engines, called without routers and agents
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
  milliseconds median_pause{1500}; // between the turns of a chat
  milliseconds max_pause{20'000};
  std::uint32_t concurrency = 64;
  milliseconds start_window{10'000};  // first turns and calls start within it
  milliseconds run_limit{60'000};     // no request is sent for the first time after it
  milliseconds idle_timeout{15'000};  // an exchange fails after this time without a byte
  std::uint32_t rechecked_calls = 20; // completed calls that are resent at the end
  std::uint64_t seed = 1;
  bool json = false;
};

load_settings parse_load_settings(yaml_mapping& map);

} // namespace marigoldstep::load
