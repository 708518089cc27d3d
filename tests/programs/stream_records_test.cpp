#include <catch2/catch.hpp>

#include "control_group.h"
#include "marigoldstep/stream_origins.h"

#include <filesystem>
#include <fstream>

// What control processes know of streams and of their versions after all of them were
// killed.

using namespace marigoldstep;
using namespace control::test;

namespace {

constexpr std::uint64_t stream = 77;
constexpr auto window = milliseconds(24'000);

// The links of a gateway.
struct gateway_links {
  io::control_links links;

  explicit gateway_links(const control_group& group)
      : links({"g", true, control_group::gateway_host(1), group.link_port, "z",
               hosts(group)},
              nullptr) {
    REQUIRE_FALSE(links.start());
    REQUIRE(wait_until([&] { return links.open_links() == group.processes.size(); }));
    REQUIRE(wait_until([&] { return links.has_leader_link(); }));
  }

  static std::vector<std::string> hosts(const control_group& group) {
    std::vector<std::string> out;
    for (const auto& it : group.processes) {
      out.push_back(control_group::host(it.first));
    }
    return out;
  }

  bool record(const std::string& version) {
    std::optional<bool> result;
    links.record_stream(stream, version, window, [&](bool it) { result = it; });
    REQUIRE(wait_until([&] { return result.has_value(); }));
    return *result;
  }

  io::stream_version find() {
    std::optional<io::stream_version> result;
    links.find_stream({stream, "s", window}, [&](const auto& it) { result = it; });
    REQUIRE(wait_until([&] { return result.has_value(); }));
    return *result;
  }
};

void report(const control_group& group, int process, const std::string& id,
            const std::string& version) {
  const auto body = R"({"service":"s","address":"10.0.0.)" + id.substr(1) +
                    R"(:80","zone":"z","version":")" + version +
                    R"(","slots":4,"state":"ready","warmup_left_ms":0,"born":5,"seq":1})";
  REQUIRE(wait_until([&] {
    return starts_with_status(call_api({control_group::host(process), group.api_port},
                                       "POST", "/v1/Replicas.Heartbeat/" + id, body),
                              "200");
  }));
}

void deregister(const control_group& group, int process, const std::string& id) {
  REQUIRE(starts_with_status(call_api({control_group::host(process), group.api_port},
                                      "POST", "/v1/Replicas.Deregister/" + id, "{}"),
                             "200"));
}

// A newly confirmed leader may answer only after some round trips.
bool finds_sole(gateway_links& gateway, const std::string& version) {
  return wait_until([&] { return gateway.find().sole == version; },
                    std::chrono::milliseconds(3000));
}

} // namespace

// Guards against streams that can't go on, although servers of their version are there,
// because only memory held which version that is.
TEST_CASE("the version of a stream is known after all control processes were killed") {
  test_application();
  control_group group;
  group.start_all(3);
  {
    gateway_links gateway(group);
    REQUIRE(gateway.record("v1"));
  }
  group.restart_all();
  gateway_links gateway(group);
  CHECK(gateway.find().version == "v1");
}

// Guards against text that is joined of two versions: with the old servers gone, a
// restarted process knows only of the new ones.
TEST_CASE("servers that left before a restart of all processes are not forgotten") {
  test_application();
  control_group group;
  group.start_all(3);
  const bool old_version_served = GENERATE(false, true);
  // One report reaches the leader, the other a follower.
  if (old_version_served) {
    report(group, 2, "i1", "v1");
    deregister(group, 2, "i1");
  }
  report(group, 1, "i2", "v2");
  group.restart_all();
  report(group, group.leader(), "i2", "v2");
  gateway_links gateway(group);
  if (old_version_served) {
    run_event_loop(std::chrono::milliseconds(500));
    CHECK_FALSE(gateway.find().sole);
  } else {
    CHECK(finds_sole(gateway, "v2"));
  }
  CHECK_FALSE(gateway.find().version);
}

// Guards against a server that takes requests before its version is recorded.
TEST_CASE("a server is announced only once its version is committed") {
  test_application();
  control_group group;
  group.start_all(3);
  std::vector<std::string> announced;
  gateway_links gateway(group);
  gateway.links.on_server_update = [&](const wire::ServerUpdateT& update) {
    for (const auto& it : update.servers) {
      announced.push_back(it->id);
      const auto& state = group.processes.at(group.leader()).group->state();
      CHECK(has_version(state, it->service, it->version));
    }
  };
  report(group, 2, "i1", "v1");
  report(group, 1, "i2", "v2");
  CHECK(wait_until([&] { return announced.size() >= 2; }));
}

// Guards against a process that doesn't start, or invents records, after the loss of a
// part of its file; it loses at most these records.
TEST_CASE("a damaged store of records is begun anew") {
  test_application();
  control_group group;
  group.start_all(1);
  {
    gateway_links gateway(group);
    REQUIRE(gateway.record("v1"));
  }
  const auto directory = group.stream_directory(1);
  const bool is_torn = GENERATE(false, true);
  group.restart_all([&] {
    for (const auto& it : std::filesystem::directory_iterator(directory)) {
      const auto size = std::filesystem::file_size(it.path());
      if (size > 0 && is_torn) {
        std::filesystem::resize_file(it.path(), size - 3);
      } else if (size > 0) {
        std::fstream file(it.path(), std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(0);
        file << "XXXXXXXXXXXXXXXXXXXX";
      }
    }
  });
  gateway_links gateway(group);
  CHECK_FALSE(gateway.find().version);
  CHECK(gateway.record("v2"));
  CHECK(gateway.find().version == "v2");
}

// Guards against records that are confirmed although they would be lost.
TEST_CASE("a record that can't be stored is not confirmed until it can") {
  test_application();
  control_group group;
  group.start_all(1);
  const auto directory = group.stream_directory(1);
  group.restart_all([&] {
    std::filesystem::remove_all(directory);
    std::ofstream(directory) << "a file where the directory should be";
  });
  {
    gateway_links gateway(group);
    CHECK_FALSE(gateway.record("v1"));
    CHECK(gateway.find().version == "v1");
    std::filesystem::remove(directory);
    REQUIRE(wait_until([&] { return std::filesystem::is_directory(directory); }));
    run_event_loop(std::chrono::milliseconds(200));
  }
  group.restart_all();
  gateway_links gateway(group);
  CHECK(gateway.find().version == "v1");
}
