#include <catch2/catch.hpp>

#include "gateway_fixture.h"

using namespace marigoldstep;
using namespace marigoldstep::gateway::test;

namespace {

// Sends one request and returns the data received up to the text or the end.
std::string send_request(gateway_fixture& it, const std::string& request,
                         const std::string& until) {
  test_caller caller(it.address);
  caller.send(request);
  caller.wait_for(until);
  return caller.received;
}

bool starts_with_status(const std::string& response, const std::string& status) {
  return response.starts_with("HTTP/1.1 " + status + " ");
}

} // namespace

TEST_CASE("requests and responses are forwarded unchanged over one reused connection") {
  gateway_fixture it({{{write_text(response_text("first"))},
                       {write_text(response_text("second", "201 Created"))}}});
  test_caller caller(it.address);
  caller.send(request_text("POST", "/once/a?b=c", "r1", "X-Own: 1\r\n", "payload"));
  REQUIRE(caller.wait_for("first"));
  CHECK(starts_with_status(caller.received, "200"));
  CHECK(caller.received.find("Marigoldstep-Response-Seal: seal\r\n") !=
        std::string::npos);
  CHECK(caller.received.find("Marigoldstep-Request-Id: r1\r\n") != std::string::npos);
  const auto& requests = it.servers[0]->requests;
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].starts_with("POST /once/a?b=c HTTP/1.1\r\n"));
  CHECK(requests[0].ends_with("\r\n\r\npayload"));
  CHECK(requests[0].find("X-Own: 1\r\n") != std::string::npos);
  CHECK(requests[0].find("Marigoldstep-Tenant: w\r\n") != std::string::npos);
  CHECK(requests[0].find("KEY") == std::string::npos);

  caller.send(request_text("POST", "/once/", "r2", "", "more"));
  REQUIRE(caller.wait_for("second"));
  CHECK(caller.received.find("HTTP/1.1 201 ") != std::string::npos);
  CHECK(it.subject->pool.connects() == 1);
}

TEST_CASE("a chunked request body arrives complete") {
  gateway_fixture it({{{write_text(response_text("ok"))}}});
  const auto response = send_request(
      it,
      request_text("POST", "/safe/", "r1", "Transfer-Encoding: chunked\r\n") +
          chunk("hello ") + chunk("world") + "0\r\n\r\n",
      "ok");
  CHECK(starts_with_status(response, "200"));
  REQUIRE(it.servers[0]->requests.size() == 1);
  CHECK(it.servers[0]->requests[0].ends_with("\r\n\r\nhello world"));
}

TEST_CASE("requests without a route or an API key are rejected") {
  gateway_fixture it(unresponsive_server());
  CHECK(starts_with_status(send_request(it, request_text("GET", "/none/", "r1"), "route"),
                           "404"));
  const std::string no_key =
      "GET /safe/ HTTP/1.1\r\nHost: h\r\nMarigoldstep-Request-Id: r\r\n\r\n";
  CHECK(starts_with_status(send_request(it, no_key, "key"), "401"));
  CHECK(it.servers[0]->requests.empty());
}

TEST_CASE("a public route needs no API key") {
  gateway_fixture it({{{write_text(response_text("ok"))}}});
  const std::string no_key =
      "GET /open/ HTTP/1.1\r\nHost: h\r\nMarigoldstep-Request-Id: r\r\n\r\n";
  CHECK(starts_with_status(send_request(it, no_key, "ok"), "200"));
  CHECK(it.servers[0]->requests[0].find("Marigoldstep-Tenant") == std::string::npos);
}

TEST_CASE("without a configuration requests are not run and the gateway is not ready") {
  gateway_fixture it(unresponsive_server(), 0);
  const auto response = send_request(it, request_text("GET", "/safe/", "r1"), "\r\n\r\n");
  CHECK(starts_with_status(response, "503"));
  CHECK(response.find("Retry-After: ") != std::string::npos);
  const std::string check = "GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n";
  test_caller before(it.ready_address);
  before.send(check);
  REQUIRE(before.wait_for("\r\n\r\n"));
  CHECK(starts_with_status(before.received, "503"));
  it.control.version = 3;
  it.control.broadcast_status();
  REQUIRE(wait_until([&] { return it.subject->is_ready(); }));
  test_caller after(it.ready_address);
  after.send(check);
  REQUIRE(after.wait_for("\r\n\r\n"));
  CHECK(starts_with_status(after.received, "200"));
}

// After a restart of the whole fleet the callers' requests arrive before the
// configuration does.
TEST_CASE("a request that arrives while the gateway starts waits for the configuration") {
  gateway_fixture it({{{write_text(response_text("ok"))}}}, 0);
  test_caller caller(it.address);
  caller.send(request_text("POST", "/once/", "r1", "", "x"));
  CHECK_FALSE(wait_until(
      [&] {
        caller.read();
        return !caller.received.empty();
      },
      std::chrono::milliseconds(200)));
  it.control.version = 3;
  it.control.broadcast_status();
  REQUIRE(caller.wait_for("ok"));
  CHECK(starts_with_status(caller.received, "200"));
}

// A gateway without a path to control would otherwise hold requests that other gateways
// could serve.
TEST_CASE("a gateway that is not ready long after its start refuses requests at once") {
  gateway_fixture it(unresponsive_server(), 0);
  const auto started = io::now();
  REQUIRE(wait_until([&] { return io::now() - started > milliseconds(3100); }));
  const auto sent = io::now();
  const auto response = send_request(it, request_text("GET", "/safe/", "r1"), "\r\n\r\n");
  CHECK(starts_with_status(response, "503"));
  CHECK(io::now() - sent < milliseconds(200));
}

TEST_CASE("a non-repeatable request is sent only once, whichever fault occurs") {
  const auto script = GENERATE(
      server_script{reset_connection()}, server_script{close_in_order()},
      server_script{write_text("garbage\r\n\r\n")},
      server_script{write_text("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"),
                    close_in_order()},
      server_script{write_text("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")});
  gateway_fixture it({{script}, {{write_text(response_text("again"))}}});
  const auto response =
      send_request(it, request_text("POST", "/once/", "r1", "", "x"), "\r\n\r\n");
  CHECK(starts_with_status(response, "502"));
  CHECK(it.servers[0]->requests.size() + it.servers[1]->requests.size() == 1);
}

TEST_CASE("a repeatable request is retried on another server when the first one fails") {
  const auto script = GENERATE(
      server_script{reset_connection()}, server_script{write_text("garbage\r\n\r\n")},
      server_script{write_text(response_text("bad", "500 Internal Server Error"))},
      server_script{write_text("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"),
                    close_in_order()},
      server_script{write_text("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")});
  gateway_fixture it({{script}, {{write_text(response_text("again"))}}});
  const auto response = send_request(it, request_text("GET", "/safe/", "r1"), "again");
  CHECK(starts_with_status(response, "200"));
  CHECK(response.ends_with("again"));
}

TEST_CASE("a server's error response reaches the caller with its seal header") {
  gateway_fixture it({{{write_text(response_text("bad", "500 Internal Server Error"))}}});
  const auto response =
      send_request(it, request_text("POST", "/once/", "r1", "", "x"), "bad");
  CHECK(starts_with_status(response, "500"));
  CHECK(response.find("Marigoldstep-Response-Seal: seal") != std::string::npos);
}

// A response that says "not executed" permits a retry even of a non-repeatable request.
TEST_CASE("a request that was not run is retried, and gets a 503 if no server runs it") {
  gateway_fixture it(
      {{{write_text(not_executed_text())}, {write_text(not_executed_text())}},
       {{write_text(response_text("ok"))}, {write_text(not_executed_text())}}});
  const auto request = request_text("POST", "/once/", "r1", "", "x");
  CHECK(starts_with_status(send_request(it, request, "ok"), "200"));
  const auto response = send_request(it, request, "\r\n\r\n");
  CHECK(starts_with_status(response, "503"));
  CHECK(response.find("Retry-After: ") != std::string::npos);
}

// Another server may listen at the address of a former one; it responds with 421.
TEST_CASE("a misdirected request is sent to another server") {
  gateway_fixture it(
      {{{write_text("HTTP/1.1 421 Misdirected Request\r\n"
                    "Marigoldstep-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n")}},
       {{write_text(response_text("ok"))}}});
  CHECK(starts_with_status(
      send_request(it, request_text("POST", "/once/", "r1", "", "x"), "ok"), "200"));
}

TEST_CASE("a response to another request is never forwarded") {
  const std::string foreign =
      "HTTP/1.1 200 OK\r\nMarigoldstep-Request-Id: other\r\n"
      "Marigoldstep-Response-Seal: seal\r\nContent-Length: 7\r\n\r\nforeign";
  gateway_fixture it({{{write_text(foreign + response_text("mine"))}}});
  const auto response = send_request(it, request_text("GET", "/safe/", "r1"), "mine");
  CHECK(response.ends_with("mine"));
  CHECK(response.find("foreign") == std::string::npos);
}

TEST_CASE("bytes after a response do not become the response to the next request") {
  gateway_fixture it({{{write_text(response_text("one") + response_text("late"))},
                       {write_text(response_text("two"))}}});
  test_caller caller(it.address);
  caller.send(request_text("GET", "/safe/", "r1"));
  REQUIRE(caller.wait_for("one"));
  run_event_loop(std::chrono::milliseconds(50));
  caller.send(request_text("GET", "/safe/", "r2"));
  REQUIRE(caller.wait_for("two"));
  CHECK(caller.received.find("late") == std::string::npos);
}

TEST_CASE("a response sent before the end of a long body keeps the connection usable") {
  gateway_fixture it(
      {{{write_text(response_text("done"))}, {write_text(response_text("two"))}}});
  const std::string body(2'000'000, 'x');
  CHECK(starts_with_status(
      send_request(it, request_text("POST", "/once/", "r1", "", body), "done"), "200"));
  CHECK(starts_with_status(send_request(it, request_text("GET", "/safe/", "r2"), "two"),
                           "200"));
  CHECK(it.servers[0]->requests[1].starts_with("GET /safe/"));
}

TEST_CASE("a stream is forwarded event by event and ends when its server ends it") {
  gateway_fixture it({{{write_text(stream_head() + chunk(event(1))), pause_script(150),
                        write_text(chunk(event(2)) + "0\r\n\r\n")}}});
  test_caller caller(it.address);
  caller.send(request_text("POST", "/stream/", "r1", "", "x"));
  REQUIRE(caller.wait_for("e1"));
  CHECK(caller.received.find("e2") == std::string::npos);
  REQUIRE(caller.wait_for("0\r\n\r\n"));
  CHECK(caller.received.find("e2") != std::string::npos);
}

TEST_CASE("a broken stream that may not be resumed is closed as incomplete") {
  gateway_fixture it({{{write_text(stream_head() + chunk(event(1))), pause_script(50),
                        reset_connection()}},
                      {{write_text(stream_head() + chunk(event(2)) + "0\r\n\r\n")}}});
  test_caller caller(it.address);
  caller.send(request_text("POST", "/stream/", "r1", "", "x"));
  REQUIRE(caller.wait_closed());
  CHECK(caller.received.find("e1") != std::string::npos);
  CHECK(caller.received.find("0\r\n\r\n") == std::string::npos);
  CHECK(it.servers[1]->requests.empty());
}

TEST_CASE("a resumable stream continues after its last complete event") {
  gateway_fixture it(
      {{{write_text(stream_head() + chunk(event(1) + "id: 2\nda")), pause_script(50),
         reset_connection()}},
       {{write_text(stream_head() + chunk(event(2) + event(3)) + "0\r\n\r\n")}}});
  test_caller caller(it.address);
  caller.send(request_text("POST", "/resume/", "r1", "", "x"));
  REQUIRE(caller.wait_for("0\r\n\r\n"));
  REQUIRE(it.servers[1]->requests.size() == 1);
  CHECK(it.servers[1]->requests[0].find("Last-Event-Id: 1\r\n") != std::string::npos);
  for (int id = 1; id <= 3; ++id) {
    const auto text = event(id);
    const auto at = caller.received.find(text);
    REQUIRE(at != std::string::npos);
    CHECK(caller.received.find(text, at + 1) == std::string::npos);
  }
  CHECK(caller.received.find("id: 2\nda" + event(2)) == std::string::npos);
}

TEST_CASE("a stream is aborted when its caller disconnects") {
  gateway_fixture it({{{write_text(stream_head() + chunk(event(1)))}}});
  test_caller caller(it.address);
  caller.send(request_text("POST", "/stream/", "r1", "", "x"));
  REQUIRE(caller.wait_for("e1"));
  caller.disconnect();
  CHECK(wait_until([&] { return it.servers[0]->disconnects == 1; },
                   std::chrono::milliseconds(500)));
}

TEST_CASE("a non-repeatable request runs to its end when its caller disconnects") {
  gateway_fixture it({{{pause_script(300), write_text(response_text("ok"))}}});
  test_caller caller(it.address);
  caller.send(request_text("POST", "/once/", "r1", "", "x"));
  REQUIRE(wait_until([&] { return it.servers[0]->requests.size() == 1; }));
  caller.disconnect();
  run_event_loop(std::chrono::milliseconds(200));
  CHECK(it.servers[0]->disconnects == 0);
}

TEST_CASE("an unresponsive server causes a 504 at the route's timeout") {
  gateway_fixture it({{{pause_script(5000)}}});
  const auto begin = io::now();
  const auto response =
      send_request(it, request_text("POST", "/once/", "r1", "", "x"), "\r\n\r\n");
  const auto elapsed = io::now() - begin;
  CHECK(starts_with_status(response, "504"));
  CHECK(elapsed >= milliseconds(750));
  CHECK(elapsed < milliseconds(800 + 250));
}

TEST_CASE("a server's deadline is at most the time the caller has left") {
  gateway_fixture it({{{write_text(response_text("ok"))}}});
  send_request(
      it, request_text("GET", "/safe/", "r1", "Marigoldstep-Deadline-Ms: 500\r\n"), "ok");
  const auto& request = it.servers[0]->requests.at(0);
  const std::string field = "Marigoldstep-Deadline-Ms: ";
  const auto remaining_ms = std::stoi(request.substr(request.find(field) + field.size()));
  CHECK(remaining_ms <= 500);
  CHECK(remaining_ms > 300);
}

TEST_CASE("a draining server gets no new requests") {
  gateway_fixture it(
      {{{write_text(response_text("zero"))}}, {{write_text(response_text("one"))}}});
  it.control.servers[0].state = announced_state::draining;
  it.control.servers[0].sequence = 2;
  it.control.broadcast_servers();
  REQUIRE(wait_until([&] {
    return it.subject->directory.entries.at("s0").server.state ==
           announced_state::draining;
  }));
  CHECK(send_request(it, request_text("GET", "/safe/", "r1"), "one").ends_with("one"));
  CHECK(it.servers[0]->requests.empty());
}

// The announcement through control takes a second or more, and never arrives at a
// gateway that is cut off from control.
TEST_CASE("a server that says it is leaving gets no more requests from the gateway") {
  const std::string last = "HTTP/1.1 200 OK\r\nMarigoldstep-Request-Id: {id}\r\n"
                           "Marigoldstep-Response-Seal: seal\r\nServer-Leaving: 1\r\n"
                           "Content-Length: 4\r\n\r\nlast";
  gateway_fixture it(
      {{{write_text(last)}, {write_text(response_text("late"))}},
       {{write_text(response_text("one"))}, {write_text(response_text("two"))}}});
  CHECK(send_request(it, request_text("GET", "/safe/", "r1"), "last").ends_with("last"));
  CHECK(send_request(it, request_text("GET", "/safe/", "r2"), "one").ends_with("one"));
  CHECK(send_request(it, request_text("GET", "/safe/", "r3"), "two").ends_with("two"));
  CHECK(it.servers[0]->requests.size() == 1);
  CHECK(wait_until([&] { return it.servers[0]->disconnects == 1; }));
}

// A late response to another request proves nothing about the server that was asked.
TEST_CASE("a notice in a response to another request is ignored") {
  const std::string foreign = "HTTP/1.1 200 OK\r\nMarigoldstep-Request-Id: other\r\n"
                              "Marigoldstep-Response-Seal: seal\r\nServer-Leaving: 1\r\n"
                              "Content-Length: 2\r\n\r\nno";
  gateway_fixture it({{{write_text(foreign + response_text("zero"))},
                       {write_text(response_text("again"))}}});
  CHECK(send_request(it, request_text("GET", "/safe/", "r1"), "zero").ends_with("zero"));
  CHECK(
      send_request(it, request_text("GET", "/safe/", "r2"), "again").ends_with("again"));
}

TEST_CASE("a server that refuses with a time gets no requests until it has passed") {
  const std::string refusal =
      "HTTP/1.1 503 Service Unavailable\r\nMarigoldstep-Request-Id: {id}\r\n"
      "Marigoldstep-Not-Executed: 1\r\nRetry-After: 0.6\r\nContent-Length: 0\r\n\r\n";
  gateway_fixture it({{{write_text(refusal)}, {write_text(response_text("back"))}}});
  const auto began = io::now();
  const auto request = request_text("POST", "/once/", "r1", "", "x");
  // Both the request that was refused and the next one are answered at once, with the
  // time that is left.
  for (int i = 0; i < 2; ++i) {
    const auto response = send_request(it, request, "\r\n\r\n");
    CHECK(starts_with_status(response, "503"));
    const std::string field = "Retry-After: ";
    const auto at = response.find(field);
    REQUIRE(at != std::string::npos);
    CHECK(std::stod(response.substr(at + field.size())) > 0.3);
  }
  CHECK(io::now() - began < milliseconds(400));
  CHECK(it.servers[0]->requests.size() == 1);
  REQUIRE(wait_until([&] { return io::now() - began > milliseconds(700); }));
  CHECK(send_request(it, request, "back").ends_with("back"));
}

TEST_CASE("the load from other routers counts only while control reports it") {
  gateway_fixture it(
      {{{write_text(response_text("zero"))}}, {{write_text(response_text("one"))}}});
  // More than the slots and the queue of the server.
  it.control.broadcast_load(10);
  const auto& stats = it.subject->dispatch.stats["s0"];
  REQUIRE(wait_until([&] { return stats.peer_load.requests == 10; }));
  const auto response = send_request(it, request_text("GET", "/safe/", "r1"), "\r\n\r\n");
  CHECK(starts_with_status(response, "503"));
  // Without further reports from the leader its last one must expire.
  REQUIRE(wait_until([&] { return stats.peer_load.requests == 0; }));
  CHECK(send_request(it, request_text("GET", "/safe/", "r2"), "zero").ends_with("zero"));
}

TEST_CASE("slow, oversized and malformed requests get a matching error status") {
  gateway_fixture it(unresponsive_server());
  SECTION("slow header") {
    const auto response = send_request(it, "GET /safe/ HTT", "\r\n\r\n");
    CHECK(starts_with_status(response, "408"));
  }
  SECTION("large header") {
    const auto response = send_request(
        it, "GET /safe/ HTTP/1.1\r\nX: " + std::string(3000, 'a') + "\r\n\r\n",
        "\r\n\r\n");
    CHECK(starts_with_status(response, "431"));
  }
  SECTION("large body") {
    const auto response = send_request(
        it, "POST /safe/ HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n", "\r\n\r\n");
    CHECK(starts_with_status(response, "413"));
  }
  SECTION("malformed request line") {
    CHECK(starts_with_status(send_request(it, "nonsense\r\n\r\n", "\r\n\r\n"), "400"));
  }
  CHECK(it.servers[0]->requests.empty());
}

// The limit of 400 ms is for the head, and for each 16 kB of the body.
TEST_CASE("a large body that arrives slowly but steadily is not cut") {
  gateway_fixture it({{{write_text(response_text("whole"))}}});
  constexpr std::size_t piece_size = 20'000;
  constexpr std::size_t pieces = 12;
  test_caller caller(it.address);
  caller.send("POST /safe/ HTTP/1.1\r\nHost: h\r\nMarigoldstep-Request-Id: r1\r\n"
              "Authorization: Bearer KEY\r\nMarigoldstep-Deadline-Ms: 5000\r\n"
              "Content-Length: " +
              std::to_string(pieces * piece_size) + "\r\n\r\n");
  for (std::size_t i = 0; i < pieces; ++i) {
    run_event_loop(std::chrono::milliseconds(100));
    caller.send(std::string(piece_size, 'b'));
  }
  CHECK(caller.wait_for("whole"));
}

TEST_CASE("a body that stalls and sends a byte now and then is cut") {
  gateway_fixture it(unresponsive_server());
  test_caller caller(it.address);
  caller.send("POST /safe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n");
  caller.send(std::string(50'000, 'b'));
  for (int i = 0; i < 30 && !caller.is_closed(); ++i) {
    run_event_loop(std::chrono::milliseconds(50));
    caller.send("b");
    caller.read();
  }
  CHECK(starts_with_status(caller.received, "408"));
}

TEST_CASE("an error response after one without a body has its body") {
  const auto head_only = response_text("12345").substr(0, response_text("").size());
  gateway_fixture it({{{write_text(head_only)}}});
  test_caller caller(it.address);
  caller.send(request_text("HEAD", "/safe/", "r1"));
  REQUIRE(caller.wait_for("\r\n\r\n"));
  caller.received.clear();
  caller.send("malformed\r\n\r\n");
  caller.wait_closed();
  const auto head_end = caller.received.find("\r\n\r\n");
  REQUIRE(head_end != std::string::npos);
  const auto size = caller.received.size() - head_end - 4;
  CHECK(size > 0);
  CHECK(caller.received.find("Content-Length: " + std::to_string(size) + "\r\n") !=
        std::string::npos);
}

TEST_CASE("a stopping gateway serves requests that arrive, then closes connections") {
  gateway_fixture it({{{pause_script(300), write_text(response_text("slow"))},
                       {write_text(response_text("late"))}}});
  test_caller busy(it.address);
  test_caller idle(it.address);
  busy.send(request_text("POST", "/once/", "r1", "", "x"));
  REQUIRE(wait_until([&] { return it.servers[0]->requests.size() == 1; }));
  bool stopped = false;
  it.subject->stop([&] { stopped = true; });
  CHECK_FALSE(it.subject->is_ready());
  idle.send(request_text("GET", "/safe/", "r2"));
  CHECK(idle.wait_for("late"));
  CHECK(idle.received.find("Connection: close") != std::string::npos);
  CHECK(busy.wait_for("slow"));
  CHECK(wait_until([&] { return stopped; }));
}

TEST_CASE("late in a stop a request that may not end in time is rejected") {
  gateway_fixture it({{{write_text(response_text("early"))}}});
  test_caller caller(it.address);
  bool stopped = false;
  it.subject->stop([&] { stopped = true; });
  // The timeout of the route is 800 ms, the stop time is 2000 ms.
  run_event_loop(std::chrono::milliseconds(1300));
  REQUIRE_FALSE(stopped);
  caller.send(request_text("GET", "/safe/", "r1"));
  REQUIRE(caller.wait_for("\r\n\r\n"));
  CHECK(starts_with_status(caller.received, "503"));
  CHECK(caller.received.find("Retry-After: ") != std::string::npos);
  CHECK(it.servers[0]->requests.empty());
}

TEST_CASE("only a newer configuration replaces the current one") {
  gateway_fixture it(unresponsive_server());
  it.control.version = 5;
  it.control.broadcast_status();
  REQUIRE(wait_until([&] { return it.subject->table()->config.version == 5; }));
  it.control.version = 4;
  it.control.broadcast_status();
  run_event_loop(std::chrono::milliseconds(100));
  CHECK(it.subject->table()->config.version == 5);
}

// Guards against requests that a busy gateway reads only after their callers have left.
TEST_CASE("a request is not sent to a server once its caller has closed the connection") {
  gateway_fixture it(
      {{{write_text(response_text("first"))}, {write_text(response_text("late"))}}});
  // Leaves an open connection to the server.
  test_caller first(it.address);
  first.send(request_text("POST", "/safe/", "r0", "", "x"));
  REQUIRE(first.wait_for("first"));
  QTcpSocket caller;
  caller.connectToHost(QString::fromStdString(it.address.host), it.address.port);
  REQUIRE(wait_until([&] { return caller.state() == QAbstractSocket::ConnectedState; }));
  run_event_loop(std::chrono::milliseconds(50));
  // The gateway runs in this thread, so it reads the request after the close.
  caller.write(QByteArray::fromStdString(request_text("POST", "/safe/", "r1", "", "x")));
  caller.flush();
  caller.disconnectFromHost();
  run_event_loop(std::chrono::milliseconds(200));
  CHECK(it.servers[0]->requests.size() == 1);
  CHECK(it.subject->metrics.request_ended("left").Value() == 1);
}

// Guards against keys that open every route once the last workspace is taken away
// (ROUTE).
TEST_CASE("without any workspace no key is valid, and public routes stay open") {
  gateway_fixture it({{2, {write_text(response_text("served"))}}});
  CHECK(starts_with_status(
      send_request(it, request_text("GET", "/safe/", "r1"), "served"), "200"));
  it.control.tenants = "[]";
  ++it.control.version;
  it.control.broadcast_status();
  REQUIRE(wait_until(
      [&] { return it.subject->table()->config.version == it.control.version; }));
  for (const std::string key : {"KEY", "other"}) {
    const auto request = request_text("GET", "/safe/", "r2", "", "", key);
    CHECK(starts_with_status(send_request(it, request, "\r\n\r\n"), "401"));
  }
  CHECK(starts_with_status(
      send_request(it, request_text("GET", "/open/", "r3"), "served"), "200"));
  CHECK(it.servers[0]->requests.size() == 2);
}
