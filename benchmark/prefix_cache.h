#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace marigoldstep::bench {

// Prompt prefixes that one engine keeps, least recently used out first, with its
// capacity in tokens.
class prefix_cache {
public:
  explicit prefix_cache(std::uint64_t capacity) : capacity_(capacity) {}

  // Cached tokens of a prefix; 0 when there are none.
  [[nodiscard]] std::uint32_t find(std::uint64_t key) const {
    const auto it = entries_.find(key);
    return it == entries_.end() ? 0 : it->second.tokens;
  }

  void store(std::uint64_t key, std::uint32_t tokens) {
    auto& it = entries_[key];
    used_ += tokens;
    used_ -= it.tokens;
    it = {tokens, ++stamp_};
    order_.push_back({key, stamp_});
    while (used_ > capacity_ && !order_.empty()) {
      evict_oldest();
    }
  }

  void clear() {
    entries_.clear();
    order_.clear();
    used_ = 0;
  }

private:
  struct entry {
    std::uint32_t tokens = 0;
    std::uint64_t stamp = 0;
  };
  struct use {
    std::uint64_t key;
    std::uint64_t stamp;
  };

  // Uses that a later one has superseded are dropped without effect.
  void evict_oldest() {
    const auto it = entries_.find(order_.front().key);
    if (it != entries_.end() && it->second.stamp == order_.front().stamp) {
      used_ -= it->second.tokens;
      entries_.erase(it);
    }
    order_.pop_front();
  }

  std::uint64_t capacity_;
  std::uint64_t used_ = 0;
  std::uint64_t stamp_ = 0;
  std::unordered_map<std::uint64_t, entry> entries_;
  std::deque<use> order_;
};

} // namespace marigoldstep::bench
