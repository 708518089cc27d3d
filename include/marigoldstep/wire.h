#pragma once

#include "marigoldstep/error.h"
#include "marigoldstep/generated/control_messages.h"
#include "marigoldstep/generated/data_messages.h"
#include "marigoldstep/generated/link_messages.h"
#include "marigoldstep/generated/raft_messages.h"
#include "marigoldstep/types.h"

#include <memory>

namespace marigoldstep::wire {

// Size in bytes of the length prefix of every frame.
inline constexpr std::size_t length_prefix_bytes = 4;

// Largest accepted frame in bytes, length prefix included. Limits the memory that a
// peer can make the receiver allocate before its message has been verified.
inline constexpr std::size_t max_frame_bytes = 16U << 20U;
// Protocol between routers and agents, and the first one in which agents acknowledge
// that bytes arrive.
inline constexpr std::uint32_t data_protocol = 2;
inline constexpr std::uint32_t acknowledging_data_protocol = 2;
// Protocol of control links, and the first ones with recorded versions and evacuations
// and with recorded departures.
inline constexpr std::uint32_t link_protocol = 2;
inline constexpr std::uint32_t recording_link_protocol = 1;
inline constexpr std::uint32_t departures_link_protocol = 2;

// Size in bytes of the first frame in buf, length prefix included; 0 when buf doesn't
// hold the whole frame yet. Sets ec to errc::message_too_large, and returns 0, for a
// frame over max_frame_bytes.
std::size_t frame_size(byte_view buf, std::error_code& ec);

// Encodes a frame with its length prefix.
bytes encode(const DataFrameT& frame);
bytes encode(const ControlFrameT& frame);
bytes encode(const RaftFrameT& frame);
bytes encode(const LinkFrameT& frame);

// Verifies and unpacks one complete frame. On malformed input, returns null and sets ec
// to errc::malformed_message. A frame without a body is malformed.
std::unique_ptr<DataFrameT> decode_data(byte_view buf, std::error_code& ec);
std::unique_ptr<ControlFrameT> decode_control(byte_view buf, std::error_code& ec);
std::unique_ptr<RaftFrameT> decode_raft(byte_view buf, std::error_code& ec);
std::unique_ptr<LinkFrameT> decode_link(byte_view buf, std::error_code& ec);

// Wraps a body in a frame.
template <typename Body> DataFrameT data_frame(Body body, std::uint64_t config_version) {
  DataFrameT frame;
  frame.config_version = config_version;
  frame.body.Set(std::move(body));
  return frame;
}

template <typename Body>
ControlFrameT control_frame(Body body, std::uint64_t correlation) {
  ControlFrameT frame;
  frame.correlation = correlation;
  frame.body.Set(std::move(body));
  return frame;
}

template <typename Body> bytes encode_link(Body body) {
  LinkFrameT frame;
  frame.body.Set(std::move(body));
  return encode(frame);
}

inline AttemptId to_wire(const attempt_id& id) {
  return {id.hi, id.lo};
}
inline attempt_id from_wire(const AttemptId& id) {
  return {id.hi(), id.lo()};
}

} // namespace marigoldstep::wire
