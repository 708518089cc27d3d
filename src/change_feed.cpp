#include "marigoldstep/change_feed.h"

#include <algorithm>

namespace marigoldstep {

void record_change(change_feed& feed, const std::string& id) {
  remove_id(feed, id);
  ++feed.number;
  feed.id_by_number[feed.number] = id;
  feed.number_by_id[id] = feed.number;
}

void remove_id(change_feed& feed, const std::string& id) {
  const auto it = feed.number_by_id.find(id);
  if (it != feed.number_by_id.end()) {
    feed.id_by_number.erase(it->second);
    feed.number_by_id.erase(it);
  }
}

bool contains(const change_feed& feed, const std::string& id) {
  return feed.number_by_id.contains(id);
}

std::vector<std::string> ids_changed_after(const change_feed& feed,
                                           std::uint64_t number) {
  std::vector<std::string> out;
  for (auto it = feed.id_by_number.upper_bound(number); it != feed.id_by_number.end();
       ++it) {
    out.push_back(it->second);
  }
  return out;
}

std::uint64_t resume_number(const change_feed& feed, const feed_position& at) {
  return at.epoch == feed.epoch && at.number <= feed.number ? at.number : 0;
}

bool advance(feed_position& at, const feed_range& range) {
  if (at.epoch != range.epoch) {
    if (range.after != 0) {
      return false;
    }
    at = {range.epoch, range.until};
    return true;
  }
  if (range.after > at.number) {
    return false;
  }
  at.number = std::max(at.number, range.until);
  return true;
}

} // namespace marigoldstep
