#include "marigoldstep/wire.h"

namespace marigoldstep::wire {

namespace {

constexpr std::size_t initial_buffer_bytes = 1024;
// Limits of the FlatBuffers verifier.
constexpr std::size_t max_nesting = 16;
constexpr std::size_t max_tables = 200'000;

template <typename Frame, typename Native, typename Finish>
bytes encode_frame(const Native& frame, Finish finish) {
  flatbuffers::FlatBufferBuilder builder(initial_buffer_bytes);
  finish(builder, Frame::Pack(builder, &frame));
  const auto* begin = builder.GetBufferPointer();
  return {begin, begin + builder.GetSize()};
}

template <typename Frame>
std::unique_ptr<typename Frame::NativeTableType>
decode_frame(byte_view buf, const char* identifier, std::error_code& ec) {
  const bool whole = !buf.empty() && frame_size(buf, ec) == buf.size();
  ec = make_error_code(errc::malformed_message);
  if (!whole) {
    return nullptr;
  }
  flatbuffers::Verifier verifier(buf.data(), buf.size(), max_nesting, max_tables);
  if (!verifier.VerifySizePrefixedBuffer<Frame>(identifier)) {
    return nullptr;
  }
  const auto* frame = flatbuffers::GetSizePrefixedRoot<Frame>(buf.data());
  std::unique_ptr<typename Frame::NativeTableType> native(frame->UnPack());
  // The verifier accepts a missing body and unknown body types.
  if (native->body.value == nullptr) {
    return nullptr;
  }
  ec.clear();
  return native;
}

} // namespace

std::size_t frame_size(byte_view buf, std::error_code& ec) {
  ec.clear();
  if (buf.size() < length_prefix_bytes) {
    return 0;
  }
  const std::size_t n =
      flatbuffers::ReadScalar<flatbuffers::uoffset_t>(buf.data()) + length_prefix_bytes;
  if (n > max_frame_bytes) {
    ec = make_error_code(errc::message_too_large);
    return 0;
  }
  return buf.size() < n ? 0 : n;
}

bytes encode(const DataFrameT& frame) {
  return encode_frame<DataFrame>(frame, [](auto& builder, auto root) {
    FinishSizePrefixedDataFrameBuffer(builder, root);
  });
}

bytes encode(const ControlFrameT& frame) {
  return encode_frame<ControlFrame>(frame, [](auto& builder, auto root) {
    FinishSizePrefixedControlFrameBuffer(builder, root);
  });
}

bytes encode(const RaftFrameT& frame) {
  return encode_frame<RaftFrame>(frame, [](auto& builder, auto root) {
    FinishSizePrefixedRaftFrameBuffer(builder, root);
  });
}

bytes encode(const LinkFrameT& frame) {
  return encode_frame<LinkFrame>(frame, [](auto& builder, auto root) {
    FinishSizePrefixedLinkFrameBuffer(builder, root);
  });
}

std::unique_ptr<DataFrameT> decode_data(byte_view buf, std::error_code& ec) {
  return decode_frame<DataFrame>(buf, DataFrameIdentifier(), ec);
}

std::unique_ptr<ControlFrameT> decode_control(byte_view buf, std::error_code& ec) {
  return decode_frame<ControlFrame>(buf, ControlFrameIdentifier(), ec);
}

std::unique_ptr<RaftFrameT> decode_raft(byte_view buf, std::error_code& ec) {
  return decode_frame<RaftFrame>(buf, RaftFrameIdentifier(), ec);
}

std::unique_ptr<LinkFrameT> decode_link(byte_view buf, std::error_code& ec) {
  return decode_frame<LinkFrame>(buf, LinkFrameIdentifier(), ec);
}

} // namespace marigoldstep::wire
