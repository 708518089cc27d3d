#include "marigoldstep.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;
using wire::ChangeKind;
using wire::ChangeOutcome;

namespace {

constexpr unix_seconds start_time = 1'800'000'000;

template <typename Body>
wire::ControlBodyUnion apply(fleet_state& state, Body body,
                             unix_seconds time = start_time) {
  return apply_command(state,
                       encode_command(wire::control_frame(std::move(body), 1), time));
}

wire::ChangeReplyT send_change(fleet_state& state, ChangeKind kind, const std::string& id,
                               std::uint64_t base = 0,
                               const std::string& text = "fleet: a\n",
                               const std::string& author = "ana") {
  wire::ChangeRequestT body;
  body.kind = kind;
  body.change_id = id;
  body.author = author;
  body.base_version = base;
  body.text = text;
  body.operator_key = "secret-key-of-ana";
  return *apply(state, std::move(body)).AsChangeReply();
}

wire::ChangeReplyT accept(fleet_state& state, const std::string& id, std::uint64_t base,
                          const std::string& text) {
  send_change(state, ChangeKind::propose, id, base, text);
  return send_change(state, ChangeKind::approve, id);
}

} // namespace

// Guards against two operators' changes on the same base version both taking effect, and
// a refusal that does not name the accepted change.
TEST_CASE("the second change on a base version is refused and names the winner") {
  fleet_state state;
  CHECK(accept(state, "c1", 0, "fleet: a\n").version == 1);
  send_change(state, ChangeKind::propose, "c2", 1, "fleet: b\n", "ana");
  send_change(state, ChangeKind::propose, "c3", 1, "fleet: c\n", "ben");
  CHECK(send_change(state, ChangeKind::approve, "c3").version == 2);
  const auto late = send_change(state, ChangeKind::approve, "c2");
  CHECK(late.outcome == ChangeOutcome::refused);
  CHECK(errc_from_number(late.error_code) == errc::stale_base_version);
  CHECK(late.winner_change_id == "c3");
  CHECK(late.winner_author == "ben");
  CHECK(state.accepted_text == "fleet: c\n");
}

// Guards against a resend after a lost reply that undoes or repeats a decision, and
// against reuse of an old version number.
TEST_CASE("stop adds a version with the previous text; resends get the first reply") {
  fleet_state state;
  accept(state, "c1", 0, "fleet: a\n");
  const auto first = accept(state, "c2", 1, "fleet: b\n");
  const auto stopped = send_change(state, ChangeKind::stop, "c2", 0, "", "ben");
  CHECK(stopped.outcome == ChangeOutcome::stopped);
  CHECK(stopped.version == 3);
  CHECK(state.accepted_text == "fleet: a\n");
  CHECK(send_change(state, ChangeKind::approve, "c2") == first);
  CHECK(send_change(state, ChangeKind::stop, "c2") == stopped);
  CHECK(state.accepted_version == 3);
  CHECK(send_change(state, ChangeKind::stop, "c2.stop").version == 4);
  CHECK(state.accepted_text == "fleet: b\n");
  send_change(state, ChangeKind::propose, "c3", 4, "fleet: d\n");
  CHECK(send_change(state, ChangeKind::stop, "c3").outcome == ChangeOutcome::stopped);
  CHECK(send_change(state, ChangeKind::approve, "c3").outcome == ChangeOutcome::refused);
  CHECK(state.accepted_version == 4);
}

// Guards against confusing the texts of two operators under the same id, and against
// storing invalid texts.
TEST_CASE("proposals with an invalid text or an id in use or reserved are refused") {
  fleet_state state;
  const auto invalid =
      send_change(state, ChangeKind::propose, "c1", 0, "fleet: a\nlimit: 1\n");
  CHECK(invalid.outcome == ChangeOutcome::refused);
  CHECK(invalid.message == "line 2: limit: unknown key");
  CHECK(send_change(state, ChangeKind::approve, "c1").error_code ==
        static_cast<std::uint16_t>(errc::unknown_change));
  send_change(state, ChangeKind::propose, "c2", 0, "fleet: a\n", "ana");
  const auto other =
      send_change(state, ChangeKind::propose, "c2", 0, "fleet: b\n", "ben");
  CHECK(other.outcome == ChangeOutcome::refused);
  CHECK(other.winner_author == "ana");
  CHECK(send_change(state, ChangeKind::show, "c2").text == "fleet: a\n");
  CHECK(send_change(state, ChangeKind::propose, "x.stop").outcome ==
        ChangeOutcome::refused);
}

// Guards against operator keys in the log and unbounded growth of the history.
TEST_CASE("log entries contain no operator keys and the history is bounded") {
  wire::ChangeRequestT body;
  body.operator_key = "secret-key-of-ana";
  const auto entry = encode_command(wire::control_frame(std::move(body), 1), start_time);
  CHECK(as_text(entry).find("secret-key") == std::string_view::npos);

  fleet_state state;
  for (std::size_t i = 0; i < max_decided_changes + 50; ++i) {
    accept(state, "c" + std::to_string(i), i, "fleet: a\n");
  }
  CHECK(state.accepted_version == max_decided_changes + 50);
  CHECK(state.changes.size() == max_decided_changes);
  CHECK(state.first_replies.size() == 2 * max_decided_changes);
}

// Guards against loads from the weight store above its limit, and against issuing a
// fencing token twice, also after a restart.
TEST_CASE("orders get increasing fencing tokens within the load limit") {
  fleet_state state;
  accept(state, "c1", 0, "fleet: a\nlimits: {loads_per_minute: 2}\n");
  const auto order = [&state](unix_seconds time) {
    return *apply(state, wire::OrderRequestT{}, time).AsOrderReply();
  };
  CHECK(order(start_time).fencing == 1);
  CHECK(order(start_time + 10).fencing == 2);
  CHECK(order(start_time + 20).fencing == 0);
  CHECK(order(start_time + 20).retry_after_ms == 40'000);
  std::error_code ec;
  state = decode_snapshot(encode_snapshot(state), ec);
  REQUIRE_FALSE(ec);
  CHECK(order(start_time + 59).fencing == 0);
  CHECK(order(start_time + 60).fencing == 3);
}

// Guards against partial application of a damaged entry or snapshot.
TEST_CASE("truncated commands and snapshots are rejected as a whole") {
  fleet_state state;
  accept(state, "c1", 0, "fleet: a\n");
  const auto before = encode_snapshot(state);
  const auto entry =
      encode_command(wire::control_frame(wire::OrderRequestT{}, 1), start_time + 5);
  for (std::size_t n = 0; n < entry.size(); ++n) {
    CHECK(apply_command(state, byte_view(entry).first(n)).type ==
          wire::ControlBody::NONE);
  }
  CHECK(encode_snapshot(state) == before);
  std::error_code ec;
  for (std::size_t n = 0; n < before.size(); ++n) {
    decode_snapshot(byte_view(before).first(n), ec);
    CHECK(ec == errc::storage_corrupt);
  }
}
