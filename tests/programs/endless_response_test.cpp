#include <catch2/catch.hpp>

#include "endless_peer.h"
#include "gateway_fixture.h"

// Guards against servers whose bytes never end: no limit in memory, a caller that is held
// beyond its deadline, or a response that looks whole.

using namespace marigoldstep;
using namespace marigoldstep::gateway::test;

namespace {

constexpr std::size_t mib = 1U << 20U;
// Of the whole process for one connection, with the server's and the caller's side.
constexpr std::size_t max_growth_bytes = 8 * mib;
// The same for 20 connections.
constexpr std::size_t max_sum_growth_bytes = 64 * mib;
constexpr auto slow = std::chrono::milliseconds(10);
// The routes' timeout, the gateway's slack of 100 ms, and time for the test.
constexpr auto max_held = std::chrono::milliseconds(800 + 100 + 300);

const std::string ids =
    "Marigoldstep-Request-Id: {id}\r\nMarigoldstep-Response-Seal: seal\r\n";
const std::string ok = "HTTP/1.1 200 OK\r\n" + ids;
const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";

struct endless_case {
  std::string name;
  endless_bytes bytes;
};

// Responses whose framing has no end, so that nothing of them can be forwarded.
std::vector<endless_case> framing_without_end() {
  const std::string other = "HTTP/1.1 200 OK\r\nMarigoldstep-Request-Id: other\r\n"
                            "Content-Length: 1\r\n\r\nx";
  return {{"status line", {"HTTP/1.1 200 ", "O"}},
          {"garbage", {"", "garbage\n"}},
          {"empty lines", {"", "\r\n"}},
          {"header line", {ok + "X: ", "a"}},
          {"header lines", {ok, "X: a\r\n"}},
          {"interim responses", {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}},
          {"other responses", {"", other}},
          {"chunk size", {chunked, "0"}},
          {"chunk extension", {chunked + "5;a=", "x"}},
          {"trailer line", {chunked + "5\r\nhello\r\n0\r\nX: ", "a"}},
          {"trailer lines", {chunked + "5\r\nhello\r\n0\r\n", "X: a\r\n"}}};
}

// Bodies of responses that are not forwarded.
std::vector<endless_case> error_body_without_end() {
  const std::string error = "HTTP/1.1 500 Error\r\n" + ids;
  return {{"error body without length", {error + "\r\n", "x"}},
          {"error body in chunks",
           {error + "Transfer-Encoding: chunked\r\n\r\n", chunk("hello")}},
          {"error body with length", {error + "Content-Length: 9999999999\r\n\r\n", "x"}},
          {"unsigned body",
           {"HTTP/1.1 200 OK\r\nMarigoldstep-Request-Id: {id}\r\n\r\n", "x"}}};
}

std::vector<endless_case> body_without_end() {
  return {{"body without length", {ok + "\r\n", "x"}},
          {"body in chunks", {chunked, chunk("hello")}},
          {"body with length", {ok + "Content-Length: 9999999999\r\n\r\n", "x"}}};
}

std::vector<endless_case> events_without_end() {
  const std::string stream = ok + "Content-Type: text/event-stream\r\n\r\n";
  return {{"empty lines", {stream, "\n"}},
          {"comments", {stream, ":\n\n"}},
          {"events", {stream, "data: x\n\n"}}};
}

std::vector<endless_case> event_without_end() {
  const std::string stream = ok + "Content-Type: text/event-stream\r\n\r\n";
  return {{"data line", {stream + event(1) + "id: 2\ndata: ", "x"}},
          {"data lines", {stream + event(1) + "id: 2\n", "data: x\n"}},
          {"comment lines", {stream + event(1), ":\n"}}};
}

// A gateway whose first server is an endless one.
struct endless_fixture : gateway_fixture {
  endless_fixture(std::vector<endless_bytes> what, std::vector<server_script> second)
      : gateway_fixture({{}, std::move(second)}), endless(std::move(what)) {
    auto& first = control.servers[0];
    first.slots = 64;
    first.port = endless.address().port;
    first.started = 2;
    control.broadcast_servers();
    REQUIRE(wait_until(
        [&] { return subject->directory.entries.at("s0").server.port == first.port; }));
  }

  endless_server endless;
};

struct exchange_result {
  std::string response; // without its middle if it is long
  std::chrono::milliseconds time{};
};

// Reads only a little ahead.
std::unique_ptr<QTcpSocket> open_request(gateway_fixture& it, const std::string& path,
                                         const std::string& id) {
  constexpr qint64 read_buffer_bytes = 64 << 10;
  auto out = std::make_unique<QTcpSocket>();
  out->setReadBufferSize(read_buffer_bytes);
  out->connectToHost(QString::fromStdString(it.address.host), it.address.port);
  out->write(
      QByteArray::fromStdString(request_text("GET", path, id, "Connection: close\r\n")));
  return out;
}

exchange_result send_request(gateway_fixture& it, const std::string& path) {
  constexpr std::size_t kept_head_bytes = 2000;
  constexpr std::size_t kept_bytes = 2 * kept_head_bytes;
  std::string received;
  QElapsedTimer timer;
  timer.start();
  const auto socket = open_request(it, path, "r1");
  QObject::connect(socket.get(), &QTcpSocket::readyRead, [&] {
    received += socket->readAll().toStdString();
    if (received.size() > kept_bytes) {
      received.erase(kept_head_bytes, received.size() - kept_bytes);
    }
  });
  wait_until([&] { return socket->state() == QAbstractSocket::UnconnectedState; });
  return {received, std::chrono::milliseconds(timer.elapsed())};
}

bool is_whole(const std::string& response) {
  return response.ends_with("\r\n0\r\n\r\n");
}

} // namespace

TEST_CASE("framing without end ends its attempt, and the next server answers") {
  auto cases = framing_without_end();
  const auto more = error_body_without_end();
  cases.insert(cases.end(), more.begin(), more.end());
  for (const auto& tried : cases) {
    CAPTURE(tried.name);
    endless_fixture it({tried.bytes}, {{write_text(response_text("own"))}});
    const memory_watch memory;
    const auto result = send_request(it, "/safe/");
    CHECK(result.response.starts_with("HTTP/1.1 200 "));
    CHECK(result.response.ends_with("\r\n\r\nown"));
    CHECK(result.time < max_held);
    CHECK(memory.growth() < max_growth_bytes);
    CHECK(it.endless.requests == 1);
    CHECK(wait_until([&] { return it.endless.closed_by_reader == 1; }));
  }
}

TEST_CASE("a request that may run once gets a truthful end from bytes without end") {
  auto cases = framing_without_end();
  for (const auto& more : {error_body_without_end(), event_without_end()}) {
    cases.insert(cases.end(), more.begin(), more.end());
  }
  for (const auto& tried : cases) {
    CAPTURE(tried.name);
    endless_fixture it({tried.bytes}, {{write_text(response_text("second run"))}});
    const memory_watch memory;
    const auto result = send_request(it, "/once/");
    const bool is_forwarded = result.response.starts_with("HTTP/1.1 200 ");
    CHECK((is_forwarded || result.response.starts_with("HTTP/1.1 502 ") ||
           result.response.starts_with("HTTP/1.1 504 ")));
    CHECK_FALSE((is_forwarded && is_whole(result.response)));
    CHECK(result.time < max_held);
    CHECK(memory.growth() < max_growth_bytes);
    CHECK(it.endless.requests == 1);
    CHECK(it.servers[1]->requests.empty());
    CHECK(wait_until([&] { return it.endless.closed_by_reader == 1; }));
  }
}

TEST_CASE("a refused request with a body without end counts as not run") {
  const auto refusal = "HTTP/1.1 503 Service Unavailable\r\n" + ids +
                       "Marigoldstep-Not-Executed: 1\r\n\r\n";
  endless_fixture it({{refusal, "x"}}, {{write_text(response_text("own"))}});
  const memory_watch memory;
  const auto result = send_request(it, "/once/");
  CHECK(result.response.ends_with("\r\n\r\nown"));
  CHECK(memory.growth() < max_growth_bytes);
}

TEST_CASE("a body without end is cut at the deadline and never looks whole") {
  const std::string path = GENERATE("/safe/", "/once/", "/stream/", "/resume/");
  auto cases = body_without_end();
  if (path == "/stream/" || path == "/resume/") {
    cases = events_without_end();
  }
  for (const auto& tried : cases) {
    CAPTURE(path, tried.name);
    endless_fixture it({tried.bytes}, {});
    const memory_watch memory;
    const auto result = send_request(it, path);
    CHECK(result.response.starts_with("HTTP/1.1 200 "));
    CHECK_FALSE(is_whole(result.response));
    CHECK(result.time < max_held);
    CHECK(memory.growth() < max_growth_bytes);
    CHECK(it.servers[1]->requests.empty());
    CHECK(wait_until([&] { return it.endless.closed_by_reader == 1; }));
  }
}

TEST_CASE("an event without end is not kept in memory") {
  const std::string path = GENERATE("/stream/", "/resume/");
  for (const auto& tried : event_without_end()) {
    CAPTURE(path, tried.name);
    endless_fixture it({tried.bytes}, {{write_text(stream_head() + chunk(event(2)) +
                                                   chunk(event(3)) + "0\r\n\r\n")}});
    const memory_watch memory;
    const auto result = send_request(it, path);
    CHECK(result.response.find(event(1)) != std::string::npos);
    CHECK(result.time < max_held);
    CHECK(memory.growth() < max_growth_bytes);
    CHECK(wait_until([&] { return it.endless.closed_by_reader == 1; }));
    // Another server continues the stream after its last whole event.
    CHECK(is_whole(result.response) == (path == "/resume/"));
    CHECK(it.servers[1]->requests.size() == (path == "/resume/" ? 1 : 0));
  }
}

TEST_CASE("large error bodies and events reach the caller as a whole") {
  const std::string large(900'000, 'x');
  const auto event_text = "id: 1\ndata: " + large + "\n\n";
  const auto error = response_text(large, "404 Not Found");
  const std::string path = GENERATE("/once/", "/stream/", "/resume/");
  const bool is_error = path == "/once/";
  gateway_fixture it({{{write_text(
      is_error ? error : stream_head() + chunk(event_text) + "0\r\n\r\n")}}});
  test_caller caller(it.address);
  caller.send(request_text("GET", path, "r1", "Connection: close\r\n"));
  CHECK(caller.wait_closed());
  CHECK(caller.received.starts_with(is_error ? "HTTP/1.1 404 " : "HTTP/1.1 200 "));
  CHECK((is_error ? caller.received.ends_with("\r\n\r\n" + large)
                  : is_whole(caller.received)));
  CHECK(std::count(caller.received.begin(), caller.received.end(), 'x') >= 900'000);
}

TEST_CASE("a response that comes byte by byte without end is cut at the deadline") {
  const std::string path = GENERATE("/safe/", "/once/", "/stream/", "/resume/");
  std::vector<endless_bytes> bytes;
  for (const auto& cases : {framing_without_end(), error_body_without_end(),
                            body_without_end(), event_without_end()}) {
    for (const auto& tried : cases) {
      bytes.push_back(tried.bytes);
      bytes.back().pause_per_byte = slow;
    }
  }
  endless_fixture it(bytes, {});
  std::vector<std::unique_ptr<test_caller>> callers;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    callers.push_back(std::make_unique<test_caller>(it.address));
    const auto number = std::to_string(i);
    callers.back()->send(
        request_text("GET", path + number, "r" + number, "Connection: close\r\n"));
  }
  QElapsedTimer timer;
  timer.start();
  for (auto& caller : callers) {
    CHECK(caller->wait_closed());
  }
  CHECK(std::chrono::milliseconds(timer.elapsed()) < max_held);
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    CAPTURE(path, bytes[i].begin, bytes[i].piece);
    const auto& response = callers[i]->received;
    const bool is_cut = response.starts_with("HTTP/1.1 200 ") && !is_whole(response);
    CHECK((is_cut || response.starts_with("HTTP/1.1 502 ") ||
           response.starts_with("HTTP/1.1 504 ")));
  }
  CHECK(it.endless.requests == static_cast<int>(bytes.size()));
  CHECK(wait_until([&] { return it.endless.closed_by_reader == it.endless.requests; }));
}

TEST_CASE("bytes without end after a response or on an idle connection close it") {
  const auto pause = std::chrono::milliseconds(GENERATE(0, 100));
  const auto per_byte = GENERATE(std::chrono::milliseconds(0), slow);
  CAPTURE(pause.count(), per_byte.count());
  endless_fixture it({{response_text("own"), "x", pause, per_byte}}, {});
  const memory_watch memory;
  CHECK(send_request(it, "/once/").response.ends_with("\r\n\r\nown"));
  CHECK(wait_until([&] { return it.endless.closed_by_reader == 1; }));
  CHECK(memory.growth() < max_growth_bytes);
  CHECK(send_request(it, "/once/").response.ends_with("\r\n\r\nown"));
  CHECK(it.subject->pool.connects() == 2);
}

TEST_CASE("events without end that wait for the record of their stream are few") {
  endless_fixture it({events_without_end().back().bytes}, {});
  it.control.confirms_streams = false;
  const memory_watch memory;
  const auto result = send_request(it, "/resume/");
  CHECK(result.response.find("data: x") != std::string::npos);
  CHECK(memory.growth() < max_growth_bytes);
}

TEST_CASE("many responses without end neither fill memory nor hold up other requests") {
  constexpr std::size_t callers = 20;
  constexpr auto max_delay = std::chrono::milliseconds(200);
  const std::vector<endless_case> cases = {{"chunk extension", {chunked + "5;a=", "x"}},
                                           body_without_end()[1],
                                           error_body_without_end()[0],
                                           event_without_end()[0]};
  const auto& tried = cases[GENERATE(0U, 1U, 2U, 3U)];
  const std::string path = GENERATE("/once/", "/stream/");
  CAPTURE(tried.name, path);
  endless_fixture it({tried.bytes}, {});
  const memory_watch memory;
  std::vector<std::unique_ptr<QTcpSocket>> open;
  for (std::size_t i = 0; i < callers; ++i) {
    open.push_back(open_request(it, path, "r" + std::to_string(i)));
  }
  std::chrono::milliseconds worst{};
  for (int i = 0; i < 10; ++i) {
    const auto result = send_request(it, "/unknown/");
    CHECK(result.response.starts_with("HTTP/1.1 404 "));
    worst = std::max(worst, result.time);
  }
  CHECK(worst < max_delay);
  CHECK(memory.growth() < max_sum_growth_bytes);
}
