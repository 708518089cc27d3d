#include <catch2/catch.hpp>

#include "gateway_fixture.h"
#include "marigoldstep/io/http_status.h"

// Guards against a caller that is told "not run" (408, 421, 429, 503) about a request
// that a server may have run (REFUSED), and against a proven refusal that it isn't told.

using namespace marigoldstep;
using namespace marigoldstep::gateway::test;

namespace {

// How a server ends an attempt.
struct attempt_case {
  std::string name;
  server_script script;
  bool is_proven = false; // that it did not run
  unsigned status = 0;    // of a response with a seal
};

std::string error_head(unsigned status, bool has_proof) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nMarigoldstep-Request-Id: {id}\r\nMarigoldstep-Response-Seal: seal\r\n" +
         (has_proof ? "Marigoldstep-Not-Executed: 1\r\n" : "");
}

std::vector<attempt_case> attempt_cases() {
  std::vector<attempt_case> out;
  for (const auto status : {408U, 421U, 429U, 500U, 503U, 504U}) {
    for (const bool has_proof : {false, true}) {
      const auto name =
          std::to_string(status) + (has_proof ? " with proof" : " without proof");
      // A server that isn't the one that was addressed responds 421 and runs nothing.
      const bool is_proven = has_proof || status == io::http_status::misdirected;
      const auto head = error_head(status, has_proof);
      out.push_back({name,
                     {write_text(head + "Content-Length: 4\r\n\r\nbody")},
                     is_proven,
                     status});
      out.push_back({name + ", cut",
                     {write_text(head + "Content-Length: 9\r\n\r\nbody"),
                      pause_script(10), close_in_order()},
                     is_proven});
      out.push_back({name + ", without a length",
                     {write_text(head + "\r\nbody"), pause_script(10), close_in_order()},
                     is_proven,
                     status});
    }
  }
  out.push_back({"closed", {close_in_order()}});
  out.push_back({"reset", {reset_connection()}});
  out.push_back({"cut head", {write_text("HTTP/1.1 503 Serv"), close_in_order()}});
  out.push_back({"no HTTP", {write_text("503\r\n\r\n")}});
  out.push_back({"proof without the request's id",
                 {write_text("HTTP/1.1 503 X\r\nMarigoldstep-Not-Executed: 1\r\n"
                             "Content-Length: 0\r\n\r\n")}});
  out.push_back({"proof for another request",
                 {write_text("HTTP/1.1 503 X\r\nMarigoldstep-Request-Id: other\r\n"
                             "Marigoldstep-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"),
                  pause_script(10), close_in_order()}});
  return out;
}

unsigned status_of(const std::string& response) {
  constexpr std::size_t status_at = 9;
  return response.size() < status_at + 3
             ? 0
             : static_cast<unsigned>(std::stoul(response.substr(status_at, 3)));
}

bool is_repeatable(const std::string& path) {
  return path == "/safe/" || path == "/resume/";
}

// Sends one request. first, if given, is how its first attempt ends, next how all others
// do. Checks the status that the caller gets.
void check_row(const std::string& path, const attempt_case* first,
               const attempt_case& next) {
  CAPTURE(path, first == nullptr ? "no earlier attempt" : first->name, next.name);
  gateway_fixture it(server_scripts(2));
  std::size_t attempts = 0;
  std::size_t unproven = 0; // of the attempts
  const attempt_case* last = nullptr;
  for (auto& server : it.servers) {
    server->make_script = [&](const std::string&) {
      last = attempts++ == 0 && first != nullptr ? first : &next;
      unproven += last->is_proven ? 0 : 1;
      return last->script;
    };
  }
  test_caller caller(it.address);
  caller.send(request_text("POST", path, "r1", "Connection: close\r\n", "body"));
  REQUIRE(caller.wait_closed());
  REQUIRE(attempts > 0);
  const auto status = status_of(caller.received);
  const bool may_have_run = unproven > 0;
  CHECK(io::http_status::promises_not_run(status) == !may_have_run);
  CHECK((is_repeatable(path) || unproven <= 1));
  const bool is_from_server = caller.received.find("Response-Seal") != std::string::npos;
  CHECK((!is_from_server || status == last->status));
  if (may_have_run && !is_from_server) {
    CHECK((status == io::http_status::bad_gateway ||
           status == io::http_status::gateway_timeout));
  }
}

} // namespace

TEST_CASE("\"not run\" is said exactly when every attempt proved it") {
  const std::string path = GENERATE("/safe/", "/once/", "/stream/", "/resume/");
  const auto cases = attempt_cases();
  const auto find = [&](const std::string& name) {
    return &*std::find_if(cases.begin(), cases.end(),
                          [&](const auto& it) { return it.name == name; });
  };
  for (const auto& it : cases) {
    check_row(path, nullptr, it);
    check_row(path, find("503 with proof"), it);
    if (is_repeatable(path)) { // no other attempt follows one that may have run
      check_row(path, find("500 without proof"), it);
      check_row(path, find("503 without proof"), it);
    }
  }
}

// Guards against a failure of a server that is replaced by one of the gateway's own.
TEST_CASE("a server's error that promises nothing reaches the caller unchanged") {
  gateway_fixture it(
      {{{write_text(error_head(500, false) + "Content-Length: 4\r\n\r\nbody")}}});
  test_caller caller(it.address);
  caller.send(request_text("POST", "/once/", "r1", "Connection: close\r\n", "body"));
  REQUIRE(caller.wait_closed());
  CHECK(caller.received.starts_with("HTTP/1.1 500 "));
  CHECK(caller.received.find("Marigoldstep-Response-Seal: seal") != std::string::npos);
  CHECK(caller.received.ends_with("\r\n\r\nbody"));
}

// Guards against a promise about a request that a server has had when its time is over.
TEST_CASE("a request that a server got isn't called \"not run\" at its deadline") {
  gateway_fixture it(unresponsive_server());
  test_caller caller(it.address);
  caller.send(request_text("POST", "/once/", "r1", "Connection: close\r\n", "body"));
  REQUIRE(caller.wait_closed());
  CHECK(it.servers[0]->requests.size() == 1);
  CHECK(caller.received.starts_with("HTTP/1.1 504 "));
}
