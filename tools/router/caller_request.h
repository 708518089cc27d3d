#pragma once

#include "marigoldstep/request.h"
#include "marigoldstep/wire.h"

#include <QHttpServerRequest>

namespace marigoldstep::router {

enum class call_kind { chat, service, resume, cancel, unknown };

// What a caller's path and method ask for.
call_kind classify_request(const QHttpServerRequest& request);

// A call as it is checked and sent on.
struct parsed_call {
  request_fields fields;
  wire::StartAttemptT start;
  std::error_code error;
};

// Reads a chat or service call. Sets error to errc::bad_request for a body that
// is not the expected JSON, or for a malformed path.
parsed_call parse_call(const QHttpServerRequest& request, call_kind kind);

// Fills in what the configuration decides.
void fill_start(wire::StartAttemptT& start, const checked_request& request);

// GET /v1/attempts/<token>?offset=N
struct parsed_resume {
  resume_token token;
  std::uint64_t offset = 0;
  std::error_code error;
};
parsed_resume parse_resume(const QHttpServerRequest& request);

// POST /v1/requests/cancel; the body names the service.
struct parsed_cancel {
  std::string workspace;
  std::string service;
  std::string key;
  std::error_code error;
};
parsed_cancel parse_cancel(const QHttpServerRequest& request);

} // namespace marigoldstep::router
