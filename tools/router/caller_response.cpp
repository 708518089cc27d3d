#include "router/caller_response.h"

#include "marigoldstep/io/http_status.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <array>

namespace marigoldstep::router {

namespace {

constexpr std::array<std::string_view, 8> unforwarded_headers = {
    "connection", "transfer-encoding", "content-length", "keep-alive",
    "te",         "trailer",           "upgrade",        "proxy-authenticate"};

bool is_forwarded(std::string_view name) {
  std::string lower(name);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return std::find(unforwarded_headers.begin(), unforwarded_headers.end(), lower) ==
             unforwarded_headers.end() &&
         !lower.starts_with("x-marigoldstep-");
}

std::vector<io::http_field> make_fields(const wire::AttemptHeadT& head,
                                        const response_ids& ids) {
  std::vector<io::http_field> out;
  for (const auto& it : head.headers) {
    if (is_forwarded(it->name)) {
      out.push_back({it->name, it->value});
    }
  }
  out.push_back({"X-Marigoldstep-Request-Id", ids.request_id});
  if (!ids.resume_token.empty()) {
    out.push_back({"X-Marigoldstep-Resume", ids.resume_token});
  }
  return out;
}

struct status_entry {
  errc code;
  int status;
};

constexpr std::array<status_entry, 29> statuses = {{
    {errc::bad_request, 400},
    {errc::body_too_large, 413},
    {errc::unknown_workspace, 403},
    {errc::unknown_model, 404},
    {errc::unknown_service, 404},
    {errc::missing_idempotency_key, 400},
    {errc::bad_idempotency_key, 400},
    {errc::idempotency_key_expired, 409},
    {errc::idempotency_key_in_future, 400},
    {errc::idempotency_key_reused, 422},
    {errc::request_cancelled, 409},
    {errc::already_running, 409},
    {errc::deadline_exceeded, 504},
    {errc::load_limit_reached, 503},
    {errc::queue_full, 503},
    {errc::server_draining, 503},
    {errc::no_server_available, 503},
    {errc::stale_configuration, 503},
    {errc::no_configuration, 503},
    {errc::lease_expired, 503},
    {errc::wrong_incarnation, 503},
    {errc::retry_budget_exhausted, 503},
    {errc::circuit_open, 503},
    {errc::control_unavailable, 503},
    {errc::unknown_attempt, 404},
    {errc::attempt_expired, 410},
    {errc::not_implemented, 501},
    {errc::memory_full, 503},
    {errc::server_refused, 503},
}};

} // namespace

int http_status(const outcome& result) {
  constexpr int bad_gateway = 502;
  const auto it = std::find_if(
      statuses.begin(), statuses.end(),
      [&result](const status_entry& entry) { return result.error == entry.code; });
  if (it == statuses.end()) {
    return bad_gateway;
  }
  const bool is_false =
      result.result != verdict::not_run &&
      io::http_status::promises_not_run(static_cast<unsigned>(it->status));
  return is_false ? bad_gateway : it->status;
}

std::vector<io::http_field> make_problem_fields(const outcome& result) {
  std::vector<io::http_field> fields = {{"Content-Type", problem_media_type}};
  if (result.retry_after.count() > 0) {
    fields.push_back(io::make_retry_after_field(result.retry_after));
  }
  return fields;
}

std::string make_problem(const outcome& result, const std::string& request_id) {
  const auto code = errc_from_number(static_cast<unsigned>(result.error.value()));
  const auto text = [](std::string_view it) {
    return QString::fromUtf8(it.data(), static_cast<qsizetype>(it.size()));
  };
  QJsonObject problem;
  problem["type"] = "about:blank";
  problem["title"] = text(message(code));
  problem["status"] = http_status(result);
  problem["code"] = text(name(code));
  problem["verdict"] = text(name(result.result));
  if (!request_id.empty()) {
    problem["request_id"] = QString::fromStdString(request_id);
  }
  return QJsonDocument(problem).toJson(QJsonDocument::Compact).toStdString();
}

void caller_response::begin(const wire::AttemptHeadT& head, const response_ids& ids) {
  if (is_open()) {
    connection_->http->begin(head.status, make_fields(head, ids), std::nullopt);
  }
}

void caller_response::write_chunk(byte_view data) {
  if (is_open()) {
    connection_->http->write_body(as_text(data));
  }
}

void caller_response::end() {
  if (is_open()) {
    connection_->http->finish();
  }
}

void caller_response::write_complete(const wire::AttemptHeadT& head, byte_view body,
                                     const response_ids& ids) {
  if (is_open()) {
    connection_->http->respond(head.status, make_fields(head, ids), as_text(body));
  }
}

void caller_response::write_problem(const outcome& result,
                                    const std::string& request_id) {
  if (!is_open()) {
    return;
  }
  auto fields = make_problem_fields(result);
  fields.push_back({"X-Marigoldstep-Request-Id", request_id});
  connection_->http->respond(static_cast<unsigned>(http_status(result)), fields,
                             make_problem(result, request_id));
}

void caller_response::close_incomplete() {
  if (!is_open()) {
    return;
  }
  auto* connection = connection_;
  connection_ = nullptr;
  connection->handler = nullptr;
  connection->http->abort();
}

void caller_response::release() {
  if (is_open()) {
    auto* connection = connection_;
    connection_ = nullptr;
    caller_server::release(*connection);
  }
}

std::uint64_t caller_response::queued_bytes() const {
  return is_open() ? connection_->http->queued_bytes() : 0;
}

} // namespace marigoldstep::router
