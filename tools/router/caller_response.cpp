#include "router/caller_response.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <array>
#include <charconv>

namespace marigoldstep::router {

namespace {

using status_code = QHttpServerResponder::StatusCode;

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

QByteArray to_bytes(const std::string& text) {
  return QByteArray::fromStdString(text);
}

bool has_no_body(int status) {
  constexpr int no_content = 204;
  constexpr int not_modified = 304;
  return status < 200 || status == no_content || status == not_modified;
}

struct status_entry {
  errc code;
  int status;
};

constexpr std::array<status_entry, 26> statuses = {{
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
}};

} // namespace

int http_status(const outcome& result) {
  constexpr int bad_gateway = 502;
  const auto it = std::find_if(
      statuses.begin(), statuses.end(),
      [&result](const status_entry& entry) { return result.error == entry.code; });
  return it == statuses.end() ? bad_gateway : it->status;
}

caller_response::caller_response(QHttpServerResponder responder,
                                 caller_connection& connection)
    : responder_(std::move(responder)), connection_(&connection) {}

void caller_response::write_head(const wire::AttemptHeadT& head,
                                 const response_ids& ids) {
  responder_.writeStatusLine(static_cast<status_code>(head.status));
  for (const auto& it : head.headers) {
    if (is_forwarded(it->name)) {
      responder_.writeHeader(to_bytes(it->name), to_bytes(it->value));
    }
  }
  responder_.writeHeader("X-Marigoldstep-Request-Id", to_bytes(ids.request_id));
  if (!ids.resume_token.empty()) {
    responder_.writeHeader("X-Marigoldstep-Resume", to_bytes(ids.resume_token));
  }
}

void caller_response::begin(const wire::AttemptHeadT& head, const response_ids& ids) {
  if (!is_open()) {
    return;
  }
  write_head(head, ids);
  responder_.writeHeader("Transfer-Encoding", "chunked");
  responder_.writeBody(QByteArray());
}

void caller_response::write_chunk(byte_view data) {
  if (!is_open() || data.empty()) {
    return;
  }
  std::array<char, 20> size{};
  auto [end, ec] = std::to_chars(size.data(), size.data() + size.size(), data.size(), 16);
  QByteArray chunk;
  const auto needed = data.size() + size.size() + 4;
  chunk.reserve(qsizetype(needed));
  chunk.append(size.data(), end - size.data());
  chunk.append("\r\n");
  chunk.append(reinterpret_cast<const char*>(data.data()),
               static_cast<qsizetype>(data.size()));
  chunk.append("\r\n");
  responder_.writeBody(chunk);
}

void caller_response::end() {
  if (is_open()) {
    responder_.writeBody("0\r\n\r\n");
  }
}

void caller_response::write_complete(const wire::AttemptHeadT& head, byte_view body,
                                     bool is_head, const response_ids& ids) {
  if (!is_open()) {
    return;
  }
  write_head(head, ids);
  const bool without_body = is_head || has_no_body(head.status);
  if (!without_body) {
    responder_.writeHeader("Content-Length", QByteArray::number(quint64(body.size())));
  }
  const auto* data = reinterpret_cast<const char*>(body.data());
  responder_.writeBody(data, without_body ? 0 : static_cast<qint64>(body.size()));
}

void caller_response::write_problem(const outcome& result,
                                    const std::string& request_id) {
  if (!is_open()) {
    return;
  }
  const auto code = errc_from_number(static_cast<unsigned>(result.error.value()));
  const auto text = [](std::string_view it) {
    return QString::fromUtf8(it.data(), static_cast<qsizetype>(it.size()));
  };
  const int status = http_status(result);
  QJsonObject problem;
  problem["type"] = "about:blank";
  problem["title"] = text(message(code));
  problem["status"] = status;
  problem["code"] = text(name(code));
  problem["verdict"] = text(name(result.result));
  problem["request_id"] = QString::fromStdString(request_id);
  const auto body = QJsonDocument(problem).toJson(QJsonDocument::Compact);
  responder_.writeStatusLine(static_cast<status_code>(status));
  responder_.writeHeader("Content-Type", "application/problem+json");
  responder_.writeHeader("X-Marigoldstep-Request-Id", to_bytes(request_id));
  if (result.retry_after.count() > 0) {
    // The header has a resolution of one second. Rounded up, because callers would
    // otherwise retry too early.
    const auto seconds = (result.retry_after.count() + 999) / 1000;
    responder_.writeHeader("Retry-After", QByteArray::number(qint64(seconds)));
  }
  responder_.writeHeader("Content-Length", QByteArray::number(body.size()));
  responder_.writeBody(body);
}

void caller_response::close_incomplete() {
  if (!is_open()) {
    return;
  }
  auto* connection = connection_;
  connection_ = nullptr;
  connection->handler = nullptr;
  connection->socket->disconnectFromHost();
}

void caller_response::flush() {
  if (is_open()) {
    connection_->socket->flush();
  }
}

void caller_response::release() {
  if (is_open()) {
    auto* connection = connection_;
    connection_ = nullptr;
    caller_server::release(*connection);
  }
}

std::uint64_t caller_response::queued_bytes() const {
  return is_open() ? static_cast<std::uint64_t>(connection_->socket->bytesToWrite()) : 0;
}

} // namespace marigoldstep::router
