#include "marigoldstep/memory_budget.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace marigoldstep {

namespace {

// Descriptors for the log, data files, listeners and the connections within the fleet.
constexpr std::size_t own_fds = 256;
// Where a process has few descriptors, clients get this part of all.
constexpr std::size_t min_client_divisor = 8;
constexpr std::size_t min_connections = 8;
constexpr std::size_t min_receive_buffer_bytes = 16U << 10U;
// Reclaiming less than this frees too little to matter.
constexpr std::size_t min_reclaimable_bytes = 1U << 10U;
constexpr auto min_connection_age = milliseconds(500);
constexpr auto release_window = milliseconds(2000);
constexpr auto min_room_delay = milliseconds(200);
constexpr auto max_room_delay = milliseconds(5000);

std::size_t limit_of(const memory_budget& budget, std::size_t held) {
  const auto all = budget.limits.bytes;
  return held > small_hold_bytes ? all - all / 4 : all;
}

double recently_released(const memory_budget& budget, time_point now) {
  const std::chrono::duration<double> age = now - budget.released_at;
  const std::chrono::duration<double> window = release_window;
  return budget.released_bytes * std::exp(-age / window);
}

void replace(memory_budget& budget, const memory_hold& before, const memory_hold& after,
             time_point now) {
  budget.used = budget.used - before.bytes + after.bytes;
  budget.connections = budget.connections - before.connections + after.connections;
  if (after.bytes < before.bytes) {
    budget.released_bytes =
        recently_released(budget, now) + static_cast<double>(before.bytes - after.bytes);
    budget.released_at = now;
  }
}

std::size_t client_connections(std::size_t process_fds) {
  const auto beyond_own = process_fds - std::min(process_fds, own_fds);
  return std::max({beyond_own / 2, process_fds / min_client_divisor, min_connections});
}

} // namespace

memory_limits make_memory_limits(std::size_t process_bytes, std::size_t process_fds) {
  constexpr std::size_t request_eighths = 3;
  constexpr std::size_t connection_divisor = 6;
  memory_limits out;
  if (process_fds > 0) {
    out.connections = client_connections(process_fds);
  }
  if (process_bytes > 0) {
    const auto share = process_bytes / connection_divisor;
    out.bytes = process_bytes / 8 * request_eighths;
    out.connections =
        std::max(min_connections, std::min(out.connections, share / connection_bytes));
    out.receive_buffer_bytes = std::clamp(
        share / out.connections, min_receive_buffer_bytes, out.receive_buffer_bytes);
  }
  return out;
}

std::uint64_t add_hold(memory_budget& budget) {
  budget.holds[++budget.last_id] = {};
  return budget.last_id;
}

void set_hold(memory_budget& budget, std::uint64_t id, const memory_hold& hold,
              time_point now) {
  auto& held = budget.holds[id];
  replace(budget, held, hold, now);
  held = hold;
}

void remove_hold(memory_budget& budget, std::uint64_t id, time_point now) {
  const auto it = budget.holds.find(id);
  if (it != budget.holds.end()) {
    replace(budget, it->second, {}, now);
    budget.holds.erase(it);
  }
}

bool has_room(const memory_budget& budget, std::size_t held, std::size_t more) {
  const auto limit = limit_of(budget, held + more);
  return more <= limit && budget.used <= limit - more;
}

std::optional<std::uint64_t> find_reclaimable(const memory_budget& budget,
                                              time_point now) {
  std::optional<std::uint64_t> out;
  double most = -1;
  for (const auto& [id, it] : budget.holds) {
    const bool can_end = it.kind == hold_kind::incomplete || it.kind == hold_kind::unread;
    if (!can_end || it.bytes < min_reclaimable_bytes) {
      continue;
    }
    const std::chrono::duration<double> age = now - it.since;
    // The millisecond compares holds of the same instant by their size.
    const double product = static_cast<double>(it.bytes) * (age.count() + 0.001);
    if (product > most) {
      most = product;
      out = id;
    }
  }
  return out;
}

std::optional<std::uint64_t>
find_closable(const memory_budget& budget,
              const std::function<bool(std::uint64_t)>& is_selected, time_point now) {
  std::optional<std::uint64_t> out;
  const memory_hold* first = nullptr;
  for (const auto& [id, it] : budget.holds) {
    const bool can_close = it.connections > 0 && it.kind != hold_kind::running &&
                           now - it.since >= min_connection_age;
    if (!can_close || !is_selected(id)) {
      continue;
    }
    if (first == nullptr ||
        std::tie(it.kind, it.since) < std::tie(first->kind, first->since)) {
      first = &it;
      out = id;
    }
  }
  return out;
}

milliseconds estimate_room_delay(const memory_budget& budget, std::size_t bytes,
                                 time_point now) {
  const auto limit = limit_of(budget, bytes);
  const auto wanted = static_cast<double>(budget.used) + static_cast<double>(bytes) -
                      static_cast<double>(limit);
  if (wanted <= 0) {
    return min_room_delay;
  }
  const double released = recently_released(budget, now);
  const double ms =
      static_cast<double>(release_window.count()) * wanted / std::max(released, 1.0);
  return std::clamp(milliseconds(static_cast<std::int64_t>(
                        std::min(ms, static_cast<double>(max_room_delay.count())))),
                    min_room_delay, max_room_delay);
}

} // namespace marigoldstep
