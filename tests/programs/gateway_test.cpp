#include <catch2/catch.hpp>

#include "gateway_fixture.h"

using namespace marigoldstep;
using namespace marigoldstep::gateway::test;

namespace {

// Sends one request and returns what came until the text, or until the end.
std::string ask(gateway_fixture& it, const std::string& request,
                const std::string& until) {
  test_caller caller(it.address);
  caller.send(request);
  caller.wait_for(until);
  return caller.received;
}

bool starts_with_status(const std::string& answer, const std::string& status) {
  return answer.starts_with("HTTP/1.1 " + status + " ");
}

} // namespace

TEST_CASE("a request and its answer pass unchanged, on one connection for many") {
  gateway_fixture it({{{write_text(answer_text("first"))},
                       {write_text(answer_text("second", "201 Created"))}}});
  test_caller caller(it.address);
  caller.send(request_text("POST", "/once/a?b=c", "r1", "X-Own: 1\r\n", "payload"));
  REQUIRE(caller.wait_for("first"));
  CHECK(starts_with_status(caller.received, "200"));
  CHECK(caller.received.find("Marigoldstep-Response-Seal: seal\r\n") !=
        std::string::npos);
  CHECK(caller.received.find("Marigoldstep-Request-Id: r1\r\n") != std::string::npos);
  const auto& seen = it.servers[0]->requests;
  REQUIRE(seen.size() == 1);
  CHECK(seen[0].starts_with("POST /once/a?b=c HTTP/1.1\r\n"));
  CHECK(seen[0].ends_with("\r\n\r\npayload"));
  CHECK(seen[0].find("X-Own: 1\r\n") != std::string::npos);
  CHECK(seen[0].find("Marigoldstep-Tenant: w\r\n") != std::string::npos);
  CHECK(seen[0].find("KEY") == std::string::npos);

  caller.send(request_text("POST", "/once/", "r2", "", "more"));
  REQUIRE(caller.wait_for("second"));
  CHECK(caller.received.find("HTTP/1.1 201 ") != std::string::npos);
  CHECK(it.subject->pool.connects() == 1);
}

TEST_CASE("a chunked body arrives whole") {
  gateway_fixture it({{{write_text(answer_text("ok"))}}});
  const auto answer =
      ask(it,
          request_text("POST", "/safe/", "r1", "Transfer-Encoding: chunked\r\n") +
              chunk("hello ") + chunk("world") + "0\r\n\r\n",
          "ok");
  CHECK(starts_with_status(answer, "200"));
  REQUIRE(it.servers[0]->requests.size() == 1);
  CHECK(it.servers[0]->requests[0].ends_with("\r\n\r\nhello world"));
}

TEST_CASE("what no configuration allows is rejected") {
  gateway_fixture it(silent_server());
  CHECK(starts_with_status(ask(it, request_text("GET", "/none/", "r1"), "route"), "404"));
  const std::string no_key =
      "GET /safe/ HTTP/1.1\r\nHost: h\r\nMarigoldstep-Request-Id: r\r\n\r\n";
  CHECK(starts_with_status(ask(it, no_key, "key"), "401"));
  CHECK(it.servers[0]->requests.empty());
}

TEST_CASE("a public route needs no key") {
  gateway_fixture it({{{write_text(answer_text("ok"))}}});
  const std::string no_key =
      "GET /open/ HTTP/1.1\r\nHost: h\r\nMarigoldstep-Request-Id: r\r\n\r\n";
  CHECK(starts_with_status(ask(it, no_key, "ok"), "200"));
  CHECK(it.servers[0]->requests[0].find("Marigoldstep-Tenant") == std::string::npos);
}

TEST_CASE("without a configuration requests aren't run and checks say not ready") {
  gateway_fixture it(silent_server(), 0);
  const auto answer = ask(it, request_text("GET", "/safe/", "r1"), "\r\n\r\n");
  CHECK(starts_with_status(answer, "503"));
  CHECK(answer.find("Retry-After: ") != std::string::npos);
  const std::string check = "GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n";
  test_caller before(it.ready_address);
  before.send(check);
  REQUIRE(before.wait_for("\r\n\r\n"));
  CHECK(starts_with_status(before.received, "503"));
  it.control.version = 3;
  it.control.tell_status();
  REQUIRE(wait_until([&] { return it.subject->is_ready(); }));
  test_caller after(it.ready_address);
  after.send(check);
  REQUIRE(after.wait_for("\r\n\r\n"));
  CHECK(starts_with_status(after.received, "200"));
}

TEST_CASE("a request that may not be repeated is sent once, whatever breaks") {
  const auto script = GENERATE(
      server_script{reset_connection()}, server_script{close_in_order()},
      server_script{write_text("garbage\r\n\r\n")},
      server_script{write_text("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"),
                    close_in_order()},
      server_script{write_text("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")});
  gateway_fixture it({{script}, {{write_text(answer_text("again"))}}});
  const auto answer = ask(it, request_text("POST", "/once/", "r1", "", "x"), "\r\n\r\n");
  CHECK(starts_with_status(answer, "502"));
  CHECK(it.servers[0]->requests.size() + it.servers[1]->requests.size() == 1);
}

TEST_CASE("a repeatable request is sent to another server when the first breaks") {
  const auto script = GENERATE(
      server_script{reset_connection()}, server_script{write_text("garbage\r\n\r\n")},
      server_script{write_text(answer_text("bad", "500 Internal Server Error"))},
      server_script{write_text("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"),
                    close_in_order()},
      server_script{write_text("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")});
  gateway_fixture it({{script}, {{write_text(answer_text("again"))}}});
  const auto answer = ask(it, request_text("GET", "/safe/", "r1"), "again");
  CHECK(starts_with_status(answer, "200"));
  CHECK(answer.ends_with("again"));
}

TEST_CASE("a server's own failure reaches the caller with its signature") {
  gateway_fixture it({{{write_text(answer_text("bad", "500 Internal Server Error"))}}});
  const auto answer = ask(it, request_text("POST", "/once/", "r1", "", "x"), "bad");
  CHECK(starts_with_status(answer, "500"));
  CHECK(answer.find("Marigoldstep-Response-Seal: seal") != std::string::npos);
}

TEST_CASE("\"not run\" moves on to another server, and is told when none is left") {
  gateway_fixture it({{{write_text(refusal_text())}, {write_text(refusal_text())}},
                      {{write_text(answer_text("ok"))}, {write_text(refusal_text())}}});
  const auto request = request_text("POST", "/once/", "r1", "", "x");
  CHECK(starts_with_status(ask(it, request, "ok"), "200"));
  const auto answer = ask(it, request, "\r\n\r\n");
  CHECK(starts_with_status(answer, "503"));
  CHECK(answer.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("another server at the address isn't the one that was meant") {
  gateway_fixture it(
      {{{write_text("HTTP/1.1 421 Misdirected Request\r\n"
                    "Marigoldstep-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n")}},
       {{write_text(answer_text("ok"))}}});
  CHECK(starts_with_status(ask(it, request_text("POST", "/once/", "r1", "", "x"), "ok"),
                           "200"));
}

TEST_CASE("an answer to another request is never passed on") {
  const std::string foreign =
      "HTTP/1.1 200 OK\r\nMarigoldstep-Request-Id: other\r\n"
      "Marigoldstep-Response-Seal: seal\r\nContent-Length: 7\r\n\r\nforeign";
  gateway_fixture it({{{write_text(foreign + answer_text("mine"))}}});
  const auto answer = ask(it, request_text("GET", "/safe/", "r1"), "mine");
  CHECK(answer.ends_with("mine"));
  CHECK(answer.find("foreign") == std::string::npos);
}

TEST_CASE("bytes after an answer don't reach the next request") {
  gateway_fixture it({{{write_text(answer_text("one") + answer_text("late"))},
                       {write_text(answer_text("two"))}}});
  test_caller caller(it.address);
  caller.send(request_text("GET", "/safe/", "r1"));
  REQUIRE(caller.wait_for("one"));
  run_event_loop(std::chrono::milliseconds(50));
  caller.send(request_text("GET", "/safe/", "r2"));
  REQUIRE(caller.wait_for("two"));
  CHECK(caller.received.find("late") == std::string::npos);
}

TEST_CASE("an early answer to a long body doesn't spoil the connection") {
  gateway_fixture it(
      {{{write_text(answer_text("done"))}, {write_text(answer_text("two"))}}});
  const std::string body(2'000'000, 'x');
  CHECK(starts_with_status(
      ask(it, request_text("POST", "/once/", "r1", "", body), "done"), "200"));
  CHECK(starts_with_status(ask(it, request_text("GET", "/safe/", "r2"), "two"), "200"));
  CHECK(it.servers[0]->requests[1].starts_with("GET /safe/"));
}

TEST_CASE("a stream arrives piece by piece and ends as its server ends it") {
  gateway_fixture it({{{write_text(stream_head() + chunk(event(1))), pause_script(150),
                        write_text(chunk(event(2)) + "0\r\n\r\n")}}});
  test_caller caller(it.address);
  caller.send(request_text("POST", "/stream/", "r1", "", "x"));
  REQUIRE(caller.wait_for("e1"));
  CHECK(caller.received.find("e2") == std::string::npos);
  REQUIRE(caller.wait_for("0\r\n\r\n"));
  CHECK(caller.received.find("e2") != std::string::npos);
}

TEST_CASE("a stream that breaks is visibly cut when it may not be resumed") {
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

TEST_CASE("a stream that may be resumed goes on after its last whole event") {
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

TEST_CASE("when a caller leaves, the work behind a stream ends") {
  gateway_fixture it({{{write_text(stream_head() + chunk(event(1)))}}});
  test_caller caller(it.address);
  caller.send(request_text("POST", "/stream/", "r1", "", "x"));
  REQUIRE(caller.wait_for("e1"));
  caller.leave();
  CHECK(wait_until([&] { return it.servers[0]->disconnects == 1; },
                   std::chrono::milliseconds(500)));
}

TEST_CASE("when a caller leaves, what may not be repeated runs to its end") {
  gateway_fixture it({{{pause_script(300), write_text(answer_text("ok"))}}});
  test_caller caller(it.address);
  caller.send(request_text("POST", "/once/", "r1", "", "x"));
  REQUIRE(wait_until([&] { return it.servers[0]->requests.size() == 1; }));
  caller.leave();
  run_event_loop(std::chrono::milliseconds(200));
  CHECK(it.servers[0]->disconnects == 0);
}

TEST_CASE("a silent server is given up at the route's timeout") {
  gateway_fixture it({{{pause_script(5000)}}});
  const auto begin = io::now();
  const auto answer = ask(it, request_text("POST", "/once/", "r1", "", "x"), "\r\n\r\n");
  const auto took = io::now() - begin;
  CHECK(starts_with_status(answer, "504"));
  CHECK(took >= duration(750));
  CHECK(took < duration(800 + 250));
}

TEST_CASE("a server gets no more time than the caller has left") {
  gateway_fixture it({{{write_text(answer_text("ok"))}}});
  ask(it, request_text("GET", "/safe/", "r1", "Marigoldstep-Deadline-Ms: 500\r\n"), "ok");
  const auto& seen = it.servers[0]->requests.at(0);
  const std::string field = "Marigoldstep-Deadline-Ms: ";
  const auto left = std::stoi(seen.substr(seen.find(field) + field.size()));
  CHECK(left <= 500);
  CHECK(left > 300);
}

TEST_CASE("a server that leaves gets no new requests") {
  gateway_fixture it(
      {{{write_text(answer_text("zero"))}}, {{write_text(answer_text("one"))}}});
  it.control.servers[0].state = announced_state::draining;
  it.control.servers[0].sequence = 2;
  it.control.tell_servers();
  REQUIRE(wait_until([&] {
    return it.subject->directory.entries.at("s0").server.state ==
           announced_state::draining;
  }));
  CHECK(ask(it, request_text("GET", "/safe/", "r1"), "one").ends_with("one"));
  CHECK(it.servers[0]->requests.empty());
}

TEST_CASE("loads of other routers count only while they are told") {
  gateway_fixture it(
      {{{write_text(answer_text("zero"))}}, {{write_text(answer_text("one"))}}});
  // More than its slots and its queue.
  it.control.tell_load(10);
  const auto& record = it.subject->dispatch.records["s0"];
  REQUIRE(wait_until([&] { return record.others.requests == 10; }));
  const auto answer = ask(it, request_text("GET", "/safe/", "r1"), "\r\n\r\n");
  CHECK(starts_with_status(answer, "503"));
  // The leader is lost: what it told last must not hold for ever.
  REQUIRE(wait_until([&] { return record.others.requests == 0; }));
  CHECK(ask(it, request_text("GET", "/safe/", "r2"), "zero").ends_with("zero"));
}

TEST_CASE("slow and oversized callers get clear answers") {
  gateway_fixture it(silent_server());
  SECTION("slow header") {
    const auto answer = ask(it, "GET /safe/ HTT", "\r\n\r\n");
    CHECK(starts_with_status(answer, "408"));
  }
  SECTION("large header") {
    const auto answer =
        ask(it, "GET /safe/ HTTP/1.1\r\nX: " + std::string(3000, 'a') + "\r\n\r\n",
            "\r\n\r\n");
    CHECK(starts_with_status(answer, "431"));
  }
  SECTION("large body") {
    const auto answer =
        ask(it, "POST /safe/ HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n", "\r\n\r\n");
    CHECK(starts_with_status(answer, "413"));
  }
  SECTION("nonsense") {
    CHECK(starts_with_status(ask(it, "nonsense\r\n\r\n", "\r\n\r\n"), "400"));
  }
  CHECK(it.servers[0]->requests.empty());
}

TEST_CASE("a stopping gateway answers what comes and then closes") {
  gateway_fixture it({{{pause_script(300), write_text(answer_text("slow"))},
                       {write_text(answer_text("late"))}}});
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

TEST_CASE("late in a stop only requests that surely end in time begin") {
  gateway_fixture it({{{write_text(answer_text("early"))}}});
  test_caller caller(it.address);
  bool stopped = false;
  it.subject->stop([&] { stopped = true; });
  // The route's timeout is 800 ms, the stop takes 2000 ms.
  run_event_loop(std::chrono::milliseconds(1300));
  REQUIRE_FALSE(stopped);
  caller.send(request_text("GET", "/safe/", "r1"));
  REQUIRE(caller.wait_for("\r\n\r\n"));
  CHECK(starts_with_status(caller.received, "503"));
  CHECK(caller.received.find("Retry-After: ") != std::string::npos);
  CHECK(it.servers[0]->requests.empty());
}

TEST_CASE("a newer configuration replaces the older one, and an older one doesn't") {
  gateway_fixture it(silent_server());
  it.control.version = 5;
  it.control.tell_status();
  REQUIRE(wait_until([&] { return it.subject->table()->config.version == 5; }));
  it.control.version = 4;
  it.control.tell_status();
  run_event_loop(std::chrono::milliseconds(100));
  CHECK(it.subject->table()->config.version == 5);
}
