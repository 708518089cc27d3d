#pragma once

#include "load/plan.h"
#include "marigoldstep/verdict.h"

#include <map>

namespace marigoldstep::load {

// Result of one HTTP exchange.
struct exchange_result {
  int status = 0;        // 0: no response head was received
  bool complete = false; // the response ended as its HTTP framing requires
  bool sent = false;     // the request was written to a connection
  QByteArray content_type;
  QByteArray resume_token;
  milliseconds retry_after{0};
  QByteArray body;

  friend bool operator==(const exchange_result&, const exchange_result&) = default;
};

// How a request ended for its caller, over all its sends.
enum class request_end {
  whole,        // the response is complete and every byte is as expected
  cut,          // the response began but its end was not received
  wrong,        // unexpected bytes, or an end before the last expected byte
  failed,       // complete response with an error status
  not_run,      // reported as not run, or never sent
  may_have_run, // reported as such, or no response was received
};
std::string_view name(request_end value);

enum class body_match { complete, prefix, mismatch };

// Compares the body received so far with the expected response to the request.
body_match match_body(const planned_request& request, const QByteArray& body);

// The end of a request whose last exchange had this result.
request_end classify_result(const planned_request& request,
                            const exchange_result& result);

struct problem_response {
  verdict result = verdict::may_have_run;
  std::string code;

  friend bool operator==(const problem_response&, const problem_response&) = default;
};
// Parses application/problem+json. Returns nullopt for any other response.
std::optional<problem_response> parse_problem(const exchange_result& result);

enum class next_action { finish, resume, resend };

// What a caller does after a result: resumes a cut response that has a resume token,
// resends a request without a response, and resends after not_run only if the request
// allows it.
next_action choose_next_action(const planned_request& request,
                               const exchange_result& result, std::uint32_t sends_left);

// A call whose end is compared with the executions that the services counted.
struct call_record {
  std::string key;
  std::uint64_t body_hash = 0;
  request_end end = request_end::whole;
  bool every_send_not_run = false; // every send ended with not_run

  friend bool operator==(const call_record&, const call_record&) = default;
};

// Executions counted by the services, summed over all of them.
struct run_counts {
  std::map<std::string, std::uint32_t> by_key;
  std::map<std::uint64_t, std::uint32_t> by_body;
  std::uint32_t unreadable = 0; // services whose counts could not be read or parsed
};
// Adds the response to GET /runs; counts an incomplete or malformed one as unreadable.
void add_run_counts(run_counts& counts, const exchange_result& response);

struct run_findings {
  std::uint32_t duplicate_runs = 0;
  std::uint32_t ran_despite_not_run = 0;
  // "not run" was reported for a later send, after an earlier send without a response.
  std::uint32_t ran_despite_later_not_run = 0;
  std::uint32_t completed_without_run = 0;
  std::vector<std::string> contradictions; // the first contradicting calls, with a reason

  friend bool operator==(const run_findings&, const run_findings&) = default;
};
run_findings check_runs(const std::vector<call_record>& calls, const run_counts& counts);

} // namespace marigoldstep::load
