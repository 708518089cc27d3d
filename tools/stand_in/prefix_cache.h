#pragma once

#include "stand_in/response.h"

#include <deque>
#include <list>
#include <unordered_map>

namespace marigoldstep::stand_in {

// A cache block for one message of a prompt. The hash covers the model and all messages
// up to and including this one, so that equal hashes mean equal prefixes. Chats that
// begin with the same system message share its block.
struct prefix_block {
  std::uint64_t hash = 0;
  std::uint32_t tokens = 0;

  friend bool operator==(const prefix_block&, const prefix_block&) = default;
};

// One block per message.
std::vector<prefix_block> prefix_blocks(const chat_request& request);
// The block that the response adds after the last message.
prefix_block response_block(const chat_request& request);

struct cache_event {
  std::uint64_t sequence = 0;
  time_point at{};
  bool stored = false; // false: evicted
  prefix_block block;

  friend bool operator==(const cache_event&, const cache_event&) = default;
};

// Prefix cache of limited size that evicts the least recently used block.
struct prefix_cache {
  std::uint64_t capacity_tokens = 0;
  std::uint64_t used_tokens = 0;
  std::list<prefix_block> lru_order; // most recent first
  std::unordered_map<std::uint64_t, std::list<prefix_block>::iterator> blocks;
  std::deque<cache_event> events; // the newest events, oldest first
  std::uint64_t next_sequence = 1;
};

// Returns the number of cached tokens at the start of the prompt and marks their blocks
// as most recently used.
std::uint32_t match_prefix(prefix_cache& cache, const std::vector<prefix_block>& prompt);

// Stores the blocks of a prefix and evicts blocks that exceed the capacity.
void store_prefix(prefix_cache& cache, const std::vector<prefix_block>& prefix,
                  time_point now);

} // namespace marigoldstep::stand_in
