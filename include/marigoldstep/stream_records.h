#pragma once

#include "marigoldstep/types.h"

#include <span>
#include <string>
#include <system_error>
#include <vector>

// Stored form of the versions that began streams. The functions do no I/O.
namespace marigoldstep {

struct stream_record {
  std::uint64_t stream = 0; // from stream_key()
  std::string version;
  milliseconds keep{0}; // how long the stream may be resumed

  friend bool operator==(const stream_record&, const stream_record&) = default;
};

// Encodes records as one batch. Records of a version take 16 bytes each. A batch has at
// most max_batch_versions different versions; records of further ones are left out.
inline constexpr std::size_t max_batch_versions = 65'535;
bytes encode_stream_records(std::span<const stream_record> records);

// Sets ec to errc::storage_corrupt, and returns nothing, for malformed input.
std::vector<stream_record> decode_stream_records(byte_view data, std::error_code& ec);

} // namespace marigoldstep
