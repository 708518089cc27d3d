#include "marigoldstep.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <set>

using namespace marigoldstep;
using wire::ClaimKind;
using wire::ClaimOutcome;

namespace {

constexpr unix_seconds start_time = 1'800'000'000;
constexpr unix_seconds day_s = 24 * 3600;

// Times of the tested keys relative to start_time: current, close to expiry, slightly
// ahead and too far ahead.
constexpr std::array<int, 4> key_offsets_s = {0, -80'000, 100, 1'000};

struct claim_step {
  ClaimKind kind{};
  int key = 0;
  std::uint64_t attempt = 0;
  int node = 0;
  incarnation node_incarnation = 1;
  std::uint64_t body_hash = 0;
  int clock_change = 0; // of the leader's clock; may be negative

  [[nodiscard]] unix_seconds key_time() const {
    return start_time + key_offsets_s.at(key);
  }
  [[nodiscard]] wire::ClaimRequestT request() const {
    wire::ClaimRequestT out;
    out.kind = kind;
    out.workspace = "crew";
    out.service = "booking";
    out.key = std::to_string(key_time()) + "-token-" + std::to_string(key) + "-padding";
    out.body_hash = body_hash;
    out.attempt_hi = attempt;
    out.holder = "agent-" + std::to_string(node);
    out.holder_incarnation = node_incarnation;
    if (kind == ClaimKind::complete) {
      out.answer = std::make_unique<wire::StoredAnswerT>();
      out.answer->complete = true;
      out.answer->body = {static_cast<std::uint8_t>(attempt)};
    }
    return out;
  }
  [[nodiscard]] bool same_holder(const claim_step& other) const {
    return attempt == other.attempt && node == other.node &&
           node_incarnation == other.node_incarnation;
  }
};

// Expected state of one key. Entries are never removed.
struct oracle_key {
  std::optional<claim_step> run;
  bool completed = false;
  bool cancelled = false;
  std::optional<std::uint64_t> released_attempt;
};

// Reference model that the claim table is compared with.
struct oracle {
  std::uint64_t clock = start_time;
  unix_seconds time = 0;
  unix_seconds horizon = 0;
  unix_seconds retention = day_s;
  std::map<int, oracle_key> entries;
  std::map<int, incarnation> newest_incarnations; // of nodes with running claims

  [[nodiscard]] bool is_running(const oracle_key& it) const {
    return it.run && !it.completed && it.run->key_time() >= horizon;
  }
  void remove_idle_nodes() {
    std::erase_if(newest_incarnations, [this](const auto& node) {
      return std::none_of(entries.begin(), entries.end(), [&](const auto& it) {
        return is_running(it.second) && it.second.run->node == node.first;
      });
    });
  }
  void advance(int change) {
    clock += change;
    time = std::max<unix_seconds>(time, clock);
    horizon = std::max(horizon, time - retention);
    remove_idle_nodes();
  }
  [[nodiscard]] bool is_superseded(const claim_step& holder) const {
    auto it = newest_incarnations.find(holder.node);
    return it != newest_incarnations.end() && holder.node_incarnation < it->second;
  }
  ClaimOutcome grant_claim(oracle_key& entry, const claim_step& step) {
    if (is_superseded(step)) {
      return ClaimOutcome::unavailable;
    }
    entry = {step, false, false, std::nullopt};
    auto& newest = newest_incarnations[step.node];
    newest = std::max(newest, step.node_incarnation);
    return ClaimOutcome::granted;
  }
  [[nodiscard]] ClaimOutcome reply_to_other_caller(const oracle_key& entry,
                                                   std::uint64_t hash,
                                                   bool hash_given) const {
    if (entry.cancelled) {
      return ClaimOutcome::cancelled;
    }
    if (!entry.run) {
      return ClaimOutcome::unknown;
    }
    if (hash_given && hash != entry.run->body_hash) {
      return ClaimOutcome::mismatch;
    }
    if (entry.completed) {
      return ClaimOutcome::completed;
    }
    return is_superseded(*entry.run) ? ClaimOutcome::may_have_run : ClaimOutcome::running;
  }
  ClaimOutcome decide(oracle_key& entry, const claim_step& step) {
    const bool is_holder = entry.run && !entry.completed && entry.run->same_holder(step);
    const bool is_free = !entry.run && !entry.cancelled;
    switch (step.kind) {
    case ClaimKind::claim:
      if (is_free) {
        return entry.released_attempt == step.attempt ? ClaimOutcome::cancelled
                                                      : grant_claim(entry, step);
      }
      if (is_holder && entry.run->body_hash == step.body_hash && !is_superseded(step)) {
        return ClaimOutcome::granted;
      }
      return reply_to_other_caller(entry, step.body_hash, true);
    case ClaimKind::complete:
      entry.completed = entry.completed || is_holder;
      return reply_to_other_caller(entry, 0, false);
    case ClaimKind::release:
      if (is_free || is_holder) {
        entry = {std::nullopt, false, false, step.attempt};
      }
      return reply_to_other_caller(entry, 0, false);
    case ClaimKind::cancel:
      entry.cancelled = entry.cancelled || is_free;
      return reply_to_other_caller(entry, step.body_hash, step.body_hash != 0);
    case ClaimKind::lookup:
      return reply_to_other_caller(entry, step.body_hash, step.body_hash != 0);
    }
    return ClaimOutcome::unavailable;
  }
  ClaimOutcome apply(const claim_step& step) {
    advance(step.clock_change);
    if (step.key_time() < horizon) {
      return ClaimOutcome::expired;
    }
    if (step.key_time() > time + 300) {
      return step.kind == ClaimKind::cancel ? ClaimOutcome::unavailable
                                            : ClaimOutcome::in_future;
    }
    if (newest_incarnations.contains(step.node)) {
      auto& newest = newest_incarnations[step.node];
      newest = std::max(newest, step.node_incarnation);
    }
    const auto outcome = decide(entries[step.key], step);
    remove_idle_nodes();
    return outcome;
  }
};

// The state under test, and by key the holders whose claim was granted.
struct tested_state {
  fleet_state state;
  bool drops_claim = false; // injected bug
  std::map<int, std::set<std::tuple<std::uint64_t, int, incarnation>>> granted_holders;

  void drop_first_claim() {
    const auto old = std::exchange(state.claims, {});
    state.claims.horizon = old.horizon;
    for (auto it = std::next(old.records.begin()); it != old.records.end(); ++it) {
      restore_claim(state.claims, it->first, it->second);
    }
  }
  wire::ClaimReplyT apply(const claim_step& step, std::uint64_t clock) {
    auto reply = apply_command(
        state, encode_command(wire::control_frame(step.request(), 1), clock));
    if (drops_claim && state.claims.records.size() == 2) {
      drop_first_claim();
      drops_claim = false;
    }
    return *reply.AsClaimReply();
  }
};

struct send_claim : rc::state::Command<oracle, tested_state> {
  claim_step step;

  send_claim() {
    step.kind = *rc::gen::elementOf(std::vector<ClaimKind>{
        ClaimKind::claim, ClaimKind::claim, ClaimKind::claim, ClaimKind::complete,
        ClaimKind::cancel, ClaimKind::lookup, ClaimKind::release});
    step.key = *rc::gen::inRange(0, static_cast<int>(key_offsets_s.size()));
    step.attempt = *rc::gen::inRange<std::uint64_t>(1, 4);
    step.node = *rc::gen::inRange(0, 2);
    step.node_incarnation = *rc::gen::weightedElement<incarnation>({{6, 1}, {1, 2}});
    step.body_hash = *rc::gen::weightedElement<std::uint64_t>({{8, 7}, {1, 8}, {1, 0}});
    step.clock_change = *rc::gen::weightedElement<int>(
        {{30, 0}, {10, 1}, {4, -500}, {2, 400}, {1, 4'000}, {1, 40'000}});
  }
  void apply(oracle& model) const override { model.apply(step); }
  void run(const oracle& before, tested_state& sut) const override {
    auto model = before;
    const auto expected = model.apply(step);
    const auto reply = sut.apply(step, model.clock);
    RC_ASSERT(reply.outcome == expected);
    const auto& entry = model.entries[step.key];
    if (reply.outcome == ClaimOutcome::completed && step.kind != ClaimKind::complete) {
      RC_ASSERT(reply.answer);
      RC_ASSERT(reply.answer->body ==
                bytes{static_cast<std::uint8_t>(entry.run->attempt)});
    }
    // Independent of the reference model: a key gets a second holder only after the first
    // released it.
    auto& holders = sut.granted_holders[step.key];
    if (step.kind == ClaimKind::release && reply.outcome == ClaimOutcome::unknown) {
      holders.clear();
    }
    if (reply.outcome == ClaimOutcome::granted) {
      holders.insert({step.attempt, step.node, step.node_incarnation});
    }
    RC_ASSERT(holders.size() <= 1U);
  }
  void show(std::ostream& os) const override {
    os << wire::EnumNameClaimKind(step.kind) << " key " << step.key << " attempt "
       << step.attempt << " node " << step.node << "." << step.node_incarnation
       << " hash " << step.body_hash << " time " << step.clock_change;
  }
};

// A voter that restarts from a snapshot.
struct restore_snapshot : rc::state::Command<oracle, tested_state> {
  void run(const oracle& /*model*/, tested_state& sut) const override {
    const auto image = encode_snapshot(sut.state);
    std::error_code ec;
    auto restored = decode_snapshot(image, ec);
    RC_ASSERT(!ec);
    RC_ASSERT(encode_snapshot(restored) == image);
    RC_ASSERT(restored.claims.usage == sut.state.claims.usage);
    RC_ASSERT(restored.claims.workspace_usage == sut.state.claims.workspace_usage);
    sut.state = std::move(restored);
  }
  void show(std::ostream& os) const override { os << "snapshot"; }
};

struct set_retention : rc::state::Command<oracle, tested_state> {
  unix_seconds retention = *rc::gen::element<unix_seconds>(3'600, day_s);

  void apply(oracle& model) const override { model.retention = retention; }
  void run(const oracle& /*model*/, tested_state& sut) const override {
    sut.state.accepted_properties.claim_retention_s = retention;
  }
  void show(std::ostream& os) const override { os << "retention " << retention; }
};

void check_claims(bool drops_claim) {
  tested_state sut;
  sut.drops_claim = drops_claim;
  const auto commands =
      rc::state::gen::execOneOfWithArgs<send_claim, send_claim, send_claim, send_claim,
                                        send_claim, send_claim, restore_snapshot,
                                        set_retention>();
  rc::state::check(oracle{}, sut, commands);
}

} // namespace

// Guards against a second run of a call that may run only once, under resends, reordered
// messages, restarted agents, clock jumps, changed retention and restarted voters.
TEST_CASE("claims agree with a reference model of the runs") {
  CHECK(rc::check("claims", [] { check_claims(false); }));
}

// Guards against a comparison that does not detect a lost claim.
TEST_CASE("the comparison with the reference model detects a dropped claim") {
  CHECK_FALSE(rc::check("claims with an injected bug", [] { check_claims(true); }));
}

namespace {

wire::ClaimReplyT send_request(claim_table& table, ClaimKind kind, int number,
                               std::size_t response_size = 0,
                               const std::string& workspace = "crew") {
  wire::ClaimRequestT request;
  request.kind = kind;
  request.workspace = workspace;
  request.service = "booking";
  request.key = std::to_string(start_time) + "-token-" + std::to_string(number);
  request.holder = "agent";
  request.attempt_lo = static_cast<std::uint64_t>(number);
  if (kind == ClaimKind::complete) {
    request.answer = std::make_unique<wire::StoredAnswerT>();
    request.answer->complete = true;
    request.answer->body.resize(response_size);
  }
  return apply_claim(table, request, start_time);
}

} // namespace

// Guards against unbounded memory, a full table that drops existing claims, and a surge
// in one workspace that blocks the claims of the others.
TEST_CASE("a full claim table refuses new keys and keeps the old ones") {
  claim_table table;
  const std::vector<std::string> others = {"b", "c", "d"};
  int n = 1'000;
  while (send_request(table, ClaimKind::claim, n).outcome == ClaimOutcome::granted) {
    ++n;
  }
  for (const auto& it : others) {
    CHECK(send_request(table, ClaimKind::claim, 1'000, 0, it).outcome ==
          ClaimOutcome::granted);
    for (int i = 1'001; i <= n; ++i) {
      send_request(table, ClaimKind::claim, i, 0, it);
    }
  }
  CHECK(table.usage.total_bytes <= max_claim_usage.total_bytes);
  CHECK(send_request(table, ClaimKind::claim, n).error_code ==
        static_cast<std::uint16_t>(errc::rate_limited));
  CHECK(send_request(table, ClaimKind::cancel, n).outcome == ClaimOutcome::unavailable);
  CHECK(send_request(table, ClaimKind::complete, 1'000, 100).outcome ==
        ClaimOutcome::completed);
  CHECK(send_request(table, ClaimKind::claim, 1'000).outcome == ClaimOutcome::completed);
  CHECK(send_request(table, ClaimKind::claim, 1'001).outcome == ClaimOutcome::granted);
  expire_claims(table, start_time + day_s + 1, day_s);
  CHECK(table.records.empty());
  CHECK(table.usage == claim_usage{});
  CHECK(table.workspace_usage.empty());
  CHECK(table.holders.empty());
  CHECK(send_request(table, ClaimKind::claim, 1'000).outcome == ClaimOutcome::expired);
}

// Guards against large responses that use up the memory for claims.
TEST_CASE("of responses over a memory limit only the completion is stored") {
  claim_table table;
  send_request(table, ClaimKind::claim, 1'000);
  CHECK_FALSE(
      send_request(table, ClaimKind::complete, 1'000, max_stored_response_bytes + 1)
          .answer);
  const auto large = send_request(table, ClaimKind::lookup, 1'000);
  CHECK(large.outcome == ClaimOutcome::completed);
  CHECK_FALSE(large.answer->complete);
  for (int n = 1'001; n < 2'000; ++n) {
    send_request(table, ClaimKind::claim, n);
    send_request(table, ClaimKind::complete, n, max_stored_response_bytes);
  }
  CHECK(table.usage.response_bytes <= max_claim_usage.response_bytes);
  CHECK(send_request(table, ClaimKind::lookup, 1'001).answer->complete);
  CHECK(send_request(table, ClaimKind::lookup, 1'999).outcome == ClaimOutcome::completed);
  CHECK_FALSE(send_request(table, ClaimKind::lookup, 1'999).answer->complete);
}

// Guards against a misread time of a key, which would expire its claim early.
TEST_CASE("the time of an idempotency key is parsed and malformed keys are rejected") {
  // Example of RFC 9562, appendix A.6: 2022-02-22 19:22:22 UTC.
  CHECK(parse_idempotency_key("017F22E2-79B0-7CC3-98C4-DC0C0C07398F") == 1645557742U);
  CHECK(parse_idempotency_key("1800000000-abcdEFG_") == start_time);
  CHECK(parse_idempotency_key("0-" + std::string(64, 'x')) == 0U);
  for (const std::string key :
       {"", "1800000000", "1800000000-short", "-1800000000-abcdefgh",
        "1800000000-abc defgh", "1234567890123-abcdefgh",
        "017F22E2-79B0-4CC3-98C4-DC0C0C07398F", "12345678-1234-4abc-8def-123456789abc",
        "017F22E2-79B0-7CC3-C8C4-DC0C0C07398F"}) {
    CHECK_FALSE(parse_idempotency_key(key));
  }
  CHECK_FALSE(parse_idempotency_key("0-" + std::string(65, 'x')));
}
