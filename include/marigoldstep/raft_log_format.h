#pragma once

#include "marigoldstep/raft.h"

#include <functional>
#include <span>

// On-disk format of a member's Raft log, as pure functions over bytes. The log is a
// sequence of numbered segments, and a segment is a sequence of records: magic and
// type, payload length, XXH3 checksum, payload. One record holds everything that is
// synced together, so a crash can damage only the last record of the last segment.
namespace marigoldstep {

enum class record_type : std::uint32_t { segment_start = 1, batch = 2, snapshot = 3 };

// Magic and type, payload length and checksum, which precede the payload.
inline constexpr std::size_t record_header_bytes = 16;

// Encodes the first record of a segment.
bytes encode_segment_start(std::uint64_t segment);

// Encodes items that are synced together as one record. offset is its position in
// the segment. The checksum covers segment and offset, so that stale or copied
// bytes are not accepted as records.
bytes encode_batch(std::span<const log_item> items, std::uint64_t segment,
                   std::uint64_t offset);

struct segment_scan {
  std::vector<log_item> items;
  std::size_t valid_size = 0; // bytes after it are a torn tail
};

// Decodes a segment. An invalid record sets ec to errc::storage_corrupt if a valid
// record follows it, if its checksum is right or if the segment is not the last
// one; otherwise it is a torn tail. detail gives the segment and offset.
segment_scan scan_segment(byte_view data, std::uint64_t segment, bool is_last,
                          std::error_code& ec, std::string& detail);

struct segment_image {
  std::uint64_t number = 0;
  bytes data;
};

struct recovered_log {
  raft_recovery raft;
  std::uint64_t last_segment = 0;  // 0: no segments
  std::size_t valid_size = 0;      // of the last segment
  std::size_t torn_tail_bytes = 0; // torn tail of the last segment
};

// Loads the snapshot whose last entry has the given index. Sets the error code if
// it is missing or damaged.
using snapshot_loader = std::function<raft_snapshot(log_index, std::error_code&)>;

// Rebuilds a member's state from its segments, which are in ascending order. Any
// inconsistency except a torn tail sets ec to errc::storage_corrupt and detail; the
// result must not be used then.
recovered_log recover_log(std::span<const segment_image> segments,
                          const snapshot_loader& load_snapshot, std::error_code& ec,
                          std::string& detail);

// Position of the next record. Offset 0 means that the segment doesn't exist yet or
// holds no valid record.
struct log_position {
  std::uint64_t segment = 1;
  std::uint64_t offset = 0;
};

// A new segment begins once the current one is larger than this.
inline constexpr std::uint64_t max_segment_bytes = 64U << 20U;

enum class storage_action {
  store_snapshot, // writes a temporary file and renames it
  start_segment,  // creates the file, or truncates one without valid records
  append,         // to the current segment
  remove_before   // deletes segments below segment and snapshots below index
};

// One write or removal. Each must be durable before the next one starts.
struct storage_op {
  storage_action action = storage_action::append;
  std::uint64_t segment = 0;
  log_index index = 0; // last index of a snapshot
  bytes data;
};

// Returns the operations that store records, and advances position past them.
std::vector<storage_op> plan_writes(log_position& position,
                                    std::span<const raft_record> records);

// Encodes and decodes the contents of a snapshot file. decode_snapshot_file sets ec
// for invalid data.
bytes encode_snapshot_file(const raft_snapshot& snapshot);
raft_snapshot decode_snapshot_file(byte_view data, std::error_code& ec);

} // namespace marigoldstep
