#include "marigoldstep/fleet_state.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace marigoldstep;

namespace {

bytes make_store_command(std::uint64_t version, const bytes& text) {
  wire::StoreRoutingT request;
  request.version = version;
  request.packed_text = text;
  return encode_command(wire::control_frame(std::move(request), 0), 1);
}

} // namespace

TEST_CASE(
    "the highest routing version is kept across reordering, resends and snapshots") {
  rc::prop("the stored version is the maximum of the sent versions", [] {
    fleet_state state;
    std::uint64_t version = 0;
    bytes text;
    const auto n = *rc::gen::inRange(0, 30);
    for (int i = 0; i < n; ++i) {
      const auto sent = *rc::gen::inRange<std::uint64_t>(1, 10);
      const bytes content{static_cast<std::uint8_t>(i)};
      if (sent > version) {
        version = sent;
        text = content;
      }
      const auto reply = apply_command(state, make_store_command(sent, content));
      RC_ASSERT(reply.AsStoreRoutingReply() != nullptr);
      RC_ASSERT(reply.AsStoreRoutingReply()->version == version);
      if (*rc::gen::arbitrary<bool>()) {
        std::error_code ec;
        state = decode_snapshot(encode_snapshot(state), ec);
        RC_ASSERT(!ec);
      }
      RC_ASSERT(state.routing_version == version);
      RC_ASSERT(state.routing_packed_text == text);
    }
  });
}
