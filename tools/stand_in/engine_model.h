#pragma once

#include "stand_in/prefix_cache.h"

#include <array>

namespace marigoldstep::stand_in {

struct engine_settings {
  std::uint32_t slots = 16;
  double tokens_per_second = 400; // of one request that runs alone
  // Each further running request makes a step of the batch this much longer.
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

// A model engine with continuous batching: a fixed number of slots, requests
// waiting by priority, a prefix cache, and a token rate that falls with the
// number of running requests.
struct engine_model {
  engine_settings settings;
  prefix_cache cache;
  double slow_factor = 1; // above 1: everything takes this many times longer
  time_point updated_at{};
  std::vector<running_request> running;
  std::array<std::deque<engine_request>, 2> waiting; // by priority
};

engine_model make_engine_model(const engine_settings& settings, time_point now);

void submit(engine_model& model, engine_request request, time_point now);

// Frees the slot or the place in the queue at once. Unknown ids are ignored.
void cancel(engine_model& model, std::uint64_t id, time_point now);

struct engine_progress {
  std::uint64_t id = 0;
  std::uint32_t tokens_ready = 0;
  bool finished = false;
  token_usage usage;
};

// Moves the model to now and tells how far each running request has come,
// finished ones included.
std::vector<engine_progress> advance(engine_model& model, time_point now);

std::uint32_t waiting_count(const engine_model& model);

} // namespace marigoldstep::stand_in
