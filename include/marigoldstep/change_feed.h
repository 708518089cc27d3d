#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

// Numbered changes from one sender to many receivers; each receiver gets only the
// changes that it lacks. Only the newest change of each id is kept, so the size of a
// feed is bounded by the number of ids.
namespace marigoldstep {

struct change_feed {
  std::uint64_t epoch = 0;  // one per start of the sender; numbers restart with it
  std::uint64_t number = 0; // of the newest change
  std::map<std::uint64_t, std::string> id_by_number;
  std::unordered_map<std::string, std::uint64_t> number_by_id;
};

// A receiver's position: it has all changes up to and including number.
struct feed_position {
  std::uint64_t epoch = 0;
  std::uint64_t number = 0;

  friend bool operator==(const feed_position&, const feed_position&) = default;
};

// The changes that a message covers: after < number of the change <= until.
struct feed_range {
  std::uint64_t epoch = 0;
  std::uint64_t after = 0;
  std::uint64_t until = 0;
};

// Gives the id the next number, as its newest change.
void record_change(change_feed& feed, const std::string& id);

void remove_id(change_feed& feed, const std::string& id);
bool contains(const change_feed& feed, const std::string& id);

// Ids that changed after the number, oldest change first.
std::vector<std::string> ids_changed_after(const change_feed& feed, std::uint64_t number);

// The number after which to resume for the receiver; 0 when its position is of
// another epoch or beyond the end of the feed.
std::uint64_t resume_number(const change_feed& feed, const feed_position& at);

// Advances a receiver's position past a message. Returns false and leaves the
// position unchanged when changes between the two are missing.
bool advance(feed_position& at, const feed_range& range);

} // namespace marigoldstep
