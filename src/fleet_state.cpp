#include "marigoldstep/fleet_state.h"

namespace marigoldstep {

bytes encode_command(const wire::ControlFrameT& request, unix_seconds /*time*/) {
  return wire::encode(request);
}

wire::ControlBodyUnion apply_command(fleet_state& /*state*/, byte_view command) {
  std::error_code ec;
  const auto frame = wire::decode_control(command, ec);
  wire::ControlBodyUnion reply;
  if (frame && frame->body.AsClaimRequest() != nullptr) {
    wire::ClaimReplyT body;
    body.outcome = wire::ClaimOutcome::unavailable;
    reply.Set(std::move(body));
  }
  return reply;
}

bytes encode_snapshot(const fleet_state& /*state*/) {
  return {};
}

fleet_state decode_snapshot(byte_view /*data*/, std::error_code& ec) {
  ec.clear();
  return {};
}

} // namespace marigoldstep
