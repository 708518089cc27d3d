#include "marigoldstep/operators.h"

namespace marigoldstep {

namespace {

constexpr std::size_t max_name_bytes = 128;

wire::OperatorReplyT reply_with(const operator_table& table, errc code,
                                std::string text = {}) {
  wire::OperatorReplyT reply;
  reply.error_code = static_cast<std::uint16_t>(code);
  reply.message = std::move(text);
  for (const auto& [name, it] : table) {
    reply.names.push_back(name);
  }
  return reply;
}

wire::OperatorReplyT add(operator_table& table, const wire::OperatorRequestT& request) {
  if (request.name.empty() || request.name.size() > max_name_bytes ||
      request.salt.size() != operator_salt_bytes ||
      request.digest.size() != operator_digest_bytes) {
    return reply_with(table, errc::bad_request, "the name or the digest is malformed");
  }
  if (!table.contains(request.name) && table.size() >= max_operators) {
    return reply_with(table, errc::rate_limited, "there are 64 operators already");
  }
  table[request.name] = {request.salt, request.digest};
  return reply_with(table, errc::ok);
}

wire::OperatorReplyT remove(operator_table& table,
                            const wire::OperatorRequestT& request) {
  if (table.size() == 1 && table.contains(request.name)) {
    return reply_with(table, errc::bad_request,
                      "the last operator cannot be removed; add another one first");
  }
  table.erase(request.name);
  return reply_with(table, errc::ok);
}

} // namespace

wire::OperatorReplyT apply_operator(operator_table& table,
                                    const wire::OperatorRequestT& request) {
  switch (request.kind) {
  case wire::OperatorKind::list:
    return reply_with(table, errc::ok);
  case wire::OperatorKind::add:
    return add(table, request);
  case wire::OperatorKind::remove:
    return remove(table, request);
  }
  return reply_with(table, errc::bad_request);
}

} // namespace marigoldstep
