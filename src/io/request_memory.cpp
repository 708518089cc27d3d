#include "marigoldstep/io/request_memory.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

#include <algorithm>
#include <malloc.h>

namespace marigoldstep::io {

namespace {

// Larger allocations are returned to the system as soon as they are freed.
constexpr int retained_allocation_bytes = 256 << 10;
constexpr int retained_heap_bytes = 4 << 20;
// The body while it arrives, with the room that it grows into, and its copy for a server.
constexpr std::size_t copies_of_request = 3;

prometheus::Gauge& add_gauge(prometheus::Registry& registry, const std::string& name,
                             const std::string& help) {
  return prometheus::BuildGauge()
      .Name("marigoldstep_" + name)
      .Help(help)
      .Register(registry)
      .Add({});
}

} // namespace

void limit_retained_memory() {
  ::mallopt(M_MMAP_THRESHOLD, retained_allocation_bytes);
  ::mallopt(M_TRIM_THRESHOLD, retained_heap_bytes);
}

std::string_view name(reclaim_reason why) {
  return why == reclaim_reason::memory ? "memory" : "connections";
}

void request_memory::set_limits(const process_limits& limits, std::size_t max_bytes) {
  budget_.limits = make_memory_limits(limits.memory_bytes, limits.max_fds);
  budget_.limits.bytes = std::min(budget_.limits.bytes, max_bytes);
  log_event(
      log_level::info, "request_memory_limits",
      {{"bytes", std::to_string(budget_.limits.bytes)},
       {"connections", std::to_string(budget_.limits.connections)},
       {"receive_buffer_bytes", std::to_string(budget_.limits.receive_buffer_bytes)}});
}

void request_memory::check_request_size(std::size_t body_bytes) const {
  const auto needed = copies_of_request * body_bytes;
  const auto large_limit = budget_.limits.bytes - budget_.limits.bytes / 4;
  if (needed > large_limit) {
    log_event(log_level::warning, "memory_too_small",
              {{"body_bytes", std::to_string(body_bytes)},
               {"needed", std::to_string(needed)},
               {"for_large_requests", std::to_string(large_limit)}});
  }
}

std::uint64_t request_memory::add(reclaim take_back) {
  const auto id = add_hold(budget_);
  if (take_back) {
    reclaims_[id] = std::move(take_back);
  }
  return id;
}

bool request_memory::set(std::uint64_t id, const memory_hold& hold) {
  set_hold(budget_, id, hold, now());
  while (hold.bytes > 0 && !has_room(budget_, hold.bytes)) {
    if (!reclaim_one()) {
      return false;
    }
    // The hold itself was taken back.
    const auto it = budget_.holds.find(id);
    if (it == budget_.holds.end() || it->second != hold) {
      return true;
    }
  }
  return true;
}

void request_memory::remove(std::uint64_t id) {
  reclaims_.erase(id);
  remove_hold(budget_, id, now());
}

bool request_memory::reclaim_one() {
  const auto id = find_reclaimable(budget_, now());
  if (!id) {
    return false;
  }
  const auto before = budget_.holds.at(*id);
  // A copy, since the peer may remove itself.
  const auto take_back = reclaims_.at(*id);
  take_back(reclaim_reason::memory);
  count(reclaim_reason::memory);
  const auto it = budget_.holds.find(*id);
  return it == budget_.holds.end() || it->second.bytes < before.bytes;
}

bool request_memory::make_room(std::size_t bytes) {
  while (!has_room(budget_, 0, bytes)) {
    if (!reclaim_one()) {
      return false;
    }
  }
  return true;
}

bool request_memory::make_connection_room(
    std::size_t selected, std::size_t max_selected,
    const std::function<bool(std::uint64_t)>& is_selected) {
  const bool is_group_full = selected >= max_selected;
  if (!is_group_full && budget_.connections < budget_.limits.connections) {
    return true;
  }
  const auto id = find_closable(
      budget_, [&](std::uint64_t it) { return !is_group_full || is_selected(it); },
      now());
  if (!id) {
    return false;
  }
  const auto take_back = reclaims_.at(*id);
  take_back(reclaim_reason::connections);
  count(reclaim_reason::connections);
  return true;
}

milliseconds request_memory::retry_delay(std::size_t bytes) const {
  return estimate_room_delay(budget_, bytes, now());
}

bool request_memory::is_scarce() const {
  return !has_room(budget_, small_hold_bytes + 1);
}

void request_memory::register_metrics(prometheus::Registry& registry) {
  metrics_.emplace(metrics{
      add_gauge(registry, "request_memory_bytes",
                "Memory held for requests and responses of clients"),
      add_gauge(registry, "request_memory_limit_bytes",
                "Memory that requests and responses of clients may hold"),
      add_gauge(registry, "client_connections", "Open connections of clients"),
      add_gauge(registry, "client_connections_limit",
                "Connections that clients may have open"),
      prometheus::BuildCounter()
          .Name("marigoldstep_requests_given_up_total")
          .Help("Requests and connections of clients given up, by what was scarce")
          .Register(registry)});
}

void request_memory::update_metrics() {
  if (metrics_) {
    metrics_->used_bytes.Set(static_cast<double>(budget_.used));
    metrics_->max_bytes.Set(static_cast<double>(budget_.limits.bytes));
    metrics_->connections.Set(static_cast<double>(budget_.connections));
    metrics_->max_connections.Set(static_cast<double>(budget_.limits.connections));
  }
}

void request_memory::count(reclaim_reason why) {
  if (metrics_) {
    metrics_->given_up.Add({{"reason", std::string(name(why))}}).Increment();
  }
}

bool held_memory::set(const memory_hold& hold) {
  if (hold == last_) {
    return true;
  }
  last_ = hold;
  return memory_->set(id_, hold);
}

} // namespace marigoldstep::io
