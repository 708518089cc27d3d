#pragma once

#include "marigoldstep/io/http_connection.h"
#include "marigoldstep/request.h"
#include "marigoldstep/wire.h"

namespace marigoldstep::router {

enum class call_kind { chat, service, resume, cancel, unknown };

// Determines the kind of a request from its path and method.
call_kind classify_request(const io::http_request& request);

// A call, as fields for the check and as a start message for the agent.
struct parsed_call {
  request_fields fields;
  wire::StartAttemptT start;
  std::error_code error;
};

// Parses a chat or service call. Sets error to errc::bad_request if the path or the JSON
// body is malformed, and to errc::unknown_model if the model name is empty.
parsed_call parse_call(const io::http_request& request, call_kind kind);

// Copies the checked fields, with defaults from the configuration, to the start message.
void fill_start(wire::StartAttemptT& start, const checked_request& request);

// Parses GET /v1/attempts/<token>?offset=N. Error: bad_request.
struct parsed_resume {
  resume_token token;
  std::uint64_t offset = 0;
  std::error_code error;
};
parsed_resume parse_resume(const io::http_request& request);

// Parses POST /v1/requests/cancel, whose JSON body names the service. Error: bad_request.
struct parsed_cancel {
  std::string workspace;
  std::string service;
  std::string key;
  std::error_code error;
};
parsed_cancel parse_cancel(const io::http_request& request);

} // namespace marigoldstep::router
