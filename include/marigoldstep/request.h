#pragma once

#include "marigoldstep/configuration.h"
#include "marigoldstep/placement.h"
#include "marigoldstep/verdict.h"

#include <optional>
#include <string>
#include <string_view>

namespace marigoldstep {

// Fields of a caller's request, as unparsed text from its path, headers and body.
struct request_fields {
  std::string workspace;
  std::string chat_id;
  std::string model;   // empty for a plain service
  std::string service; // empty for a chat
  std::string method;  // upper case
  std::string path;    // percent-decoded, without the query
  std::string deadline_ms;
  std::string priority;
  std::string idempotency_key;
  bool stream = false;
  std::size_t body_bytes = 0;
};

// A valid request, with defaults from the configuration filled in.
struct checked_request {
  std::string workspace;
  std::string chat_id;
  std::string model;
  std::string service; // name of the pool or plain service
  std::string idempotency_key;
  milliseconds deadline{0};
  marigoldstep::priority priority = priority::short_call;
  bool repeatable = true;
  bool stream = false;
  placement_key placement;

  friend bool operator==(const checked_request&, const checked_request&) = default;
};

// request is only valid if error is not set.
struct request_check {
  checked_request request;
  std::error_code error;
};

// Maximum length of a name, chat id or idempotency key in a request.
inline constexpr std::size_t max_request_field_bytes = 256;
inline constexpr auto max_request_deadline = milliseconds(24L * 3600 * 1000);

// Checks a request against the configuration. now is the wall-clock time for the age of
// the idempotency key. Errors: bad_request, body_too_large, unknown_workspace,
// unknown_model, unknown_service and the idempotency key codes.
request_check check_request(const configuration& config, const request_fields& fields,
                            unix_seconds now);

// Checks the format and age of an idempotency key. An earlier request with a key older
// than the retention may have run, so the verdict is then may_have_run.
outcome check_idempotency_key(std::string_view key, unix_seconds now,
                              milliseconds claim_retention);

// Hash of the content of a call; a resend with the same idempotency key must have the
// same hash. target is the path with the query, as forwarded.
std::uint64_t hash_call(std::string_view method, std::string_view target, byte_view body);

// Written as "<agent id>.<attempt id>"; agent ids may contain dots.
struct resume_token {
  std::string agent;
  attempt_id attempt;
};
std::optional<resume_token> parse_resume_token(std::string_view text);
std::string to_string(const resume_token& token);

} // namespace marigoldstep
