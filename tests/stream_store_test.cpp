#include "event_loop.h"
#include "marigoldstep/error.h"
#include "marigoldstep/io/stream_store.h"

#include <catch2/catch.hpp>

#include <QTemporaryDir>

#include <filesystem>

using namespace marigoldstep;

namespace {

const stream_record first{1, "v1", milliseconds(1000)};
const stream_record second{2, "v2", milliseconds(2000)};

} // namespace

TEST_CASE("stream records are decoded as they were encoded") {
  std::error_code ec;
  const std::vector records = {first, second, stream_record{3, "v1", milliseconds(0)}};
  CHECK(decode_stream_records(encode_stream_records(records), ec) == records);
  CHECK_FALSE(ec);
  CHECK(decode_stream_records(encode_stream_records({}), ec).empty());
  CHECK_FALSE(ec);
  auto damaged = encode_stream_records(records);
  damaged.resize(damaged.size() / 2);
  CHECK(decode_stream_records(damaged, ec).empty());
  CHECK(ec == errc::storage_corrupt);
}

// Guards against a store that grows without end, and against records that a checkpoint
// loses.
TEST_CASE("records in use survive checkpoints, and the others give way") {
  test_application();
  const QTemporaryDir folder;
  const auto directory = folder.path().toStdString() + "/streams";
  constexpr std::uint64_t batches = 300;
  constexpr std::uint64_t records_in_batch = 100;
  {
    io::stream_store store(nullptr);
    store.records_in_use = [] { return std::vector{first, second}; };
    CHECK(store.open(directory).empty());
    std::uint64_t stored = 0;
    for (std::uint64_t i = 0; i < batches * records_in_batch; ++i) {
      store.store({1000 + i, "v1", milliseconds(1000)}, [&] { ++stored; });
      if (i % records_in_batch == 0) {
        run_event_loop(std::chrono::milliseconds(5));
      }
    }
    REQUIRE(wait_until([&] { return stored == batches * records_in_batch; }));
  }
  std::uintmax_t size = 0;
  for (const auto& it : std::filesystem::directory_iterator(directory)) {
    size += it.file_size();
  }
  constexpr std::uintmax_t max_bytes = 400U << 10U;
  CHECK(size < max_bytes);
  io::stream_store store(nullptr);
  const auto found = store.open(directory);
  CHECK(std::count(found.begin(), found.end(), first) == 1);
  CHECK(std::count(found.begin(), found.end(), second) == 1);
}
