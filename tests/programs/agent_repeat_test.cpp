#include "programs/agent_harness.h"

#include <QTimer>

using namespace agent_harness;

namespace {

const QByteArray events = "Content-Type: text/event-stream\r\n";

enum class framing { length, chunks, event_chunks, event_close, error };
enum class moment { at_once, idle, before_next, within_next };

QByteArray make_body(framing how, int n) {
  const auto text = "answer " + QByteArray::number(n);
  return how == framing::event_chunks || how == framing::event_close
             ? "data: " + text + "\n\ndata: [DONE]\n\n"
             : text;
}

QByteArray make_response(framing how, int n) {
  const QByteArray ok = "HTTP/1.1 200 OK\r\n";
  const auto body = make_body(how, n);
  const auto size = "Content-Length: " + QByteArray::number(body.size()) + "\r\n\r\n";
  const auto chunks = "Transfer-Encoding: chunked\r\n\r\n" +
                      QByteArray::number(body.size(), 16) + "\r\n" + body +
                      "\r\n0\r\n\r\n";
  switch (how) {
  case framing::length:
    return ok + size + body;
  case framing::chunks:
    return ok + chunks;
  case framing::event_chunks:
    return ok + events + chunks;
  case framing::event_close:
    return ok + events + "\r\n" + body;
  case framing::error:
    break;
  }
  return "HTTP/1.1 503 Busy\r\n" + size + body;
}

// Writes text in two parts that arrive separately.
void write_split(fake_backend::call& call, const QByteArray& text) {
  fake_backend::write(call, text.left(text.size() / 2), false);
  call.socket->flush();
  fake_backend::write(call, text.mid(text.size() / 2), false);
  call.socket->flush();
}

void start_call(fake_router& router, bool repeatable) {
  router.ends.clear();
  router.body.clear();
  const auto id = io::make_attempt_id();
  router.send(repeatable ? router.make_start(id) : router.make_non_repeatable_start(id));
}

void process_events_briefly() {
  wait_for([] { return false; }, milliseconds(20));
}

} // namespace

TEST_CASE("a second response reaches no other call") {
  const auto how =
      GENERATE(framing::length, framing::chunks, framing::event_chunks, framing::error);
  const auto when =
      GENERATE(moment::at_once, moment::idle, moment::before_next, moment::within_next);
  const bool repeatable = GENERATE(true, false);
  CAPTURE(how, when, repeatable);
  agent_fixture fixture;
  auto& node = fixture.start();
  auto& calls = fixture.backend->calls;
  const auto repeat = [&](int n) {
    // A second response has no connection left.
    const auto& call = *calls[static_cast<std::size_t>(n) - 1];
    REQUIRE(wait_for([&] { return call.closed; }));
  };
  fixture.backend->on_call = [&](fake_backend::call& call) {
    CHECK(call.head.toLower().contains("connection: close"));
    const int n = static_cast<int>(calls.size());
    const auto response = make_response(how, n);
    if (when == moment::before_next && n > 1) {
      repeat(n - 1);
    }
    if (when == moment::within_next && n > 1) {
      const auto half = response.size() / 2;
      fake_backend::write(call, response.left(half), false);
      call.socket->flush();
      repeat(n - 1);
      fake_backend::write(call, response.mid(half), false);
    } else {
      fake_backend::write(call, response + (when == moment::at_once ? response : ""),
                          false);
    }
  };
  fake_router router(node.port());
  constexpr int call_count = 4;
  for (int n = 1; n <= call_count; ++n) {
    start_call(router, repeatable);
    REQUIRE(router.wait_for_end());
    REQUIRE(calls.size() == static_cast<std::size_t>(n));
    if (when == moment::idle) {
      repeat(n);
    }
    process_events_briefly();
    CHECK(router.last_result() == "completed/ok");
    CHECK(router.ends.size() == 1);
    CHECK(router.status == (how == framing::error ? 503 : 200));
    CHECK(router.body == make_body(how, n).toStdString());
    CHECK((n == 1 || calls[calls.size() - 1] != calls[calls.size() - 2]));
  }
  if (!repeatable) {
    int n = 0;
    for (const auto& it : fixture.control->claims) {
      if (it.kind == wire::ClaimKind::complete) {
        REQUIRE(it.answer);
        const auto& body = it.answer->body;
        CHECK(std::string(body.begin(), body.end()) == make_body(how, ++n).toStdString());
      }
    }
    CHECK(n == call_count);
  }
}

TEST_CASE("a second response reaches no call that runs at the same time") {
  agent_fixture fixture;
  auto& node = fixture.start();
  auto& calls = fixture.backend->calls;
  fixture.backend->on_call = [](fake_backend::call&) {};
  fake_router first(node.port());
  fake_router second(node.port());
  start_call(first, true);
  REQUIRE(wait_for([&] { return calls.size() == 1; }));
  start_call(second, true);
  REQUIRE(wait_for([&] { return calls.size() == 2; }));
  const auto response = make_response(framing::length, 1);
  write_split(*calls[0], response);
  REQUIRE(first.wait_for_end());
  REQUIRE(wait_for([&] { return calls[0]->closed; }));
  process_events_briefly();
  CHECK(second.ends.empty());
  CHECK(second.status == 0);
  write_split(*calls[1], make_response(framing::length, 2));
  REQUIRE(second.wait_for_end());
  CHECK(first.body == "answer 1");
  CHECK(second.body == "answer 2");
}

TEST_CASE("bytes after a response do not belong to it") {
  const auto how = GENERATE(framing::length, framing::chunks, framing::event_chunks,
                            framing::event_close, framing::error);
  const QByteArray extra = GENERATE_COPY(
      QByteArray("x"), QByteArray("\r\n\r\n"), make_response(framing::length, 2),
      make_response(framing::event_close, 1), make_response(how, 1));
  const bool is_late = GENERATE(true, false);
  CAPTURE(how, extra.toStdString(), is_late);
  agent_fixture fixture;
  auto& node = fixture.start();
  const auto response = make_response(how, 1);
  fixture.backend->on_call = [&](fake_backend::call& call) {
    if (!is_late) {
      fake_backend::write(call, response + extra, true);
      return;
    }
    fake_backend::write(call, response, false);
    QTimer::singleShot(20, call.socket,
                       [&call, &extra] { fake_backend::write(call, extra, true); });
  };
  fake_router router(node.port());
  start_call(router, true);
  REQUIRE(router.wait_for_end());
  process_events_briefly();
  CHECK(router.last_result() == "completed/ok");
  CHECK(router.body == make_body(how, 1).toStdString());
}

TEST_CASE("bytes of a delimited stream after its end marker reach the caller") {
  const QByteArray body = "data: 1\n\ndata: [DONE]\n\n: later\n\n";
  agent_fixture fixture;
  auto& node = fixture.start();
  fixture.backend->on_call = [&](fake_backend::call& call) {
    fake_backend::write(call,
                        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        "Content-Length: " +
                            QByteArray::number(body.size()) + "\r\n\r\n" + body,
                        true);
  };
  fake_router router(node.port());
  start_call(router, true);
  REQUIRE(router.wait_for_end());
  CHECK(router.last_result() == "completed/ok");
  CHECK(router.body == body.toStdString());
}
