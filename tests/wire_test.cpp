#include "marigoldstep.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;

// Guards against the use of a malformed or oversized frame from a peer.
TEST_CASE("a complete frame is decoded and an invalid one is rejected") {
  wire::AttemptDataT body;
  body.attempt_id = std::make_unique<wire::AttemptId>(1, 2);
  body.offset = 7;
  body.data = {1, 2, 3};
  const auto frame = wire::encode(wire::data_frame(std::move(body), 3));
  std::error_code ec;
  REQUIRE(wire::frame_size(frame, ec) == frame.size());
  const auto decoded = wire::decode_data(frame, ec);
  REQUIRE(decoded);
  CHECK(decoded->config_version == 3);
  REQUIRE(decoded->body.AsAttemptData() != nullptr);
  CHECK(decoded->body.AsAttemptData()->offset == 7);

  SECTION("a frame truncated at any byte is rejected") {
    for (std::size_t n = 0; n < frame.size(); ++n) {
      CHECK_FALSE(wire::decode_data(byte_view(frame).first(n), ec));
      CHECK(ec);
    }
  }
  SECTION("a frame of another protocol is rejected") {
    CHECK_FALSE(wire::decode_control(frame, ec));
    CHECK(ec == errc::malformed_message);
  }
  SECTION("a frame length over the limit is rejected") {
    auto oversized = frame;
    oversized[3] = 0x7f;
    CHECK(wire::frame_size(oversized, ec) == 0);
    CHECK(ec == errc::message_too_large);
  }
}
