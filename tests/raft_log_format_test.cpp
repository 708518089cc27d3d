#include "marigoldstep/raft_log_format.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace marigoldstep;

namespace {

log_item entry(log_index index, term_number term, const std::string& text) {
  return log_entry{index, term, entry_kind::normal, bytes(text.begin(), text.end())};
}

struct store {
  log_position position;
  std::map<std::uint64_t, bytes> segments;
  std::map<log_index, bytes> snapshots;
  std::vector<std::size_t> ends; // of the records in the last segment

  void write(const std::vector<raft_record>& records) {
    for (const auto& op : plan_writes(position, records)) {
      if (op.action == storage_action::store_snapshot) {
        snapshots[op.index] = op.data;
      } else if (op.action == storage_action::remove_before) {
        std::erase_if(segments, [&](const auto& it) { return it.first < op.segment; });
      } else {
        auto& file = segments[op.segment];
        file.insert(file.end(), op.data.begin(), op.data.end());
        ends.push_back(file.size());
      }
    }
  }

  recovered_log recover(std::error_code& ec) const {
    std::vector<segment_image> images;
    for (const auto& [number, data] : segments) {
      images.push_back({number, data});
    }
    std::string detail;
    return recover_log(
        images,
        [&](log_index index, std::error_code& load_ec) {
          const auto it = snapshots.find(index);
          return decode_snapshot_file(it == snapshots.end() ? bytes() : it->second,
                                      load_ec);
        },
        ec, detail);
  }
};

store make_store() {
  store out;
  out.write({log_item(member_identity{5, 9}), log_item(hard_state{1, 5})});
  for (log_index i = 1; i <= 6; ++i) {
    out.write({raft_record(entry(i, 1, "entry " + std::to_string(i)))});
  }
  return out;
}

log_checkpoint make_checkpoint() {
  const std::string text = "state";
  raft_snapshot snapshot{4,
                         1,
                         {{5, "10.0.0.1", 7000, false}},
                         std::make_shared<const bytes>(text.begin(), text.end())};
  return {snapshot,
          {member_identity{5, 9}, hard_state{2, 5}, snapshot_marker{4, 1},
           entry(5, 1, "entry 5"), entry(6, 2, "other 6")}};
}

} // namespace

// Guards against a crash in the middle of a write that stops the process or
// that loses records synced before.
TEST_CASE("a torn tail is cut off and everything before it is kept") {
  const auto whole = make_store();
  const auto& data = whole.segments.at(1);
  for (std::size_t n = 0; n < data.size(); ++n) {
    auto torn = whole;
    torn.segments[1].resize(n);
    std::error_code ec;
    const auto found = torn.recover(ec);
    REQUIRE_FALSE(ec);
    std::size_t records = 0;
    for (const auto end : whole.ends) {
      records += end <= n ? 1 : 0;
    }
    // The first record holds no entry.
    REQUIRE(found.raft.entries.size() == (records == 0 ? 0 : records - 1));
    REQUIRE(found.valid_size + found.torn_tail_bytes == n);
  }
}

// Guards against a shorter history after damage: whatever byte is changed,
// recovery refuses unless only the last record is concerned.
TEST_CASE("damage before the last record is refused") {
  const auto whole = make_store();
  const auto last = whole.ends[whole.ends.size() - 2];
  rc::check("a changed byte in the middle", [&] {
    auto damaged = whole;
    const auto at = *rc::gen::inRange<std::size_t>(0, last);
    damaged.segments[1][at] ^= *rc::gen::inRange<std::uint8_t>(1, 255);
    std::error_code ec;
    damaged.recover(ec);
    RC_ASSERT(ec == errc::storage_corrupt);
  });
  auto split = whole;
  split.position = {2, 0};
  split.write({raft_record(entry(7, 1, "entry 7"))});
  std::error_code ec;
  SECTION("a torn tail in an earlier segment") {
    split.segments[1].pop_back();
    split.recover(ec);
    CHECK(ec == errc::storage_corrupt);
  }
  SECTION("a missing segment") {
    split.segments.erase(1);
    split.recover(ec);
    CHECK(ec == errc::storage_corrupt);
  }
  SECTION("two whole segments") {
    CHECK(split.recover(ec).raft.entries.size() == 7);
    CHECK_FALSE(ec);
  }
}

// Guards against a crash around a checkpoint that loses entries, and against a
// start without the snapshot that replaced them.
TEST_CASE("a checkpoint replaces what was stored before it") {
  const auto before = make_store();
  auto after = before;
  after.write({raft_record(make_checkpoint())});
  std::error_code ec;
  const auto check = [&](const recovered_log& found) {
    REQUIRE_FALSE(ec);
    CHECK(found.raft.identity == member_identity{5, 9});
    CHECK(found.raft.state == hard_state{2, 5});
    REQUIRE(found.raft.snapshot.last_index == 4);
    CHECK(found.raft.snapshot.members.size() == 1);
    REQUIRE(found.raft.entries.size() == 2);
    CHECK(found.raft.entries.back().term == 2);
  };
  check(after.recover(ec));
  SECTION("old segments not removed yet") {
    after.segments[1] = before.segments.at(1);
    check(after.recover(ec));
  }
  SECTION("torn checkpoint beside the old segment") {
    after.segments[1] = before.segments.at(1);
    after.segments[2].pop_back();
    CHECK(after.recover(ec).raft.entries.size() == 6);
    CHECK_FALSE(ec);
  }
  SECTION("snapshot missing") {
    after.snapshots.clear();
    after.recover(ec);
    CHECK(ec == errc::storage_corrupt);
  }
  SECTION("snapshot damaged") {
    after.snapshots[4].back() ^= 1;
    after.recover(ec);
    CHECK(ec == errc::storage_corrupt);
  }
}
