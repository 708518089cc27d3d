#include "placement_model.h"

#include "model_state.h"

#include <algorithm>

namespace marigoldstep::bench {

namespace detail {

model::model(const model_size& size, const timeline& churn, policy rule,
             std::uint64_t seed)
    : size_(size), churn_(churn), rule_(rule), random_(seed) {
  warm_from_ = time_point(size.modelled * 4 / 10);
  const auto capacity = static_cast<std::uint64_t>(size.cache_tokens / size.time_scale);
  engines_.assign(churn.engines, engine(capacity));
  for (std::uint32_t i = 0; i < churn.engines; ++i) {
    engines_[i].reachable = i < size.engines;
    count_live(engines_[i], 1);
    engines_[i].mean_lag = duration(static_cast<long>(unit() * longest_mean_lag.count()));
  }
  routers_.resize(size.routers);
  for (auto& it : routers_) {
    it.view_lag = duration(static_cast<long>(unit() * longest_view_lag.count()));
    it.seen.resize(churn.engines);
  }
  double sum = 0;
  for (const double share : workspace_shares(size.workspaces)) {
    const auto index = cumulative_share_.size();
    cumulative_share_.push_back(sum += share);
    workspace_keys_.push_back(stable_hash("workspace-" + std::to_string(index)));
    workspace_spread_.push_back(recommended_spread(share, size.engines));
    system_tokens_.push_back(
        system_tokens_low +
        static_cast<std::uint32_t>(unit() * (system_tokens_high - system_tokens_low)));
    // The surge comes from a workspace of about 1% of the traffic.
    if (share >= 0.01 || index == 0) {
      surging_workspace_ = static_cast<std::uint32_t>(index);
    }
  }
}

double model::true_mean() const {
  return live_ == 0 ? 0 : static_cast<double>(live_load_) / live_;
}

void model::count_live(const engine& it, int sign) {
  if (it.reachable && !it.leaving) {
    live_load_ += sign * static_cast<std::int64_t>(it.load);
    live_ += sign;
  }
}

void model::apply_churn() {
  for (; next_change_ < churn_.changes.size() && churn_.changes[next_change_].at <= now_;
       ++next_change_) {
    const auto& change = churn_.changes[next_change_];
    auto& it = engines_[change.engine];
    count_live(it, -1);
    it.reachable = change.reachable;
    it.leaving = change.leaving;
    if (change.cache_lost) {
      it.cache.clear();
      it.load = 0;
      ++it.epoch;
    }
    count_live(it, 1);
  }
}

void model::sample() {
  const double mean = true_mean();
  // The fleet has run for long before the model starts; agents know its mean load.
  const double expected =
      size_.requests_per_s * size_.answer_tokens * token_ms / 1000 / size_.engines;
  means_.push_front(now_ < time_point(startup_time) ? std::max(mean, expected) : mean);
  means_.resize(
      std::min<std::size_t>(means_.size(), longest_mean_lag / sample_interval + 1));
  if (rule_ == policy::least_loaded_lagging) {
    auto& loads = past_loads_.emplace_front();
    for (const auto& it : engines_) {
      loads.push_back(it.load);
    }
    past_loads_.resize(std::min<std::size_t>(past_loads_.size(),
                                             longest_mean_lag / sample_interval + 1));
  }
  if (!warm() || mean <= 0 || now_.time_since_epoch() % skew_interval != duration(0)) {
    return;
  }
  for (const auto& it : engines_) {
    if (it.reachable && !it.leaving) {
      skews_.push_back(it.load / mean);
    }
  }
}

std::uint32_t model::limit_of(std::uint32_t at) const {
  return load_limit(limits_, mean_known(at));
}

// The pool's mean load, in thousandths, as last acknowledged to the engine's agent.
std::uint32_t model::mean_known(std::uint32_t at) const {
  const auto lag = static_cast<std::size_t>(engines_[at].mean_lag / sample_interval);
  const double mean = means_.empty() ? 0 : means_[std::min(lag, means_.size() - 1)];
  return static_cast<std::uint32_t>(mean * 1000);
}

std::uint32_t model::random_workspace() {
  const auto it =
      std::upper_bound(cumulative_share_.begin(), cumulative_share_.end(), unit());
  return static_cast<std::uint32_t>(
      std::min<std::ptrdiff_t>(it - cumulative_share_.begin(), size_.workspaces - 1));
}

std::uint32_t model::new_chat(std::uint32_t workspace) {
  chat it;
  it.workspace = workspace;
  it.key =
      stable_hash("chat-" + std::to_string(chats_.size()), workspace_keys_[workspace]);
  it.history = first_message_tokens;
  chats_.push_back(it);
  return static_cast<std::uint32_t>(chats_.size() - 1);
}

const placement_table& model::view_of(const router& it) const {
  const auto seen_at = now_ - it.view_lag;
  auto after =
      std::upper_bound(churn_.views.begin(), churn_.views.end(), seen_at,
                       [](time_point at, const auto& view) { return at < view.at; });
  return after == churn_.views.begin() ? *after->table : *std::prev(after)->table;
}

std::uint32_t model::cached_tokens(const chat& it, std::uint32_t at) const {
  const auto& cache = engines_[at].cache;
  const auto system = cache.find(workspace_keys_[it.workspace]);
  return system == 0 ? 0 : system + std::min(cache.find(it.key), it.history);
}

bool model::try_engine(std::uint32_t router_index, std::uint32_t chat_index,
                       std::uint32_t at, const attempt_condition& condition) {
  auto& it = engines_[at];
  auto& seen = routers_[router_index].seen[at];
  if (!it.reachable) {
    unreachable_ += warm() ? 1 : 0;
    seen.avoid_until = now_ + circuit_time;
    tried_.push_back(at);
    return false;
  }
  const auto limit = limit_of(at);
  seen = {it.load, 0,  limit, static_cast<std::uint32_t>(means_.front() * 1000),
          now_,    {}, false};
  if (it.leaving || it.load + 1 > limit) {
    refusals_ += warm() ? 1 : 0;
    seen.avoid_until = now_ + refusal_hint;
    tried_.push_back(at);
    return false;
  }
  const bool cached = it.cache.find(chats_[chat_index].key) > 0;
  if (!meets_condition(condition, cached, it.load, mean_known(at))) {
    conditional_ += warm() ? 1 : 0;
    return false;
  }
  admit(router_index, chat_index, at);
  return true;
}

void model::admit(std::uint32_t router_index, std::uint32_t chat_index,
                  std::uint32_t at) {
  auto& it = engines_[at];
  auto& talk = chats_[chat_index];
  const auto system = system_tokens_[talk.workspace];
  const auto found = cached_tokens(talk, at);
  // A returning chat's new message cannot have been cached anywhere.
  const auto possible = system + talk.history;
  if (warm()) {
    ++result_.requests;
    wanted_tokens_ += talk.returning ? possible : 0;
    found_tokens_ += talk.returning ? found : 0;
  }
  add_load(it, 1);
  if (warm()) {
    const double floor = limits_.load_floor;
    const double bound = std::max(floor, std::floor(limits_.load_multiple * true_mean()));
    result_.bound_acknowledged =
        std::max(result_.bound_acknowledged, static_cast<double>(it.load) / limit_of(at));
    result_.bound_true = std::max(result_.bound_true, it.load / bound);
  }
  const double answer = 1 + token_count(size_.answer_tokens);
  const double prompt = talk.returning ? message_tokens : 0;
  const double prefill = (possible - found + prompt) / prefill_tokens_per_ms;
  talk.history += static_cast<std::uint32_t>(answer + prompt);
  it.cache.store(talk.key, talk.history);
  it.cache.store(workspace_keys_[talk.workspace], system);
  talk.returning = true;
  talk.retries = 0;
  talk.measured_delay = false;
  if (talk.known_engines == 0 || talk.engines[0] != at) {
    std::rotate(talk.engines.begin(), talk.engines.end() - 1, talk.engines.end());
    talk.engines[0] = at;
    talk.known_engines =
        std::min<std::uint32_t>(talk.known_engines + 1, remembered_engines);
  }
  const auto took = duration(static_cast<long>(prefill + answer * token_ms) + 1);
  events_.push(
      {now_ + took, event_kind::completion, chat_index, at, it.epoch, router_index});
}

void model::complete(const event& it) {
  auto& from = engines_[it.engine];
  if (from.epoch == it.epoch) {
    add_load(from, -1);
    if (from.reachable) {
      routers_[it.router].seen[it.engine] = {
          from.load,
          0,
          limit_of(it.engine),
          static_cast<std::uint32_t>(means_.front() * 1000),
          now_,
          {},
          false};
    }
  }
  if (unit() < continue_probability) {
    std::lognormal_distribution<double> pause(std::log(pause_median_ms), pause_sigma);
    const auto wait = duration(static_cast<long>(pause(random_) / size_.time_scale));
    due_.push({now_ + wait, event_kind::arrival, it.chat});
  }
}

bool model::route_by_plan(std::uint32_t router_index, std::uint32_t chat_index,
                          const candidate_list& candidates) {
  const auto plan = plan_attempts(candidates, routers_[router_index].seen,
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
    const int at = pick(router_index, chats_[chat_index], candidates);
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
  if (rule_ == policy::current ? route_by_plan(router_index, chat_index, candidates)
                               : route_by_choice(router_index, chat_index, candidates)) {
    return;
  }
  auto& it = chats_[chat_index];
  if (warm() && !it.measured_delay) {
    ++delayed_;
    it.measured_delay = true;
  }
  if (++it.retries > longest_retries) {
    result_.abandoned += warm() ? 1 : 0;
    return;
  }
  events_.push({now_ + retry_wait, event_kind::arrival, chat_index});
}

void model::handle(const event& it) {
  if (it.kind == event_kind::completion) {
    complete(it);
  } else {
    route(it.chat);
  }
}

model_result model::run() {
  const time_point end(size_.modelled);
  const double surge_share =
      (cumulative_share_[surging_workspace_] -
       (surging_workspace_ == 0 ? 0 : cumulative_share_[surging_workspace_ - 1])) *
      (surge_factor - 1);
  double next_arrival = 0;
  time_point next_sample{};
  while (now_ < end) {
    const auto arrival = time_point(duration(static_cast<long>(next_arrival)));
    const auto next_event = events_.empty() ? end : events_.top().at;
    now_ = std::min({arrival, next_event, next_sample});
    apply_churn();
    if (now_ == next_sample) {
      sample();
      next_sample += sample_interval;
    } else if (now_ == next_event) {
      const auto it = events_.top();
      events_.pop();
      handle(it);
    } else {
      const bool surge = now_ >= churn_.surge_from && now_ < churn_.surge_until;
      const double extra = surge ? surge_share : 0;
      next_arrival += -std::log(1 - unit()) * 1000 / (size_.requests_per_s * (1 + extra));
      if (unit() < extra / (1 + extra)) {
        route(new_chat(surging_workspace_));
      } else if (!due_.empty() && due_.top().at <= now_) {
        const auto it = due_.top();
        due_.pop();
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
  result_.reuse = static_cast<double>(found_tokens_) /
                  static_cast<double>(std::max<std::uint64_t>(wanted_tokens_, 1));
  result_.skew_p50 = quantile(0.5);
  result_.skew_p99 = quantile(0.99);
  result_.skew_largest = quantile(1);
  result_.refusals_per_request = static_cast<double>(refusals_) / requests;
  result_.conditions_per_request = static_cast<double>(conditional_) / requests;
  result_.unreachable_per_request = static_cast<double>(unreachable_) / requests;
  result_.delayed_share = static_cast<double>(delayed_) / requests;
  return result_;
}

} // namespace detail

std::string_view name(policy value) {
  switch (value) {
  case policy::random:
    return "random";
  case policy::least_loaded_replies:
    return "least loaded, from replies";
  case policy::least_loaded_lagging:
    return "least loaded, 2 s old";
  case policy::rendezvous:
    return "plain rendezvous";
  case policy::first_version:
    return "first version";
  case policy::current:
    return "current";
  case policy::full_knowledge:
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

model_result run_model(const model_size& size, const timeline& churn, policy rule,
                       std::uint64_t seed) {
  return detail::model(size, churn, rule, seed).run();
}

} // namespace marigoldstep::bench
