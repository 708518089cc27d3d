#pragma once

#include "marigoldstep/membership.h"

#include <array>

namespace marigoldstep {

// Anti-entropy between the leader's table and a router's view. The router sends one
// digest per bucket and the leader replies with the buckets that differ; then the
// router sends the entry digests of one bucket at a time. Only entries that differ
// are transferred, so a router with a view of another term needs no full table.

inline constexpr std::size_t bucket_count = 64;
using bucket_digests = std::array<std::uint32_t, bucket_count>;

// The bucket of a server, from the hash of its node id.
std::uint8_t bucket_of(std::string_view node_id);

// Digest of each bucket over the entries that aren't dead; 0 for an empty bucket.
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

// The leader's reply for one bucket.
struct bucket_repair {
  std::uint8_t bucket = 0;
  std::vector<server_info> changes;
  std::vector<std::uint32_t> absent; // ids to remove
  bool done = true;                  // false if not all changes fit into the budget
};

// Returns the entries of the bucket that the router lacks or whose content differs, as
// many as fit into budget bytes, but at least one; and the ids to remove.
bucket_repair make_repair(const membership_table& table, std::uint8_t bucket,
                          std::span<const entry_digest> known, std::size_t budget);

// Applies a reply to the router's view. Returns whether the view changed.
bool apply_repair(membership_view& view, const bucket_repair& repair);

} // namespace marigoldstep
