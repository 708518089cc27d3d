#include "marigoldstep/stream_records.h"

#include "marigoldstep/error.h"
#include "marigoldstep/generated/streams_messages.h"

#include <map>

namespace marigoldstep {

bytes encode_stream_records(std::span<const stream_record> records) {
  wire::StreamBatchT batch;
  std::map<std::string_view, std::uint16_t> numbers;
  for (const auto& it : records) {
    const auto known = numbers.find(it.version);
    if (known == numbers.end()) {
      if (batch.versions.size() == max_batch_versions) {
        continue;
      }
      numbers[it.version] = static_cast<std::uint16_t>(batch.versions.size());
      batch.versions.push_back(it.version);
    }
    batch.streams.push_back(it.stream);
    batch.version_of.push_back(numbers.at(it.version));
    batch.keep_ms.push_back(static_cast<std::uint32_t>(it.keep.count()));
  }
  flatbuffers::FlatBufferBuilder builder;
  wire::FinishSizePrefixedStreamBatchBuffer(builder,
                                            wire::StreamBatch::Pack(builder, &batch));
  const auto* begin = builder.GetBufferPointer();
  return {begin, begin + builder.GetSize()};
}

std::vector<stream_record> decode_stream_records(byte_view data, std::error_code& ec) {
  ec = make_error_code(errc::storage_corrupt);
  flatbuffers::Verifier verifier(data.data(), data.size());
  if (data.empty() || !wire::VerifySizePrefixedStreamBatchBuffer(verifier)) {
    return {};
  }
  wire::StreamBatchT batch;
  wire::GetSizePrefixedStreamBatch(data.data())->UnPackTo(&batch);
  const auto n = batch.streams.size();
  if (batch.version_of.size() != n || batch.keep_ms.size() != n) {
    return {};
  }
  std::vector<stream_record> out;
  out.reserve(n);
  for (std::size_t i = 0; i < n; ++i) {
    if (batch.version_of[i] >= batch.versions.size()) {
      return {};
    }
    out.push_back({batch.streams[i], batch.versions[batch.version_of[i]],
                   milliseconds(batch.keep_ms[i])});
  }
  ec.clear();
  return out;
}

} // namespace marigoldstep
