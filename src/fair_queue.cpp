#include "marigoldstep/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace marigoldstep {

namespace {

using detail::queue_flow;
using detail::queue_lane;

constexpr std::int64_t deficit_per_cost_unit = 1'000'000;
// Weight of the newest sample in the moving average.
constexpr double sample_weight = 0.125;
// With fewer samples, the estimate is too uncertain to refuse work.
constexpr std::uint32_t min_samples = 8;
constexpr std::uint32_t full_percent = 100;

queue_lane& lane_of(fair_queue& queue, priority lane) {
  return queue.lanes.at(static_cast<std::size_t>(lane));
}

const queue_lane& lane_of(const fair_queue& queue, priority lane) {
  return queue.lanes.at(static_cast<std::size_t>(lane));
}

std::uint32_t weight_of(const fair_queue& queue, std::string_view workspace) {
  const auto it = queue.settings.weights.find(workspace);
  return it == queue.settings.weights.end() ? 1 : std::max(it->second, 1U);
}

std::int64_t quantum_of(const fair_queue& queue, const queue_flow& flow) {
  const auto weight = std::min(weight_of(queue, flow.workspace), queue.max_weight);
  return std::max<std::int64_t>(1, round_quantum * deficit_per_cost_unit * weight /
                                       queue.max_weight);
}

std::int64_t head_cost(const queue_flow& flow) {
  return flow.entries.front().cost * deficit_per_cost_unit;
}

std::uint64_t backlog_of(const queue_flow& flow) {
  std::uint64_t sum = 0;
  for (const auto& it : flow.entries) {
    sum += it.cost;
  }
  return sum;
}

// Clears the patient lane's credit when it has no entries, and its debt when the whole
// queue is empty, because no other entry waits then.
void reset_idle_credit(fair_queue& queue) {
  if (queue.size == 0) {
    queue.patient_credit = 0;
  } else if (lane_of(queue, priority::patient).backlog == 0) {
    queue.patient_credit = std::min<std::int64_t>(queue.patient_credit, 0);
  }
}

void subtract_entry(fair_queue& queue, queue_lane& lane, const queue_entry& entry) {
  lane.backlog -= entry.cost;
  --queue.size;
}

// Advances all flows by the number of full rounds in which none can be served, instead
// of looping over empty rounds when all weights are small.
void skip_rounds(const fair_queue& queue, queue_lane& lane) {
  auto rounds = std::numeric_limits<std::int64_t>::max();
  for (const auto& it : lane.flows) {
    const auto quantum = quantum_of(queue, it);
    const auto missing = head_cost(it) - it.deficit;
    rounds = std::min(rounds, (missing + quantum - 1) / quantum);
  }
  for (auto& it : lane.flows) {
    it.deficit += (rounds - 1) * quantum_of(queue, it);
  }
}

queue_entry serve_front(fair_queue& queue, queue_lane& lane) {
  auto& flow = lane.flows.front();
  auto out = std::move(flow.entries.front());
  flow.entries.pop_front();
  flow.deficit -= out.cost * deficit_per_cost_unit;
  subtract_entry(queue, lane, out);
  if (flow.entries.empty()) {
    lane.flows.pop_front();
  }
  return out;
}

queue_entry pop_lane(fair_queue& queue, queue_lane& lane) {
  std::size_t visits = 0;
  while (true) {
    auto& flow = lane.flows.front();
    if (!flow.quantum_granted) {
      flow.deficit += quantum_of(queue, flow);
      flow.quantum_granted = true;
    }
    if (head_cost(flow) <= flow.deficit) {
      return serve_front(queue, lane);
    }
    flow.quantum_granted = false;
    lane.flows.push_back(std::move(flow));
    lane.flows.pop_front();
    if (++visits == lane.flows.size()) {
      skip_rounds(queue, lane);
      visits = 0;
    }
  }
}

bool is_patient_turn(const fair_queue& queue) {
  if (lane_of(queue, priority::short_call).backlog == 0) {
    return true;
  }
  return lane_of(queue, priority::patient).backlog > 0 && queue.patient_credit > 0;
}

template <typename Predicate>
void extract_if(fair_queue& queue, queue_lane& lane, Predicate predicate,
                std::vector<queue_entry>& out) {
  for (auto& flow : lane.flows) {
    for (auto it = flow.entries.begin(); it != flow.entries.end();) {
      if (!predicate(*it)) {
        ++it;
        continue;
      }
      subtract_entry(queue, lane, *it);
      out.push_back(std::move(*it));
      it = flow.entries.erase(it);
    }
  }
  std::erase_if(lane.flows, [](const queue_flow& it) { return it.entries.empty(); });
}

double unit_time_ms(const fair_queue& queue) {
  constexpr double us_per_ms = 1000.0;
  return queue.samples < min_samples ? 0.0 : queue.unit_time_us / us_per_ms;
}

// Half of the estimated service time: calls often take much less than the mean, and
// refusing a call that would have met its deadline is worse than running one that
// misses it.
milliseconds min_service_time(const fair_queue& queue, std::uint32_t cost) {
  return milliseconds(std::llround(unit_time_ms(queue) * cost / 2.0));
}

// Cost of the entries in the entry's own lane that are served before it.
double lane_cost_ahead(const fair_queue& queue, const queue_entry& entry) {
  const auto& lane = lane_of(queue, entry.lane);
  const double own_weight = weight_of(queue, entry.workspace);
  double own = 0;
  for (const auto& it : lane.flows) {
    own += it.workspace == entry.workspace ? static_cast<double>(backlog_of(it)) : 0.0;
  }
  double ahead = own;
  for (const auto& it : lane.flows) {
    if (it.workspace != entry.workspace) {
      const double share =
          (own + entry.cost) * weight_of(queue, it.workspace) / own_weight;
      ahead += std::min(static_cast<double>(backlog_of(it)), share + round_quantum);
    }
  }
  return ahead;
}

double cost_ahead(const fair_queue& queue, const queue_entry& entry) {
  const double own_lane = lane_cost_ahead(queue, entry);
  const bool is_short = entry.lane == priority::short_call;
  const auto other = is_short ? priority::patient : priority::short_call;
  const double patient = queue.settings.patient_percent;
  const double ratio =
      is_short ? patient / (full_percent - patient) : (full_percent - patient) / patient;
  const auto backlog = static_cast<double>(lane_of(queue, other).backlog);
  return own_lane + std::min(backlog, (own_lane + entry.cost) * ratio);
}

} // namespace

void configure(fair_queue& queue, queue_settings settings) {
  settings.slots = std::max(settings.slots, 1U);
  settings.patient_percent = std::clamp(settings.patient_percent, 1U, full_percent - 1);
  queue.settings = std::move(settings);
  queue.max_weight = 1;
  for (const auto& [workspace, weight] : queue.settings.weights) {
    queue.max_weight = std::max(queue.max_weight, weight);
  }
}

bool is_full(const fair_queue& queue) {
  return queue.size >= queue.settings.max_entries;
}

bool push(fair_queue& queue, queue_entry entry) {
  if (is_full(queue)) {
    return false;
  }
  entry.cost = std::clamp(entry.cost, 1U, max_cost);
  auto& lane = lane_of(queue, entry.lane);
  lane.backlog += entry.cost;
  ++queue.size;
  auto it = std::find_if(
      lane.flows.begin(), lane.flows.end(),
      [&entry](const queue_flow& flow) { return flow.workspace == entry.workspace; });
  if (it == lane.flows.end()) {
    lane.flows.push_back({entry.workspace, {}, 0, false});
    it = std::prev(lane.flows.end());
  }
  it->entries.push_back(std::move(entry));
  return true;
}

std::optional<queue_entry> pop(fair_queue& queue) {
  if (queue.size == 0) {
    return std::nullopt;
  }
  const bool both = lane_of(queue, priority::short_call).backlog > 0 &&
                    lane_of(queue, priority::patient).backlog > 0;
  const bool patient = is_patient_turn(queue);
  auto out =
      pop_lane(queue, lane_of(queue, patient ? priority::patient : priority::short_call));
  const std::int64_t share = queue.settings.patient_percent;
  const std::int64_t cost = out.cost * deficit_per_cost_unit;
  if (both) {
    queue.patient_credit += patient ? -cost : cost * share / (full_percent - share);
  }
  reset_idle_credit(queue);
  return out;
}

bool remove(fair_queue& queue, const attempt_id& id) {
  std::vector<queue_entry> removed;
  for (auto& lane : queue.lanes) {
    extract_if(
        queue, lane, [&id](const queue_entry& it) { return it.id == id; }, removed);
  }
  reset_idle_credit(queue);
  return !removed.empty();
}

std::vector<queue_entry> remove_expired(fair_queue& queue, time_point now) {
  std::vector<queue_entry> out;
  for (auto& lane : queue.lanes) {
    extract_if(
        queue, lane,
        [&queue, now](const queue_entry& it) {
          return now + min_service_time(queue, it.cost) >= it.deadline;
        },
        out);
  }
  reset_idle_credit(queue);
  return out;
}

void record_service_time(fair_queue& queue, std::uint32_t cost,
                         milliseconds service_time) {
  constexpr double us_per_ms = 1000.0;
  const double sample = us_per_ms * static_cast<double>(service_time.count()) /
                        std::clamp(cost, 1U, max_cost);
  queue.unit_time_us =
      queue.samples == 0
          ? sample
          : queue.unit_time_us + sample_weight * (sample - queue.unit_time_us);
  queue.samples = std::min(queue.samples + 1, min_samples);
}

milliseconds estimate_wait(const fair_queue& queue, const queue_entry& entry,
                           std::uint32_t running) {
  if (queue.size == 0 && running < queue.settings.slots) {
    return milliseconds(0);
  }
  const double cost = cost_ahead(queue, entry) + entry.cost;
  return milliseconds(std::llround(cost * unit_time_ms(queue) / queue.settings.slots));
}

bool can_meet_deadline(const fair_queue& queue, const queue_entry& entry,
                       std::uint32_t running, time_point now) {
  if (queue.size == 0 && running < queue.settings.slots) {
    return now < entry.deadline;
  }
  const auto wait = estimate_wait(queue, entry, running);
  return now + wait + min_service_time(queue, entry.cost) < entry.deadline;
}

milliseconds slot_interval(const fair_queue& queue) {
  return milliseconds(std::llround(unit_time_ms(queue) / queue.settings.slots));
}

} // namespace marigoldstep
