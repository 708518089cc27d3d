#include "marigoldstep/raft_log_format.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace marigoldstep;

namespace {

log_item make_entry(log_index index, term_number term, const std::string& text) {
  return log_entry{index, term, entry_kind::normal, bytes(text.begin(), text.end())};
}

// Storage in memory that executes the planned writes.
struct memory_storage {
  log_position position;
  std::map<std::uint64_t, bytes> segments;
  std::map<log_index, bytes> snapshots;
  std::vector<std::size_t> record_ends; // end offset of each appended record

  void write(const std::vector<raft_record>& records) {
    for (const auto& op : plan_writes(position, records)) {
      if (op.action == storage_action::store_snapshot) {
        snapshots[op.index] = op.data;
      } else if (op.action == storage_action::remove_before) {
        std::erase_if(segments, [&](const auto& it) { return it.first < op.segment; });
      } else {
        auto& file = segments[op.segment];
        file.insert(file.end(), op.data.begin(), op.data.end());
        record_ends.push_back(file.size());
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

memory_storage make_storage() {
  memory_storage out;
  out.write({log_item(member_identity{5, 9}), log_item(hard_state{1, 5})});
  for (log_index i = 1; i <= 6; ++i) {
    out.write({raft_record(make_entry(i, 1, "entry " + std::to_string(i)))});
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
           make_entry(5, 1, "entry 5"), make_entry(6, 2, "other 6")}};
}

} // namespace

// Guards against a crash in the middle of a write after which the process cannot start
// or earlier synced records are lost.
TEST_CASE("recovery drops a torn tail and keeps all records before it") {
  const auto intact = make_storage();
  const auto& data = intact.segments.at(1);
  for (std::size_t n = 0; n < data.size(); ++n) {
    auto torn = intact;
    torn.segments[1].resize(n);
    std::error_code ec;
    const auto recovered = torn.recover(ec);
    REQUIRE_FALSE(ec);
    std::size_t records = 0;
    for (const auto end : intact.record_ends) {
      records += end <= n ? 1 : 0;
    }
    // The first record contains no entry.
    REQUIRE(recovered.raft.entries.size() == (records == 0 ? 0 : records - 1));
    REQUIRE(recovered.valid_size + recovered.torn_tail_bytes == n);
  }
}

// Guards against damage that is taken for a torn tail and shortens the log: recovery must
// fail whichever byte before the last record has changed.
TEST_CASE("recovery rejects damage before the last record") {
  const auto intact = make_storage();
  const auto last = intact.record_ends[intact.record_ends.size() - 2];
  CHECK(rc::check("a changed byte before the last record", [&] {
    auto damaged = intact;
    const auto at = *rc::gen::inRange<std::size_t>(0, last);
    damaged.segments[1][at] ^= *rc::gen::inRange<std::uint8_t>(1, 255);
    std::error_code ec;
    damaged.recover(ec);
    RC_ASSERT(ec == errc::storage_corrupt);
  }));
  auto two_segments = intact;
  two_segments.position = {2, 0};
  two_segments.write({raft_record(make_entry(7, 1, "entry 7"))});
  std::error_code ec;
  SECTION("a torn tail in an earlier segment is rejected") {
    two_segments.segments[1].pop_back();
    two_segments.recover(ec);
    CHECK(ec == errc::storage_corrupt);
  }
  SECTION("a missing segment is rejected") {
    two_segments.segments.erase(1);
    two_segments.recover(ec);
    CHECK(ec == errc::storage_corrupt);
  }
  SECTION("two intact segments are recovered") {
    CHECK(two_segments.recover(ec).raft.entries.size() == 7);
    CHECK_FALSE(ec);
  }
}

// Guards against a crash during or right after a checkpoint that loses entries, and
// against a start without the snapshot that replaced them.
TEST_CASE("a checkpoint replaces the records before it") {
  const auto before = make_storage();
  auto after = before;
  after.write({raft_record(make_checkpoint())});
  std::error_code ec;
  const auto check_recovered = [&](const recovered_log& recovered) {
    REQUIRE_FALSE(ec);
    CHECK(recovered.raft.identity == member_identity{5, 9});
    CHECK(recovered.raft.state == hard_state{2, 5});
    REQUIRE(recovered.raft.snapshot.last_index == 4);
    CHECK(recovered.raft.snapshot.members.size() == 1);
    REQUIRE(recovered.raft.entries.size() == 2);
    CHECK(recovered.raft.entries.back().term == 2);
  };
  check_recovered(after.recover(ec));
  SECTION("segments before the checkpoint may remain") {
    after.segments[1] = before.segments.at(1);
    check_recovered(after.recover(ec));
  }
  SECTION("with a torn checkpoint the old segment is used") {
    after.segments[1] = before.segments.at(1);
    after.segments[2].pop_back();
    CHECK(after.recover(ec).raft.entries.size() == 6);
    CHECK_FALSE(ec);
  }
  SECTION("a missing snapshot is rejected") {
    after.snapshots.clear();
    after.recover(ec);
    CHECK(ec == errc::storage_corrupt);
  }
  SECTION("a damaged snapshot is rejected") {
    after.snapshots[4].back() ^= 1;
    after.recover(ec);
    CHECK(ec == errc::storage_corrupt);
  }
}
