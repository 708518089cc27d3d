#pragma once

#include "placement_model.h"
#include "prefix_cache.h"

#include <array>
#include <cmath>
#include <deque>
#include <queue>
#include <random>

// State of the placement model, shared by placement_model.cpp and model_policies.cpp.
namespace marigoldstep::bench::detail {

inline constexpr double zipf_exponent = 1.1;
inline constexpr double continue_probability = 0.85;
inline constexpr double pause_median_ms = 4 * 60'000.0;
inline constexpr double pause_sigma = 1.5; // 95% within 47 min, 1% above 2 h
inline constexpr double ms_per_token = 40;
inline constexpr double prefill_tokens_per_ms = 8;
inline constexpr std::uint32_t min_system_tokens = 200;
inline constexpr std::uint32_t max_system_tokens = 1000;
inline constexpr std::uint32_t message_tokens = 200;
inline constexpr std::uint32_t first_message_tokens = 600;
inline constexpr double surge_factor = 20;
inline constexpr auto sample_interval = milliseconds(100);
inline constexpr auto skew_interval = milliseconds(1000);
inline constexpr auto startup_time = milliseconds(30'000);
inline constexpr auto max_mean_lag = milliseconds(2000);
inline constexpr auto refusal_backoff = milliseconds(250);
inline constexpr auto circuit_open_time = milliseconds(2000);
inline constexpr auto retry_delay = milliseconds(200);
inline constexpr auto max_view_lag = milliseconds(3000);
inline constexpr std::uint32_t max_retries = 50; // 10 s at retry_delay
inline constexpr std::size_t max_known_engines = 4;

struct chat {
  std::uint64_t key = 0;
  std::uint32_t workspace = 0;
  std::uint32_t history_tokens = 0; // tokens after the system prompt
  std::uint32_t retries = 0;
  bool returning = false;
  bool delay_counted = false;
  // Engines that served the chat, newest first.
  std::array<std::uint32_t, max_known_engines> engines{};
  std::uint32_t known_engines = 0;
};

struct engine {
  explicit engine(std::uint64_t cache_tokens) : cache(cache_tokens) {}
  std::uint32_t load = 0;
  std::uint32_t epoch = 0;
  bool reachable = true;
  bool leaving = false;
  milliseconds mean_lag{};
  prefix_cache cache;
};

struct router {
  milliseconds view_lag{};
  std::vector<server_observation> observations;
};

enum class event_kind : std::uint8_t { completion, arrival };

struct event {
  time_point at{};
  event_kind kind = event_kind::arrival;
  std::uint32_t chat = 0;
  std::uint32_t engine = 0;
  std::uint32_t epoch = 0;
  std::uint32_t router = 0;

  bool operator<(const event& other) const { return at > other.at; }
};

class model {
public:
  model(const model_size& size, const timeline& churn, placement_policy policy,
        std::uint64_t seed);
  model_result run();

private:
  void apply_churn();
  void sample_loads();
  void handle_event(const event& it);
  void handle_completion(const event& it);
  void route(std::uint32_t chat_index);
  bool try_engine(std::uint32_t router_index, std::uint32_t chat_index, std::uint32_t at,
                  const attempt_condition& condition);
  bool route_by_plan(std::uint32_t router_index, std::uint32_t chat_index,
                     const candidate_list& candidates);
  bool route_by_choice(std::uint32_t router_index, std::uint32_t chat_index,
                       const candidate_list& candidates);
  void admit(std::uint32_t router_index, std::uint32_t chat_index, std::uint32_t at);
  std::uint32_t cached_tokens(const chat& it, std::uint32_t at) const;
  int pick_engine(std::uint32_t router_index, const chat& it,
                  const candidate_list& candidates);
  int pick_random();
  template <typename Load> int pick_least_loaded(Load load);
  int pick_cached(const chat& it);
  candidate_list candidates_for(std::uint32_t router_index, const chat& it);
  const placement_table& placement_view(const router& it) const;
  std::uint32_t new_chat(std::uint32_t workspace);
  std::uint32_t random_workspace();
  double true_mean() const;
  void update_live_totals(const engine& it, int sign);
  void add_load(engine& it, int change) {
    update_live_totals(it, -1);
    it.load += change;
    update_live_totals(it, 1);
  }
  std::uint32_t engine_load_limit(std::uint32_t at) const;
  std::uint32_t acknowledged_mean_milli(std::uint32_t at) const;
  double random_unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  double random_token_count(double mean) {
    return -mean * std::log(1 - random_unit() * 0.999);
  }
  bool is_measuring() const { return now_ >= measure_from_; }
  bool tried(std::uint32_t at) const {
    return std::find(tried_.begin(), tried_.end(), at) != tried_.end();
  }

  const model_size& size_;
  const timeline& churn_;
  placement_policy policy_;
  std::mt19937_64 random_;
  limit_settings limits_;
  std::vector<engine> engines_;
  std::vector<router> routers_;
  std::vector<chat> chats_;
  std::vector<double> cumulative_share_;
  std::vector<std::uint64_t> workspace_keys_;
  std::vector<std::uint32_t> workspace_spread_;
  std::vector<std::uint32_t> system_tokens_;
  std::priority_queue<event> events_;
  std::priority_queue<event> returning_chats_; // chats waiting for their next turn
  std::deque<double> past_means_;              // true mean loads, newest first
  std::deque<std::vector<std::uint32_t>> past_loads_;
  std::vector<std::uint32_t> tried_;
  std::vector<double> skews_;
  std::size_t next_change_ = 0;
  std::int64_t live_load_ = 0;
  std::int64_t live_engines_ = 0;
  std::uint32_t surging_workspace_ = 0;
  time_point now_{};
  time_point measure_from_{};
  std::uint64_t reusable_tokens_ = 0;
  std::uint64_t reused_tokens_ = 0;
  std::uint64_t refusals_ = 0;
  std::uint64_t unmet_conditions_ = 0;
  std::uint64_t unreachable_ = 0;
  std::uint64_t delayed_ = 0;
  model_result result_;
};

} // namespace marigoldstep::bench::detail
