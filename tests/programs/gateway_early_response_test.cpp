#include <catch2/catch.hpp>

#include "early_server.h"
#include "gateway_fixture.h"
#include "program_process.h"

// Guards against a part of a response, or bytes without a valid status line, that a
// caller takes for a whole answer (MIXED), while the request's body is still being sent
// and after it. A real process.

using namespace marigoldstep;
using namespace marigoldstep::gateway::test;
using marigoldstep::test::connection_end;
using marigoldstep::test::early_response;
using marigoldstep::test::early_server;
using marigoldstep::test::raw_caller;

namespace {

constexpr std::size_t upload_bytes = 6U << 20U;
// Above what a gateway buffers before it forwards a response.
constexpr std::size_t large_part_bytes = 400'000;

const std::string fields =
    "Marigoldstep-Request-Id: {id}\r\nMarigoldstep-Response-Seal: seal\r\n";
const std::string ok_head = "HTTP/1.1 200 OK\r\n" + fields;

class gateway_process {
public:
  gateway_process() {
    announced_server entry;
    entry.id = "s0";
    entry.started = entry.sequence = 1;
    entry.service = "s";
    entry.host = server.address().host;
    entry.port = server.address().port;
    entry.zone = "a";
    entry.slots = 64;
    control_.servers = {entry};
    control_.limits = R"({"header_bytes":2000,"body_bytes":8000000,)"
                      R"("header_timeout_ms":5000,"idle_timeout_ms":5000})";
    control_.route_timeout = milliseconds(3000);
    const auto first = control_.first_port();
    program_ = std::make_unique<program_process>(
        "mstep-gateway",
        "node_id: g\nzone: a\nhost: " + callers_.host + "\nlisten: " + callers_.host +
            ":" + std::to_string(callers_.port) + "\nlisten_ready: " + callers_.host +
            ":" + std::to_string(gateway_fixture::free_address().port) + "\nports: [\"" +
            std::to_string(first) + "\", \"" + std::to_string(first + 9) +
            "\"]\nseeds: [\"127.0.0.1:1\"]\nretry_budget: {ratio: 1, extra: 100}\n");
    REQUIRE(program_->wait_for_log("event=ready"));
  }

  // Sends a large request and checks what its caller gets.
  void check(const early_response& response, const std::string& path,
             const std::string& version) {
    CAPTURE(response.name, path, version, server.reads_body);
    server.response = response;
    const auto before = server.requests;
    raw_caller caller(callers_);
    const std::string body(upload_bytes, 'u');
    const auto ended = caller.exchange(
        "POST " + path + " HTTP/" + version +
        "\r\nHost: h\r\nMarigoldstep-Request-Id: r" + std::to_string(++request_count_) +
        "\r\nAuthorization: Bearer KEY\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
    REQUIRE(ended);
    CHECK(server.requests == before + 1);
    const auto end = caller.received.find("\r\n\r\n");
    const auto part = caller.received.substr(0, end);
    CAPTURE(part, caller.is_closed, caller.is_reset);
    if (!response.whole_body.empty()) {
      CHECK(caller.status() == 200);
      CHECK(caller.is_whole());
      CHECK((caller.body() == response.whole_body));
    } else if (caller.is_whole()) {
      CHECK(caller.status() == 502);
      CHECK(caller.received.find("Marigoldstep-Response-Seal") == std::string::npos);
    } else {
      CHECK(caller.status() == 200); // begun before the end of the response was known
    }
  }

  early_server server;

private:
  fake_control control_;
  io::endpoint callers_{own_network_host(1), gateway_fixture::free_address().port};
  std::unique_ptr<program_process> program_;
  int request_count_ = 0;
};

} // namespace

TEST_CASE("a response that ends early never looks whole to its caller") {
  gateway_process it;
  it.server.reads_body = GENERATE(false, true);
  const std::string version = GENERATE("1.1", "1.0");
  for (const std::string path : {"/once/", "/stream/"}) {
    const auto head =
        ok_head + (path == "/stream/" ? "Content-Type: text/event-stream\r\n" : "");
    for (const auto& part : {std::string("data: x\n\n"),
                             "data: " + std::string(large_part_bytes, 'x') + "\n\n"}) {
      for (const auto& response : marigoldstep::test::truncated_responses(head, part)) {
        const bool is_reset =
            it.server.reads_body == false || response.end != connection_end::abandoned;
        if (is_reset) { // without unread bytes a server that closes does so in order
          it.check(response, path, version);
        }
      }
      it.check(
          {"no length, closed", head + "\r\n" + part, connection_end::in_order, part},
          path, version);
    }
  }
}

TEST_CASE("a response without a valid status line is no answer") {
  gateway_process it;
  it.server.reads_body = GENERATE(false, true);
  const std::string version = GENERATE("1.1", "1.0");
  for (const std::string path : {"/once/", "/stream/"}) {
    for (const auto& response : marigoldstep::test::invalid_status_lines(fields)) {
      it.check(response, path, version);
    }
    it.check({"valid", ok_head + "Content-Length: 9\r\n\r\ndata: x\n\n",
              connection_end::stays_open, "data: x\n\n"},
             path, version);
  }
}
