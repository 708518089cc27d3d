#include "load/checker.h"

#include "stand_in/service_model.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace marigoldstep::load {

namespace {

constexpr int status_ok = 200;

body_match match_bytes(const QByteArray& body, const QByteArray& expected) {
  if (body == expected) {
    return body_match::complete;
  }
  return expected.startsWith(body) ? body_match::prefix : body_match::mismatch;
}

// Only cached_tokens in the usage depends on the engine and is taken from the received
// body. Everything else is computed from the request.
body_match match_chat_body(const stand_in::chat_request& chat, const QByteArray& body) {
  stand_in::token_usage usage;
  for (const auto& it : chat.messages) {
    usage.prompt_tokens += stand_in::count_tokens(it.content);
  }
  usage.completion_tokens = chat.max_tokens;
  const auto found = stand_in::find_usage(body);
  if (found) {
    usage.cached_tokens = std::min(found->cached_tokens, usage.prompt_tokens);
    return match_bytes(body, stand_in::render_body(chat, usage));
  }
  const auto expected = stand_in::render_body(chat, usage);
  const auto cached_tokens_start = expected.lastIndexOf("\"cached_tokens\":");
  // The body ends before or within the usage: compare up to cached_tokens.
  const auto compared_size = std::min(body.size(), cached_tokens_start);
  return expected.startsWith(body.left(compared_size)) ? body_match::prefix
                                                       : body_match::mismatch;
}

constexpr std::size_t max_listed_contradictions = 20;

std::string_view find_contradiction(const call_record& call, std::uint32_t runs) {
  if (runs > 1) {
    return "doubled";
  }
  if (call.end == request_end::not_run && runs > 0) {
    return call.every_send_not_run ? "not run, but ran" : "not run later, but ran";
  }
  return call.end == request_end::whole && runs == 0 ? "whole without a run" : "";
}

bool has_ok_status(const exchange_result& result) {
  return result.status == status_ok;
}

} // namespace

std::string_view name(request_end value) {
  switch (value) {
  case request_end::whole:
    return "whole";
  case request_end::cut:
    return "cut";
  case request_end::wrong:
    return "wrong";
  case request_end::failed:
    return "failed";
  case request_end::not_run:
    return "not_run";
  case request_end::may_have_run:
    return "may_have_run";
  }
  return "wrong";
}

body_match match_body(const planned_request& request, const QByteArray& body) {
  if (request.kind == request_kind::chat_turn) {
    return match_chat_body(request.chat, body);
  }
  return match_bytes(body, stand_in::render_service_response(request.call));
}

std::optional<problem_response> parse_problem(const exchange_result& result) {
  if (!result.complete || !result.content_type.startsWith("application/problem+json")) {
    return std::nullopt;
  }
  const auto document = QJsonDocument::fromJson(result.body);
  const auto root = document.object();
  problem_response out;
  out.code = root["code"].toString().toStdString();
  const auto text = root["verdict"].toString();
  if (text == "not_run") {
    out.result = verdict::not_run;
  } else if (text == "completed") {
    out.result = verdict::completed;
  }
  return out;
}

request_end classify_result(const planned_request& request,
                            const exchange_result& result) {
  if (const auto problem = parse_problem(result)) {
    switch (problem->result) {
    case verdict::not_run:
      return request_end::not_run;
    case verdict::may_have_run:
      return request_end::may_have_run;
    case verdict::completed:
      return request_end::failed;
    }
  }
  if (result.status == 0) {
    return result.sent ? request_end::may_have_run : request_end::not_run;
  }
  if (!has_ok_status(result)) {
    return result.complete ? request_end::failed : request_end::cut;
  }
  switch (match_body(request, result.body)) {
  case body_match::complete:
    return result.complete ? request_end::whole : request_end::cut;
  case body_match::prefix:
    return result.complete ? request_end::wrong : request_end::cut;
  case body_match::mismatch:
    return request_end::wrong;
  }
  return request_end::wrong;
}

next_action choose_next_action(const planned_request& request,
                               const exchange_result& result, std::uint32_t sends_left) {
  if (sends_left == 0) {
    return next_action::finish;
  }
  switch (classify_result(request, result)) {
  case request_end::whole:
  case request_end::wrong:
  case request_end::failed:
    return next_action::finish;
  case request_end::cut:
    return result.resume_token.isEmpty() ? next_action::resend : next_action::resume;
  case request_end::not_run:
    return request.resend_not_run || result.status == 0 ? next_action::resend
                                                        : next_action::finish;
  case request_end::may_have_run:
    // Calls carry an idempotency key, and all other requests are repeatable.
    return next_action::resend;
  }
  return next_action::finish;
}

void add_run_counts(run_counts& counts, const exchange_result& response) {
  const auto document = QJsonDocument::fromJson(response.body);
  if (response.status != status_ok || !response.complete || !document.isObject()) {
    ++counts.unreadable;
    return;
  }
  const auto keys = document.object()["keys"].toObject();
  for (auto it = keys.begin(); it != keys.end(); ++it) {
    counts.by_key[it.key().toStdString()] += std::uint32_t(it.value().toInt());
  }
  const auto bodies = document.object()["bodies"].toObject();
  for (auto it = bodies.begin(); it != bodies.end(); ++it) {
    counts.by_body[it.key().toULongLong(nullptr, 16)] +=
        std::uint32_t(it.value().toInt());
  }
}

run_findings check_runs(const std::vector<call_record>& calls, const run_counts& counts) {
  run_findings out;
  for (const auto& it : calls) {
    const auto key = counts.by_key.find(it.key);
    const auto body = counts.by_body.find(it.body_hash);
    const auto key_runs = key == counts.by_key.end() ? 0 : key->second;
    const auto body_runs = body == counts.by_body.end() ? 0 : body->second;
    const auto runs = std::max(key_runs, body_runs);
    out.duplicate_runs += runs > 1 ? 1 : 0;
    const bool ran = runs > 0;
    if (it.end == request_end::not_run && ran) {
      (it.every_send_not_run ? out.ran_despite_not_run : out.ran_despite_later_not_run) +=
          1;
    }
    out.completed_without_run += it.end == request_end::whole && !ran ? 1 : 0;
    const auto found = find_contradiction(it, runs);
    if (!found.empty() && out.contradictions.size() < max_listed_contradictions) {
      out.contradictions.push_back(it.key + " " + std::string(found));
    }
  }
  return out;
}

} // namespace marigoldstep::load
