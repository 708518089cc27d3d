#include "marigoldstep/fair_queue.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

using namespace marigoldstep;

namespace {

constexpr std::size_t max_entries = 24;
const std::vector<std::string> workspaces = {"a", "b", "c", "unlisted"};
const std::map<std::string, std::uint32_t, std::less<>> weights = {
    {"a", 1}, {"b", 3}, {"c", 40}};

double weight_of(const std::string& workspace) {
  const auto it = weights.find(workspace);
  return it == weights.end() ? 1 : it->second;
}

queue_settings make_settings() {
  queue_settings out;
  out.max_entries = max_entries;
  out.slots = 2;
  out.weights = weights;
  return out;
}

// Two workspaces of the same lane.
using flow_pair = std::pair<std::string, std::string>;

// The queue and an oracle: a plain list in order of arrival, and the served costs that
// the documented bounds refer to.
struct queue_with_oracle {
  fair_queue queue;
  std::vector<queue_entry> waiting;
  std::array<std::map<flow_pair, double>, 2> served; // by the first, since both wait
  double short_cost = 0;                             // served since both lanes wait
  double patient_cost = 0;                           // likewise

  bool is_waiting(const std::string& workspace, priority lane) const {
    return std::any_of(waiting.begin(), waiting.end(), [&](const auto& it) {
      return it.workspace == workspace && it.lane == lane;
    });
  }
  bool is_waiting(priority lane) const {
    return std::any_of(waiting.begin(), waiting.end(),
                       [&](const auto& it) { return it.lane == lane; });
  }

  // Restarts the comparisons of workspaces and lanes that are no longer waiting.
  void restart_comparisons() {
    for (const auto lane : {priority::short_call, priority::patient}) {
      auto& costs = served.at(static_cast<std::size_t>(lane));
      std::erase_if(costs, [&](const auto& it) {
        return !is_waiting(it.first.first, lane) || !is_waiting(it.first.second, lane);
      });
    }
    if (!is_waiting(priority::short_call) || !is_waiting(priority::patient)) {
      short_cost = 0;
      patient_cost = 0;
    }
    RC_ASSERT(queue.size == waiting.size());
  }

  void erase(const attempt_id& id) {
    std::erase_if(waiting, [&id](const auto& it) { return it.id == id; });
  }

  void record_served(const queue_entry& entry) {
    auto& costs = served.at(static_cast<std::size_t>(entry.lane));
    for (const auto& other : workspaces) {
      if (other != entry.workspace && is_waiting(other, entry.lane)) {
        costs[{entry.workspace, other}] += entry.cost;
      }
    }
    if (is_waiting(priority::short_call) && is_waiting(priority::patient)) {
      (entry.lane == priority::patient ? patient_cost : short_cost) += entry.cost;
    }
  }

  void check_weights() const {
    for (const auto& costs : served) {
      for (const auto& [pair, cost] : costs) {
        const auto [i, j] = pair;
        const auto reverse = costs.find({j, i});
        const double other = reverse == costs.end() ? 0 : reverse->second;
        const double excess = cost / weight_of(i) - other / weight_of(j);
        RC_ASSERT(excess <= round_quantum / weight_of("c") + max_cost / weight_of(i) +
                                max_cost / weight_of(j) + 1e-3);
      }
    }
  }

  void check_patient_share() const {
    const double share = queue.settings.patient_percent / 100.0;
    const double total = short_cost + patient_cost;
    RC_ASSERT(patient_cost >= share * total - max_cost - 1e-3);
    RC_ASSERT(patient_cost <= share * total + max_cost + 1e-3);
  }
};

struct id_model {
  std::uint64_t next = 1;
};

using queue_command = rc::state::Command<id_model, queue_with_oracle>;

struct push_entry : queue_command {
  queue_entry entry;

  explicit push_entry(const id_model& model) {
    entry.id = {0, model.next};
    entry.workspace = *rc::gen::elementOf(workspaces);
    entry.lane = *rc::gen::element(priority::short_call, priority::patient);
    entry.cost = *rc::gen::inRange(1U, max_cost + 1);
    entry.deadline = time_point(milliseconds(*rc::gen::inRange(1, 1000)));
  }
  void apply(id_model& model) const override { ++model.next; }
  void run(const id_model& /*model*/, queue_with_oracle& system) const override {
    const bool fits = system.waiting.size() < max_entries;
    RC_ASSERT(is_full(system.queue) == !fits);
    RC_ASSERT(push(system.queue, entry) == fits);
    if (fits) {
      system.waiting.push_back(entry);
    }
    system.restart_comparisons();
  }
  void show(std::ostream& out) const override {
    out << "push " << entry.id.lo << " " << entry.workspace << " " << name(entry.lane)
        << " " << entry.cost;
  }
};

struct pop_entry : queue_command {
  void run(const id_model& /*model*/, queue_with_oracle& system) const override {
    const auto entry = pop(system.queue);
    // The queue is work-conserving: pop returns an entry whenever one waits.
    RC_ASSERT(entry.has_value() == !system.waiting.empty());
    if (!entry) {
      return;
    }
    const auto oldest = std::find_if(
        system.waiting.begin(), system.waiting.end(), [&entry](const auto& it) {
          return it.workspace == entry->workspace && it.lane == entry->lane;
        });
    RC_ASSERT(oldest != system.waiting.end());
    RC_ASSERT(*oldest == *entry);
    system.record_served(*entry);
    system.check_weights();
    system.check_patient_share();
    system.erase(entry->id);
    system.restart_comparisons();
  }
  void show(std::ostream& out) const override { out << "pop"; }
};

struct remove_entry : queue_command {
  attempt_id id;

  explicit remove_entry(const id_model& model) {
    id = {0, *rc::gen::inRange<std::uint64_t>(0, model.next)};
  }
  void run(const id_model& /*model*/, queue_with_oracle& system) const override {
    const bool is_waiting = std::any_of(system.waiting.begin(), system.waiting.end(),
                                        [this](const auto& it) { return it.id == id; });
    RC_ASSERT(remove(system.queue, id) == is_waiting);
    system.erase(id);
    system.restart_comparisons();
  }
  void show(std::ostream& out) const override { out << "remove " << id.lo; }
};

struct expire_entries : queue_command {
  time_point now{milliseconds(*rc::gen::inRange(0, 100))};

  void run(const id_model& /*model*/, queue_with_oracle& system) const override {
    std::set<attempt_id> expected;
    for (const auto& it : system.waiting) {
      if (it.deadline <= now) {
        expected.insert(it.id);
      }
    }
    std::set<attempt_id> taken;
    for (const auto& it : remove_expired(system.queue, now)) {
      RC_ASSERT(taken.insert(it.id).second);
      system.erase(it.id);
    }
    RC_ASSERT(taken == expected);
    system.restart_comparisons();
  }
  void show(std::ostream& out) const override {
    out << "expire " << now.time_since_epoch().count();
  }
};

queue_entry make_entry(std::uint64_t id, const std::string& workspace,
                       milliseconds deadline, priority lane = priority::short_call) {
  return {{0, id}, workspace, lane, 1, time_point(deadline)};
}

} // namespace

// Guards against lost or duplicated entries, an overfull or idle queue, a workspace that
// gets more than its share, and starvation of patient work.
TEST_CASE("the queue agrees with a plain list and keeps its documented bounds") {
  CHECK(rc::check([] {
    queue_with_oracle system;
    configure(system.queue, make_settings());
    rc::state::check(
        id_model{}, system,
        rc::state::gen::execOneOfWithArgs<push_entry, push_entry, push_entry, pop_entry,
                                          pop_entry, remove_entry, expire_entries>());
  }));
}

// Guards against violations of a bound that the random runs are too short to reach.
TEST_CASE("served costs follow the weights over a long backlog") {
  queue_with_oracle system;
  configure(system.queue, make_settings());
  std::mt19937 random(7);
  std::uint64_t next_id = 0;
  const auto add = [&](const std::string& workspace, priority lane) {
    auto entry = make_entry(++next_id, workspace, milliseconds(1), lane);
    entry.cost = 1 + random() % max_cost;
    REQUIRE(push(system.queue, entry));
    system.waiting.push_back(entry);
  };
  for (std::size_t i = 0; i < max_entries; ++i) {
    add(workspaces[i % 4], i % 8 < 4 ? priority::short_call : priority::patient);
  }
  // Every served entry is replaced, so that all flows stay backlogged.
  for (int step = 0; step < 20'000; ++step) {
    const auto entry = pop(system.queue);
    REQUIRE(entry);
    system.record_served(*entry);
    system.check_weights();
    system.check_patient_share();
    system.erase(entry->id);
    add(entry->workspace, entry->lane);
  }
  CHECK(system.patient_cost > 0.19 * (system.short_cost + system.patient_cost));
}

// Guards against permanent refusal after a few slow calls, a backlog of one workspace
// that shuts out another, and calls that expire in the queue.
TEST_CASE("calls that cannot meet their deadline are refused early") {
  fair_queue queue;
  auto settings = make_settings();
  settings.max_entries = 1000;
  settings.weights = {{"a", 1}, {"b", 1}};
  configure(queue, settings);
  for (int i = 0; i < 20; ++i) {
    record_service_time(queue, 1, milliseconds(1000));
  }
  const time_point now{};
  CHECK(can_meet_deadline(queue, make_entry(1, "a", milliseconds(10)), 1, now));
  CHECK_FALSE(can_meet_deadline(queue, make_entry(1, "a", milliseconds(10)), 2, now));
  for (std::uint64_t i = 1; i <= 100; ++i) {
    REQUIRE(push(queue, make_entry(i, "a", milliseconds(200'000))));
  }
  CHECK_FALSE(
      can_meet_deadline(queue, make_entry(200, "a", milliseconds(40'000)), 2, now));
  CHECK(can_meet_deadline(queue, make_entry(200, "a", milliseconds(60'000)), 2, now));
  // One unit of its own and about round_quantum of the other workspace's go first.
  CHECK(can_meet_deadline(queue, make_entry(200, "b", milliseconds(7'000)), 2, now));
  CHECK(remove_expired(queue, time_point(milliseconds(199'000))).empty());
  CHECK(remove_expired(queue, time_point(milliseconds(199'500))).size() == 100);
}
