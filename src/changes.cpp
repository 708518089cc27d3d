#include "marigoldstep/changes.h"

#include "marigoldstep/configuration.h"

#include <algorithm>

namespace marigoldstep {

namespace {

using wire::ChangeKind;
using wire::ChangeOutcome;

constexpr std::uint64_t ms_per_second = 1000;

wire::ChangeRecordT* find_record(change_book& book, std::string_view change_id) {
  auto it = std::find_if(
      book.changes.begin(), book.changes.end(),
      [change_id](const auto& record) { return record.change_id == change_id; });
  return it == book.changes.end() ? nullptr : &*it;
}

wire::ChangeReplyT refuse(const change_book& book, errc code, std::string text = {}) {
  wire::ChangeReplyT reply;
  reply.outcome = ChangeOutcome::refused;
  reply.version = book.accepted_version;
  reply.error_code = static_cast<std::uint16_t>(code);
  reply.message = text.empty() ? std::string(message(code)) : std::move(text);
  return reply;
}

wire::ChangeReplyT agree(ChangeOutcome outcome, std::uint64_t version) {
  wire::ChangeReplyT reply;
  reply.outcome = outcome;
  reply.version = version;
  return reply;
}

void name_winner(wire::ChangeReplyT& reply, const wire::ChangeRecordT& winner) {
  reply.winner_change_id = winner.change_id;
  reply.winner_author = winner.author;
}

// Drops the oldest decided changes beyond the bound, but never the accepted one.
void prune(change_book& book) {
  auto excess = static_cast<std::ptrdiff_t>(book.changes.size()) -
                static_cast<std::ptrdiff_t>(book.proposals.size()) -
                static_cast<std::ptrdiff_t>(max_decided_changes);
  for (auto it = book.changes.begin(); excess > 0 && it != book.changes.end();) {
    if (it->outcome == ChangeOutcome::pending ||
        it->change_id == book.accepted_change_id) {
      ++it;
      continue;
    }
    for (auto kind : {ChangeKind::propose, ChangeKind::approve, ChangeKind::stop}) {
      book.answers.erase({it->change_id, kind});
    }
    it = book.changes.erase(it);
    --excess;
  }
}

// Puts text in force under the next version.
void accept(change_book& book, config_text change) {
  book.previous = {std::move(book.accepted_change_id), std::move(book.accepted_text),
                   std::move(book.accepted_facts)};
  book.accepted_change_id = std::move(change.change_id);
  book.accepted_text = std::move(change.text);
  book.accepted_facts = std::move(change.facts);
  ++book.accepted_version;
}

bool is_name(std::string_view text) {
  const bool printable = std::all_of(text.begin(), text.end(), [](char c) {
    return static_cast<unsigned char>(c) > ' ' && c != '\x7f';
  });
  return !text.empty() && text.size() <= max_change_name_size && printable;
}

std::size_t pending_size(const change_book& book) {
  std::size_t n = 0;
  for (const auto& [id, it] : book.proposals) {
    n += it.text.size();
  }
  return n;
}

// The reason to refuse a proposal, or ok.
wire::ChangeReplyT check_proposal(const change_book& book,
                                  const wire::ChangeRequestT& request,
                                  const config_facts& facts) {
  if (!is_name(request.change_id) || request.change_id.ends_with(stop_suffix)) {
    return refuse(book, errc::bad_request,
                  "the change id must have 1 to 128 printable characters without "
                  "spaces and must not end in .stop");
  }
  if (request.author.empty() || request.author.size() > max_change_name_size) {
    return refuse(book, errc::bad_request, "the author must have 1 to 128 characters");
  }
  if (request.text.size() > max_config_text_size) {
    return refuse(book, errc::body_too_large, "the configuration is larger than 8 MiB");
  }
  if (!facts.problem.empty()) {
    return refuse(book, errc::bad_setting, facts.problem);
  }
  if (book.proposals.size() >= max_pending_changes ||
      pending_size(book) + request.text.size() > max_pending_text_size) {
    return refuse(book, errc::rate_limited,
                  "too many changes are pending; stop one of them first");
  }
  return agree(ChangeOutcome::pending, 0);
}

wire::ChangeReplyT repeat_proposal(const change_book& book,
                                   const wire::ChangeRequestT& request,
                                   const change_answer& first) {
  const auto* record = find_change(book, request.change_id);
  if (record != nullptr && record->author == request.author &&
      record->base_version == request.base_version &&
      first.text_hash == stable_hash(request.text)) {
    return first.reply;
  }
  auto reply = refuse(book, errc::bad_request, "the change id is used by another change");
  if (record != nullptr) {
    name_winner(reply, *record);
  }
  return reply;
}

wire::ChangeReplyT propose(change_book& book, const wire::ChangeRequestT& request,
                           const config_facts& facts, unix_seconds now) {
  const auto first = book.answers.find({request.change_id, ChangeKind::propose});
  if (first != book.answers.end()) {
    return repeat_proposal(book, request, first->second);
  }
  auto reply = check_proposal(book, request, facts);
  if (reply.outcome == ChangeOutcome::refused) {
    return reply;
  }
  wire::ChangeRecordT record;
  record.change_id = request.change_id;
  record.author = request.author;
  record.base_version = request.base_version;
  record.time_s = now;
  book.changes.push_back(std::move(record));
  book.proposals[request.change_id] = {request.change_id, request.text, facts};
  book.answers[{request.change_id, ChangeKind::propose}] = {reply,
                                                            stable_hash(request.text)};
  return reply;
}

wire::ChangeReplyT refuse_stale(const change_book& book, std::uint64_t base_version) {
  if (base_version > book.accepted_version) {
    return refuse(book, errc::stale_base_version,
                  "the base version " + std::to_string(base_version) +
                      " does not exist; the accepted version is " +
                      std::to_string(book.accepted_version));
  }
  auto it = std::find_if(
      book.changes.begin(), book.changes.end(),
      [base_version](const auto& record) { return record.version == base_version + 1; });
  const auto* winner =
      it == book.changes.end() ? find_change(book, book.accepted_change_id) : &*it;
  auto reply = refuse(book, errc::stale_base_version);
  if (winner != nullptr) {
    name_winner(reply, *winner);
    reply.message = "change " + winner->change_id + " by " + winner->author +
                    " was accepted first as version " + std::to_string(winner->version);
  }
  return reply;
}

wire::ChangeReplyT approve(change_book& book, wire::ChangeRecordT& record) {
  if (record.outcome != ChangeOutcome::pending) {
    return refuse(book, errc::change_already_decided);
  }
  auto change = std::move(book.proposals[record.change_id]);
  book.proposals.erase(record.change_id);
  if (record.base_version != book.accepted_version) {
    record.outcome = ChangeOutcome::refused;
    return refuse_stale(book, record.base_version);
  }
  accept(book, std::move(change));
  record.outcome = ChangeOutcome::accepted;
  record.version = book.accepted_version;
  return agree(ChangeOutcome::accepted, book.accepted_version);
}

// Accepts the text before the accepted one again, as a change of its own.
wire::ChangeReplyT return_to_previous(change_book& book, wire::ChangeRecordT& record,
                                      const wire::ChangeRequestT& request,
                                      unix_seconds now) {
  if (book.previous.text.empty()) {
    return refuse(book, errc::change_already_decided,
                  "there is no earlier version to return to");
  }
  record.outcome = ChangeOutcome::stopped;
  wire::ChangeRecordT stop;
  stop.change_id = record.change_id + std::string(stop_suffix);
  stop.author = request.author;
  stop.base_version = book.accepted_version;
  stop.version = book.accepted_version + 1;
  stop.outcome = ChangeOutcome::accepted;
  stop.time_s = now;
  accept(book, {stop.change_id, book.previous.text, book.previous.facts});
  book.changes.push_back(std::move(stop)); // invalidates record
  return agree(ChangeOutcome::stopped, book.accepted_version);
}

wire::ChangeReplyT stop(change_book& book, wire::ChangeRecordT& record,
                        const wire::ChangeRequestT& request, unix_seconds now) {
  if (record.outcome == ChangeOutcome::pending) {
    record.outcome = ChangeOutcome::stopped;
    book.proposals.erase(record.change_id);
    return agree(ChangeOutcome::stopped, book.accepted_version);
  }
  if (record.change_id != book.accepted_change_id) {
    return refuse(book, errc::change_already_decided,
                  "the change is neither pending nor the accepted one");
  }
  return return_to_previous(book, record, request, now);
}

// Answers a decision; only the first one of each kind takes effect.
wire::ChangeReplyT decide(change_book& book, const wire::ChangeRequestT& request,
                          unix_seconds now) {
  const change_answer_key key{request.change_id, request.kind};
  const auto first = book.answers.find(key);
  if (first != book.answers.end()) {
    return first->second.reply;
  }
  auto* record = find_record(book, request.change_id);
  if (record == nullptr) {
    return refuse(book, errc::unknown_change);
  }
  auto reply = request.kind == ChangeKind::approve ? approve(book, *record)
                                                   : stop(book, *record, request, now);
  book.answers[key] = {reply, 0};
  prune(book);
  return reply;
}

wire::ChangeReplyT show(const change_book& book, const std::string& change_id) {
  auto reply = agree(ChangeOutcome::pending, 0);
  const auto pending = book.proposals.find(change_id);
  if (pending != book.proposals.end()) {
    reply.text = pending->second.text;
    return reply;
  }
  if (change_id.empty() || change_id == book.accepted_change_id) {
    reply = agree(ChangeOutcome::accepted, book.accepted_version);
    reply.text = book.accepted_text;
    return reply;
  }
  return refuse(book, find_change(book, change_id) == nullptr
                          ? errc::unknown_change
                          : errc::change_already_decided);
}

} // namespace

config_facts inspect_configuration(std::string_view text) {
  yaml_report report;
  const auto config = parse_configuration(text, 0, report);
  config_facts facts;
  if (!report.problems.empty()) {
    const auto& first = report.problems.front();
    facts.problem = "line " + std::to_string(first.line) + ": " + first.key +
                    (first.key.empty() ? "" : ": ") + first.text;
    return facts;
  }
  facts.claim_retention_s =
      static_cast<unix_seconds>(config.limits.claim_retention.count()) / ms_per_second;
  facts.loads_per_minute = config.limits.loads_per_minute;
  return facts;
}

wire::ChangeReplyT apply_change(change_book& book, const wire::ChangeRequestT& request,
                                const config_facts& facts, unix_seconds now) {
  switch (request.kind) {
  case ChangeKind::propose:
    return propose(book, request, facts, now);
  case ChangeKind::approve:
  case ChangeKind::stop:
    return decide(book, request, now);
  case ChangeKind::show:
    return show(book, request.change_id);
  }
  return refuse(book, errc::bad_request);
}

const wire::ChangeRecordT* find_change(const change_book& book,
                                       std::string_view change_id) {
  auto it = std::find_if(
      book.changes.begin(), book.changes.end(),
      [change_id](const auto& record) { return record.change_id == change_id; });
  return it == book.changes.end() ? nullptr : &*it;
}

} // namespace marigoldstep
