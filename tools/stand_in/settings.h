#pragma once

#include "marigoldstep/io/control_client.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/yaml_reader.h"
#include "stand_in/engine_model.h"

namespace marigoldstep::stand_in {

enum class stand_in_mode { engine, service };

struct stand_in_settings {
  std::string node_id;
  io::endpoint listen;
  stand_in_mode mode = stand_in_mode::engine;
  io::log_level log_level = io::log_level::info;
  std::string log_file; // empty: standard error

  // Engines.
  std::vector<std::string> models; // empty: every model
  engine_settings engine;
  milliseconds tick{5};           // interval between writes of new tokens
  milliseconds load_lag{500};     // age of the load that /load reports
  milliseconds event_delay{1000}; // age at which /events reports a cache event
  double event_loss = 0.05;       // share of cache events that are never reported
  bool checks_fencing = true;     // refuses orders with a stale fencing token

  // Services.
  milliseconds call_duration{5}; // time from a call to its response
};

stand_in_settings parse_stand_in_settings(yaml_mapping& map);

} // namespace marigoldstep::stand_in
