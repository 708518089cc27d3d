#include "marigoldstep/request.h"

#include "marigoldstep/claims.h"

#include <algorithm>
#include <charconv>

namespace marigoldstep {

namespace {

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t value = 0;
  const auto* end = text.data() + text.size();
  auto [rest, ec] = std::from_chars(text.data(), end, value);
  if (text.empty() || ec != std::errc{} || rest != end) {
    return std::nullopt;
  }
  return value;
}

bool is_valid_field(std::string_view text) {
  return text.size() <= max_request_field_bytes &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

// A ".." segment could bypass a rule on the path prefix.
bool has_parent_segment(std::string_view path) {
  std::size_t at = 0;
  while (at <= path.size()) {
    const auto end = std::min(path.find('/', at), path.size());
    if (path.substr(at, end - at) == "..") {
      return true;
    }
    at = end + 1;
  }
  return false;
}

std::error_code set_priority(checked_request& out, const workspace_settings& workspace,
                             std::string_view text) {
  out.priority = workspace.default_priority;
  if (text == "short") {
    out.priority = priority::short_call;
  } else if (text == "patient") {
    out.priority = priority::patient;
  } else if (!text.empty()) {
    return errc::bad_request;
  }
  return {};
}

std::error_code set_deadline(checked_request& out, milliseconds fallback,
                             std::string_view text) {
  out.deadline = fallback;
  if (text.empty()) {
    return {};
  }
  const auto n = parse_number(text);
  const auto max_deadline_ms = static_cast<std::uint64_t>(max_request_deadline.count());
  if (!n || *n == 0 || *n > max_deadline_ms) {
    return errc::bad_request;
  }
  out.deadline = milliseconds(*n);
  return {};
}

std::error_code resolve_target(checked_request& out, const configuration& config,
                               const workspace_settings& workspace,
                               const request_fields& fields) {
  if (fields.service.empty()) {
    const auto& allowed = workspace.models;
    const auto* pool = find_pool(config, fields.model);
    if (pool == nullptr ||
        std::find(allowed.begin(), allowed.end(), fields.model) == allowed.end()) {
      return errc::unknown_model;
    }
    out.model = fields.model;
    out.service = pool->name;
    return set_deadline(out,
                        out.priority == priority::short_call ? workspace.short_deadline
                                                             : workspace.patient_deadline,
                        fields.deadline_ms);
  }
  const auto* service = find_service(config, fields.service);
  if (service == nullptr) {
    return errc::unknown_service;
  }
  if (has_parent_segment(fields.path)) {
    return errc::bad_request;
  }
  out.service = fields.service;
  out.repeatable = is_repeatable(*service, fields.method, fields.path);
  return set_deadline(out, service->deadline, fields.deadline_ms);
}

std::error_code check(checked_request& out, const configuration& config,
                      const request_fields& fields, unix_seconds now) {
  const bool fields_ok = is_valid_field(fields.workspace) &&
                         is_valid_field(fields.chat_id) && is_valid_field(fields.model) &&
                         is_valid_field(fields.service) &&
                         is_valid_field(fields.idempotency_key);
  if (!fields_ok || fields.workspace.empty()) {
    return errc::bad_request;
  }
  const auto* workspace = find_workspace(config, fields.workspace);
  if (workspace == nullptr) {
    return errc::unknown_workspace;
  }
  if (fields.body_bytes > config.limits.max_body_bytes) {
    return errc::body_too_large;
  }
  if (auto ec = set_priority(out, *workspace, fields.priority)) {
    return ec;
  }
  if (auto ec = resolve_target(out, config, *workspace, fields)) {
    return ec;
  }
  if (!out.repeatable) {
    const auto result =
        check_idempotency_key(fields.idempotency_key, now, config.limits.claim_retention);
    if (result.error) {
      return result.error;
    }
  }
  out.workspace = fields.workspace;
  out.chat_id = fields.chat_id;
  out.idempotency_key = fields.idempotency_key;
  out.stream = fields.stream;
  out.placement = make_placement_key(fields.workspace, fields.chat_id, workspace->spread);
  return {};
}

} // namespace

request_check check_request(const configuration& config, const request_fields& fields,
                            unix_seconds now) {
  request_check out;
  out.error = check(out.request, config, fields, now);
  return out;
}

outcome check_idempotency_key(std::string_view key, unix_seconds now,
                              milliseconds claim_retention) {
  if (key.empty()) {
    return not_run(errc::missing_idempotency_key);
  }
  const auto time = parse_idempotency_key(key);
  if (!time) {
    return not_run(errc::bad_idempotency_key);
  }
  // Subtracts instead of adding to now or *time, which could overflow near the maximum.
  if (*time > now && *time - now > max_key_lead_s) {
    return not_run(errc::idempotency_key_in_future);
  }
  const auto retention = static_cast<unix_seconds>(claim_retention.count() / 1000);
  if (now > *time && now - *time > retention) {
    return may_have_run(errc::idempotency_key_expired);
  }
  return completed();
}

std::uint64_t hash_call(std::string_view method, std::string_view target,
                        byte_view body) {
  const auto seed = stable_hash(std::string(method) + " " + std::string(target));
  return stable_hash(body, seed);
}

std::optional<resume_token> parse_resume_token(std::string_view text) {
  const auto dot = text.rfind('.');
  if (dot == std::string_view::npos || dot == 0) {
    return std::nullopt;
  }
  const auto id = parse_attempt_id(text.substr(dot + 1));
  if (!id) {
    return std::nullopt;
  }
  return resume_token{std::string(text.substr(0, dot)), *id};
}

std::string to_string(const resume_token& token) {
  return token.agent + "." + to_string(token.attempt);
}

} // namespace marigoldstep
