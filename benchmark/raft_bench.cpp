#include "raft_bench.h"

#include "marigoldstep/fleet_state.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/raft_storage.h"
#include "marigoldstep/raft.h"

#include <QCoreApplication>

#include <algorithm>
#include <chrono>
#include <deque>
#include <filesystem>
#include <iostream>
#include <memory>

namespace marigoldstep::bench {

namespace {

using steady = std::chrono::steady_clock;

constexpr std::size_t entry_bytes = 200;
constexpr std::size_t max_in_flight_proposals = 32;
constexpr auto measurement_time = std::chrono::seconds(3);
constexpr int election_runs = 25;
// Time after which all followers know the group and receive heartbeats.
constexpr auto settle_time = std::chrono::milliseconds(300);
const char* const data_directory = "raft-bench-data";

double seconds_since(steady::time_point begin) {
  return std::chrono::duration<double>(steady::now() - begin).count();
}

struct measurement {
  std::string name;
  std::vector<std::pair<std::string, double>> values;
};

void print(const bench_options& options, const measurement& it) {
  if (options.json) {
    std::cout << R"({"name": ")" << it.name << '"';
    for (const auto& [key, value] : it.values) {
      std::cout << ", \"" << key << "\": " << value;
    }
    std::cout << "}\n";
    return;
  }
  std::cout << it.name;
  for (const auto& [key, value] : it.values) {
    std::cout << "  " << key << "=" << value;
  }
  std::cout << "\n";
}

double percentile(std::vector<double>& values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(fraction *
                                         static_cast<double>(values.size() - 1))];
}

// A Raft group within this process. Members exchange messages through a queue; each
// stores its log in its own directory.
class local_group {
public:
  local_group(const std::string& directory, std::size_t n) {
    std::filesystem::remove_all(directory);
    group_members list;
    for (std::size_t i = 0; i < n; ++i) {
      auto it = std::make_unique<local_member>();
      std::error_code ec;
      std::string detail;
      it->log = std::make_unique<io::raft_storage>(nullptr);
      it->log->open(directory + "/" + std::to_string(i), ec, detail);
      if (ec) {
        std::cerr << detail << "\n";
      }
      raft_recovery empty;
      empty.identity = {i + 1, 0};
      it->node = make_raft_node({}, std::move(empty), io::random_engine()(), io::now());
      auto* at = it.get();
      it->log->on_synced = [this, at](std::uint64_t id) { handle_synced(*at, id); };
      list.push_back({i + 1, "127.0.0.1", 1, false});
      members_.push_back(std::move(it));
    }
    handle_output(*members_[0], store_identity(members_[0]->node));
    handle_output(*members_[0], form_group(members_[0]->node, 1, list, io::now()));
  }

  // Delivers queued messages and sync completions, and runs the timers.
  void process_events() {
    QCoreApplication::processEvents();
    while (!messages_.empty()) {
      const auto message = std::move(messages_.front());
      messages_.pop_front();
      for (auto& it : members_) {
        if (it->alive && it->node.identity.id == message.to) {
          handle_output(*it, step(it->node, message, io::now()));
        }
      }
    }
    for (auto& it : members_) {
      if (it->alive) {
        handle_output(*it, tick(it->node, io::now()));
      }
    }
  }

  // Runs until there is a leader that has committed an entry of its own term.
  void run_until_leader() {
    while (leader() == nullptr) {
      process_events();
    }
  }

  void run_for(std::chrono::milliseconds time) {
    const auto begin = steady::now();
    while (steady::now() - begin < time) {
      process_events();
    }
  }

  void stop_leader() { leader()->alive = false; }

  void run_load(std::vector<double>& latencies) {
    auto* at = leader();
    const auto begin = steady::now();
    while (steady::now() - begin < measurement_time) {
      std::vector<bytes> commands;
      while (in_flight_.size() + commands.size() < max_in_flight_proposals) {
        commands.emplace_back(entry_bytes);
      }
      if (!commands.empty()) {
        const auto n = commands.size();
        auto out = propose(at->node, std::move(commands), io::now());
        for (std::size_t i = 0; i < n; ++i) {
          in_flight_[out.proposed_index + i] = steady::now();
        }
        handle_output(*at, std::move(out));
      }
      latencies_ = &latencies;
      process_events();
    }
    latencies_ = nullptr;
  }

private:
  struct deferred_message {
    std::uint64_t sync_id = 0;
    raft_message message;
  };
  struct local_member {
    raft_node node;
    std::unique_ptr<io::raft_storage> log;
    std::vector<deferred_message> deferred;
    std::uint64_t synced_id = 0;
    bool alive = true;
  };

  local_member* leader() {
    for (auto& it : members_) {
      if (it->alive && it->node.role == raft_role::leader &&
          term_at(it->node.log, it->node.commit_index) == it->node.state.term) {
        return it.get();
      }
    }
    return nullptr;
  }

  void handle_output(local_member& at, raft_output out) {
    if (!out.records.empty()) {
      at.log->store(out.sync_id, std::move(out.records));
    }
    for (auto& it : out.immediate_messages) {
      messages_.push_back(std::move(it));
    }
    for (auto& it : out.messages) {
      if (out.sync_id <= at.synced_id) {
        messages_.push_back(std::move(it));
      } else {
        at.deferred.push_back({out.sync_id, std::move(it)});
      }
    }
    for (const auto& it : out.committed) {
      const auto in_flight = in_flight_.find(it.index);
      if (at.node.role == raft_role::leader && in_flight != in_flight_.end()) {
        if (latencies_ != nullptr) {
          latencies_->push_back(seconds_since(in_flight->second) * 1000);
        }
        in_flight_.erase(in_flight);
      }
    }
    if (out.snapshot_due) {
      handle_output(at, compact(at.node, bytes(entry_bytes), io::now()));
    }
  }

  void handle_synced(local_member& at, std::uint64_t id) {
    at.synced_id = id;
    for (auto& it : at.deferred) {
      if (it.sync_id <= id) {
        messages_.push_back(it.message);
      }
    }
    std::erase_if(at.deferred, [&](const auto& it) { return it.sync_id <= id; });
    if (at.alive) {
      handle_output(at, synced(at.node, id, io::now()));
    }
  }

  std::vector<std::unique_ptr<local_member>> members_;
  std::deque<raft_message> messages_;
  std::map<log_index, steady::time_point> in_flight_;
  std::vector<double>* latencies_ = nullptr;
};

void measure_commits(const bench_options& options, std::size_t voters) {
  std::vector<double> latencies;
  {
    local_group it(data_directory, voters);
    it.run_until_leader();
    it.run_load(latencies);
  }
  const auto rate = static_cast<double>(latencies.size()) /
                    std::chrono::duration<double>(measurement_time).count();
  print(options, {"raft_commit",
                  {{"voters", static_cast<double>(voters)},
                   {"in_flight", static_cast<double>(max_in_flight_proposals)},
                   {"commits_per_s", rate},
                   {"p50_ms", percentile(latencies, 0.5)},
                   {"p99_ms", percentile(latencies, 0.99)}}});
}

void measure_elections(const bench_options& options) {
  std::vector<double> times;
  for (int i = 0; i < election_runs; ++i) {
    local_group it(data_directory, 3);
    it.run_until_leader();
    it.run_for(settle_time);
    it.stop_leader();
    const auto begin = steady::now();
    it.run_until_leader();
    times.push_back(seconds_since(begin) * 1000);
  }
  const auto median = percentile(times, 0.5);
  print(options, {"raft_new_leader",
                  {{"voters", 3},
                   {"runs", election_runs},
                   {"median_ms", median},
                   {"max_ms", times.back()}}});
}

bytes claim_command(std::size_t i, unix_seconds time) {
  wire::ClaimRequestT body;
  body.kind = wire::ClaimKind::claim;
  body.workspace = "workspace-" + std::to_string(i % 10);
  body.service = "booking-svc";
  body.key = std::to_string(time) + "-order-number-" + std::to_string(i);
  body.body_hash = i;
  body.attempt_hi = i;
  body.holder = "agent-1";
  body.holder_incarnation = 1;
  return encode_command(wire::control_frame(std::move(body), i), time);
}

void store_entries(const std::string& directory, std::size_t n, unix_seconds time) {
  std::filesystem::remove_all(directory);
  io::raft_storage log(nullptr);
  std::error_code ec;
  std::string detail;
  log.open(directory, ec, detail);
  constexpr std::size_t batch_entries = 1000;
  for (std::size_t i = 0; i < n; i += batch_entries) {
    std::vector<raft_record> records{log_item(hard_state{1, 1})};
    for (auto k = i; k < std::min(n, i + batch_entries); ++k) {
      records.emplace_back(
          log_item(log_entry{k + 1, 1, entry_kind::normal, claim_command(k, time)}));
    }
    log.store(i / batch_entries + 1, std::move(records));
  }
  log.close();
}

bool measure_replay(const bench_options& options, std::size_t n) {
  const auto time = io::wall_clock();
  store_entries(data_directory, n, time);
  auto begin = steady::now();
  io::raft_storage log(nullptr);
  std::error_code ec;
  std::string detail;
  const auto found = log.open(data_directory, ec, detail);
  const auto read_s = seconds_since(begin);
  begin = steady::now();
  fleet_state state;
  for (const auto& it : found.raft.entries) {
    apply_command(state, it.data);
  }
  const auto apply_s = seconds_since(begin);
  begin = steady::now();
  const auto snapshot = encode_snapshot(state);
  const auto encode_s = seconds_since(begin);
  begin = steady::now();
  decode_snapshot(snapshot, ec);
  const auto decode_s = seconds_since(begin);
  print(options, {"raft_replay",
                  {{"entries", static_cast<double>(found.raft.entries.size())},
                   {"read_log_s", read_s},
                   {"apply_s", apply_s},
                   {"claims", static_cast<double>(state.claims.records.size())},
                   {"snapshot_encode_s", encode_s},
                   {"snapshot_decode_s", decode_s},
                   {"snapshot_bytes", static_cast<double>(snapshot.size())},
                   {"decode_failed", ec ? 1.0 : 0.0}}});
  return !ec && found.raft.entries.size() == n;
}

} // namespace

bool run_raft_bench(const bench_options& options) {
  std::unique_ptr<QCoreApplication> app;
  int argc = 1;
  std::string program = "mstep-bench";
  char* argv[] = {program.data(), nullptr};
  if (QCoreApplication::instance() == nullptr) {
    app = std::make_unique<QCoreApplication>(argc, argv);
  }
  for (const std::size_t voters : {1, 3, 5}) {
    measure_commits(options, voters);
  }
  measure_elections(options);
  bool ok = true;
  for (const std::size_t n : {1'000, 1'000'000}) {
    ok = measure_replay(options, n) && ok;
  }
  std::filesystem::remove_all(data_directory);
  return ok;
}

} // namespace marigoldstep::bench
