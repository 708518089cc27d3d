#pragma once

#include "marigoldstep/membership.h"

#include <array>

namespace marigoldstep {

// Anti-entropy between the leader's table and a router's view: the router sends
// one digest for each bucket, the leader names those that differ, and the router
// then sends the digests of the entries of one bucket at a time. Only entries
// that differ travel, so a router of another term needs no full table.

inline constexpr std::size_t bucket_count = 64;
using bucket_digests = std::array<std::uint32_t, bucket_count>;

// Bucket of a server by the hash of its node id.
std::uint8_t bucket_of(std::string_view node_id);

// Digests of the entries that are not dead; 0 for an empty bucket.
bucket_digests make_digests(const membership_table& table);
bucket_digests make_digests(const membership_view& view);

std::vector<std::uint8_t> differing_buckets(const bucket_digests& a,
                                            const bucket_digests& b);

struct entry_digest {
  std::uint32_t id = 0;      // hash of the node id
  std::uint32_t content = 0; // hash of the whole entry

  friend auto operator<=>(const entry_digest&, const entry_digest&) = default;
};

std::vector<entry_digest> make_entry_digests(const membership_view& view,
                                             std::uint8_t bucket);

// What the leader answers about one bucket.
struct bucket_repair {
  std::uint8_t bucket = 0;
  std::vector<server_info> changes;
  std::vector<std::uint32_t> absent; // ids to remove
  bool done = true;                  // false: more differs than the budget held
};

// Entries of the bucket that the router lacks or has otherwise, as many as fit into
// budget bytes, but at least one.
bucket_repair make_repair(const membership_table& table, std::uint8_t bucket,
                          std::span<const entry_digest> known, std::size_t budget);

// Returns whether the view changed.
bool apply_repair(membership_view& view, const bucket_repair& repair);

} // namespace marigoldstep
