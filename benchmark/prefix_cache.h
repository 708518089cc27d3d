#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace marigoldstep::bench {

// LRU cache of the prompt prefixes of one engine. The capacity is in tokens.
class prefix_cache {
public:
  explicit prefix_cache(std::uint64_t capacity) : capacity_(capacity) {}

  // Number of cached tokens of a prefix; 0 when it is not cached.
  [[nodiscard]] std::uint32_t find(std::uint64_t key) const {
    const auto it = entries_.find(key);
    return it == entries_.end() ? 0 : it->second.tokens;
  }

  void store(std::uint64_t key, std::uint32_t tokens) {
    auto& it = entries_[key];
    used_ += tokens;
    used_ -= it.tokens;
    it = {tokens, ++access_count_};
    accesses_.push_back({key, access_count_});
    while (used_ > capacity_ && !accesses_.empty()) {
      evict_oldest();
    }
  }

  void clear() {
    entries_.clear();
    accesses_.clear();
    used_ = 0;
  }

private:
  struct entry {
    std::uint32_t tokens = 0;
    std::uint64_t last_access = 0;
  };
  struct access {
    std::uint64_t key;
    std::uint64_t sequence;
  };

  // Removes the oldest access, and its entry unless that has been accessed since.
  void evict_oldest() {
    const auto it = entries_.find(accesses_.front().key);
    if (it != entries_.end() && it->second.last_access == accesses_.front().sequence) {
      used_ -= it->second.tokens;
      entries_.erase(it);
    }
    accesses_.pop_front();
  }

  std::uint64_t capacity_;
  std::uint64_t used_ = 0;
  std::uint64_t access_count_ = 0;
  std::unordered_map<std::uint64_t, entry> entries_;
  std::deque<access> accesses_;
};

} // namespace marigoldstep::bench
