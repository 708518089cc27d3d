#include "marigoldstep/change_feed.h"

#include <algorithm>

namespace marigoldstep {

void note_change(change_feed& feed, const std::string& id) {
  forget(feed, id);
  ++feed.number;
  feed.by_number[feed.number] = id;
  feed.of_id[id] = feed.number;
}

void forget(change_feed& feed, const std::string& id) {
  const auto it = feed.of_id.find(id);
  if (it != feed.of_id.end()) {
    feed.by_number.erase(it->second);
    feed.of_id.erase(it);
  }
}

bool contains(const change_feed& feed, const std::string& id) {
  return feed.of_id.contains(id);
}

std::vector<std::string> ids_after(const change_feed& feed, std::uint64_t number) {
  std::vector<std::string> out;
  for (auto it = feed.by_number.upper_bound(number); it != feed.by_number.end(); ++it) {
    out.push_back(it->second);
  }
  return out;
}

std::uint64_t known_number(const change_feed& feed, const feed_position& at) {
  return at.epoch == feed.epoch && at.number <= feed.number ? at.number : 0;
}

bool advance(feed_position& at, const feed_span& span) {
  if (at.epoch != span.epoch) {
    if (span.after != 0) {
      return false;
    }
    at = {span.epoch, span.until};
    return true;
  }
  if (span.after > at.number) {
    return false;
  }
  at.number = std::max(at.number, span.until);
  return true;
}

} // namespace marigoldstep
