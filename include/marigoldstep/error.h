#pragma once

#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace marigoldstep {

// Errors of the library and the programs. The numeric values are part of the wire
// protocol: append new entries, never reorder or remove one.
enum class errc {
  ok = 0,
  bad_request,
  body_too_large,
  unknown_workspace,
  unknown_model,
  unknown_service,
  missing_idempotency_key,
  bad_idempotency_key,
  idempotency_key_expired,
  idempotency_key_in_future,
  idempotency_key_reused,
  request_cancelled,
  already_running,
  deadline_exceeded,
  load_limit_reached,
  queue_full,
  server_draining,
  no_server_available,
  stale_configuration,
  no_configuration,
  lease_expired,
  wrong_incarnation,
  agent_unreachable,
  server_unreachable,
  server_failed,
  answer_truncated,
  answer_too_large,
  unknown_attempt,
  attempt_expired,
  retry_budget_exhausted,
  circuit_open,
  control_unavailable,
  not_leader,
  stale_base_version,
  unknown_change,
  change_already_decided,
  not_authorized,
  unsafe_member_change,
  stale_fencing_token,
  rate_limited,
  malformed_message,
  message_too_large,
  storage_corrupt,
  storage_failed,
  bad_setting,
  internal_error,
  not_implemented,
  memory_full,
  server_refused,
};

// Stable machine-readable name, sent to callers in the field "code".
std::string_view name(errc code);

// Human-readable sentence without a full stop.
std::string_view message(errc code);

const std::error_category& marigoldstep_category();
std::error_code make_error_code(errc code);

// Converts a number received in a message. Numbers unknown to this build become
// errc::internal_error.
errc errc_from_number(unsigned number);

namespace detail {
struct errc_entry {
  errc code;
  std::string_view name;
  std::string_view message;
};
const std::vector<errc_entry>& errc_table();
} // namespace detail

} // namespace marigoldstep

template <> struct std::is_error_code_enum<marigoldstep::errc> : std::true_type {};
