// Requests that go through the replicated log: claims, orders, and changes of the
// configuration, the operators and the members.
#include "control/service.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/io/operator_key.h"

#include <algorithm>

namespace marigoldstep::control {

namespace {

// Constant-time comparison of keys of the same length.
bool keys_equal(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t i = 0; i < left.size(); ++i) {
    difference |=
        static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
  }
  return difference == 0;
}

std::uint16_t number(errc code) {
  return static_cast<std::uint16_t>(code);
}

member_change from_wire(wire::MemberKind kind) {
  switch (kind) {
  case wire::MemberKind::promote:
    return member_change::promote;
  case wire::MemberKind::remove:
    return member_change::remove;
  default:
    return member_change::add_learner;
  }
}

std::uint16_t number(std::error_code ec) {
  if (!ec) {
    return 0;
  }
  const bool is_own_category = ec.category() == marigoldstep_category();
  return is_own_category ? static_cast<std::uint16_t>(ec.value())
                         : number(errc::internal_error);
}

} // namespace

bool service::is_authorized(const std::string& name, std::string_view key) const {
  const auto& replicated = group_.state().operators;
  if (operators_.empty() && replicated.empty()) {
    return true;
  }
  const bool in_settings =
      std::any_of(operators_.begin(), operators_.end(), [&](const auto& it) {
        return (name.empty() || it.name == name) && keys_equal(it.key, key);
      });
  return in_settings || (!replicated.empty() && io::authorize(replicated, name, key));
}

void service::handle_operator(const link& to, const wire::ControlFrameT& frame) {
  // Confirms leadership first: a new leader that has not applied every entry may lack
  // the operators, and without operators every request is authorized.
  group_.confirm([this, to, frame](std::error_code ec) {
    if (ec) {
      send_not_leader(to, frame.correlation);
    } else if (const auto* change = frame.body.AsChangeRequest()) {
      handle_change(to, frame, *change);
    } else if (const auto* member = frame.body.AsMemberRequest()) {
      handle_member(to, frame.correlation, *member);
    } else if (const auto* request = frame.body.AsOperatorRequest()) {
      handle_operator_keys(to, frame, *request);
    }
  });
}

void service::handle_operator_keys(const link& to, const wire::ControlFrameT& frame,
                                   const wire::OperatorRequestT& body) {
  if (is_authorized(body.author, body.operator_key)) {
    handle_command(to, frame);
    return;
  }
  io::log_event(io::log_level::warning, "operator_refused", {{"author", body.author}});
  wire::OperatorReplyT reply;
  reply.error_code = number(errc::not_authorized);
  reply.message = "the key does not belong to operator " + body.author;
  send(to, wire::control_frame(std::move(reply), frame.correlation));
}

void service::handle_command(const link& to, const wire::ControlFrameT& frame) {
  group_.propose(encode_command(frame, io::wall_clock()),
                 [this, to, frame](std::error_code ec, wire::ControlBodyUnion body) {
                   if (ec == errc::rate_limited) {
                     send_rate_limited(to, frame);
                   } else if (ec) {
                     // The sender retries at the leader; all requests are
                     // idempotent.
                     send_not_leader(to, frame.correlation);
                   } else if (body.type == wire::ControlBody::NONE) {
                     close(to);
                   } else {
                     wire::ControlFrameT reply;
                     reply.correlation = frame.correlation;
                     reply.body = std::move(body);
                     send(to, reply);
                   }
                   update_in_force();
                 });
}

void service::send_rate_limited(const link& to, const wire::ControlFrameT& request) {
  if (request.body.AsClaimRequest() != nullptr) {
    wire::ClaimReplyT reply;
    reply.outcome = wire::ClaimOutcome::unavailable;
    reply.error_code = number(errc::rate_limited);
    send(to, wire::control_frame(std::move(reply), request.correlation));
  } else if (request.body.AsOrderRequest() != nullptr) {
    constexpr std::uint32_t rate_limited_retry_ms = 1000;
    wire::OrderReplyT reply;
    reply.retry_after_ms = rate_limited_retry_ms;
    send(to, wire::control_frame(reply, request.correlation));
  } else if (request.body.AsOperatorRequest() != nullptr) {
    wire::OperatorReplyT reply;
    reply.error_code = number(errc::rate_limited);
    reply.message = "the control group is overloaded; send the request again";
    send(to, wire::control_frame(std::move(reply), request.correlation));
  } else {
    wire::ChangeReplyT reply;
    reply.outcome = wire::ChangeOutcome::refused;
    reply.error_code = number(errc::rate_limited);
    reply.message = "the control group is overloaded; send the request again";
    send(to, wire::control_frame(std::move(reply), request.correlation));
  }
}

void service::handle_change(const link& to, const wire::ControlFrameT& frame,
                            const wire::ChangeRequestT& body) {
  if (is_authorized(body.author, body.operator_key)) {
    handle_command(to, frame);
    return;
  }
  io::log_event(io::log_level::warning, "operator_refused", {{"author", body.author}});
  wire::ChangeReplyT reply;
  reply.outcome = wire::ChangeOutcome::refused;
  reply.error_code = number(errc::not_authorized);
  reply.message = "the key does not belong to operator " + body.author;
  send(to, wire::control_frame(std::move(reply), frame.correlation));
}

void service::handle_member(const link& to, std::uint64_t correlation,
                            const wire::MemberRequestT& body) {
  const auto send_reply = [this, to, correlation](std::error_code ec,
                                                  const std::string& detail) {
    wire::MemberReplyT reply;
    reply.error_code = number(ec);
    reply.message = detail;
    send(to, wire::control_frame(std::move(reply), correlation));
  };
  if (!is_authorized("", body.operator_key)) {
    send_reply(make_error_code(errc::not_authorized), "the key belongs to no operator");
    return;
  }
  group_.change_member(from_wire(body.kind), {body.node_id, body.host, body.port, true},
                       send_reply);
}

} // namespace marigoldstep::control
