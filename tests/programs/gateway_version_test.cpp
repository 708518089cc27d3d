#include <catch2/catch.hpp>

#include "gateway_fixture.h"

// Streams whose servers have different software versions.

using namespace marigoldstep;
using namespace marigoldstep::gateway::test;

namespace {

const std::string last_chunk = "0\r\n\r\n";

// Announces the servers with these versions, all of them as reporting.
void announce_versions(gateway_fixture& it, const std::vector<std::string>& versions) {
  for (std::size_t i = 0; i < versions.size(); ++i) {
    it.control.servers[i].version = versions[i];
    it.control.servers[i].sequence = 2;
  }
  it.control.broadcast_servers();
  REQUIRE(wait_until([&] {
    const auto& entries = it.subject->directory.entries;
    return entries.at(it.control.servers.back().id).server.version == versions.back();
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

TEST_CASE("a resume of an unknown stream is refused while two versions serve",
          "[.known-red]") {
  gateway_fixture it({{whole_stream(event(2))}, {whole_stream(event(2))}});
  announce_versions(it, {"v1", "v2"});
  const auto fields = GENERATE(resume_fields("r0"), std::string("Last-Event-Id: 1\r\n"));
  const auto response = read_stream(it, "r1", fields);
  CHECK(response.starts_with("HTTP/1.1 503 "));
  CHECK(has(response, "Retry-After: "));
  CHECK(it.servers[0]->requests.empty());
  CHECK(it.servers[1]->requests.empty());
}
