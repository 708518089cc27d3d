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
constexpr std::size_t open_requests = 32; // proposals in flight at once
constexpr auto measured_time = std::chrono::seconds(3);
constexpr int elections = 25;
// All followers know the group and hear heartbeats by then.
constexpr auto settling_time = std::chrono::milliseconds(300);
const char* const data_folder = "raft-bench-data";

double seconds_since(steady::time_point begin) {
  return std::chrono::duration<double>(steady::now() - begin).count();
}

struct figure {
  std::string name;
  std::vector<std::pair<std::string, double>> values;
};

void print(const bench_options& options, const figure& it) {
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

double percentile(std::vector<double>& values, double part) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

// Members in one process that pass messages through a queue and store their
// logs in files of their own.
class group {
public:
  group(const std::string& folder, std::size_t n) {
    std::filesystem::remove_all(folder);
    group_members list;
    for (std::size_t i = 0; i < n; ++i) {
      auto it = std::make_unique<place>();
      std::error_code ec;
      std::string detail;
      it->log = std::make_unique<io::raft_storage>(nullptr);
      it->log->open(folder + "/" + std::to_string(i), ec, detail);
      if (ec) {
        std::cerr << detail << "\n";
      }
      raft_recovery empty;
      empty.identity = {i + 1, 0};
      it->node = make_raft_node({}, std::move(empty), io::random_engine()(), io::now());
      auto* at = it.get();
      it->log->on_synced = [this, at](std::uint64_t id) { handle_synced(*at, id); };
      list.push_back({i + 1, "127.0.0.1", 1, false});
      places_.push_back(std::move(it));
    }
    take(*places_[0], store_identity(places_[0]->node));
    take(*places_[0], form_group(places_[0]->node, 1, list, io::now()));
  }

  // Delivers what is queued and runs timers.
  void turn() {
    QCoreApplication::processEvents();
    while (!messages_.empty()) {
      const auto message = std::move(messages_.front());
      messages_.pop_front();
      for (auto& it : places_) {
        if (it->alive && it->node.identity.id == message.to) {
          take(*it, step(it->node, message, io::now()));
        }
      }
    }
    for (auto& it : places_) {
      if (it->alive) {
        take(*it, tick(it->node, io::now()));
      }
    }
  }

  // Runs until a member leads and has committed in its own term.
  void elect() {
    while (leader() == nullptr) {
      turn();
    }
  }

  void run_for(std::chrono::milliseconds time) {
    const auto begin = steady::now();
    while (steady::now() - begin < time) {
      turn();
    }
  }

  void kill_leader() { leader()->alive = false; }

  void load(std::vector<double>& latencies) {
    auto* at = leader();
    const auto begin = steady::now();
    while (steady::now() - begin < measured_time) {
      std::vector<bytes> commands;
      while (open_.size() + commands.size() < open_requests) {
        commands.emplace_back(entry_bytes);
      }
      if (!commands.empty()) {
        const auto n = commands.size();
        auto out = propose(at->node, std::move(commands), io::now());
        for (std::size_t i = 0; i < n; ++i) {
          open_[out.proposed_index + i] = steady::now();
        }
        take(*at, std::move(out));
      }
      latencies_ = &latencies;
      turn();
    }
    latencies_ = nullptr;
  }

private:
  struct held_message {
    std::uint64_t sync_id = 0;
    raft_message message;
  };
  struct place {
    raft_node node;
    std::unique_ptr<io::raft_storage> log;
    std::vector<held_message> held;
    std::uint64_t synced_id = 0;
    bool alive = true;
  };

  place* leader() {
    for (auto& it : places_) {
      if (it->alive && it->node.role == raft_role::leader &&
          term_at(it->node.log, it->node.commit_index) == it->node.state.term) {
        return it.get();
      }
    }
    return nullptr;
  }

  void take(place& at, raft_output out) {
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
        at.held.push_back({out.sync_id, std::move(it)});
      }
    }
    for (const auto& it : out.committed) {
      const auto open = open_.find(it.index);
      if (at.node.role == raft_role::leader && open != open_.end()) {
        if (latencies_ != nullptr) {
          latencies_->push_back(seconds_since(open->second) * 1000);
        }
        open_.erase(open);
      }
    }
    if (out.snapshot_wanted) {
      take(at, compact(at.node, bytes(entry_bytes), io::now()));
    }
  }

  void handle_synced(place& at, std::uint64_t id) {
    at.synced_id = id;
    for (auto& it : at.held) {
      if (it.sync_id <= id) {
        messages_.push_back(it.message);
      }
    }
    std::erase_if(at.held, [&](const auto& it) { return it.sync_id <= id; });
    if (at.alive) {
      take(at, synced(at.node, id, io::now()));
    }
  }

  std::vector<std::unique_ptr<place>> places_;
  std::deque<raft_message> messages_;
  std::map<log_index, steady::time_point> open_;
  std::vector<double>* latencies_ = nullptr;
};

void measure_commits(const bench_options& options, std::size_t voters) {
  std::vector<double> latencies;
  {
    group it(data_folder, voters);
    it.elect();
    it.load(latencies);
  }
  const auto rate = static_cast<double>(latencies.size()) /
                    std::chrono::duration<double>(measured_time).count();
  print(options, {"raft_commit",
                  {{"voters", static_cast<double>(voters)},
                   {"in_flight", static_cast<double>(open_requests)},
                   {"commits_per_s", rate},
                   {"p50_ms", percentile(latencies, 0.5)},
                   {"p99_ms", percentile(latencies, 0.99)}}});
}

void measure_elections(const bench_options& options) {
  std::vector<double> times;
  for (int i = 0; i < elections; ++i) {
    group it(data_folder, 3);
    it.elect();
    it.run_for(settling_time);
    it.kill_leader();
    const auto begin = steady::now();
    it.elect();
    times.push_back(seconds_since(begin) * 1000);
  }
  const auto median = percentile(times, 0.5);
  print(options, {"raft_new_leader",
                  {{"voters", 3},
                   {"runs", elections},
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

void store_entries(const std::string& folder, std::size_t n, unix_seconds time) {
  std::filesystem::remove_all(folder);
  io::raft_storage log(nullptr);
  std::error_code ec;
  std::string detail;
  log.open(folder, ec, detail);
  constexpr std::size_t batch = 1000;
  for (std::size_t i = 0; i < n; i += batch) {
    std::vector<raft_record> records{log_item(hard_state{1, 1})};
    for (auto k = i; k < std::min(n, i + batch); ++k) {
      records.emplace_back(
          log_item(log_entry{k + 1, 1, entry_kind::normal, claim_command(k, time)}));
    }
    log.store(i / batch + 1, std::move(records));
  }
  log.close();
}

bool measure_replay(const bench_options& options, std::size_t n) {
  const auto time = io::wall_clock();
  store_entries(data_folder, n, time);
  auto begin = steady::now();
  io::raft_storage log(nullptr);
  std::error_code ec;
  std::string detail;
  const auto found = log.open(data_folder, ec, detail);
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
  std::filesystem::remove_all(data_folder);
  return ok;
}

} // namespace marigoldstep::bench
