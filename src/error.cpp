#include "marigoldstep/error.h"

#include <algorithm>

namespace marigoldstep {

namespace detail {

const std::vector<errc_entry>& errc_table() {
  static const std::vector<errc_entry> table = {
      {errc::ok, "ok", "no error"},
      {errc::bad_request, "bad_request", "the request is malformed"},
      {errc::body_too_large, "body_too_large", "the request body exceeds the size limit"},
      {errc::unknown_workspace, "unknown_workspace",
       "the workspace is not in the configuration"},
      {errc::unknown_model, "unknown_model",
       "the model is not in the configuration of this workspace"},
      {errc::unknown_service, "unknown_service",
       "the service is not in the configuration"},
      {errc::missing_idempotency_key, "missing_idempotency_key",
       "this call may not be repeated and needs an Idempotency-Key"},
      {errc::bad_idempotency_key, "bad_idempotency_key",
       "the Idempotency-Key is neither a version 7 UUID nor <unix seconds>-<token>"},
      {errc::idempotency_key_expired, "idempotency_key_expired",
       "the Idempotency-Key is older than the retention time; an earlier send may have "
       "run"},
      {errc::idempotency_key_in_future, "idempotency_key_in_future",
       "the time in the Idempotency-Key is too far in the future"},
      {errc::idempotency_key_reused, "idempotency_key_reused",
       "the Idempotency-Key was used with another request body"},
      {errc::request_cancelled, "request_cancelled",
       "the request was cancelled before it ran"},
      {errc::already_running, "already_running",
       "an earlier send of this request is still running or its end is unknown"},
      {errc::deadline_exceeded, "deadline_exceeded", "the deadline has passed"},
      {errc::load_limit_reached, "load_limit_reached",
       "the backend server is at its load limit"},
      {errc::queue_full, "queue_full", "the queue cannot meet the deadline"},
      {errc::server_draining, "server_draining", "the backend server is leaving"},
      {errc::no_server_available, "no_server_available",
       "no backend server can take the request now"},
      {errc::stale_configuration, "stale_configuration",
       "the sender applies an older configuration"},
      {errc::no_configuration, "no_configuration",
       "no configuration has been received yet"},
      {errc::lease_expired, "lease_expired",
       "the lease from the control group has expired"},
      {errc::wrong_incarnation, "wrong_incarnation",
       "the agent has restarted since it was announced"},
      {errc::agent_unreachable, "agent_unreachable", "the agent cannot be reached"},
      {errc::server_unreachable, "server_unreachable",
       "the backend server cannot be reached"},
      {errc::server_failed, "server_failed", "the backend server failed"},
      {errc::answer_truncated, "answer_truncated",
       "the answer ended before it was whole"},
      {errc::answer_too_large, "answer_too_large", "the answer exceeds the size limit"},
      {errc::unknown_attempt, "unknown_attempt", "the attempt is not known here"},
      {errc::attempt_expired, "attempt_expired", "the answer is no longer kept"},
      {errc::retry_budget_exhausted, "retry_budget_exhausted",
       "the retry budget is exhausted"},
      {errc::circuit_open, "circuit_open",
       "the circuit breaker of the backend server is open"},
      {errc::control_unavailable, "control_unavailable",
       "the control group cannot be reached or has no quorum"},
      {errc::not_leader, "not_leader", "this control process is not the leader"},
      {errc::stale_base_version, "stale_base_version",
       "the change was made from a version that is no longer the accepted one"},
      {errc::unknown_change, "unknown_change", "the change is not known"},
      {errc::change_already_decided, "change_already_decided",
       "the change was already accepted, refused or stopped"},
      {errc::not_authorized, "not_authorized",
       "the operator key is unknown or lacks the right"},
      {errc::unsafe_member_change, "unsafe_member_change",
       "the member change would leave too few voters that hold the whole log"},
      {errc::stale_fencing_token, "stale_fencing_token",
       "the order carries an old fencing token"},
      {errc::rate_limited, "rate_limited", "the rate limit is reached"},
      {errc::malformed_message, "malformed_message", "the message is malformed"},
      {errc::message_too_large, "message_too_large",
       "the message exceeds the size limit"},
      {errc::storage_corrupt, "storage_corrupt", "the stored log is damaged"},
      {errc::storage_failed, "storage_failed", "writing or syncing to the disk failed"},
      {errc::bad_setting, "bad_setting", "a setting is invalid"},
      {errc::internal_error, "internal_error", "internal error"},
      {errc::not_implemented, "not_implemented",
       "the method or a transfer coding is not implemented"},
      {errc::memory_full, "memory_full",
       "the memory for requests is full; the request was not run"},
      {errc::server_refused, "server_refused",
       "the backend server refused the request and did not run it"},
  };
  return table;
}

namespace {

const errc_entry& find_entry(errc code) {
  const auto& table = errc_table();
  auto it = std::find_if(table.begin(), table.end(),
                         [code](const errc_entry& entry) { return entry.code == code; });
  return it == table.end() ? find_entry(errc::internal_error) : *it;
}

struct category final : std::error_category {
  [[nodiscard]] const char* name() const noexcept override { return "marigoldstep"; }
  [[nodiscard]] std::string message(int value) const override {
    return std::string(find_entry(static_cast<errc>(value)).message);
  }
};

} // namespace
} // namespace detail

std::string_view name(errc code) {
  return detail::find_entry(code).name;
}

std::string_view message(errc code) {
  return detail::find_entry(code).message;
}

const std::error_category& marigoldstep_category() {
  static const detail::category instance;
  return instance;
}

std::error_code make_error_code(errc code) {
  return {static_cast<int>(code), marigoldstep_category()};
}

errc errc_from_number(unsigned number) {
  constexpr auto last = static_cast<unsigned>(errc::server_refused);
  return number > last ? errc::internal_error : static_cast<errc>(number);
}

} // namespace marigoldstep
