#pragma once

#include "marigoldstep/raft.h"

#include <functional>
#include <span>

// On-disk form of a member's log, as pure functions over bytes. The log is a
// row of numbered segments; each is a row of records: magic and type, payload
// length, XXH3 checksum, payload. One record holds everything that is synced
// together, so a crash can damage only the last record of the last segment.
namespace marigoldstep {

enum class record_type : std::uint32_t { segment_start = 1, batch = 2, snapshot = 3 };

// Bytes in front of a record's payload.
inline constexpr std::size_t record_header_bytes = 16;

// First record of a segment.
bytes encode_segment_start(std::uint64_t segment);

// One record of items that are synced together. offset is its position in the
// segment; it is part of the checksum, so that stale or copied bytes don't pass
// as records.
bytes encode_batch(std::span<const log_item> items, std::uint64_t segment,
                   std::uint64_t offset);

struct segment_scan {
  std::vector<log_item> items;
  std::size_t valid_size = 0; // the rest is a torn tail
};

// Reads a segment. A bad record sets ec to errc::storage_corrupt when a valid
// record follows it or when the segment is not the last one; otherwise it is a
// torn tail. detail names the describe_position.
segment_scan scan_segment(byte_view data, std::uint64_t segment, bool is_last,
                          std::error_code& ec, std::string& detail);

struct segment_image {
  std::uint64_t number = 0;
  bytes data;
};

struct recovered_log {
  raft_recovery raft;
  std::uint64_t last_segment = 0;  // 0: there is none
  std::size_t valid_size = 0;      // of the last segment
  std::size_t torn_tail_bytes = 0; // torn tail of the last segment
};

// Loads the snapshot that ends at an index; sets its error when it is missing
// or damaged.
using snapshot_loader = std::function<raft_snapshot(log_index, std::error_code&)>;

// Rebuilds a member's state from its segments in ascending order. Anything but
// a torn tail that doesn't fit together sets ec to errc::storage_corrupt and
// detail; the result must not be used then.
recovered_log recover_log(std::span<const segment_image> segments,
                          const snapshot_loader& load_snapshot, std::error_code& ec,
                          std::string& detail);

// Where the next record goes. Offset 0: the segment doesn't exist yet, or
// nothing of it is valid.
struct log_position {
  std::uint64_t segment = 1;
  std::uint64_t offset = 0;
};

// A segment that has grown over this is followed by a new one.
inline constexpr std::uint64_t max_segment_bytes = 64U << 20U;

enum class storage_action {
  store_snapshot, // whole file, renamed into describe_position
  start_segment,  // new file, or one with nothing valid in it
  append,         // to the segment
  remove_before   // segments below segment and snapshots below index
};

// One step of storing records. Each is durable before the next one begins.
struct storage_op {
  storage_action action = storage_action::append;
  std::uint64_t segment = 0;
  log_index index = 0; // of a snapshot
  bytes data;
};

// The steps that store records, and the position after them.
std::vector<storage_op> plan_writes(log_position& position,
                                    std::span<const raft_record> records);

// Contents of a snapshot file, and back. On damage sets ec.
bytes encode_snapshot_file(const raft_snapshot& snapshot);
raft_snapshot decode_snapshot_file(byte_view data, std::error_code& ec);

} // namespace marigoldstep
