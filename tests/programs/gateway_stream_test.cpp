#include <catch2/catch.hpp>

#include "gateway_fixture.h"

using namespace marigoldstep;
using namespace marigoldstep::gateway::test;

namespace {

const std::string last_chunk = "0\r\n\r\n";

// Body of a chunked response; sets complete when its last chunk has arrived.
std::string decode_chunks(const std::string& response, bool& complete) {
  std::string out;
  complete = false;
  const auto head_end = response.find("\r\n\r\n");
  auto at = head_end == std::string::npos ? response.size() : head_end + 4;
  while (at < response.size()) {
    const auto line_end = response.find("\r\n", at);
    if (line_end == std::string::npos) {
      return out;
    }
    const auto size = std::stoul(response.substr(at, line_end - at), nullptr, 16);
    complete = size == 0;
    if (complete) {
      return out;
    }
    out += response.substr(line_end + 2, size);
    at = line_end + 2 + size + 2;
  }
  return out;
}

struct stream_result {
  std::string body;
  bool is_complete = false;
};

// Sends a request and reads its chunked response to the end.
stream_result read_stream(gateway_fixture& it, const std::string& path,
                          const std::string& fields = {}) {
  test_caller caller(it.address);
  caller.send(request_text("POST", path, "r1", fields, "x"));
  caller.wait_for("\r\n" + last_chunk);
  stream_result out;
  out.body = decode_chunks(caller.received, out.is_complete);
  return out;
}

// Head of a stream whose body ends with the connection.
std::string unframed_stream_head() {
  return "HTTP/1.1 200 OK\r\nMarigoldstep-Request-Id: {id}\r\n"
         "Marigoldstep-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n";
}

} // namespace

TEST_CASE("an event cut by one server is not joined to the events of the next") {
  const std::string cut =
      GENERATE("i", "id", "id: ", "id: 4", "id: 4\n", "id: 4\nda", "id: 4\ndata: e4",
               "id: 4\ndata: e4\n", ": note", "\n");
  const std::string before = GENERATE("", "id: 3\ndata: e3\n\n");
  const std::string fields = GENERATE("", "Last-Event-Id: 3\r\nResumes: r0\r\n");
  CAPTURE(cut, before, fields);
  gateway_fixture it(
      {{{write_text(stream_head() + chunk(before + cut)), pause_script(50),
         reset_connection()}},
       {{write_text(stream_head() + chunk(event(4) + event(5)) + last_chunk)}}});
  it.control.streams[stream_key("s", "r0")] = "";
  const auto result = read_stream(it, "/resume/", fields);
  CHECK(result.is_complete);
  const bool has_third = !before.empty() && fields.empty();
  CHECK(result.body == (has_third ? event(3) : "") + event(4) + event(5));
  REQUIRE(it.servers[1]->requests.size() == 1);
  const bool resumes = !before.empty() || !fields.empty();
  CHECK((it.servers[1]->requests[0].find("Last-Event-Id: 3\r\n") != std::string::npos) ==
        resumes);
}

TEST_CASE("events that arrived before a stream broke reach its caller") {
  const std::string path = GENERATE("/resume/", "/stream/");
  gateway_fixture it(
      {{{write_text(stream_head() + chunk(event(1) + event(2))), close_in_order()}}});
  const auto result = read_stream(it, path);
  CHECK_FALSE(result.is_complete);
  CHECK(result.body == event(1) + event(2));
}

TEST_CASE("events that arrived together with malformed bytes reach their caller") {
  const std::string path = GENERATE("/resume/", "/stream/");
  gateway_fixture it(
      {{{write_text(stream_head() + chunk(event(1) + event(2)) + "malformed\r\n")}}});
  const auto result = read_stream(it, path);
  CHECK_FALSE(result.is_complete);
  CHECK(result.body == event(1) + event(2));
}

TEST_CASE("a stream that its server ends inside an event is not forwarded as complete") {
  const std::string cut = GENERATE("id: 2", "id: 2\ndata: e2", "id: 2\ndata: e2\n");
  const auto script = GENERATE_COPY(
      server_script{write_text(unframed_stream_head() + event(1) + cut),
                    close_in_order()},
      server_script{write_text(stream_head() + chunk(event(1) + cut) + last_chunk)});
  gateway_fixture it(
      {{script},
       {{write_text(stream_head() + chunk(event(2) + event(3)) + last_chunk)}}});
  SECTION("a resumable one continues at the next server") {
    const auto result = read_stream(it, "/resume/");
    CHECK(result.is_complete);
    CHECK(result.body == event(1) + event(2) + event(3));
  }
  SECTION("another one is closed as incomplete") {
    const auto result = read_stream(it, "/stream/");
    CHECK_FALSE(result.is_complete);
    CHECK(result.body.starts_with(event(1)));
    CHECK(it.servers[1]->requests.empty());
  }
}

TEST_CASE("line ends and comments after the last event of a stream are forwarded") {
  const std::string path = GENERATE("/resume/", "/stream/");
  const std::string rest = GENERATE("\n", "\r\n", ": bye\n", ": bye\r\n: end\n");
  gateway_fixture it(
      {{{write_text(stream_head() + chunk(event(1) + rest) + last_chunk)}}});
  const auto result = read_stream(it, path);
  CHECK(result.is_complete);
  CHECK(result.body == event(1) + rest);
}

TEST_CASE("a response without events on a route of streams is forwarded as it is") {
  const std::string path = GENERATE("/resume/", "/stream/");
  const std::string body =
      GENERATE(as<std::string>(), R"({"a": 1})", std::string(300'000, 'a'));
  gateway_fixture it({{{write_text(
      "HTTP/1.1 200 OK\r\nMarigoldstep-Request-Id: {id}\r\n"
      "Marigoldstep-Response-Seal: seal\r\nContent-Type: application/json\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body)}}});
  test_caller caller(it.address);
  caller.send(request_text("POST", path, "r1", "", "x"));
  REQUIRE(caller.wait_for("\r\n\r\n" + body));
  CHECK(caller.received.ends_with("\r\n\r\n" + body));
}

TEST_CASE("a stream is not continued with a response without events") {
  gateway_fixture it(
      {{{write_text(stream_head() + chunk(event(1))), pause_script(50),
         reset_connection()}},
       {{write_text("HTTP/1.1 200 OK\r\nMarigoldstep-Request-Id: {id}\r\n"
                    "Marigoldstep-Response-Seal: seal\r\nContent-Type: text/plain\r\n"
                    "Content-Length: 2\r\n\r\nok")}}});
  const auto result = read_stream(it, "/resume/");
  CHECK_FALSE(result.is_complete);
  CHECK(result.body == event(1));
}

TEST_CASE("no bytes follow the head of a response without content") {
  const std::string path = GENERATE("/safe/", "/stream/", "/resume/");
  gateway_fixture it(
      {{{write_text("HTTP/1.1 204 No Content\r\nMarigoldstep-Request-Id: {id}\r\n"
                    "Marigoldstep-Response-Seal: seal\r\n\r\n")},
        {write_text(response_text("next"))}}});
  test_caller caller(it.address);
  caller.send(request_text("GET", path, "r1"));
  REQUIRE(caller.wait_for("\r\n\r\n"));
  caller.send(request_text("GET", "/safe/", "r2"));
  REQUIRE(caller.wait_for("next"));
  CHECK(caller.received.find("seal\r\n\r\nHTTP/1.1 200 OK\r\n") != std::string::npos);
}

TEST_CASE("a stream is not resumed after an event without a usable id") {
  const std::string unusable =
      GENERATE("data: e2\n\n", "id:\ndata: e2\n\n", "id: 2b\ndata: e2\n\n");
  gateway_fixture it(
      {{{write_text(stream_head() + chunk(event(1) + unusable)), pause_script(50),
         reset_connection()}},
       {{write_text(stream_head() + chunk(unusable + event(3)) + last_chunk)}}});
  const auto result = read_stream(it, "/resume/");
  CHECK_FALSE(result.is_complete);
  CHECK(result.body == event(1) + unusable);
}

TEST_CASE("a comment between events does not prevent resuming a stream") {
  gateway_fixture it({{{write_text(stream_head() + chunk(event(1) + ": note\n\n")),
                        pause_script(50), reset_connection()}},
                      {{write_text(stream_head() + chunk(event(2)) + last_chunk)}}});
  const auto result = read_stream(it, "/resume/");
  CHECK(result.is_complete);
  CHECK(result.body == event(1) + ": note\n\n" + event(2));
}

TEST_CASE("a partly forwarded response is not continued with another server's response") {
  const std::string body(400'000, 'a');
  const std::string other(400'000, 'b');
  const auto truncated = response_text(body).substr(0, 350'000);
  gateway_fixture it({{{write_text(truncated), pause_script(100), reset_connection()}},
                      {{write_text(response_text(other))}}});
  test_caller caller(it.address);
  caller.send(request_text("GET", "/safe/", "r1"));
  REQUIRE(caller.wait_closed());
  CHECK(caller.received.find('b') == std::string::npos);
  CHECK(it.servers[1]->requests.empty());
}

TEST_CASE("a stream is not continued with a response of another kind of any size") {
  const std::string other(GENERATE(2, 400'000), 'b');
  auto response = response_text(other);
  response.insert(response.find("Content-Length"), "Content-Type: application/json\r\n");
  gateway_fixture it({{{write_text(stream_head() + chunk(event(1))), pause_script(20),
                        reset_connection()}},
                      {{write_text(response)}}});
  const auto result = read_stream(it, "/resume/");
  CHECK_FALSE(result.is_complete);
  CHECK(result.body == event(1));
}

TEST_CASE("a caller's reset at the end of its stream does not end the request twice") {
  gateway_fixture it({{{write_text(stream_head() + chunk(event(1)))}}});
  QTcpSocket caller;
  caller.connectToHost(QString::fromStdString(it.address.host), it.address.port);
  REQUIRE(wait_until([&] { return caller.state() == QAbstractSocket::ConnectedState; }));
  caller.write(QByteArray::fromStdString(
      request_text("POST", "/stream/", "r1", "Connection: close\r\n", "x")));
  REQUIRE(wait_until([&] { return caller.bytesAvailable() > 0; }));
  for (auto* socket : it.servers[0]->findChildren<QTcpSocket*>()) {
    socket->write(QByteArray::fromStdString(chunk(event(2)) + last_chunk));
    socket->flush();
  }
  const linger send_reset{1, 0};
  ::setsockopt(static_cast<int>(caller.socketDescriptor()), SOL_SOCKET, SO_LINGER,
               &send_reset, sizeof(send_reset));
  caller.abort();
  // The gateway reads from the server before it sees the caller's reset.
  for (auto* socket : it.subject->findChildren<QTcpSocket*>()) {
    if (socket->peerPort() == it.servers[0]->address().port) {
      CHECK(socket->waitForReadyRead(1000));
    }
  }
  CHECK(it.subject->metrics.stream_part_ended("complete").Value() == 1);
  CHECK(it.subject->metrics.request_ended("left").Value() == 1);
  CHECK(it.subject->metrics.request_ended("answered").Value() == 0);
}
