#include <catch2/catch.hpp>

#include "gateway_fixture.h"

// Streams whose servers have different software versions.

using namespace marigoldstep;
using namespace marigoldstep::gateway::test;

namespace {

const std::string last_chunk = "0\r\n\r\n";

// Announces a new start of each server with these versions, all of them as reporting.
void announce_versions(gateway_fixture& it, const std::vector<std::string>& versions) {
  for (std::size_t i = 0; i < versions.size(); ++i) {
    it.control.servers[i].version = versions[i];
    ++it.control.servers[i].started;
  }
  it.control.broadcast_servers();
  REQUIRE(wait_until([&] {
    const auto& entries = it.subject->directory.entries;
    const auto& last = it.control.servers.back();
    return entries.at(last.id).server.started == last.started;
  }));
}

server_script whole_stream(const std::string& events) {
  return {write_text(stream_head() + chunk(events) + last_chunk)};
}

server_script cut_stream(const std::string& events) {
  return {write_text(stream_head() + chunk(events)), pause_script(20),
          reset_connection()};
}

std::string resume_fields(const std::string& first_request) {
  return "Last-Event-Id: 1\r\nResumes: " + first_request + "\r\n";
}

// Sends a request for a stream and returns the response up to its end.
std::string read_stream(gateway_fixture& it, const std::string& id,
                        const std::string& fields = {}) {
  test_caller caller(it.address);
  caller.send(request_text("POST", "/resume/", id, fields + "Connection: close\r\n"));
  caller.wait_closed();
  return caller.received;
}

// Waits a second, with heartbeats of control.
void wait_in_touch(gateway_fixture& it) {
  for (int i = 0; i < 4; ++i) {
    run_event_loop(std::chrono::milliseconds(250));
    it.control.broadcast_status();
  }
}

bool has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a stream continues only at a server of the version that began it") {
  // Which of the untried servers is tried is random.
  [[maybe_unused]] const int repeat = GENERATE(range(0, 4));
  gateway_fixture it({{cut_stream(event(1))},
                      {whole_stream(event(2) + event(3))},
                      {whole_stream(event(2) + event(3))}});
  const bool other_is_left = GENERATE(true, false);
  announce_versions(it, {"v1", "v2", other_is_left ? "v1" : "v2"});
  const auto response = read_stream(it, "r1");
  CHECK(has(response, event(1)));
  CHECK(it.servers[1]->requests.empty());
  CHECK(it.servers[2]->requests.size() == (other_is_left ? 1 : 0));
  CHECK(has(response, event(3)) == other_is_left);
  CHECK(response.ends_with("\r\n" + last_chunk) == other_is_left);
}

TEST_CASE("a resume of an unknown stream is refused while two versions serve") {
  gateway_fixture it({{whole_stream(event(2))}, {whole_stream(event(2))}});
  announce_versions(it, {"v1", "v2"});
  const auto fields = GENERATE(resume_fields("r0"), std::string("Last-Event-Id: 1\r\n"));
  const auto response = read_stream(it, "r1", fields);
  CHECK(response.starts_with("HTTP/1.1 503 "));
  CHECK(has(response, "Retry-After: "));
  CHECK(it.servers[0]->requests.empty());
  CHECK(it.servers[1]->requests.empty());
}

TEST_CASE("a caller resumes a stream only at the version that began it") {
  const std::string version = GENERATE("v1", "v2", "v3");
  gateway_fixture it({{whole_stream(event(2))}, {whole_stream(event(2))}});
  announce_versions(it, {"v1", "v2"});
  it.control.streams[stream_key("s", "r0")] = version;
  const auto response = read_stream(it, "r1", resume_fields("r0"));
  CHECK(response.starts_with(version == "v3" ? "HTTP/1.1 503 " : "HTTP/1.1 200 "));
  CHECK(it.servers[0]->requests.size() == (version == "v1" ? 1 : 0));
  CHECK(it.servers[1]->requests.size() == (version == "v2" ? 1 : 0));
}

TEST_CASE("a stream that began at this gateway resumes without control") {
  gateway_fixture it({{cut_stream(event(1)), whole_stream(event(2))}, {}, {}});
  announce_versions(it, {"v1", "v2", "v2"});
  CHECK(has(read_stream(it, "r0"), event(1)));
  it.control.finds_streams = false;
  CHECK(has(read_stream(it, "r1", resume_fields("r0")), event(2)));
  CHECK(it.servers[1]->requests.size() + it.servers[2]->requests.size() == 0);
}

TEST_CASE("control has the version of a stream before its caller gets an event") {
  gateway_fixture it({{whole_stream(event(1))}});
  announce_versions(it, {"v1"});
  it.control.confirms_streams = GENERATE(true, false);
  test_caller caller(it.address);
  caller.send(request_text("POST", "/resume/", "r0"));
  REQUIRE(caller.wait_for(event(1)));
  CHECK(it.control.streams.at(stream_key("s", "r0")) == "v1");
}

TEST_CASE("a first event waits for a record that isn't confirmed for a short time only") {
  gateway_fixture it({{{write_text(stream_head() + chunk(event(1))), pause_script(400),
                        write_text(chunk(event(2)) + last_chunk)}}});
  announce_versions(it, {"v1"});
  it.control.confirms_streams = false;
  test_caller caller(it.address);
  caller.send(request_text("POST", "/resume/", "r0"));
  const auto sent_at = io::now();
  REQUIRE(caller.wait_for(event(1)));
  CHECK(io::now() - sent_at < milliseconds(200));
  CHECK(caller.wait_for(event(2)));
}

TEST_CASE("events that wait for their record are forwarded when the stream breaks") {
  gateway_fixture it({{cut_stream(event(1))}, {}});
  announce_versions(it, {"v1", "v2"});
  it.control.confirms_streams = false;
  const auto response = read_stream(it, "r0");
  CHECK(has(response, event(1)));
  CHECK_FALSE(response.ends_with("\r\n" + last_chunk));
  CHECK(it.servers[1]->requests.empty());
}

// Guards against a gateway that takes what it knows of for what there was: the servers of
// another version may have left before it started.
TEST_CASE(
    "an unknown stream goes on only where the leader proves that one version served") {
  gateway_fixture it({{whole_stream(event(2))}, {}});
  const bool is_proven = GENERATE(false, true);
  const bool other_version_served = GENERATE(false, true);
  it.control.sole = is_proven ? std::optional<std::string>("v1") : std::nullopt;
  announce_versions(it, {"v1", "v1"});
  // Together more than twice the timeout of the route.
  wait_in_touch(it);
  if (other_version_served) {
    announce_versions(it, {"v1", "v2"});
    announce_versions(it, {"v1", "v1"});
  }
  wait_in_touch(it);
  const auto response = read_stream(it, "r1", resume_fields("r0"));
  const bool goes_on = is_proven && !other_version_served;
  CHECK(response.starts_with(goes_on ? "HTTP/1.1 200 " : "HTTP/1.1 503 "));
}

TEST_CASE("control of an older build gets no records, which it would not understand") {
  gateway_fixture it({{whole_stream(event(1))}, {}});
  it.control.keeps_streams = false;
  it.control.broadcast_status();
  announce_versions(it, {"v1", "v1"});
  CHECK(has(read_stream(it, "r0"), event(1)));
  CHECK(read_stream(it, "r2", resume_fields("other")).starts_with("HTTP/1.1 503 "));
  CHECK(it.control.streams.empty());
}
