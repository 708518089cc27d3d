#pragma once

#include "stand_in/prefix_cache.h"

#include <array>

namespace marigoldstep::stand_in {

struct engine_settings {
  std::uint32_t slots = 16;
  double tokens_per_second = 400; // for a single running request
  // Fraction by which each further running request lengthens a decoding step.
  double slowdown_per_request = 0.03;
  double prefill_tokens_per_second = 20'000;
  std::uint64_t cache_tokens = 400'000;

  friend bool operator==(const engine_settings&, const engine_settings&) = default;
};

struct engine_request {
  std::uint64_t id = 0;
  priority urgency = priority::short_call;
  std::vector<prefix_block> prompt;
  prefix_block response;
};

struct running_request {
  engine_request request;
  token_usage usage;
  double prefill_left_s = 0;
  double tokens_done = 0;
};

// Simulates a model engine with continuous batching: a fixed number of slots, a waiting
// queue per priority, a prefix cache, and a token rate per request that falls with the
// number of running requests.
struct engine_model {
  engine_settings settings;
  prefix_cache cache;
  double slow_factor = 1; // factor on all processing times; above 1 is slower
  time_point updated_at{};
  std::vector<running_request> running;
  std::array<std::deque<engine_request>, 2> waiting; // by priority
};

engine_model make_engine_model(const engine_settings& settings, time_point now);

void submit(engine_model& model, engine_request request, time_point now);

// Removes a running or waiting request at once. Unknown ids are ignored.
void cancel(engine_model& model, std::uint64_t id, time_point now);

struct engine_progress {
  std::uint64_t id = 0;
  std::uint32_t tokens_ready = 0;
  bool finished = false;
  token_usage usage;
};

// Advances the simulation to now. Returns the progress of each request that was running,
// including those that have finished.
std::vector<engine_progress> advance(engine_model& model, time_point now);

std::uint32_t waiting_count(const engine_model& model);

} // namespace marigoldstep::stand_in
