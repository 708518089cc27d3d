#pragma once

#include "load/plan.h"
#include "marigoldstep/verdict.h"

#include <map>

namespace marigoldstep::load {

// How one HTTP exchange ended.
struct exchange_result {
  int status = 0;        // 0: no answer began
  bool complete = false; // the answer's end arrived as HTTP marks it
  bool sent = false;     // bytes of the request were handed to a connection
  QByteArray content_type;
  QByteArray resume_token;
  duration retry_after{0};
  QByteArray body;

  friend bool operator==(const exchange_result&, const exchange_result&) = default;
};

// How a request ended for its caller, all sends together.
enum class request_end {
  whole,        // every byte as the request demands
  cut,          // the answer began and its end never came
  wrong,        // other bytes, or a false end
  failed,       // the backend server answered with an error status
  not_run,      // told that it did not run
  may_have_run, // told so, or never answered
};
std::string_view name(request_end value);

enum class body_match { complete, prefix, mismatch };

// Compares a body, received so far, with what the request must yield.
body_match match_body(const planned_request& request, const QByteArray& body);

// The end that one result stands for when nothing more is sent.
request_end classify_result(const planned_request& request,
                            const exchange_result& result);

struct problem_response {
  verdict result = verdict::may_have_run;
  std::string code;

  friend bool operator==(const problem_response&, const problem_response&) = default;
};
// Reads application/problem+json; nothing when the answer is something else.
std::optional<problem_response> parse_problem(const exchange_result& result);

enum class next_action { finish, resume, resend };

// What a caller does after a result: resume a cut answer that has a token, send
// again what got no answer, and obey not_run as the request says.
next_action choose_next_action(const planned_request& request,
                               const exchange_result& result, std::uint32_t sends_left);

// A call whose end must agree with what the services ran.
struct call_record {
  std::string key;
  std::uint64_t body_hash = 0;
  request_end end = request_end::whole;
  bool every_send_not_run = false; // each send was answered with not_run

  friend bool operator==(const call_record&, const call_record&) = default;
};

// Sums of the services' counts.
struct run_counts {
  std::map<std::string, std::uint32_t> by_key;
  std::map<std::uint64_t, std::uint32_t> by_body;
  std::uint32_t unreadable = 0; // services whose counts could not be read
};
// Adds the answer of GET /runs; counts it as unreadable when it is damaged.
void add_run_counts(run_counts& counts, const exchange_result& response);

struct run_findings {
  std::uint32_t duplicate_runs = 0;
  std::uint32_t ran_despite_not_run = 0;
  // Told "not run" on a later send, after an earlier one went unanswered.
  std::uint32_t ran_despite_later_not_run = 0;
  std::uint32_t completed_without_run = 0;
  std::vector<std::string> contradictions; // the first calls found, with what was found

  friend bool operator==(const run_findings&, const run_findings&) = default;
};
run_findings check_runs(const std::vector<call_record>& calls, const run_counts& counts);

} // namespace marigoldstep::load
