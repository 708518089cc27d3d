#pragma once

#include "marigoldstep/io/process_limits.h"
#include "marigoldstep/memory_budget.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace marigoldstep::io {

// Keeps the process from retaining the memory of large requests that have ended.
void limit_retained_memory();

// Why a client's request or connection was given up.
enum class reclaim_reason { memory, connections };
std::string_view name(reclaim_reason why);

// The memory and the connections that all clients of one process hold. Its listeners and
// the requests in progress share one. Takes back what incomplete and slow requests hold
// when there is too little.
class request_memory {
public:
  using reclaim = std::function<void(reclaim_reason)>;

  // Requests and responses get a part of the process's memory, and max_bytes at most.
  // Later limits apply to what is held afterwards.
  void set_limits(const process_limits& limits,
                  std::size_t max_bytes = std::numeric_limits<std::size_t>::max());
  [[nodiscard]] const memory_limits& limits() const { return budget_.limits; }
  // Logs a warning if one request of this size, with its copies, would be refused.
  void check_request_size(std::size_t body_bytes) const;

  // Adds a peer that holds nothing yet. take_back has to reduce what the peer holds, and
  // is not called while the hold is of the kind running.
  std::uint64_t add(reclaim take_back);
  // Records what a peer holds. If the sum is too much then, takes back as
  // find_reclaimable() says, which may concern this peer as well. Returns false if
  // nothing more could be taken back.
  bool set(std::uint64_t id, const memory_hold& hold);
  void remove(std::uint64_t id);

  // Takes back what others hold until a request that needs so many bytes has room.
  // Returns whether it has.
  bool make_room(std::size_t bytes);
  // Closes a connection, one of those selected, if no further one is allowed: at most
  // max_selected of them, and all connections of the process. Returns whether there is
  // room for another one.
  bool make_connection_room(std::size_t selected, std::size_t max_selected,
                            const std::function<bool(std::uint64_t)>& is_selected);
  // When a request that needs so many bytes may come back.
  [[nodiscard]] milliseconds retry_delay(std::size_t bytes) const;
  // Whether so much is held that read-ahead has to be discarded.
  [[nodiscard]] bool is_scarce() const;

  [[nodiscard]] std::size_t used() const { return budget_.used; }

  // Adds metrics of all these to the registry.
  void register_metrics(prometheus::Registry& registry);
  void update_metrics();
  void count(reclaim_reason why);

private:
  bool reclaim_one();

  memory_budget budget_;
  std::unordered_map<std::uint64_t, reclaim> reclaims_;
  struct metrics {
    prometheus::Gauge& used_bytes;
    prometheus::Gauge& max_bytes;
    prometheus::Gauge& connections;
    prometheus::Gauge& max_connections;
    prometheus::Family<prometheus::Counter>& given_up;
  };
  std::optional<metrics> metrics_;
};

// Records what one peer holds, from its construction to its end.
class held_memory {
public:
  explicit held_memory(std::shared_ptr<request_memory> memory,
                       request_memory::reclaim take_back = nullptr)
      : memory_(std::move(memory)), id_(memory_->add(std::move(take_back))) {}
  ~held_memory() { memory_->remove(id_); }
  held_memory(const held_memory&) = delete;
  held_memory& operator=(const held_memory&) = delete;

  // See request_memory::set().
  bool set(const memory_hold& hold);
  [[nodiscard]] std::uint64_t id() const { return id_; }
  [[nodiscard]] request_memory& memory() const { return *memory_; }

private:
  std::shared_ptr<request_memory> memory_;
  std::uint64_t id_;
  memory_hold last_;
};

} // namespace marigoldstep::io
