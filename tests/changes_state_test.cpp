#include "marigoldstep.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace marigoldstep;
using wire::ChangeKind;
using wire::ChangeOutcome;

namespace {

struct accepted_change {
  std::string id;
  std::string text;
};

struct recorded_change {
  std::uint64_t base = 0;
  std::string text;
  ChangeOutcome outcome = ChangeOutcome::pending;
};

struct change_step {
  ChangeKind kind{};
  std::string id;
  std::uint64_t base = 0;
  std::string author;
};

struct expected_reply {
  ChangeOutcome outcome = ChangeOutcome::refused;
  std::uint64_t version = 0;
  std::string winner; // id of the change that the refusal names

  friend bool operator==(const expected_reply&, const expected_reply&) = default;
};

// Reference model: the list of accepted versions, where index 0 is version 1.
struct oracle {
  std::vector<accepted_change> accepted;
  std::map<std::string, recorded_change> changes;
  std::map<change_reply_key, expected_reply> first_replies;

  [[nodiscard]] expected_reply refused(std::string winner = {}) const {
    return {ChangeOutcome::refused, accepted.size(), std::move(winner)};
  }
  static std::string text_of(const change_step& step) {
    return "fleet: " + step.id + "-" + step.author + "-" + std::to_string(step.base) +
           "\n";
  }
  expected_reply propose(const change_step& step) {
    const auto text = text_of(step);
    auto it = changes.find(step.id);
    if (it == changes.end()) {
      changes[step.id] = {step.base, text, ChangeOutcome::pending};
      return {ChangeOutcome::pending, 0, {}};
    }
    return it->second.text == text ? expected_reply{ChangeOutcome::pending, 0, {}}
                                   : refused(step.id);
  }
  expected_reply approve(const change_step& step) {
    auto& change = changes.at(step.id);
    if (change.outcome != ChangeOutcome::pending) {
      return refused();
    }
    if (change.base != accepted.size()) {
      change.outcome = ChangeOutcome::refused;
      return refused(change.base < accepted.size() ? accepted[change.base].id : "");
    }
    change.outcome = ChangeOutcome::accepted;
    accepted.push_back({step.id, change.text});
    return {ChangeOutcome::accepted, accepted.size(), {}};
  }
  expected_reply stop(const change_step& step) {
    auto& change = changes.at(step.id);
    if (change.outcome == ChangeOutcome::pending) {
      change.outcome = ChangeOutcome::stopped;
      return {ChangeOutcome::stopped, accepted.size(), {}};
    }
    if (accepted.size() < 2 || accepted.back().id != step.id) {
      return refused();
    }
    change.outcome = ChangeOutcome::stopped;
    const auto text = accepted[accepted.size() - 2].text;
    accepted.push_back({step.id + ".stop", text});
    changes[step.id + ".stop"] = {accepted.size() - 1, text, ChangeOutcome::accepted};
    return {ChangeOutcome::stopped, accepted.size(), {}};
  }
  expected_reply apply(const change_step& step) {
    if (step.kind == ChangeKind::propose) {
      return propose(step);
    }
    if (!changes.contains(step.id)) {
      return refused();
    }
    const change_reply_key key{step.id, step.kind};
    if (!first_replies.contains(key)) {
      first_replies[key] = step.kind == ChangeKind::approve ? approve(step) : stop(step);
    }
    return first_replies[key];
  }
};

struct tested_state {
  fleet_state state;
  std::map<std::uint64_t, std::string> winners; // by base version
};

struct send_change : rc::state::Command<oracle, tested_state> {
  change_step step;

  explicit send_change(const oracle& model) {
    step.kind = *rc::gen::element(ChangeKind::propose, ChangeKind::approve,
                                  ChangeKind::approve, ChangeKind::stop);
    step.id = "c" + std::to_string(*rc::gen::inRange(0, 12));
    if (step.kind == ChangeKind::stop && !model.accepted.empty() &&
        *rc::gen::inRange(0, 2) == 0) {
      step.id = model.accepted.back().id;
    }
    // Mostly the accepted version, sometimes an older or a future one.
    const auto lag = *rc::gen::weightedElement<int>({{6, 0}, {2, -1}, {1, 1}});
    const auto base = static_cast<int>(model.accepted.size()) + lag;
    step.base = static_cast<std::uint64_t>(std::max(0, base));
    step.author = *rc::gen::element<std::string>("ana", "ben");
  }
  void apply(oracle& model) const override { model.apply(step); }
  void run(const oracle& before, tested_state& sut) const override {
    auto model = before;
    const auto expected = model.apply(step);
    wire::ChangeRequestT body;
    body.kind = step.kind;
    body.change_id = step.id;
    body.author = step.author;
    body.base_version = step.base;
    body.text = oracle::text_of(step);
    const auto old_version = sut.state.accepted_version;
    auto reply = apply_command(
        sut.state, encode_command(wire::control_frame(std::move(body), 1), 1'000));
    const auto& actual = *reply.AsChangeReply();
    RC_ASSERT((expected_reply{actual.outcome, actual.version, actual.winner_change_id} ==
               expected));
    RC_ASSERT(sut.state.accepted_version == model.accepted.size());
    RC_ASSERT(sut.state.accepted_version >= old_version);
    if (!model.accepted.empty()) {
      RC_ASSERT(sut.state.accepted_text == model.accepted.back().text);
    }
    if (sut.state.accepted_version > old_version) {
      RC_ASSERT(sut.winners.emplace(old_version, sut.state.accepted_change_id).second);
    }
  }
  void show(std::ostream& os) const override {
    os << wire::EnumNameChangeKind(step.kind) << " " << step.id << " on " << step.base
       << " by " << step.author;
  }
};

struct restore_snapshot : rc::state::Command<oracle, tested_state> {
  void run(const oracle& /*model*/, tested_state& sut) const override {
    const auto image = encode_snapshot(sut.state);
    std::error_code ec;
    sut.state = decode_snapshot(image, ec);
    RC_ASSERT(!ec);
    RC_ASSERT(encode_snapshot(sut.state) == image);
  }
  void show(std::ostream& os) const override { os << "snapshot"; }
};

} // namespace

// Guards against two accepted changes on one base version, a version that decreases, and
// a resend that gets a different reply than the first, in any order of messages and with
// voters that restart from snapshots.
TEST_CASE("configuration changes agree with a list of accepted versions") {
  CHECK(rc::check("changes", [] {
    tested_state sut;
    rc::state::check(oracle{}, sut,
                     rc::state::gen::execOneOfWithArgs<send_change, send_change,
                                                       send_change, restore_snapshot>());
  }));
}
