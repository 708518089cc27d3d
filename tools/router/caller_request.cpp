#include "router/caller_request.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>
#include <QUrlQuery>

#include <algorithm>
#include <array>

namespace marigoldstep::router {

namespace {

const QString chat_path = "/v1/chat/completions";
const QString cancel_path = "/v1/requests/cancel";
const QString resume_prefix = "/v1/attempts/";
const QString service_prefix = "/services/";

constexpr std::array<std::string_view, 9> hop_by_hop_headers = {
    "host",    "connection", "content-length", "transfer-encoding", "keep-alive", "te",
    "trailer", "upgrade",    "expect"};

std::string header(const QHttpServerRequest& request, const char* name) {
  return request.value(name).trimmed().toStdString();
}

std::string method_name(QHttpServerRequest::Method method) {
  switch (method) {
  case QHttpServerRequest::Method::Get:
    return "GET";
  case QHttpServerRequest::Method::Put:
    return "PUT";
  case QHttpServerRequest::Method::Delete:
    return "DELETE";
  case QHttpServerRequest::Method::Post:
    return "POST";
  case QHttpServerRequest::Method::Head:
    return "HEAD";
  case QHttpServerRequest::Method::Options:
    return "OPTIONS";
  case QHttpServerRequest::Method::Patch:
    return "PATCH";
  default:
    return {};
  }
}

void copy_headers(const QHttpServerRequest& request, wire::StartAttemptT& start) {
  for (const auto& [name, value] : request.headers()) {
    const auto lower = name.toLower().toStdString();
    const bool is_own = lower.starts_with("x-marigoldstep-");
    if (is_own || std::find(hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
                            lower) != hop_by_hop_headers.end()) {
      continue;
    }
    auto entry = std::make_unique<wire::HeaderT>();
    entry->name = lower;
    entry->value = value.toStdString();
    start.headers.push_back(std::move(entry));
  }
}

std::error_code read_chat_body(const QByteArray& body, request_fields& fields) {
  QJsonParseError problem{};
  const auto document = QJsonDocument::fromJson(body, &problem);
  const auto root = document.object();
  const bool well_formed = problem.error == QJsonParseError::NoError &&
                           document.isObject() && root["model"].isString() &&
                           root["messages"].isArray();
  const auto stream = root["stream"];
  if (!well_formed || !(stream.isUndefined() || stream.isNull() || stream.isBool())) {
    return errc::bad_request;
  }
  fields.model = root["model"].toString().toStdString();
  fields.stream = stream.toBool(false);
  // Refused here, because an empty model name means a plain service in later checks.
  return fields.model.empty() ? errc::unknown_model : errc::ok;
}

// Splits "/services/<name>/<path>".
std::error_code read_service_path(const QUrl& url, parsed_call& call) {
  const auto decoded = url.path(QUrl::FullyDecoded).mid(service_prefix.size());
  const auto encoded = url.path(QUrl::FullyEncoded).mid(service_prefix.size());
  const auto decoded_slash = decoded.indexOf('/');
  const auto encoded_slash = encoded.indexOf('/');
  // The two names differ if the name contains an encoded character such as a slash.
  if (decoded_slash <= 0 || encoded_slash <= 0 ||
      decoded.left(decoded_slash) != encoded.left(encoded_slash)) {
    return errc::bad_request;
  }
  call.fields.service = decoded.left(decoded_slash).toStdString();
  call.fields.path = decoded.mid(decoded_slash).toStdString();
  call.start.path = encoded.mid(encoded_slash).toStdString();
  if (url.hasQuery()) {
    call.start.path += "?" + url.query(QUrl::FullyEncoded).toStdString();
  }
  return {};
}

} // namespace

call_kind classify_request(const QHttpServerRequest& request) {
  using method = QHttpServerRequest::Method;
  const auto path = request.url().path();
  if (path == chat_path && request.method() == method::Post) {
    return call_kind::chat;
  }
  if (path == cancel_path && request.method() == method::Post) {
    return call_kind::cancel;
  }
  if (path.startsWith(resume_prefix) && request.method() == method::Get) {
    return call_kind::resume;
  }
  if (path.startsWith(service_prefix) && !method_name(request.method()).empty()) {
    return call_kind::service;
  }
  return call_kind::unknown;
}

parsed_call parse_call(const QHttpServerRequest& request, call_kind kind) {
  parsed_call call;
  auto& fields = call.fields;
  const auto body = request.body();
  fields.workspace = header(request, "X-Marigoldstep-Workspace");
  fields.chat_id = header(request, "X-Marigoldstep-Chat");
  fields.deadline_ms = header(request, "X-Marigoldstep-Deadline-Ms");
  fields.priority = header(request, "X-Marigoldstep-Priority");
  fields.idempotency_key = header(request, "Idempotency-Key");
  fields.method = method_name(request.method());
  fields.body_bytes = static_cast<std::size_t>(body.size());
  if (kind == call_kind::chat) {
    fields.path = chat_path.toStdString();
    call.start.path = fields.path;
    call.error = read_chat_body(body, fields);
  } else {
    call.error = read_service_path(request.url(), call);
  }
  call.start.method = fields.method;
  copy_headers(request, call.start);
  call.start.body.assign(body.begin(), body.end());
  return call;
}

void fill_start(wire::StartAttemptT& start, const checked_request& request) {
  start.workspace = request.workspace;
  start.model = request.model;
  start.service = request.service;
  start.chat_id = request.chat_id;
  start.priority = request.priority == priority::short_call ? wire::Priority::short_call
                                                            : wire::Priority::patient;
  start.repeatable = request.repeatable;
  start.idempotency_key = request.idempotency_key;
  start.stream = request.stream;
}

parsed_resume parse_resume(const QHttpServerRequest& request) {
  parsed_resume out;
  const auto text = request.url().path().mid(resume_prefix.size()).toStdString();
  const auto token = parse_resume_token(text);
  const auto offset = request.query().queryItemValue("offset");
  bool offset_ok = true;
  if (!offset.isEmpty()) {
    out.offset = offset.toULongLong(&offset_ok);
  }
  if (!token || !offset_ok) {
    out.error = errc::bad_request;
    return out;
  }
  out.token = *token;
  return out;
}

parsed_cancel parse_cancel(const QHttpServerRequest& request) {
  parsed_cancel out;
  const auto root = QJsonDocument::fromJson(request.body()).object();
  out.workspace = header(request, "X-Marigoldstep-Workspace");
  out.key = header(request, "Idempotency-Key");
  out.service = root["service"].toString().toStdString();
  if (out.service.empty()) {
    out.error = errc::bad_request;
  }
  return out;
}

} // namespace marigoldstep::router
