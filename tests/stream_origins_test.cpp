#include "marigoldstep/stream_origins.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;

namespace {

const time_point start{milliseconds(100'000)};
const auto keep = milliseconds(1000);

service_version version_of(std::string version) {
  return {"s", std::move(version)};
}

} // namespace

TEST_CASE("the version of a stream is known until it can't be resumed any more") {
  stream_origins it;
  record_origin(it, 1, "v1", start + keep, start);
  CHECK(find_origin(it, 1, start + keep - milliseconds(1)) == "v1");
  CHECK_FALSE(find_origin(it, 1, start + keep));
  CHECK_FALSE(find_origin(it, 2, start));
  record_origin(it, 2, "v2", start + 2 * keep, start + keep);
  CHECK(it.by_stream.size() == 1);
  CHECK(it.by_expiry.size() == 1);
}

TEST_CASE("streams of two services with one request id are told apart") {
  CHECK(stream_key("a", "r") != stream_key("b", "r"));
  CHECK(stream_key("a", "r") != stream_key("a", "q"));
}

TEST_CASE("contradicting records of a stream make its version unknown") {
  stream_origins it;
  record_origin(it, 1, "v1", start + keep, start);
  record_origin(it, 1, "v1", start + keep, start);
  CHECK(find_origin(it, 1, start) == "v1");
  record_origin(it, 1, "v2", start + keep, start);
  CHECK_FALSE(find_origin(it, 1, start));
  record_origin(it, 1, "v1", start + keep, start);
  CHECK_FALSE(find_origin(it, 1, start));
}

TEST_CASE("the memory for records is limited") {
  stream_origins it;
  for (std::uint64_t i = 0; i < detail::max_stream_origins + 10; ++i) {
    record_origin(it, i, "v1", start + keep + milliseconds(i), start);
  }
  CHECK(it.by_stream.size() == detail::max_stream_origins);
  CHECK(it.by_expiry.size() == detail::max_stream_origins);
  CHECK_FALSE(find_origin(it, 0, start));
  CHECK(find_origin(it, detail::max_stream_origins + 9, start) == "v1");
}

TEST_CASE("a version is the only one when no other was known since") {
  version_history it;
  CHECK_FALSE(sole_version(it, "s", start));
  record_version(it, version_of("v1"), start);
  record_version(it, version_of("v2"), start + keep);
  CHECK_FALSE(sole_version(it, "s", start));
  CHECK(sole_version(it, "s", start + milliseconds(1)) == "v2");
  CHECK_FALSE(sole_version(it, "s", start + 2 * keep));
  CHECK_FALSE(sole_version(it, "other", start));
}

// Guards against a version of before a restart that is taken to have left long ago.
TEST_CASE("a version known from storage counts as known until the start") {
  version_history it;
  record_earlier_version(it, version_of("v1"), start);
  record_version(it, version_of("v2"), start + 2 * keep);
  CHECK_FALSE(sole_version(it, "s", start));
  CHECK(sole_version(it, "s", start + keep) == "v2");
  record_earlier_version(it, version_of("v1"), start + 3 * keep);
  CHECK(sole_version(it, "s", start + keep) == "v2");
}

TEST_CASE("versions without servers for long are expired") {
  version_history it;
  record_version(it, version_of("v1"), start);
  record_version(it, version_of("v2"), start + keep);
  const auto end = start + std::chrono::hours(1) + milliseconds(1);
  CHECK(expired_versions(it, end) == std::vector{version_of("v1")});
  remove_version(it, version_of("v1"));
  CHECK(expired_versions(it, end).empty());
  CHECK(sole_version(it, "s", start) == "v2");
}
