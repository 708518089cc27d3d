#include "control/authorization.h"

#include "marigoldstep/io/operator_key.h"

namespace marigoldstep::control {

namespace {

template <typename Reply> Reply refuse() {
  Reply reply;
  reply.error_code = static_cast<std::uint16_t>(errc::not_authorized);
  reply.message = std::string(message(errc::not_authorized));
  return reply;
}

} // namespace

bool is_authorized(const operator_table& operators, const wire::ControlFrameT& request) {
  if (const auto* change = request.body.AsChangeRequest()) {
    return io::authorize(operators, change->author, change->operator_key);
  }
  if (const auto* other = request.body.AsOperatorRequest()) {
    return io::authorize(operators, other->author, other->operator_key);
  }
  if (const auto* member = request.body.AsMemberRequest()) {
    return io::authorize(operators, "", member->operator_key);
  }
  return true;
}

wire::ControlFrameT refusal_of(const wire::ControlFrameT& request) {
  if (request.body.AsOperatorRequest() != nullptr) {
    return wire::control_frame(refuse<wire::OperatorReplyT>(), request.correlation);
  }
  if (request.body.AsMemberRequest() != nullptr) {
    return wire::control_frame(refuse<wire::MemberReplyT>(), request.correlation);
  }
  auto reply = refuse<wire::ChangeReplyT>();
  reply.outcome = wire::ChangeOutcome::refused;
  return wire::control_frame(std::move(reply), request.correlation);
}

} // namespace marigoldstep::control
