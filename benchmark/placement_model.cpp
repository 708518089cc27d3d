#include "placement_model.h"

#include "model_state.h"

#include <algorithm>

namespace marigoldstep::bench {

namespace detail {

model::model(const model_size& size, const timeline& churn, placement_policy policy,
             std::uint64_t seed)
    : size_(size), churn_(churn), policy_(policy), random_(seed) {
  measure_from_ = time_point(size.simulated_time * 4 / 10);
  const auto capacity = static_cast<std::uint64_t>(size.cache_tokens / size.time_scale);
  engines_.assign(churn.engines, engine(capacity));
  for (std::uint32_t i = 0; i < churn.engines; ++i) {
    engines_[i].reachable = i < size.engines;
    update_live_totals(engines_[i], 1);
    engines_[i].mean_lag =
        milliseconds(static_cast<long>(random_unit() * max_mean_lag.count()));
  }
  routers_.resize(size.routers);
  for (auto& it : routers_) {
    it.view_lag = milliseconds(static_cast<long>(random_unit() * max_view_lag.count()));
    it.observations.resize(churn.engines);
  }
  double sum = 0;
  for (const double share : workspace_shares(size.workspaces)) {
    const auto index = cumulative_share_.size();
    cumulative_share_.push_back(sum += share);
    workspace_keys_.push_back(stable_hash("workspace-" + std::to_string(index)));
    workspace_spread_.push_back(recommended_spread(share, size.engines));
    system_tokens_.push_back(
        min_system_tokens + static_cast<std::uint32_t>(
                                random_unit() * (max_system_tokens - min_system_tokens)));
    // The surge comes from the smallest workspace with at least 1% of the traffic.
    if (share >= 0.01 || index == 0) {
      surging_workspace_ = static_cast<std::uint32_t>(index);
    }
  }
}

double model::true_mean() const {
  return live_engines_ == 0 ? 0 : static_cast<double>(live_load_) / live_engines_;
}

void model::update_live_totals(const engine& it, int sign) {
  if (it.reachable && !it.leaving) {
    live_load_ += sign * static_cast<std::int64_t>(it.load);
    live_engines_ += sign;
  }
}

void model::apply_churn() {
  for (; next_change_ < churn_.changes.size() && churn_.changes[next_change_].at <= now_;
       ++next_change_) {
    const auto& change = churn_.changes[next_change_];
    auto& it = engines_[change.engine];
    update_live_totals(it, -1);
    it.reachable = change.reachable;
    it.leaving = change.leaving;
    if (change.cache_lost) {
      it.cache.clear();
      it.load = 0;
      ++it.epoch;
    }
    update_live_totals(it, 1);
  }
}

void model::sample_loads() {
  const double mean = true_mean();
  // Agents of a running fleet know its mean load; during startup the mean is
  // therefore at least the expected one.
  const double expected =
      size_.requests_per_s * size_.response_tokens * ms_per_token / 1000 / size_.engines;
  past_means_.push_front(now_ < time_point(startup_time) ? std::max(mean, expected)
                                                         : mean);
  past_means_.resize(
      std::min<std::size_t>(past_means_.size(), max_mean_lag / sample_interval + 1));
  if (policy_ == placement_policy::least_loaded_lagging) {
    auto& loads = past_loads_.emplace_front();
    for (const auto& it : engines_) {
      loads.push_back(it.load);
    }
    past_loads_.resize(
        std::min<std::size_t>(past_loads_.size(), max_mean_lag / sample_interval + 1));
  }
  if (!is_measuring() || mean <= 0 ||
      now_.time_since_epoch() % skew_interval != milliseconds(0)) {
    return;
  }
  for (const auto& it : engines_) {
    if (it.reachable && !it.leaving) {
      skews_.push_back(it.load / mean);
    }
  }
}

std::uint32_t model::engine_load_limit(std::uint32_t at) const {
  return load_limit(limits_, acknowledged_mean_milli(at));
}

// The pool's mean load, in thousandths, as last acknowledged to the engine's agent.
std::uint32_t model::acknowledged_mean_milli(std::uint32_t at) const {
  const auto lag = static_cast<std::size_t>(engines_[at].mean_lag / sample_interval);
  const double mean =
      past_means_.empty() ? 0 : past_means_[std::min(lag, past_means_.size() - 1)];
  return static_cast<std::uint32_t>(mean * 1000);
}

std::uint32_t model::random_workspace() {
  const auto it =
      std::upper_bound(cumulative_share_.begin(), cumulative_share_.end(), random_unit());
  return static_cast<std::uint32_t>(
      std::min<std::ptrdiff_t>(it - cumulative_share_.begin(), size_.workspaces - 1));
}

std::uint32_t model::new_chat(std::uint32_t workspace) {
  chat it;
  it.workspace = workspace;
  it.key =
      stable_hash("chat-" + std::to_string(chats_.size()), workspace_keys_[workspace]);
  it.history_tokens = first_message_tokens;
  chats_.push_back(it);
  return static_cast<std::uint32_t>(chats_.size() - 1);
}

const placement_table& model::placement_view(const router& it) const {
  const auto seen_at = now_ - it.view_lag;
  auto after =
      std::upper_bound(churn_.views.begin(), churn_.views.end(), seen_at,
                       [](time_point at, const auto& view) { return at < view.at; });
  return after == churn_.views.begin() ? *after->table : *std::prev(after)->table;
}

std::uint32_t model::cached_tokens(const chat& it, std::uint32_t at) const {
  const auto& cache = engines_[at].cache;
  const auto system = cache.find(workspace_keys_[it.workspace]);
  return system == 0 ? 0 : system + std::min(cache.find(it.key), it.history_tokens);
}

bool model::try_engine(std::uint32_t router_index, std::uint32_t chat_index,
                       std::uint32_t at, const attempt_condition& condition) {
  auto& it = engines_[at];
  auto& observation = routers_[router_index].observations[at];
  if (!it.reachable) {
    unreachable_ += is_measuring() ? 1 : 0;
    observation.avoid_until = now_ + circuit_open_time;
    tried_.push_back(at);
    return false;
  }
  const auto limit = engine_load_limit(at);
  observation = {
      it.load, 0,  limit, static_cast<std::uint32_t>(past_means_.front() * 1000),
      now_,    {}, false};
  if (it.leaving || it.load + 1 > limit) {
    refusals_ += is_measuring() ? 1 : 0;
    observation.avoid_until = now_ + refusal_backoff;
    tried_.push_back(at);
    return false;
  }
  const bool cached = it.cache.find(chats_[chat_index].key) > 0;
  if (!meets_condition(condition, cached, it.load, acknowledged_mean_milli(at))) {
    unmet_conditions_ += is_measuring() ? 1 : 0;
    return false;
  }
  admit(router_index, chat_index, at);
  return true;
}

void model::admit(std::uint32_t router_index, std::uint32_t chat_index,
                  std::uint32_t at) {
  auto& it = engines_[at];
  auto& current_chat = chats_[chat_index];
  const auto system = system_tokens_[current_chat.workspace];
  const auto found = cached_tokens(current_chat, at);
  // Only these tokens can be cached; the new message of a returning chat cannot.
  const auto prefix_tokens = system + current_chat.history_tokens;
  if (is_measuring()) {
    ++result_.requests;
    reusable_tokens_ += current_chat.returning ? prefix_tokens : 0;
    reused_tokens_ += current_chat.returning ? found : 0;
  }
  add_load(it, 1);
  if (is_measuring()) {
    const double floor = limits_.load_floor;
    const double bound = std::max(floor, std::floor(limits_.load_multiple * true_mean()));
    result_.bound_acknowledged = std::max(
        result_.bound_acknowledged, static_cast<double>(it.load) / engine_load_limit(at));
    result_.bound_true = std::max(result_.bound_true, it.load / bound);
  }
  const double generated_tokens = 1 + random_token_count(size_.response_tokens);
  const double new_message_tokens = current_chat.returning ? message_tokens : 0;
  const double prefill_ms =
      (prefix_tokens - found + new_message_tokens) / prefill_tokens_per_ms;
  current_chat.history_tokens +=
      static_cast<std::uint32_t>(generated_tokens + new_message_tokens);
  it.cache.store(current_chat.key, current_chat.history_tokens);
  it.cache.store(workspace_keys_[current_chat.workspace], system);
  current_chat.returning = true;
  current_chat.retries = 0;
  current_chat.delay_counted = false;
  if (current_chat.known_engines == 0 || current_chat.engines[0] != at) {
    std::rotate(current_chat.engines.begin(), current_chat.engines.end() - 1,
                current_chat.engines.end());
    current_chat.engines[0] = at;
    current_chat.known_engines =
        std::min<std::uint32_t>(current_chat.known_engines + 1, max_known_engines);
  }
  const auto service_time =
      milliseconds(static_cast<long>(prefill_ms + generated_tokens * ms_per_token) + 1);
  events_.push({now_ + service_time, event_kind::completion, chat_index, at, it.epoch,
                router_index});
}

void model::handle_completion(const event& it) {
  auto& from = engines_[it.engine];
  if (from.epoch == it.epoch) {
    add_load(from, -1);
    if (from.reachable) {
      routers_[it.router].observations[it.engine] = {
          from.load,
          0,
          engine_load_limit(it.engine),
          static_cast<std::uint32_t>(past_means_.front() * 1000),
          now_,
          {},
          false};
    }
  }
  if (random_unit() < continue_probability) {
    std::lognormal_distribution<double> pause(std::log(pause_median_ms), pause_sigma);
    const auto wait = milliseconds(static_cast<long>(pause(random_) / size_.time_scale));
    returning_chats_.push({now_ + wait, event_kind::arrival, it.chat});
  }
}

bool model::route_by_plan(std::uint32_t router_index, std::uint32_t chat_index,
                          const candidate_list& candidates) {
  const auto plan = plan_attempts(candidates, routers_[router_index].observations,
                                  chats_[chat_index].returning, size_.reuse_bias, now_);
  for (std::size_t i = 0; i < plan.count; ++i) {
    const auto& step = plan.steps[i];
    if (!tried(step.server) &&
        try_engine(router_index, chat_index, step.server, step.condition)) {
      return true;
    }
  }
  return false;
}

bool model::route_by_choice(std::uint32_t router_index, std::uint32_t chat_index,
                            const candidate_list& candidates) {
  while (tried_.size() < max_candidates) {
    const int at = pick_engine(router_index, chats_[chat_index], candidates);
    if (at < 0) {
      return false;
    }
    if (try_engine(router_index, chat_index, static_cast<std::uint32_t>(at), {})) {
      return true;
    }
  }
  return false;
}

void model::route(std::uint32_t chat_index) {
  tried_.clear();
  const auto router_index =
      std::uniform_int_distribution<std::uint32_t>(0, size_.routers - 1)(random_);
  const auto candidates = candidates_for(router_index, chats_[chat_index]);
  if (policy_ == placement_policy::current
          ? route_by_plan(router_index, chat_index, candidates)
          : route_by_choice(router_index, chat_index, candidates)) {
    return;
  }
  auto& it = chats_[chat_index];
  if (is_measuring() && !it.delay_counted) {
    ++delayed_;
    it.delay_counted = true;
  }
  if (++it.retries > max_retries) {
    result_.abandoned += is_measuring() ? 1 : 0;
    return;
  }
  events_.push({now_ + retry_delay, event_kind::arrival, chat_index});
}

void model::handle_event(const event& it) {
  if (it.kind == event_kind::completion) {
    handle_completion(it);
  } else {
    route(it.chat);
  }
}

model_result model::run() {
  const time_point end(size_.simulated_time);
  const double surge_share =
      (cumulative_share_[surging_workspace_] -
       (surging_workspace_ == 0 ? 0 : cumulative_share_[surging_workspace_ - 1])) *
      (surge_factor - 1);
  double next_arrival = 0;
  time_point next_sample{};
  while (now_ < end) {
    const auto arrival = time_point(milliseconds(static_cast<long>(next_arrival)));
    const auto next_event = events_.empty() ? end : events_.top().at;
    now_ = std::min({arrival, next_event, next_sample});
    apply_churn();
    if (now_ == next_sample) {
      sample_loads();
      next_sample += sample_interval;
    } else if (now_ == next_event) {
      const auto it = events_.top();
      events_.pop();
      handle_event(it);
    } else {
      const bool surge = now_ >= churn_.surge_from && now_ < churn_.surge_until;
      const double extra = surge ? surge_share : 0;
      next_arrival +=
          -std::log(1 - random_unit()) * 1000 / (size_.requests_per_s * (1 + extra));
      if (random_unit() < extra / (1 + extra)) {
        route(new_chat(surging_workspace_));
      } else if (!returning_chats_.empty() && returning_chats_.top().at <= now_) {
        const auto it = returning_chats_.top();
        returning_chats_.pop();
        route(it.chat);
      } else {
        route(new_chat(random_workspace()));
      }
    }
  }
  const auto quantile = [this](double q) {
    const auto at =
        static_cast<std::ptrdiff_t>(q * static_cast<double>(skews_.size() - 1));
    std::nth_element(skews_.begin(), skews_.begin() + at, skews_.end());
    return skews_[static_cast<std::size_t>(at)];
  };
  const auto requests = static_cast<double>(std::max<std::uint64_t>(result_.requests, 1));
  result_.reuse = static_cast<double>(reused_tokens_) /
                  static_cast<double>(std::max<std::uint64_t>(reusable_tokens_, 1));
  result_.skew_p50 = quantile(0.5);
  result_.skew_p99 = quantile(0.99);
  result_.skew_largest = quantile(1);
  result_.refusals_per_request = static_cast<double>(refusals_) / requests;
  result_.conditions_per_request = static_cast<double>(unmet_conditions_) / requests;
  result_.unreachable_per_request = static_cast<double>(unreachable_) / requests;
  result_.delayed_share = static_cast<double>(delayed_) / requests;
  return result_;
}

} // namespace detail

std::string_view name(placement_policy value) {
  switch (value) {
  case placement_policy::random:
    return "random";
  case placement_policy::least_loaded_replies:
    return "least loaded, from replies";
  case placement_policy::least_loaded_lagging:
    return "least loaded, 2 s old";
  case placement_policy::rendezvous:
    return "plain rendezvous";
  case placement_policy::first_version:
    return "first version";
  case placement_policy::current:
    return "current";
  case placement_policy::full_knowledge:
    return "full knowledge";
  }
  return "";
}

std::vector<double> workspace_shares(std::uint32_t workspaces) {
  std::vector<double> out;
  double sum = 0;
  for (std::uint32_t i = 0; i < workspaces; ++i) {
    out.push_back(std::pow(i + 1.0, -detail::zipf_exponent));
    sum += out.back();
  }
  for (auto& it : out) {
    it /= sum;
  }
  return out;
}

model_result run_model(const model_size& size, const timeline& churn,
                       placement_policy policy, std::uint64_t seed) {
  return detail::model(size, churn, policy, seed).run();
}

} // namespace marigoldstep::bench
