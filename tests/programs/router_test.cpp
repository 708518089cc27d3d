#include "router_fixture.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;
using namespace marigoldstep::router::test;

namespace {

std::string make_idempotency_key() {
  static int n = 0;
  return std::to_string(io::wall_clock()) + "-abcdefgh" + std::to_string(++n);
}

} // namespace

// Guards against a response that is forwarded incomplete or without its end marker.
TEST_CASE("a response is forwarded completely") {
  fleet_fixture fleet;
  fleet.agent_a.on_start = [&](const wire::StartAttemptT& start) {
    fleet.agent_a.send_complete_response(*start.attempt_id, "hello");
  };
  fleet.start({fleet.server(fleet.agent_a, "pool")});
  fake_caller caller(fleet.daemon->port());

  SECTION("not streamed") {
    caller.send_chat(false);
    REQUIRE(wait_for([&] { return caller.is_complete(); }));
    CHECK(caller.body() == "hello");
    // The connection serves the next request.
    caller.input.clear();
    caller.send_chat(false);
    REQUIRE(wait_for([&] { return caller.is_complete(); }));
    CHECK(caller.body() == "hello");
  }
  SECTION("streamed") {
    caller.send_chat(true);
    REQUIRE(wait_for([&] { return caller.is_complete(); }));
    CHECK(caller.chunked_body() == "hello");
    CHECK(caller.header("X-Marigoldstep-Resume").starts_with("a."));
  }
  SECTION("a response too large to buffer is sent in chunks") {
    const std::string large(1U << 20U, 'x');
    fleet.agent_a.on_start = [&](const wire::StartAttemptT& start) {
      fleet.agent_a.send_complete_response(*start.attempt_id, large);
    };
    caller.send_chat(false);
    REQUIRE(wait_for([&] { return caller.is_complete(); }));
    CHECK(caller.chunked_body() == large);
  }
}

// Guards against bytes of an ended attempt or of another request that reach a caller.
TEST_CASE("late, repeated and misdirected frames are discarded") {
  fleet_fixture fleet;
  wire::AttemptId refused;
  auto refuse_once = [&](fake_agent& agent, const wire::StartAttemptT& start) {
    if (refused.hi() == 0) {
      refused = *start.attempt_id;
      agent.send_end(refused, not_run(errc::load_limit_reached), 0);
      return;
    }
    const auto& other = &agent == &fleet.agent_a ? fleet.agent_b : fleet.agent_a;
    CHECK(other.starts.size() == 1);
    // The agent that refused sends a response nevertheless.
    auto& late = &agent == &fleet.agent_a ? fleet.agent_b : fleet.agent_a;
    late.send_complete_response(refused, "wrong!");
    agent.send_head(*start.attempt_id);
    agent.send_data(refused, 0, "wrong!");
    agent.send_data(*start.attempt_id, 0, "right");
    agent.send_data(*start.attempt_id, 0, "right");
    agent.send_data(*start.attempt_id, 9, "later");
    agent.send_end(wire::AttemptId(3, 4), completed(), 5);
  };
  fleet.agent_a.on_start = [&](const auto& it) { refuse_once(fleet.agent_a, it); };
  fleet.agent_b.on_start = [&](const auto& it) { refuse_once(fleet.agent_b, it); };
  const auto finish = [&](fake_agent& agent, const wire::ResumeAttemptT& resume) {
    CHECK(resume.offset == 5);
    agent.send_data(*resume.attempt_id, 5, "!");
    agent.send_end(*resume.attempt_id, completed(), 6);
  };
  fleet.agent_a.on_resume = [&](const auto& it) { finish(fleet.agent_a, it); };
  fleet.agent_b.on_resume = [&](const auto& it) { finish(fleet.agent_b, it); };
  fleet.start({fleet.server(fleet.agent_a, "pool"), fleet.server(fleet.agent_b, "pool")});
  fake_caller caller(fleet.daemon->port());
  caller.send_chat(true);
  REQUIRE(wait_for([&] { return caller.is_complete(); }));
  CHECK(caller.chunked_body() == "right!");
}

// Guards against lost or repeated bytes after the connection to an agent is lost.
TEST_CASE("an attempt is resumed at its offset after its connection is lost") {
  fleet_fixture fleet;
  fleet.agent_a.on_start = [&](const wire::StartAttemptT& start) {
    fleet.agent_a.send_head(*start.attempt_id);
    fleet.agent_a.send_data(*start.attempt_id, 0, "half ");
  };
  fleet.agent_a.on_resume = [&](const wire::ResumeAttemptT& resume) {
    CHECK(resume.offset == 5);
    fleet.agent_a.send_head(*resume.attempt_id);
    fleet.agent_a.send_data(*resume.attempt_id, 5, "and half");
    fleet.agent_a.send_end(*resume.attempt_id, completed(), 13);
  };
  fleet.start({fleet.server(fleet.agent_a, "pool")});
  fake_caller caller(fleet.daemon->port());
  caller.send_chat(true);
  REQUIRE(wait_for([&] { return caller.chunked_body() == "half "; }));

  SECTION("by the same router") {
    fleet.agent_a.close_connection();
    REQUIRE(wait_for([&] { return caller.is_complete(); }));
    CHECK(caller.chunked_body() == "half and half");
  }
  SECTION("not from a restarted agent") {
    ++fleet.agent_a.started;
    fleet.agent_a.close_connection();
    REQUIRE(wait_for([&] { return caller.is_closed(); }));
    CHECK(fleet.agent_a.resumes.empty());
    CHECK_FALSE(caller.is_complete());
  }
  SECTION("not from an agent that stays unreachable") {
    fleet.agent_a.stop_serving();
    REQUIRE(wait_for([&] { return caller.is_closed(); }));
    CHECK(caller.chunked_body() == "half ");
    CHECK_FALSE(caller.is_complete());
  }
  SECTION("by the caller after it disconnected") {
    const auto token = caller.header("X-Marigoldstep-Resume");
    caller.socket.abort();
    REQUIRE(wait_for([&] { return fleet.agent_a.detach_count == 1; }));
    fake_caller resuming_caller(fleet.daemon->port());
    resuming_caller.send("GET", "/v1/attempts/" + token + "?offset=5", "", "");
    REQUIRE(wait_for([&] { return resuming_caller.is_complete(); }));
    CHECK(resuming_caller.chunked_body() == "and half");
  }
}

// Guards against an incomplete response that is sent as a complete 200.
TEST_CASE("an incomplete response that is not streamed becomes a 502") {
  fleet_fixture fleet;
  fleet.agent_a.on_start = [&](const wire::StartAttemptT& start) {
    fleet.agent_a.send_head(*start.attempt_id);
    fleet.agent_a.send_data(*start.attempt_id, 0, "short");
    fleet.agent_a.send_end(*start.attempt_id, completed(), 50);
  };
  fleet.start({fleet.server(fleet.agent_a, "pool")});
  fake_caller caller(fleet.daemon->port());
  caller.send_chat(false);
  REQUIRE(wait_for([&] { return caller.is_complete(); }));
  CHECK(caller.contains("HTTP/1.1 502"));
  CHECK(caller.contains(R"("verdict":"may_have_run")"));
  // Retries of a run that always fails stop before the deadline.
  CHECK(fleet.agent_a.starts.size() == 3);
}

// Guards against a wrong verdict or a second run after an agent is lost.
TEST_CASE("after the loss of an agent only calls that may run again are retried") {
  fleet_fixture fleet;
  SECTION("lost before the start was written: another agent serves") {
    fleet.agent_a.stop_serving();
    fleet.agent_b.on_start = [&](const wire::StartAttemptT& start) {
      fleet.agent_b.send_complete_response(*start.attempt_id, "b");
    };
    fleet.start(
        {fleet.server(fleet.agent_a, "booking"), fleet.server(fleet.agent_b, "booking")});
    for (int i = 0; i < 4; ++i) {
      fake_caller caller(fleet.daemon->port());
      caller.send_booking(make_idempotency_key());
      REQUIRE(wait_for([&] { return caller.is_complete(); }));
      CHECK(caller.body() == "b");
    }
    CHECK(fleet.control.claims.empty());
  }
  SECTION("lost after the start was written, repeatable: another agent serves") {
    const auto on_start = [&](fake_agent& agent, const wire::StartAttemptT& start) {
      if (fleet.agent_a.starts.size() + fleet.agent_b.starts.size() == 1) {
        agent.stop_serving();
      } else {
        agent.send_complete_response(*start.attempt_id, "second");
      }
    };
    fleet.agent_a.on_start = [&](const auto& it) { on_start(fleet.agent_a, it); };
    fleet.agent_b.on_start = [&](const auto& it) { on_start(fleet.agent_b, it); };
    fleet.start(
        {fleet.server(fleet.agent_a, "pool"), fleet.server(fleet.agent_b, "pool")});
    fake_caller caller(fleet.daemon->port());
    caller.send_chat(false);
    REQUIRE(wait_for([&] { return caller.is_complete(); }));
    CHECK(caller.body() == "second");
  }
  SECTION("lost after the start was written, non-repeatable: the claim decides") {
    fleet.agent_a.on_start = [&](const wire::StartAttemptT&) {
      fleet.agent_a.stop_serving();
    };
    fleet.start({fleet.server(fleet.agent_a, "booking")});
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
    SECTION("completed, but the response was too large to store") {
      reply.outcome = wire::ClaimOutcome::completed;
      reply.answer = std::make_unique<wire::StoredAnswerT>();
      expected = R"("verdict":"may_have_run")";
    }
    SECTION("claimed and running") {
      reply.outcome = wire::ClaimOutcome::running;
      expected = R"("verdict":"may_have_run")";
    }
    SECTION("no reply from the control group") {
      fleet.control.replies_to_claims = false;
      expected = R"("verdict":"may_have_run")";
    }
    const auto key = make_idempotency_key();
    caller.send_booking(key);
    REQUIRE(wait_for([&] { return caller.is_complete(); }));
    CHECK(caller.contains(expected));
    REQUIRE_FALSE(fleet.control.claims.empty());
    CHECK(fleet.control.claims.front().kind == wire::ClaimKind::cancel);
    CHECK(fleet.control.claims.front().key == key);
    CHECK(fleet.agent_a.starts.size() == 1);
  }
}

// Guards against work that continues without a caller, and against a lost result of a
// call that cannot run again.
TEST_CASE("a disconnected caller's attempt is cancelled, or detached if non-repeatable") {
  fleet_fixture fleet;
  fleet.start(
      {fleet.server(fleet.agent_a, "pool"), fleet.server(fleet.agent_b, "booking")});
  fake_caller caller(fleet.daemon->port());
  SECTION("before the response: the attempt is cancelled") {
    caller.send_chat(true);
    REQUIRE(wait_for([&] { return fleet.agent_a.starts.size() == 1; }));
    caller.socket.abort();
    CHECK(wait_for([&] { return fleet.agent_a.cancel_count == 1; }));
  }
  SECTION("a non-repeatable call: the attempt is detached") {
    caller.send_booking(make_idempotency_key());
    REQUIRE(wait_for([&] { return fleet.agent_b.starts.size() == 1; }));
    caller.socket.abort();
    CHECK(wait_for([&] { return fleet.agent_b.detach_count == 1; }));
    CHECK(fleet.agent_b.cancel_count == 0);
  }
  CHECK(wait_for([&] { return fleet.daemon->running() == 0; }));
}

// Guards against a router that continues with an old configuration, or that counts the
// refusal as a failure of the server.
TEST_CASE("after a stale_configuration refusal the router updates and retries") {
  fleet_fixture fleet;
  fleet.agent_a.on_start = [&](const wire::StartAttemptT& start) {
    if (fleet.agent_a.starts.size() == 1) {
      fleet.agent_a.config_version = 2;
      fleet.control.version = 2;
      fleet.agent_a.send_end(*start.attempt_id, not_run(errc::stale_configuration), 0);
    } else {
      CHECK(fleet.daemon->config_version() == 2);
      fleet.agent_a.send_complete_response(*start.attempt_id, "new");
    }
  };
  fleet.start({fleet.server(fleet.agent_a, "pool")});
  fake_caller caller(fleet.daemon->port());
  caller.send_chat(false);
  REQUIRE(wait_for([&] { return caller.is_complete(); }));
  CHECK(caller.body() == "new");
  CHECK(fleet.agent_a.starts.size() == 2);
}

// Guards against a caller that waits beyond its deadline, and against retries after it.
TEST_CASE("a request ends at its deadline and its attempt is cancelled") {
  fleet_fixture fleet;
  fleet.start({fleet.server(fleet.agent_a, "pool")});
  fake_caller caller(fleet.daemon->port());
  caller.send("POST", "/v1/chat/completions",
              "X-Marigoldstep-Workspace: w\r\nX-Marigoldstep-Deadline-Ms: 100\r\n",
              R"({"model":"m","messages":[]})");
  QElapsedTimer timer;
  timer.start();
  REQUIRE(wait_for([&] { return caller.is_complete(); }));
  CHECK(timer.elapsed() < 1000);
  CHECK(caller.contains("HTTP/1.1 504"));
  CHECK(caller.contains(R"("code":"deadline_exceeded")"));
  CHECK(caller.contains(R"("verdict":"may_have_run")"));
  REQUIRE(fleet.agent_a.starts.size() == 1);
  CHECK(fleet.agent_a.starts[0].deadline_ms <= 100);
  CHECK(wait_for([&] { return fleet.agent_a.cancel_count == 1; }));
}

// Guards against a request that waits until its deadline although no server accepts it.
TEST_CASE("a request that every server refuses gets a 503 without waiting") {
  fleet_fixture fleet;
  fleet.agent_a.on_start = [&](const wire::StartAttemptT& start) {
    fleet.agent_a.send_end(*start.attempt_id,
                           not_run(errc::load_limit_reached, milliseconds(1500)), 0);
  };
  fleet.start({fleet.server(fleet.agent_a, "pool")});
  fake_caller caller(fleet.daemon->port());
  caller.send_chat(false);
  REQUIRE(wait_for([&] { return caller.is_complete(); }, 2000));
  CHECK(caller.contains("HTTP/1.1 503"));
  CHECK(caller.contains(R"("code":"load_limit_reached")"));
  CHECK(caller.contains(R"("verdict":"not_run")"));
  CHECK(caller.header("Retry-After") == "2");
}

// Guards against a stop that aborts a running request.
TEST_CASE("a stop refuses new connections and waits for running requests") {
  fleet_fixture fleet;
  bool stopped = false;
  fleet.start({fleet.server(fleet.agent_a, "pool")});
  fleet.daemon->on_stopped = [&] { stopped = true; };
  fake_caller caller(fleet.daemon->port());
  const auto port = fleet.daemon->port();
  caller.send_chat(true);
  REQUIRE(wait_for([&] { return fleet.agent_a.starts.size() == 1; }));
  fleet.daemon->stop();
  CHECK_FALSE(fleet.daemon->is_ready());
  QTcpSocket late;
  late.connectToHost("127.0.0.1", port);
  CHECK(
      wait_for([&] { return late.error() == QAbstractSocket::ConnectionRefusedError; }));
  CHECK_FALSE(stopped);
  fleet.agent_a.send_complete_response(*fleet.agent_a.starts[0].attempt_id, "done");
  REQUIRE(wait_for([&] { return caller.is_complete(); }));
  CHECK(wait_for([&] { return stopped; }));
}

// Guards against a slow caller that causes unbounded buffering in the router.
TEST_CASE("backpressure from a slow caller limits what the agent may send") {
  fleet_fixture fleet;
  constexpr std::uint64_t total_bytes = 32U << 20U;
  constexpr std::uint64_t window_bytes = 256U << 10U;
  constexpr std::uint64_t chunk_bytes = 32U << 10U;
  const std::string block(chunk_bytes, 'x');
  std::uint64_t sent = 0;
  const auto send_window_data = [&] {
    const auto acked = fleet.agent_a.acks.empty() ? 0 : fleet.agent_a.acks.back().offset;
    const auto& id = *fleet.agent_a.starts[0].attempt_id;
    while (sent < total_bytes && sent + chunk_bytes <= acked + window_bytes) {
      fleet.agent_a.send_data(id, sent, block);
      sent += chunk_bytes;
      if (sent == total_bytes) {
        fleet.agent_a.send_end(id, completed(), total_bytes);
      }
    }
  };
  fleet.agent_a.on_start = [&](const wire::StartAttemptT& start) {
    fleet.agent_a.send_head(*start.attempt_id);
  };
  fleet.start({fleet.server(fleet.agent_a, "pool")});
  fake_caller caller(fleet.daemon->port());
  caller.socket.blockSignals(true);
  caller.socket.setReadBufferSize(1);
  caller.send_chat(true);
  REQUIRE(wait_for([&] { return fleet.agent_a.starts.size() == 1; }));
  std::size_t acks = 1;
  // Sends until no acknowledgement arrives for 500 ms.
  while (acks != fleet.agent_a.acks.size()) {
    acks = fleet.agent_a.acks.size();
    send_window_data();
    wait_for([&] { return fleet.agent_a.acks.size() != acks; }, 500);
  }
  // The kernel buffers of both sockets hold up to 10 MB on this path.
  CHECK(sent < total_bytes / 2);
  caller.socket.blockSignals(false);
  caller.socket.setReadBufferSize(0);
  std::uint64_t received = 0;
  REQUIRE(wait_for(
      [&] {
        send_window_data();
        received += static_cast<std::uint64_t>(caller.socket.readAll().size());
        received += caller.input.size();
        const bool is_complete = caller.input.ends_with("\r\n0\r\n\r\n");
        caller.input.clear();
        return is_complete || received > total_bytes + total_bytes / 16;
      },
      20'000));
  CHECK(received >= total_bytes);
  CHECK(sent == total_bytes);
}

// Guards against a request that waits for an agent whose VM was lost without closing its
// connections.
TEST_CASE("a request on a silent agent is retried once control reports the agent dead") {
  fleet_fixture fleet;
  fleet.agent_b.on_start = [&](const wire::StartAttemptT& start) {
    fleet.agent_b.send_complete_response(*start.attempt_id, "b");
  };
  fleet.start({fleet.server(fleet.agent_a, "pool")});
  fake_caller caller(fleet.daemon->port());
  caller.send_chat(false);
  REQUIRE(wait_for([&] { return fleet.agent_a.starts.size() == 1; }));
  // The agent keeps its connection open without sending and accepts no other connection.
  fleet.agent_a.listener->close();
  auto lost = fleet.server(fleet.agent_a, "pool");
  lost.state = server_state::dead;
  fleet.control.servers = {lost, fleet.server(fleet.agent_b, "pool")};
  ++fleet.control.membership_version;
  REQUIRE(wait_for([&] { return caller.is_complete(); }));
  CHECK(caller.body() == "b");
}
