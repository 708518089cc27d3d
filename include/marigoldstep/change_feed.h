#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

// Numbered changes from one sender to many receivers, each of which gets only what
// it lacks. Only the newest change of each subject counts, so a feed stays as
// small as what it describes.
namespace marigoldstep {

struct change_feed {
  std::uint64_t epoch = 0;  // of the sender's start; numbers begin anew with it
  std::uint64_t number = 0; // of the newest change
  std::map<std::uint64_t, std::string> id_by_number; // ids
  std::unordered_map<std::string, std::uint64_t> number_by_id;
};

// A receiver's place: it knows all changes up to number.
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

void record_change(change_feed& feed, const std::string& id);
void remove_id(change_feed& feed, const std::string& id);
bool contains(const change_feed& feed, const std::string& id);

// Ids that changed after the number, oldest change first.
std::vector<std::string> ids_changed_after(const change_feed& feed, std::uint64_t number);

// What the receiver knows of this feed; 0 when its place is in an earlier epoch or
// can't be one of this feed.
std::uint64_t resume_number(const change_feed& feed, const feed_position& at);

// Moves a receiver's place over a message. Returns false, and leaves the place,
// when changes between the two are missing.
bool advance(feed_position& at, const feed_range& range);

} // namespace marigoldstep
