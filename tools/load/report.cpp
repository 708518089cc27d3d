#include "load/report.h"

#include "stand_in/service_model.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace marigoldstep::load {

namespace {

constexpr std::size_t max_listed_failures = 20;
constexpr int label_width = 34;

constexpr std::array<request_end, end_count> all_ends = {
    request_end::whole,  request_end::cut,     request_end::wrong,
    request_end::failed, request_end::not_run, request_end::may_have_run};

std::uint64_t count(const request_totals& totals, request_end end) {
  return totals.ends.at(static_cast<std::size_t>(end));
}

std::uint64_t count(const load_report& report, request_end end) {
  return count(report.chats, end) + count(report.calls, end) + count(report.lookups, end);
}

request_totals& totals_of(load_report& report, request_kind kind) {
  switch (kind) {
  case request_kind::chat_turn:
    return report.chats;
  case request_kind::service_post:
    return report.calls;
  case request_kind::service_get:
    break;
  }
  return report.lookups;
}

void add_latency(load_report& report, const request_record& record) {
  if (record.end != request_end::whole) {
    return;
  }
  const bool chat = record.request.kind == request_kind::chat_turn;
  auto& samples = !chat                   ? report.fleet_calls
                  : record.request.direct ? report.direct_chats
                                          : report.fleet_chats;
  samples.total.push_back(record.total_ms);
  samples.first_byte.push_back(record.first_byte_ms);
}

void add_usage(load_report& report, const request_record& record) {
  if (record.request.returning && record.usage && record.end == request_end::whole) {
    report.returning_prompt_tokens += record.usage->prompt_tokens;
    report.returning_cached_tokens += record.usage->cached_tokens;
  }
}

double cache_reuse(const load_report& report) {
  const auto prompt = static_cast<double>(report.returning_prompt_tokens);
  const auto cached = static_cast<double>(report.returning_cached_tokens);
  return prompt > 0 ? cached / prompt : 0;
}

QJsonObject to_json(const request_totals& totals) {
  QJsonObject out{{"requests", qint64(totals.requests)},
                  {"sends", qint64(totals.sends)},
                  {"resumes", qint64(totals.resumes)}};
  for (const auto it : all_ends) {
    out[QString::fromStdString(std::string(name(it)))] = qint64(count(totals, it));
  }
  return out;
}

double round_ms(double value) {
  constexpr double steps_per_ms = 100;
  return std::round(value * steps_per_ms) / steps_per_ms;
}

QJsonObject to_json(const latency_samples& samples) {
  return {{"count", qint64(samples.total.size())},
          {"p50_ms", round_ms(percentile(samples.total, 0.50))},
          {"p99_ms", round_ms(percentile(samples.total, 0.99))},
          {"first_byte_p50_ms", round_ms(percentile(samples.first_byte, 0.50))},
          {"first_byte_p95_ms", round_ms(percentile(samples.first_byte, 0.95))}};
}

void add_row(std::ostream& out, std::string_view label, double value, int digits = 0) {
  out << std::left << std::setw(label_width) << label << std::right << std::setw(12)
      << std::fixed << std::setprecision(digits) << value << "\n";
}

void add_latency_rows(std::ostream& out, const std::string& what,
                      const latency_samples& samples) {
  if (samples.total.empty()) {
    return;
  }
  add_row(out, what + ", p50 (ms)", percentile(samples.total, 0.50), 2);
  add_row(out, what + ", p99 (ms)", percentile(samples.total, 0.99), 2);
  add_row(out, what + ", first byte p50 (ms)", percentile(samples.first_byte, 0.50), 2);
  add_row(out, what + ", first byte p95 (ms)", percentile(samples.first_byte, 0.95), 2);
}

} // namespace

std::string describe(const request_record& record) {
  const auto& it = record.request;
  return std::string(name(record.end)) + ": " +
         (it.service.empty() ? it.chat.user : it.service + " " + it.call.key) + " " +
         record.code + " after " + std::to_string(record.sends) + " sends";
}

void add_record(load_report& report, const request_record& record) {
  auto& totals = totals_of(report, record.request.kind);
  ++totals.requests;
  ++totals.ends.at(static_cast<std::size_t>(record.end));
  totals.sends += record.sends;
  totals.resumes += record.resumes;
  add_latency(report, record);
  add_usage(report, record);
  if (!record.code.empty()) {
    ++report.problem_codes[record.code];
  }
  if (record.request.kind == request_kind::service_post) {
    report.call_records.push_back({record.request.call.key,
                                   stand_in::body_hash(record.request.call), record.end,
                                   record.every_send_not_run});
  }
  // Refused requests are only counted by code; otherwise they would fill the list.
  const bool is_listed = record.end == request_end::cut ||
                         record.end == request_end::wrong ||
                         record.end == request_end::failed;
  if (is_listed && report.failures.size() < max_listed_failures) {
    report.failures.push_back(describe(record));
  }
}

bool has_passed(const load_report& report) {
  const auto& found = report.findings;
  return count(report, request_end::wrong) == 0 && found.duplicate_runs == 0 &&
         found.ran_despite_not_run == 0 && found.completed_without_run == 0 &&
         report.lost_responses == 0 && report.runs.unreadable == 0;
}

double percentile(std::vector<double> samples, double p) {
  if (samples.empty()) {
    return 0;
  }
  std::sort(samples.begin(), samples.end());
  const auto rank = std::ceil(p * static_cast<double>(samples.size()));
  const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return samples[std::min(index, samples.size() - 1)];
}

std::string format_table(const load_report& report) {
  std::ostringstream out;
  const auto requests =
      report.chats.requests + report.calls.requests + report.lookups.requests;
  add_row(out, "requests", double(requests));
  add_row(out, "  chat turns", double(report.chats.requests));
  add_row(out, "  calls with a key", double(report.calls.requests));
  add_row(out, "  lookups", double(report.lookups.requests));
  for (const auto it : all_ends) {
    add_row(out, name(it), double(count(report, it)));
  }
  add_row(out, "calls not run / may have run",
          double(count(report.calls, request_end::not_run) +
                 count(report.calls, request_end::may_have_run)));
  add_row(out, "doubled runs", report.findings.duplicate_runs);
  add_row(out, "\"not run\" that ran", report.findings.ran_despite_not_run);
  add_row(out, "\"not run\" on a later send that ran",
          report.findings.ran_despite_later_not_run);
  add_row(out, "complete responses without a run", report.findings.completed_without_run);
  add_row(out, "completed calls resent", double(report.rechecked));
  add_row(out, "  of them lost", double(report.lost_responses));
  add_row(out, "services with unreadable counts", report.runs.unreadable);
  add_row(out, "not started / unfinished",
          double(report.not_started + report.unfinished));
  add_row(out, "repeated sends",
          double(report.chats.sends + report.calls.sends + report.lookups.sends) -
              double(requests));
  add_row(out, "resumed responses", double(report.chats.resumes + report.calls.resumes));
  add_row(out, "cache reuse of returning turns (%)", 100 * cache_reuse(report), 1);
  add_latency_rows(out, "chats", report.fleet_chats);
  add_latency_rows(out, "chats direct", report.direct_chats);
  add_latency_rows(out, "calls", report.fleet_calls);
  add_row(out, "requests a second", report.seconds > 0 ? requests / report.seconds : 0,
          1);
  for (const auto& [code, n] : report.problem_codes) {
    out << "  last answer " << code << ": " << n << "\n";
  }
  for (const auto* list : {&report.failures, &report.findings.contradictions}) {
    for (const auto& it : *list) {
      out << "  " << it << "\n";
    }
  }
  return out.str();
}

std::string format_json(const load_report& report) {
  QJsonObject codes;
  for (const auto& [code, n] : report.problem_codes) {
    codes[QString::fromStdString(code)] = qint64(n);
  }
  QJsonArray failures;
  for (const auto* list : {&report.failures, &report.findings.contradictions}) {
    for (const auto& it : *list) {
      failures.append(QString::fromStdString(it));
    }
  }
  const QJsonObject root{
      {"chats", to_json(report.chats)},
      {"calls", to_json(report.calls)},
      {"lookups", to_json(report.lookups)},
      {"chats_finished", qint64(report.chats_finished)},
      {"not_started", qint64(report.not_started)},
      {"unfinished", qint64(report.unfinished)},
      {"doubled", qint64(report.findings.duplicate_runs)},
      {"not_run_ran", qint64(report.findings.ran_despite_not_run)},
      {"later_not_run_ran", qint64(report.findings.ran_despite_later_not_run)},
      {"whole_without_run", qint64(report.findings.completed_without_run)},
      {"rechecked", qint64(report.rechecked)},
      {"lost_answers", qint64(report.lost_responses)},
      {"unreadable_counts", qint64(report.runs.unreadable)},
      {"returning_prompt_tokens", qint64(report.returning_prompt_tokens)},
      {"returning_cached_tokens", qint64(report.returning_cached_tokens)},
      {"cache_reuse", cache_reuse(report)},
      {"latency", QJsonObject{{"chats", to_json(report.fleet_chats)},
                              {"chats_direct", to_json(report.direct_chats)},
                              {"calls", to_json(report.fleet_calls)}}},
      {"problem_codes", codes},
      {"faults", failures},
      {"seconds", report.seconds},
      {"holds", has_passed(report)}};
  return QJsonDocument(root).toJson(QJsonDocument::Indented).toStdString();
}

} // namespace marigoldstep::load
