#include "stand_in/prefix_cache.h"

namespace marigoldstep::stand_in {

namespace {

// Readers that fall further behind see a gap in the sequence numbers.
constexpr std::size_t max_events = 10'000;

std::uint64_t chain_hash(std::uint64_t previous, const chat_message& message) {
  return stable_hash(message.role + '\x1f' + message.content, previous);
}

void add_event(prefix_cache& cache, bool stored, const prefix_block& block,
               time_point now) {
  cache.events.push_back({cache.next_sequence++, now, stored, block});
  if (cache.events.size() > max_events) {
    cache.events.pop_front();
  }
}

void evict_least_recent(prefix_cache& cache, time_point now) {
  const auto block = cache.lru_order.back();
  cache.lru_order.pop_back();
  cache.blocks.erase(block.hash);
  cache.used_tokens -= block.tokens;
  add_event(cache, false, block, now);
}

} // namespace

std::vector<prefix_block> prefix_blocks(const chat_request& request) {
  std::vector<prefix_block> out;
  auto hash = stable_hash(request.model);
  for (const auto& it : request.messages) {
    hash = chain_hash(hash, it);
    out.push_back({hash, count_tokens(it.content)});
  }
  return out;
}

prefix_block response_block(const chat_request& request) {
  auto with_response = request;
  with_response.messages.push_back({"assistant", response_text(request)});
  return prefix_blocks(with_response).back();
}

std::uint32_t match_prefix(prefix_cache& cache, const std::vector<prefix_block>& prompt) {
  std::uint32_t tokens = 0;
  std::size_t n = 0;
  while (n < prompt.size() && cache.blocks.contains(prompt[n].hash)) {
    tokens += prompt[n].tokens;
    ++n;
  }
  // Touches the blocks from last to first, so that the start of a prefix is evicted last:
  // without it the other blocks cannot be matched.
  while (n > 0) {
    --n;
    const auto it = cache.blocks.at(prompt[n].hash);
    cache.lru_order.splice(cache.lru_order.begin(), cache.lru_order, it);
  }
  return tokens;
}

void store_prefix(prefix_cache& cache, const std::vector<prefix_block>& prefix,
                  time_point now) {
  for (const auto& it : prefix) {
    if (cache.blocks.contains(it.hash)) {
      continue;
    }
    cache.lru_order.push_front(it);
    cache.blocks[it.hash] = cache.lru_order.begin();
    cache.used_tokens += it.tokens;
    add_event(cache, true, it, now);
  }
  match_prefix(cache, prefix);
  while (cache.used_tokens > cache.capacity_tokens && !cache.lru_order.empty()) {
    evict_least_recent(cache, now);
  }
}

} // namespace marigoldstep::stand_in
