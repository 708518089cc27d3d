#include <catch2/catch.hpp>

#include "marigoldstep/raft.h"

#include <algorithm>

// Guards against a group that elects no leader while its disks are slow, so that no
// process can tell which configuration is the newest.

using namespace marigoldstep;

namespace {

constexpr auto step_time = milliseconds(5);
constexpr auto latency = milliseconds(2);

// Voters that start again with their logs and have no leader.
class slow_disk_group {
public:
  slow_disk_group(const std::vector<milliseconds>& sync_times, std::uint64_t seed) {
    group_members list;
    for (member_id id = 1; id <= sync_times.size(); ++id) {
      list.push_back({id, "host", static_cast<std::uint16_t>(id), false});
    }
    const log_entry entry{1, 1, entry_kind::members, encode_members(list)};
    for (std::size_t i = 0; i < sync_times.size(); ++i) {
      auto& it = members_.emplace_back();
      it.node =
          make_raft_node({}, {{i + 1, 5}, {1, 0}, {}, {entry}}, seed * 10 + i, now_);
      it.sync_time = sync_times[i];
    }
  }

  void stop(std::size_t i) { members_[i].is_running = false; }

  // Whether a leader can confirm reads.
  [[nodiscard]] bool has_leader() const {
    return std::any_of(members_.begin(), members_.end(), [](const auto& it) {
      return it.is_running && it.node.role == raft_role::leader &&
             term_at(it.node.log, it.node.commit_index) == it.node.state.term;
    });
  }

  // Returns false when there is no leader in time.
  bool run_until_leader(milliseconds limit) {
    const auto end = now_ + limit;
    while (!has_leader() && now_ < end) {
      now_ += step_time;
      for (auto& it : members_) {
        advance(it);
      }
    }
    return has_leader();
  }

private:
  struct unsynced {
    std::uint64_t sync_id = 0;
    time_point done_at{};
  };
  struct member {
    raft_node node;
    milliseconds sync_time{0};
    bool is_running = true;
    std::vector<unsynced> syncs;
    std::uint64_t synced_id = 0;
    std::vector<std::pair<std::uint64_t, raft_message>> waiting; // by sync id
    std::vector<std::pair<time_point, raft_message>> incoming;   // by arrival
  };

  void advance(member& it) {
    while (!it.syncs.empty() && it.syncs.front().done_at <= now_) {
      it.synced_id = it.syncs.front().sync_id;
      it.syncs.erase(it.syncs.begin());
      for (const auto& [id, message] : it.waiting) {
        if (id <= it.synced_id) {
          send(message);
        }
      }
      std::erase_if(it.waiting, [&](const auto& k) { return k.first <= it.synced_id; });
      handle(it, synced(it.node, it.synced_id, now_));
    }
    auto incoming = std::exchange(it.incoming, {});
    for (auto& [at, message] : incoming) {
      if (at > now_) {
        it.incoming.emplace_back(at, std::move(message));
      } else {
        handle(it, step(it.node, message, now_));
      }
    }
    handle(it, tick(it.node, now_));
  }

  void handle(member& it, const raft_output& out) {
    if (!out.records.empty()) {
      const auto begin = it.syncs.empty() ? now_ : it.syncs.back().done_at;
      it.syncs.push_back({out.sync_id, begin + it.sync_time});
    }
    for (const auto& message : out.immediate_messages) {
      send(message);
    }
    for (const auto& message : out.messages) {
      if (out.sync_id <= it.synced_id) {
        send(message);
      } else {
        it.waiting.emplace_back(out.sync_id, message);
      }
    }
  }

  void send(const raft_message& message) {
    auto& to = members_.at(message.to - 1);
    if (to.is_running && members_.at(message.from - 1).is_running) {
      to.incoming.emplace_back(now_ + latency, message);
    }
  }

  time_point now_{milliseconds(1000)};
  std::vector<member> members_;
};

constexpr std::uint64_t seeds = 50;

// Returns for how many seeds there was no leader in time.
std::uint64_t count_leaderless(const std::vector<milliseconds>& sync_times,
                               bool all_running, milliseconds limit) {
  std::uint64_t n = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    slow_disk_group group(sync_times, seed);
    if (!all_running) {
      group.stop(seed % sync_times.size());
    }
    n += group.run_until_leader(limit) ? 0 : 1;
  }
  return n;
}

} // namespace

TEST_CASE("a group with slow disks elects a leader within the operator's reading time") {
  constexpr auto stable_window = milliseconds(3000);
  const auto sync_time = milliseconds(GENERATE(1, 100, 250, 300, 400));
  const bool all_running = GENERATE(true, false);
  CAPTURE(sync_time.count(), all_running);
  const std::vector<milliseconds> sync_times(3, sync_time);
  CHECK(count_leaderless(sync_times, all_running, stable_window) == 0);
}

TEST_CASE("a group with very slow or unequal disks elects a leader") {
  constexpr auto recovery_time = milliseconds(12'000);
  const auto sync_times = GENERATE(
      std::vector<milliseconds>(3, milliseconds(600)),
      std::vector<milliseconds>(3, milliseconds(1000)),
      std::vector<milliseconds>(5, milliseconds(700)),
      std::vector<milliseconds>{milliseconds(1), milliseconds(800), milliseconds(800)},
      std::vector<milliseconds>{milliseconds(1), milliseconds(1), milliseconds(1500)});
  const bool all_running = GENERATE(true, false);
  CAPTURE(sync_times.front().count(), sync_times.back().count(), all_running);
  CHECK(count_leaderless(sync_times, all_running, recovery_time) == 0);
}
