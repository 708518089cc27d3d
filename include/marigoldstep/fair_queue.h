#pragma once

#include "marigoldstep/types.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigoldstep {

// Estimated costs are integers from 1 to max_cost.
inline constexpr std::uint32_t max_cost = 64;

// Cost units per round for the workspace with the largest weight. Small compared to
// max_cost, so that cheap calls of different workspaces interleave.
inline constexpr std::uint32_t round_quantum = 8;

struct queue_entry {
  attempt_id id;
  std::string workspace;
  priority lane = priority::short_call;
  std::uint32_t cost = 1;
  time_point deadline{};

  friend bool operator==(const queue_entry&, const queue_entry&) = default;
};

struct queue_settings {
  std::size_t max_entries = 1024;
  std::uint32_t slots = 16; // concurrent attempts
  // Percentage of the cost that goes to patient work while short calls are queued too.
  std::uint32_t patient_percent = 20;
  std::map<std::string, std::uint32_t, std::less<>> weights; // missing: 1

  friend bool operator==(const queue_settings&, const queue_settings&) = default;
};

namespace detail {

// The queued entries of one workspace in one lane. The deficit is in millionths of a
// cost unit.
struct queue_flow {
  std::string workspace;
  std::deque<queue_entry> entries;
  std::int64_t deficit = 0;
  bool quantum_granted = false; // in the current round
};

struct queue_lane {
  std::deque<queue_flow> flows; // in round-robin order, none empty
  std::uint64_t backlog = 0;    // cost of all entries
};

} // namespace detail

// Queue in front of a backend server. Within a lane, workspaces share by weight:
// deficit round robin (Shreedhar and Varghese, 1995) over estimated cost. While two
// workspaces i and j are both backlogged, their served costs S differ by at most
//   |S_i/w_i - S_j/w_j| <= round_quantum/w_max + max_cost/w_i + max_cost/w_j,
// where w_max is the largest weight. Short calls go before patient work, which gets at
// least patient_percent of the cost less max_cost while both are queued.
struct fair_queue {
  queue_settings settings;
  std::uint32_t max_weight = 1;
  std::array<detail::queue_lane, 2> lanes;
  std::size_t size = 0;
  // Cost that patient work may take before short calls, in millionths of a cost unit;
  // negative after an entry that cost more than the credit.
  std::int64_t patient_credit = 0;
  // Moving average of service time per cost, in microseconds per unit.
  double unit_time_us = 0;
  std::uint32_t samples = 0;
};

// Replaces the settings. Queued entries stay, even if they exceed a smaller max_entries.
void configure(fair_queue& queue, queue_settings settings);

bool is_full(const fair_queue& queue);

// Adds an entry. Returns false when the queue is full.
bool push(fair_queue& queue, queue_entry entry);

// Removes and returns the next entry to run; none only if the queue is empty.
std::optional<queue_entry> pop(fair_queue& queue);

// Removes a cancelled entry. Returns false if it is not queued.
bool remove(fair_queue& queue, const attempt_id& id);

// Removes and returns the entries that can no longer meet their deadline.
std::vector<queue_entry> remove_expired(fair_queue& queue, time_point now);

// Records how long the backend server took for an attempt.
void record_service_time(fair_queue& queue, std::uint32_t cost,
                         milliseconds service_time);

// Estimated time that an entry like this one would stay queued, from the entries that
// are served before it by the workspace weights and from recent service times. Zero
// while a slot is free or there are too few samples.
milliseconds estimate_wait(const fair_queue& queue, const queue_entry& entry,
                           std::uint32_t running);

// Whether an entry pushed now would leave the queue in time for its deadline. If a slot
// is free, only the deadline itself is checked, so that a wrong estimate cannot block
// all work permanently.
bool can_meet_deadline(const fair_queue& queue, const queue_entry& entry,
                       std::uint32_t running, time_point now);

// Mean time until the next slot becomes free; 0 if unknown.
milliseconds slot_interval(const fair_queue& queue);

} // namespace marigoldstep
