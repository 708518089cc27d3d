#include "marigoldstep/changes.h"

#include "marigoldstep/configuration.h"

#include <algorithm>

namespace marigoldstep {

namespace {

using wire::ChangeKind;
using wire::ChangeOutcome;

constexpr std::uint64_t ms_per_second = 1000;

wire::ChangeRecordT* find_record(change_registry& registry, std::string_view change_id) {
  auto it = std::find_if(
      registry.changes.begin(), registry.changes.end(),
      [change_id](const auto& record) { return record.change_id == change_id; });
  return it == registry.changes.end() ? nullptr : &*it;
}

wire::ChangeReplyT make_refusal(const change_registry& registry, errc code,
                                std::string text = {}) {
  wire::ChangeReplyT reply;
  reply.outcome = ChangeOutcome::refused;
  reply.version = registry.accepted_version;
  reply.error_code = static_cast<std::uint16_t>(code);
  reply.message = text.empty() ? std::string(message(code)) : std::move(text);
  return reply;
}

wire::ChangeReplyT make_reply(ChangeOutcome outcome, std::uint64_t version) {
  wire::ChangeReplyT reply;
  reply.outcome = outcome;
  reply.version = version;
  return reply;
}

void set_winner(wire::ChangeReplyT& reply, const wire::ChangeRecordT& winner) {
  reply.winner_change_id = winner.change_id;
  reply.winner_author = winner.author;
}

// Removes the oldest decided changes beyond max_decided_changes, but never the accepted
// one.
void remove_old_changes(change_registry& registry) {
  auto excess = static_cast<std::ptrdiff_t>(registry.changes.size()) -
                static_cast<std::ptrdiff_t>(registry.proposals.size()) -
                static_cast<std::ptrdiff_t>(max_decided_changes);
  for (auto it = registry.changes.begin(); excess > 0 && it != registry.changes.end();) {
    if (it->outcome == ChangeOutcome::pending ||
        it->change_id == registry.accepted_change_id) {
      ++it;
      continue;
    }
    for (auto kind : {ChangeKind::propose, ChangeKind::approve, ChangeKind::stop}) {
      registry.first_replies.erase({it->change_id, kind});
    }
    it = registry.changes.erase(it);
    --excess;
  }
}

// Makes the text the accepted configuration, under the next version.
void accept(change_registry& registry, config_text change) {
  registry.previous = {std::move(registry.accepted_change_id),
                       std::move(registry.accepted_text),
                       std::move(registry.accepted_properties)};
  registry.accepted_change_id = std::move(change.change_id);
  registry.accepted_text = std::move(change.text);
  registry.accepted_properties = std::move(change.properties);
  ++registry.accepted_version;
}

bool is_valid_change_id(std::string_view text) {
  const bool printable = std::all_of(text.begin(), text.end(), [](char c) {
    return static_cast<unsigned char>(c) > ' ' && c != '\x7f';
  });
  return !text.empty() && text.size() <= max_change_name_bytes && printable;
}

std::size_t pending_size(const change_registry& registry) {
  std::size_t n = 0;
  for (const auto& [id, it] : registry.proposals) {
    n += it.text.size();
  }
  return n;
}

// Returns a refusal with its reason, or a pending reply if the proposal is valid.
wire::ChangeReplyT check_proposal(const change_registry& registry,
                                  const wire::ChangeRequestT& request,
                                  const config_properties& properties) {
  if (!is_valid_change_id(request.change_id) ||
      request.change_id.ends_with(stop_suffix)) {
    return make_refusal(registry, errc::bad_request,
                        "the change id must have 1 to 128 printable characters without "
                        "spaces and must not end in .stop");
  }
  if (request.author.empty() || request.author.size() > max_change_name_bytes) {
    return make_refusal(registry, errc::bad_request,
                        "the author must have 1 to 128 characters");
  }
  if (request.text.size() > max_config_text_bytes) {
    return make_refusal(registry, errc::body_too_large,
                        "the configuration is larger than 8 MiB");
  }
  if (!properties.problem.empty()) {
    return make_refusal(registry, errc::bad_setting, properties.problem);
  }
  if (registry.proposals.size() >= max_pending_changes ||
      pending_size(registry) + request.text.size() > max_pending_text_bytes) {
    return make_refusal(registry, errc::rate_limited,
                        "too many changes are pending; stop one of them first");
  }
  return make_reply(ChangeOutcome::pending, 0);
}

wire::ChangeReplyT repeat_proposal(const change_registry& registry,
                                   const wire::ChangeRequestT& request,
                                   const first_reply& first) {
  const auto* record = find_change(registry, request.change_id);
  if (record != nullptr && record->author == request.author &&
      record->base_version == request.base_version &&
      first.text_hash == stable_hash(request.text)) {
    return first.reply;
  }
  auto reply = make_refusal(registry, errc::bad_request,
                            "the change id is used by another change");
  if (record != nullptr) {
    set_winner(reply, *record);
  }
  return reply;
}

wire::ChangeReplyT propose(change_registry& registry, const wire::ChangeRequestT& request,
                           const config_properties& properties, unix_seconds now) {
  const auto first =
      registry.first_replies.find({request.change_id, ChangeKind::propose});
  if (first != registry.first_replies.end()) {
    return repeat_proposal(registry, request, first->second);
  }
  auto reply = check_proposal(registry, request, properties);
  if (reply.outcome == ChangeOutcome::refused) {
    return reply;
  }
  wire::ChangeRecordT record;
  record.change_id = request.change_id;
  record.author = request.author;
  record.base_version = request.base_version;
  record.time_s = now;
  registry.changes.push_back(std::move(record));
  registry.proposals[request.change_id] = {request.change_id, request.text, properties};
  registry.first_replies[{request.change_id, ChangeKind::propose}] = {
      reply, stable_hash(request.text)};
  return reply;
}

wire::ChangeReplyT make_stale_refusal(const change_registry& registry,
                                      std::uint64_t base_version) {
  if (base_version > registry.accepted_version) {
    return make_refusal(registry, errc::stale_base_version,
                        "the base version " + std::to_string(base_version) +
                            " does not exist; the accepted version is " +
                            std::to_string(registry.accepted_version));
  }
  auto it = std::find_if(
      registry.changes.begin(), registry.changes.end(),
      [base_version](const auto& record) { return record.version == base_version + 1; });
  const auto* winner = it == registry.changes.end()
                           ? find_change(registry, registry.accepted_change_id)
                           : &*it;
  auto reply = make_refusal(registry, errc::stale_base_version);
  if (winner != nullptr) {
    set_winner(reply, *winner);
    reply.message = "change " + winner->change_id + " by " + winner->author +
                    " was accepted first as version " + std::to_string(winner->version);
  }
  return reply;
}

wire::ChangeReplyT approve(change_registry& registry, wire::ChangeRecordT& record) {
  if (record.outcome != ChangeOutcome::pending) {
    return make_refusal(registry, errc::change_already_decided);
  }
  auto change = std::move(registry.proposals[record.change_id]);
  registry.proposals.erase(record.change_id);
  if (record.base_version != registry.accepted_version) {
    record.outcome = ChangeOutcome::refused;
    return make_stale_refusal(registry, record.base_version);
  }
  accept(registry, std::move(change));
  record.outcome = ChangeOutcome::accepted;
  record.version = registry.accepted_version;
  return make_reply(ChangeOutcome::accepted, registry.accepted_version);
}

// Accepts the previous text again, as a new change.
wire::ChangeReplyT roll_back(change_registry& registry, wire::ChangeRecordT& record,
                             const wire::ChangeRequestT& request, unix_seconds now) {
  if (registry.previous.text.empty()) {
    return make_refusal(registry, errc::change_already_decided,
                        "there is no earlier version to return to");
  }
  record.outcome = ChangeOutcome::stopped;
  wire::ChangeRecordT stop;
  stop.change_id = record.change_id + std::string(stop_suffix);
  stop.author = request.author;
  stop.base_version = registry.accepted_version;
  stop.version = registry.accepted_version + 1;
  stop.outcome = ChangeOutcome::accepted;
  stop.time_s = now;
  accept(registry,
         {stop.change_id, registry.previous.text, registry.previous.properties});
  registry.changes.push_back(std::move(stop)); // invalidates record
  return make_reply(ChangeOutcome::stopped, registry.accepted_version);
}

wire::ChangeReplyT stop(change_registry& registry, wire::ChangeRecordT& record,
                        const wire::ChangeRequestT& request, unix_seconds now) {
  if (record.outcome == ChangeOutcome::pending) {
    record.outcome = ChangeOutcome::stopped;
    registry.proposals.erase(record.change_id);
    return make_reply(ChangeOutcome::stopped, registry.accepted_version);
  }
  if (record.change_id != registry.accepted_change_id) {
    return make_refusal(registry, errc::change_already_decided,
                        "the change is neither pending nor the accepted one");
  }
  return roll_back(registry, record, request, now);
}

// Applies an approval or a stop. Only the first of each kind takes effect.
wire::ChangeReplyT decide(change_registry& registry, const wire::ChangeRequestT& request,
                          unix_seconds now) {
  const change_reply_key key{request.change_id, request.kind};
  const auto first = registry.first_replies.find(key);
  if (first != registry.first_replies.end()) {
    return first->second.reply;
  }
  auto* record = find_record(registry, request.change_id);
  if (record == nullptr) {
    return make_refusal(registry, errc::unknown_change);
  }
  auto reply = request.kind == ChangeKind::approve
                   ? approve(registry, *record)
                   : stop(registry, *record, request, now);
  registry.first_replies[key] = {reply, 0};
  remove_old_changes(registry);
  return reply;
}

wire::ChangeReplyT show(const change_registry& registry, const std::string& change_id) {
  auto reply = make_reply(ChangeOutcome::pending, 0);
  const auto pending = registry.proposals.find(change_id);
  if (pending != registry.proposals.end()) {
    reply.text = pending->second.text;
    return reply;
  }
  if (change_id.empty() || change_id == registry.accepted_change_id) {
    reply = make_reply(ChangeOutcome::accepted, registry.accepted_version);
    reply.text = registry.accepted_text;
    return reply;
  }
  return make_refusal(registry, find_change(registry, change_id) == nullptr
                                    ? errc::unknown_change
                                    : errc::change_already_decided);
}

} // namespace

config_properties inspect_configuration(std::string_view text) {
  yaml_report report;
  const auto config = parse_configuration(text, 0, report);
  config_properties properties;
  if (!report.problems.empty()) {
    const auto& first = report.problems.front();
    properties.problem = "line " + std::to_string(first.line) + ": " + first.key +
                         (first.key.empty() ? "" : ": ") + first.text;
    return properties;
  }
  properties.claim_retention_s =
      static_cast<unix_seconds>(config.limits.claim_retention.count()) / ms_per_second;
  properties.loads_per_minute = config.limits.loads_per_minute;
  return properties;
}

wire::ChangeReplyT apply_change(change_registry& registry,
                                const wire::ChangeRequestT& request,
                                const config_properties& properties, unix_seconds now) {
  switch (request.kind) {
  case ChangeKind::propose:
    return propose(registry, request, properties, now);
  case ChangeKind::approve:
  case ChangeKind::stop:
    return decide(registry, request, now);
  case ChangeKind::show:
    return show(registry, request.change_id);
  }
  return make_refusal(registry, errc::bad_request);
}

const wire::ChangeRecordT* find_change(const change_registry& registry,
                                       std::string_view change_id) {
  auto it = std::find_if(
      registry.changes.begin(), registry.changes.end(),
      [change_id](const auto& record) { return record.change_id == change_id; });
  return it == registry.changes.end() ? nullptr : &*it;
}

} // namespace marigoldstep
