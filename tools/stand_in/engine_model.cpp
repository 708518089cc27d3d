#include "stand_in/engine_model.h"

#include <algorithm>

namespace marigoldstep::stand_in {

namespace {

// Absorbs rounding errors, because tokens are accumulated in fractions.
constexpr double token_tolerance = 1e-6;

bool is_finished(const running_request& it) {
  return it.tokens_done + token_tolerance >= it.request.response.tokens;
}

std::uint32_t sum_tokens(const std::vector<prefix_block>& blocks) {
  std::uint32_t n = 0;
  for (const auto& it : blocks) {
    n += it.tokens;
  }
  return n;
}

void start_next(engine_model& model) {
  auto& queue = model.waiting[0].empty() ? model.waiting[1] : model.waiting[0];
  running_request next;
  next.request = std::move(queue.front());
  queue.pop_front();
  next.usage.prompt_tokens = sum_tokens(next.request.prompt);
  next.usage.cached_tokens = match_prefix(model.cache, next.request.prompt);
  next.usage.completion_tokens = next.request.response.tokens;
  const auto uncached = next.usage.prompt_tokens - next.usage.cached_tokens;
  next.prefill_left_s = uncached / model.settings.prefill_tokens_per_second;
  model.running.push_back(std::move(next));
}

void fill_slots(engine_model& model) {
  while (model.running.size() < model.settings.slots && waiting_count(model) > 0) {
    start_next(model);
  }
}

void advance_request(running_request& it, double seconds, double rate) {
  const auto prefill = std::min(seconds, it.prefill_left_s);
  it.prefill_left_s -= prefill;
  it.tokens_done += (seconds - prefill) * rate;
}

engine_progress make_progress(const running_request& it) {
  engine_progress out;
  out.id = it.request.id;
  out.usage = it.usage;
  const auto total_tokens = it.request.response.tokens;
  out.finished = is_finished(it);
  out.tokens_ready =
      out.finished ? total_tokens : static_cast<std::uint32_t>(it.tokens_done);
  return out;
}

void cache_finished_request(engine_model& model, running_request& it, time_point now) {
  auto prefix = std::move(it.request.prompt);
  prefix.push_back(it.request.response);
  store_prefix(model.cache, prefix, now);
}

} // namespace

engine_model make_engine_model(const engine_settings& settings, time_point now) {
  engine_model out;
  out.settings = settings;
  out.cache.capacity_tokens = settings.cache_tokens;
  out.updated_at = now;
  return out;
}

std::uint32_t waiting_count(const engine_model& model) {
  return static_cast<std::uint32_t>(model.waiting[0].size() + model.waiting[1].size());
}

void submit(engine_model& model, engine_request request, time_point now) {
  if (model.running.empty()) {
    model.updated_at = now; // idle time must not advance the new request
  }
  const std::size_t queue = request.urgency == priority::short_call ? 0 : 1;
  model.waiting[queue].push_back(std::move(request));
  fill_slots(model);
}

void cancel(engine_model& model, std::uint64_t id, time_point now) {
  std::erase_if(model.running, [id](const auto& it) { return it.request.id == id; });
  for (auto& queue : model.waiting) {
    std::erase_if(queue, [id](const auto& it) { return it.id == id; });
  }
  if (model.running.empty()) {
    model.updated_at = now;
  }
  fill_slots(model);
}

std::vector<engine_progress> advance(engine_model& model, time_point now) {
  const auto elapsed = std::chrono::duration<double>(now - model.updated_at).count();
  model.updated_at = now;
  const auto others = static_cast<double>(model.running.size()) - 1;
  const auto rate = model.settings.tokens_per_second /
                    (1 + std::max(0.0, others) * model.settings.slowdown_per_request);
  std::vector<engine_progress> out;
  for (auto& it : model.running) {
    advance_request(it, elapsed / model.slow_factor, rate);
    out.push_back(make_progress(it));
    if (out.back().finished) {
      cache_finished_request(model, it, now);
    }
  }
  std::erase_if(model.running, is_finished);
  fill_slots(model);
  return out;
}

} // namespace marigoldstep::stand_in
