#include "router_fixture.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;
using namespace marigoldstep::router::test;

namespace {

std::string fresh_key() {
  static int n = 0;
  return std::to_string(io::wall_clock()) + "-abcdefgh" + std::to_string(++n);
}

} // namespace

// Guards against an answer that is not relayed whole, with its sign of the end.
TEST_CASE("an answer is relayed whole") {
  fleet_fixture fleet;
  fleet.a.on_start = [&](const wire::StartAttemptT& start) {
    fleet.a.answer_whole(*start.attempt_id, "hello");
  };
  fleet.start({fleet.server(fleet.a, "pool")});
  fake_caller caller(fleet.daemon->port());

  SECTION("not streamed") {
    caller.chat(false);
    REQUIRE(wait_for([&] { return caller.is_whole(); }));
    CHECK(caller.body() == "hello");
    // The connection serves the next request.
    caller.input.clear();
    caller.chat(false);
    REQUIRE(wait_for([&] { return caller.is_whole(); }));
    CHECK(caller.body() == "hello");
  }
  SECTION("streamed") {
    caller.chat(true);
    REQUIRE(wait_for([&] { return caller.is_whole(); }));
    CHECK(caller.chunks() == "hello");
    CHECK(caller.header("X-Marigoldstep-Resume").starts_with("a."));
  }
  SECTION("an answer too large to hold is passed on in chunks") {
    const std::string large(1U << 20U, 'x');
    fleet.a.on_start = [&](const wire::StartAttemptT& start) {
      fleet.a.answer_whole(*start.attempt_id, large);
    };
    caller.chat(false);
    REQUIRE(wait_for([&] { return caller.is_whole(); }));
    CHECK(caller.chunks() == large);
  }
}

// Guards against bytes of an attempt that ended, or of another request, reaching
// this caller.
TEST_CASE("late and crossed frames reach nobody") {
  fleet_fixture fleet;
  wire::AttemptId refused;
  auto refuse_once = [&](fake_agent& agent, const wire::StartAttemptT& start) {
    if (refused.hi() == 0) {
      refused = *start.attempt_id;
      agent.send_end(refused, not_run(errc::load_limit_reached), 0);
      return;
    }
    const auto& other = &agent == &fleet.a ? fleet.b : fleet.a;
    CHECK(other.starts.size() == 1);
    // The first agent sends its answer after all.
    auto& late = &agent == &fleet.a ? fleet.b : fleet.a;
    late.answer_whole(refused, "wrong!");
    agent.send_head(*start.attempt_id);
    agent.send_data(refused, 0, "wrong!");
    agent.send_data(*start.attempt_id, 0, "right");
    agent.send_data(*start.attempt_id, 0, "right");
    agent.send_data(*start.attempt_id, 9, "later");
    agent.send_end(wire::AttemptId(3, 4), completed(), 5);
  };
  fleet.a.on_start = [&](const auto& it) { refuse_once(fleet.a, it); };
  fleet.b.on_start = [&](const auto& it) { refuse_once(fleet.b, it); };
  const auto finish = [&](fake_agent& agent, const wire::ResumeAttemptT& resume) {
    CHECK(resume.offset == 5);
    agent.send_data(*resume.attempt_id, 5, "!");
    agent.send_end(*resume.attempt_id, completed(), 6);
  };
  fleet.a.on_resume = [&](const auto& it) { finish(fleet.a, it); };
  fleet.b.on_resume = [&](const auto& it) { finish(fleet.b, it); };
  fleet.start({fleet.server(fleet.a, "pool"), fleet.server(fleet.b, "pool")});
  fake_caller caller(fleet.daemon->port());
  caller.chat(true);
  REQUIRE(wait_for([&] { return caller.is_whole(); }));
  CHECK(caller.chunks() == "right!");
}

// Guards against lost or repeated bytes after a connection to an agent drops.
TEST_CASE("a dropped connection is resumed at its offset") {
  fleet_fixture fleet;
  fleet.a.on_start = [&](const wire::StartAttemptT& start) {
    fleet.a.send_head(*start.attempt_id);
    fleet.a.send_data(*start.attempt_id, 0, "half ");
  };
  fleet.a.on_resume = [&](const wire::ResumeAttemptT& resume) {
    CHECK(resume.offset == 5);
    fleet.a.send_head(*resume.attempt_id);
    fleet.a.send_data(*resume.attempt_id, 5, "and half");
    fleet.a.send_end(*resume.attempt_id, completed(), 13);
  };
  fleet.start({fleet.server(fleet.a, "pool")});
  fake_caller caller(fleet.daemon->port());
  caller.chat(true);
  REQUIRE(wait_for([&] { return caller.chunks() == "half "; }));

  SECTION("by the same router") {
    fleet.a.drop();
    REQUIRE(wait_for([&] { return caller.is_whole(); }));
    CHECK(caller.chunks() == "half and half");
  }
  SECTION("but not from an agent that has restarted") {
    ++fleet.a.started;
    fleet.a.drop();
    REQUIRE(wait_for([&] { return caller.is_closed(); }));
    CHECK(fleet.a.resumes.empty());
    CHECK_FALSE(caller.is_whole());
  }
  SECTION("the agent is gone for good") {
    fleet.a.kill();
    REQUIRE(wait_for([&] { return caller.is_closed(); }));
    CHECK(caller.chunks() == "half ");
    CHECK_FALSE(caller.is_whole());
  }
  SECTION("by the caller, after it left") {
    const auto token = caller.header("X-Marigoldstep-Resume");
    caller.socket.abort();
    REQUIRE(wait_for([&] { return fleet.a.detached == 1; }));
    fake_caller again(fleet.daemon->port());
    again.send("GET", "/v1/attempts/" + token + "?offset=5", "", "");
    REQUIRE(wait_for([&] { return again.is_whole(); }));
    CHECK(again.chunks() == "and half");
  }
}

// Guards against a 200 that looks complete for an answer that is not.
TEST_CASE("an incomplete answer that is not streamed becomes an error") {
  fleet_fixture fleet;
  fleet.a.on_start = [&](const wire::StartAttemptT& start) {
    fleet.a.send_head(*start.attempt_id);
    fleet.a.send_data(*start.attempt_id, 0, "short");
    fleet.a.send_end(*start.attempt_id, completed(), 50);
  };
  fleet.start({fleet.server(fleet.a, "pool")});
  fake_caller caller(fleet.daemon->port());
  caller.chat(false);
  REQUIRE(wait_for([&] { return caller.is_whole(); }));
  CHECK(caller.has("HTTP/1.1 502"));
  CHECK(caller.has(R"("verdict":"may_have_run")"));
}

// Guards against a wrong verdict, or a second run, when an agent is lost.
TEST_CASE("a lost agent") {
  fleet_fixture fleet;
  SECTION("before the start was written: another one serves") {
    fleet.a.kill();
    fleet.b.on_start = [&](const wire::StartAttemptT& start) {
      fleet.b.answer_whole(*start.attempt_id, "b");
    };
    fleet.start({fleet.server(fleet.a, "booking"), fleet.server(fleet.b, "booking")});
    for (int i = 0; i < 4; ++i) {
      fake_caller caller(fleet.daemon->port());
      caller.book(fresh_key());
      REQUIRE(wait_for([&] { return caller.is_whole(); }));
      CHECK(caller.body() == "b");
    }
    CHECK(fleet.control.claims.empty());
  }
  SECTION("after the start was written, repeatable: another one serves") {
    const auto on_start = [&](fake_agent& agent, const wire::StartAttemptT& start) {
      if (fleet.a.starts.size() + fleet.b.starts.size() == 1) {
        agent.kill();
      } else {
        agent.answer_whole(*start.attempt_id, "second");
      }
    };
    fleet.a.on_start = [&](const auto& it) { on_start(fleet.a, it); };
    fleet.b.on_start = [&](const auto& it) { on_start(fleet.b, it); };
    fleet.start({fleet.server(fleet.a, "pool"), fleet.server(fleet.b, "pool")});
    fake_caller caller(fleet.daemon->port());
    caller.chat(false);
    REQUIRE(wait_for([&] { return caller.is_whole(); }));
    CHECK(caller.body() == "second");
  }
  SECTION("after the start was written, not repeatable: the claim decides") {
    fleet.a.on_start = [&](const wire::StartAttemptT&) { fleet.a.kill(); };
    fleet.start({fleet.server(fleet.a, "booking")});
    fake_caller caller(fleet.daemon->port());
    auto& reply = fleet.control.claim_reply;
    std::string expected;
    SECTION("cancelled first") {
      reply.outcome = wire::ClaimOutcome::cancelled;
      expected = R"("verdict":"not_run")";
    }
    SECTION("completed") {
      reply.outcome = wire::ClaimOutcome::completed;
      reply.answer = std::make_unique<wire::StoredAnswerT>();
      reply.answer->status = 201;
      reply.answer->body = {'o', 'k'};
      reply.answer->complete = true;
      expected = "HTTP/1.1 201";
    }
    SECTION("completed, but the answer was too large to keep") {
      reply.outcome = wire::ClaimOutcome::completed;
      reply.answer = std::make_unique<wire::StoredAnswerT>();
      expected = R"("verdict":"may_have_run")";
    }
    SECTION("claimed and running") {
      reply.outcome = wire::ClaimOutcome::running;
      expected = R"("verdict":"may_have_run")";
    }
    SECTION("no answer from the control group") {
      fleet.control.answers_claims = false;
      expected = R"("verdict":"may_have_run")";
    }
    const auto key = fresh_key();
    caller.book(key);
    REQUIRE(wait_for([&] { return caller.is_whole(); }));
    CHECK(caller.has(expected));
    REQUIRE_FALSE(fleet.control.claims.empty());
    CHECK(fleet.control.claims.front().kind == wire::ClaimKind::cancel);
    CHECK(fleet.control.claims.front().key == key);
    CHECK(fleet.a.starts.size() == 1);
  }
}

// Guards against work that goes on for nobody.
TEST_CASE("a caller that leaves") {
  fleet_fixture fleet;
  fleet.start({fleet.server(fleet.a, "pool"), fleet.server(fleet.b, "booking")});
  fake_caller caller(fleet.daemon->port());
  SECTION("before the answer: the attempt is cancelled") {
    caller.chat(true);
    REQUIRE(wait_for([&] { return fleet.a.starts.size() == 1; }));
    caller.socket.abort();
    CHECK(wait_for([&] { return fleet.a.cancelled == 1; }));
  }
  SECTION("a call that may not be repeated goes on and its answer is stored") {
    caller.book(fresh_key());
    REQUIRE(wait_for([&] { return fleet.b.starts.size() == 1; }));
    caller.socket.abort();
    CHECK(wait_for([&] { return fleet.b.detached == 1; }));
    CHECK(fleet.b.cancelled == 0);
  }
  CHECK(wait_for([&] { return fleet.daemon->running() == 0; }));
}

// Guards against a router that goes on with an old configuration, or that takes
// the refusal for a fault of the server.
TEST_CASE("a stale configuration is fetched and the request sent again") {
  fleet_fixture fleet;
  fleet.a.on_start = [&](const wire::StartAttemptT& start) {
    if (fleet.a.starts.size() == 1) {
      fleet.a.config_version = 2;
      fleet.control.version = 2;
      fleet.a.send_end(*start.attempt_id, not_run(errc::stale_configuration), 0);
    } else {
      CHECK(fleet.daemon->config_version() == 2);
      fleet.a.answer_whole(*start.attempt_id, "new");
    }
  };
  fleet.start({fleet.server(fleet.a, "pool")});
  fake_caller caller(fleet.daemon->port());
  caller.chat(false);
  REQUIRE(wait_for([&] { return caller.is_whole(); }));
  CHECK(caller.body() == "new");
  CHECK(fleet.a.starts.size() == 2);
}

// Guards against a caller that waits longer than its deadline, and against
// retries after it.
TEST_CASE("the deadline ends a request") {
  fleet_fixture fleet;
  fleet.start({fleet.server(fleet.a, "pool")});
  fake_caller caller(fleet.daemon->port());
  caller.send("POST", "/v1/chat/completions",
              "X-Marigoldstep-Workspace: w\r\nX-Marigoldstep-Deadline-Ms: 100\r\n",
              R"({"model":"m","messages":[]})");
  QElapsedTimer timer;
  timer.start();
  REQUIRE(wait_for([&] { return caller.is_whole(); }));
  CHECK(timer.elapsed() < 1000);
  CHECK(caller.has("HTTP/1.1 504"));
  CHECK(caller.has(R"("code":"deadline_exceeded")"));
  CHECK(caller.has(R"("verdict":"may_have_run")"));
  REQUIRE(fleet.a.starts.size() == 1);
  CHECK(fleet.a.starts[0].deadline_ms <= 100);
  CHECK(wait_for([&] { return fleet.a.cancelled == 1; }));
}

// Guards against a request held until its deadline when nobody can serve it.
TEST_CASE("a request that every server refuses is answered soon") {
  fleet_fixture fleet;
  fleet.a.on_start = [&](const wire::StartAttemptT& start) {
    fleet.a.send_end(*start.attempt_id, not_run(errc::load_limit_reached, duration(1500)),
                     0);
  };
  fleet.start({fleet.server(fleet.a, "pool")});
  fake_caller caller(fleet.daemon->port());
  caller.chat(false);
  REQUIRE(wait_for([&] { return caller.is_whole(); }, 2000));
  CHECK(caller.has("HTTP/1.1 503"));
  CHECK(caller.has(R"("code":"load_limit_reached")"));
  CHECK(caller.has(R"("verdict":"not_run")"));
  CHECK(caller.header("Retry-After") == "2");
}

// Guards against a stop that interrupts a request (R6).
TEST_CASE("a stop waits for what runs") {
  fleet_fixture fleet;
  bool stopped = false;
  fleet.start({fleet.server(fleet.a, "pool")});
  fleet.daemon->on_stopped = [&] { stopped = true; };
  fake_caller caller(fleet.daemon->port());
  const auto port = fleet.daemon->port();
  caller.chat(true);
  REQUIRE(wait_for([&] { return fleet.a.starts.size() == 1; }));
  fleet.daemon->stop();
  CHECK_FALSE(fleet.daemon->is_ready());
  QTcpSocket late;
  late.connectToHost("127.0.0.1", port);
  CHECK(
      wait_for([&] { return late.error() == QAbstractSocket::ConnectionRefusedError; }));
  CHECK_FALSE(stopped);
  fleet.a.answer_whole(*fleet.a.starts[0].attempt_id, "done");
  REQUIRE(wait_for([&] { return caller.is_whole(); }));
  CHECK(wait_for([&] { return stopped; }));
}

// Guards against a caller that reads slowly and so fills the memory of the router.
TEST_CASE("a slow caller holds back the agent") {
  fleet_fixture fleet;
  constexpr std::uint64_t total = 32U << 20U;
  constexpr std::uint64_t window = 256U << 10U;
  constexpr std::uint64_t chunk = 32U << 10U;
  const std::string block(chunk, 'x');
  std::uint64_t sent = 0;
  const auto pump = [&] {
    const auto acked = fleet.a.acks.empty() ? 0 : fleet.a.acks.back().offset;
    const auto& id = *fleet.a.starts[0].attempt_id;
    while (sent < total && sent + chunk <= acked + window) {
      fleet.a.send_data(id, sent, block);
      sent += chunk;
      if (sent == total) {
        fleet.a.send_end(id, completed(), total);
      }
    }
  };
  fleet.a.on_start = [&](const wire::StartAttemptT& start) {
    fleet.a.send_head(*start.attempt_id);
  };
  fleet.start({fleet.server(fleet.a, "pool")});
  fake_caller caller(fleet.daemon->port());
  caller.socket.blockSignals(true);
  caller.socket.setReadBufferSize(1);
  caller.chat(true);
  REQUIRE(wait_for([&] { return fleet.a.starts.size() == 1; }));
  std::size_t acks = 1;
  // Goes on until no acknowledgement has come for a while.
  while (acks != fleet.a.acks.size()) {
    acks = fleet.a.acks.size();
    pump();
    wait_for([&] { return fleet.a.acks.size() != acks; }, 500);
  }
  // The kernel's buffers of both sockets take up to 10 MB on this path.
  CHECK(sent < total / 2);
  caller.socket.blockSignals(false);
  caller.socket.setReadBufferSize(0);
  std::uint64_t received = 0;
  REQUIRE(wait_for(
      [&] {
        pump();
        received += static_cast<std::uint64_t>(caller.socket.readAll().size());
        received += caller.input.size();
        const bool whole = caller.input.ends_with("\r\n0\r\n\r\n");
        caller.input.clear();
        return whole || received > total + total / 16;
      },
      20'000));
  CHECK(received >= total);
  CHECK(sent == total);
}

// Guards against a request that waits for an agent whose VM is gone without
// having closed its connections.
TEST_CASE("a silent agent that the control group lost is left") {
  fleet_fixture fleet;
  fleet.b.on_start = [&](const wire::StartAttemptT& start) {
    fleet.b.answer_whole(*start.attempt_id, "b");
  };
  fleet.start({fleet.server(fleet.a, "pool")});
  fake_caller caller(fleet.daemon->port());
  caller.chat(false);
  REQUIRE(wait_for([&] { return fleet.a.starts.size() == 1; }));
  // The process stays silent on its open connection and accepts no other.
  fleet.a.listener->close();
  auto lost = fleet.server(fleet.a, "pool");
  lost.state = server_state::dead;
  fleet.control.servers = {lost, fleet.server(fleet.b, "pool")};
  ++fleet.control.membership_version;
  REQUIRE(wait_for([&] { return caller.is_whole(); }));
  CHECK(caller.body() == "b");
}
