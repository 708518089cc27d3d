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

constexpr std::array<std::string_view, 3> own_headers = {"host", "content-length",
                                                         "expect"};
constexpr std::array<std::string_view, 7> methods = {"GET",  "PUT",     "DELETE", "POST",
                                                     "HEAD", "OPTIONS", "PATCH"};

template <std::size_t n>
bool contains(const std::array<std::string_view, n>& list, std::string_view it) {
  return std::find(list.begin(), list.end(), it) != list.end();
}

// The values of all fields of that name, joined as one list (RFC 9110, section 5.3).
std::string header(const io::http_request& request, std::string_view name) {
  std::string out;
  for (const auto& it : request.head.fields) {
    if (io::equal_ignoring_case(it.name, name)) {
      out += out.empty() ? it.value : ", " + it.value;
    }
  }
  return out;
}

std::string to_lower(const std::string& name) {
  return QByteArray::fromStdString(name).toLower().toStdString();
}

// An absolute target names its own host; any other starts with the path.
QUrl parse_target(const std::string& target) {
  const auto text = target.starts_with('/') ? "http://router" + target : target;
  return QUrl::fromEncoded(QByteArray::fromStdString(text));
}

void copy_headers(const io::http_request& request, wire::StartAttemptT& start) {
  for (const auto& it : request.head.fields) {
    auto name = to_lower(it.name);
    if (name.starts_with("x-marigoldstep-") || contains(own_headers, name) ||
        io::is_hop_by_hop(request.head, name)) {
      continue;
    }
    auto entry = std::make_unique<wire::HeaderT>();
    entry->name = std::move(name);
    entry->value = it.value;
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

call_kind classify_request(const io::http_request& request) {
  const auto path = parse_target(request.head.target).path();
  const auto& method = request.head.method;
  if (path == chat_path && method == "POST") {
    return call_kind::chat;
  }
  if (path == cancel_path && method == "POST") {
    return call_kind::cancel;
  }
  if (path.startsWith(resume_prefix) && method == "GET") {
    return call_kind::resume;
  }
  if (path.startsWith(service_prefix) && contains(methods, method)) {
    return call_kind::service;
  }
  return call_kind::unknown;
}

parsed_call parse_call(const io::http_request& request, call_kind kind) {
  parsed_call call;
  auto& fields = call.fields;
  const auto& body = request.body;
  fields.workspace = header(request, "X-Marigoldstep-Workspace");
  fields.chat_id = header(request, "X-Marigoldstep-Chat");
  fields.deadline_ms = header(request, "X-Marigoldstep-Deadline-Ms");
  fields.priority = header(request, "X-Marigoldstep-Priority");
  fields.idempotency_key = header(request, "Idempotency-Key");
  fields.method = request.head.method;
  fields.body_bytes = body.size();
  if (kind == call_kind::chat) {
    fields.path = chat_path.toStdString();
    call.start.path = fields.path;
    call.error = read_chat_body(QByteArray::fromStdString(body), fields);
  } else {
    call.error = read_service_path(parse_target(request.head.target), call);
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

parsed_resume parse_resume(const io::http_request& request) {
  parsed_resume out;
  const auto url = parse_target(request.head.target);
  const auto text = url.path().mid(resume_prefix.size()).toStdString();
  const auto token = parse_resume_token(text);
  const auto offset = QUrlQuery(url).queryItemValue("offset");
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

parsed_cancel parse_cancel(const io::http_request& request) {
  parsed_cancel out;
  const auto root =
      QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
  out.workspace = header(request, "X-Marigoldstep-Workspace");
  out.key = header(request, "Idempotency-Key");
  out.service = root["service"].toString().toStdString();
  if (out.service.empty()) {
    out.error = errc::bad_request;
  }
  return out;
}

} // namespace marigoldstep::router
