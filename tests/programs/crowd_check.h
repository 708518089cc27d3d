#pragma once

#include "client_crowd.h"
#include "gateway_fixture.h"
#include "program_process.h"

#include <iostream>

// Plays a crowd against a port of a program, and checks what has to hold meanwhile and
// afterwards. Nothing here depends on how fast the machine is.

struct crowd_target {
  program_process& program;
  marigoldstep::io::endpoint port;
  std::size_t memory_mb = 0;
  std::size_t max_fds = 0;
  // An ordinary request to the same program, and where to send it. Its number is part of
  // its id.
  marigoldstep::io::endpoint ordinary_port;
  std::function<std::string(int n)> ordinary_request;
  std::string ordinary_response; // a part of the response
};

namespace crowd_detail {

// Sends a request on a new connection, which may be refused as well. Returns what came
// until the response was there, or the request was refused, or the connection ended.
inline std::string exchange(const marigoldstep::io::endpoint& target,
                            const std::string& request, const std::string& response) {
  QTcpSocket socket;
  std::string received;
  bool has_ended = false;
  QObject::connect(&socket, &QTcpSocket::errorOccurred, &socket,
                   [&](QAbstractSocket::SocketError) { has_ended = true; });
  QObject::connect(&socket, &QTcpSocket::connected, &socket,
                   [&] { socket.write(QByteArray::fromStdString(request)); });
  socket.connectToHost(QString::fromStdString(target.host), target.port);
  wait_until([&] {
    received += socket.readAll().toStdString();
    const bool is_refused = received.starts_with("HTTP/1.1 503 ") &&
                            received.find("\r\n\r\n") != std::string::npos;
    return has_ended || is_refused || received.find(response) != std::string::npos;
  });
  return received;
}

// A caller that comes back when a refusal tells it to. Returns whether it was answered.
inline bool is_served(const crowd_target& it, int n) {
  constexpr int max_tries = 20;
  constexpr double ms_per_s = 1000;
  constexpr double reconnect_delay_s = 0.3; // after a closed connection
  for (int i = 0; i < max_tries; ++i) {
    const auto received =
        exchange(it.ordinary_port, it.ordinary_request(n + i), it.ordinary_response);
    if (received.find(it.ordinary_response) != std::string::npos) {
      return true;
    }
    const auto delay = retry_after(received).value_or(reconnect_delay_s);
    run_event_loop(std::chrono::milliseconds(static_cast<int>(delay * ms_per_s) + 1));
  }
  return false;
}

inline void check_responses(const std::vector<client_crowd::result>& results) {
  for (const auto& it : results) {
    INFO(it.response);
    CHECK((it.response.empty() || it.response.starts_with("HTTP/1.1 ")));
    if (it.response.starts_with("HTTP/1.1 503 ")) {
      CHECK(retry_after(it.response).value_or(0) > 0);
    }
  }
}

} // namespace crowd_detail

// Returns what each client of the crowd has got.
inline std::vector<client_crowd::result>
check_crowd(const crowd_target& it, const crowd_kind& kind, std::size_t n) {
  constexpr std::size_t bytes_per_mb = 1U << 20U;
  constexpr int first_new = 1000;
  constexpr int first_warm_up = 2000; // also waits until the program can serve
  INFO("crowd: " << kind.name);
  REQUIRE(crowd_detail::is_served(it, first_warm_up));
  marigoldstep::gateway::test::test_caller kept(it.ordinary_port);
  kept.send(it.ordinary_request(1));
  REQUIRE(kept.wait_for(it.ordinary_response));
  kept.received.clear();
  std::vector<client_crowd::result> results;
  process_watch watch(it.program.pid());
  {
    const auto size = kind.clients == 0 ? n : kind.clients;
    client_crowd crowd(it.port, kind, size);
    crowd.settle();
    kept.send(it.ordinary_request(2));
    CHECK(kept.wait_for(it.ordinary_response));
    CHECK(crowd_detail::is_served(it, first_new));
    results = crowd.results();
    crowd_detail::check_responses(results);
  }
  watch.stop();
  CHECK(it.program.is_running());
  CHECK(watch.memory_bytes() <= it.memory_mb * bytes_per_mb);
  CHECK(watch.descriptors() <= it.max_fds);
  std::cout << kind.name << ": " << watch.memory_bytes() / bytes_per_mb << " of "
            << it.memory_mb << " MB, " << watch.descriptors() << " of " << it.max_fds
            << " descriptors\n";
  return results;
}
