#include <catch2/catch.hpp>

#include "gateway_fixture.h"

#include <deque>

using namespace marigoldstep;
using namespace marigoldstep::gateway::test;

namespace {

std::string limited_response(const std::string& limit) {
  auto out = response_text("ok");
  return out.insert(out.find("\r\n") + 2, "Server-Limit: " + limit + "\r\n");
}

// Answers any number of requests with the same text.
server_scripts endless_server(const std::string& response) {
  constexpr std::size_t max_requests = 1000;
  return {std::vector<server_script>(max_requests, {write_text(response)})};
}

// Sends 12 requests a second, each over a connection of its own. Returns when each of
// them reached the server, and the responses.
struct load_result {
  std::vector<time_point> arrivals;
  std::vector<std::string> responses;
};

load_result send_load(gateway_fixture& it, milliseconds time) {
  load_result out;
  std::vector<std::unique_ptr<test_caller>> callers;
  const auto until = io::now() + time;
  while (io::now() < until) {
    callers.push_back(std::make_unique<test_caller>(it.address));
    const auto id = "r" + std::to_string(callers.size());
    callers.back()->send(request_text("GET", "/safe/x", id, "Connection: close\r\n"));
    const auto next = io::now() + milliseconds(83);
    while (io::now() < next) {
      run_event_loop(std::chrono::milliseconds(5));
      out.arrivals.resize(it.servers[0]->requests.size(), io::now());
    }
  }
  for (auto& caller : callers) {
    caller->wait_closed();
    out.responses.push_back(caller->received);
  }
  return out;
}

std::size_t count(const std::vector<std::string>& responses, const std::string& status) {
  return static_cast<std::size_t>(
      std::count_if(responses.begin(), responses.end(), [&](const auto& it) {
        return it.starts_with("HTTP/1.1 " + status);
      }));
}

} // namespace

TEST_CASE("a server gets no more requests than the limit that it names allows") {
  gateway_fixture it(endless_server(limited_response("4")));
  const auto result = send_load(it, milliseconds(7000));
  REQUIRE_FALSE(result.arrivals.empty());
  const auto heard_at = result.arrivals.front() + milliseconds(500);
  const auto window = milliseconds(4000);
  std::deque<time_point> recent;
  std::size_t most = 0;
  for (const auto at : result.arrivals) {
    if (at >= heard_at) {
      recent.push_back(at);
    }
    while (!recent.empty() && at - recent.front() >= window) {
      recent.pop_front();
    }
    most = std::max(most, recent.size());
  }
  CHECK(most <= 1.5 * 4 * 4 + 5);
  // What the limit allows is served, and the others are refused at once.
  CHECK(count(result.responses, "200") >= 14);
  CHECK(count(result.responses, "200") + count(result.responses, "503") ==
        result.responses.size());
}
