#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/raft_storage.h"

#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QTemporaryDir>

#include <filesystem>

using namespace marigoldstep;

namespace {

bool wait_for(const std::function<bool()>& done) {
  const auto until = io::now() + milliseconds(5000);
  while (!done() && io::now() < until) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
  }
  return done();
}

raft_record make_entry(log_index index) {
  return log_item(log_entry{index, 1, entry_kind::normal, {1, 2, 3}});
}

recovered_log reopen(const std::string& directory, std::error_code& ec) {
  io::raft_storage log(nullptr);
  std::string detail;
  return log.open(directory, ec, detail);
}

} // namespace

// Guards against records that are lost or reordered by a restart, a checkpoint in a new
// segment or the removal of old files, and against two processes that write to one
// directory.
TEST_CASE("a stored log is recovered completely") {
  int argc = 1;
  std::string name = "raft_storage_test";
  char* argv[] = {name.data(), nullptr};
  const QCoreApplication app(argc, argv);
  const QTemporaryDir temporary_directory;
  const auto directory = temporary_directory.path().toStdString() + "/log";
  std::error_code ec;
  std::string detail;
  {
    io::raft_storage log(nullptr);
    log.open(directory, ec, detail);
    REQUIRE_FALSE(ec);
    reopen(directory, ec);
    CHECK(ec == errc::storage_failed);
    log.store(1, {log_item(member_identity{7, 8}), log_item(hard_state{1, 7})});
    for (log_index i = 1; i <= 20; ++i) {
      log.store(i + 1, {make_entry(i)});
    }
    const raft_snapshot snapshot{15, 1, {}, std::make_shared<const bytes>(bytes{9})};
    log.store(22,
              {log_checkpoint{snapshot,
                              {member_identity{7, 8}, hard_state{1, 7},
                               snapshot_marker{15, 1}, std::get<log_item>(make_entry(16)),
                               std::get<log_item>(make_entry(17))}}});
    std::uint64_t synced = 0;
    log.on_synced = [&](std::uint64_t id) { synced = id; };
    log.store(23, {make_entry(18)});
    REQUIRE(wait_for([&] { return synced == 23; }));
  }
  auto recovered = reopen(directory, ec);
  REQUIRE_FALSE(ec);
  CHECK(recovered.raft.identity == member_identity{7, 8});
  CHECK(recovered.raft.snapshot.last_index == 15);
  REQUIRE(recovered.raft.entries.size() == 3);
  CHECK(recovered.raft.entries.back().index == 18);

  SECTION("nothing is stored after a failed write") {
    io::raft_storage log(nullptr);
    log.open(directory, ec, detail);
    int failures = 0;
    std::uint64_t synced = 0;
    log.on_failed = [&](const std::string&) { ++failures; };
    log.on_synced = [&](std::uint64_t id) { synced = id; };
    log.inject_error = [first = true](const storage_op&) mutable {
      const bool fail = std::exchange(first, false);
      return fail ? std::make_error_code(std::errc::io_error) : std::error_code();
    };
    log.store(1, {make_entry(19)});
    REQUIRE(wait_for([&] { return failures == 1; }));
    log.store(2, {make_entry(19)});
    log.close();
    QCoreApplication::processEvents();
    CHECK(synced == 0);
    CHECK(failures == 1);
  }
  SECTION("recovery rejects a missing snapshot or segment") {
    const bool remove_snapshot = GENERATE(true, false);
    for (const auto& it : std::filesystem::directory_iterator(directory)) {
      const auto file = it.path().filename().string();
      if (file.starts_with(remove_snapshot ? "snapshot" : "segment")) {
        std::filesystem::remove(it.path());
      }
    }
    reopen(directory, ec);
    CHECK(ec == errc::storage_corrupt);
  }
}
