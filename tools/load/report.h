#pragma once

#include "load/request_driver.h"

#include <array>

namespace marigoldstep::load {

// Latencies of complete responses, in milliseconds.
struct latency_samples {
  std::vector<double> total;
  std::vector<double> first_byte;
};

inline constexpr std::size_t end_count = 6;

struct request_totals {
  std::uint64_t requests = 0;
  std::array<std::uint64_t, end_count> ends{}; // by request_end
  std::uint64_t sends = 0;
  std::uint64_t resumes = 0;
};

// Counts, latencies and failures of one run.
struct load_report {
  request_totals chats;
  request_totals calls;
  request_totals lookups;
  std::uint64_t chats_finished = 0; // chats whose last turn has ended
  // Requests that were never sent, because the run or their chat ended first.
  std::uint64_t not_started = 0;
  std::uint64_t unfinished = 0; // requests still in progress when the run stopped
  std::uint64_t returning_prompt_tokens = 0;
  std::uint64_t returning_cached_tokens = 0;
  std::uint64_t rechecked = 0;
  // Completed calls whose resend got no complete response.
  std::uint64_t lost_responses = 0;
  latency_samples fleet_chats;
  latency_samples direct_chats;
  latency_samples fleet_calls;
  std::vector<call_record> call_records;
  std::map<std::string, std::uint64_t> problem_codes;
  std::vector<std::string> failures; // descriptions of the first failed requests
  run_counts runs;
  run_findings findings;
  double seconds = 0;
};

// One-line description of a request for the list of failures.
std::string describe(const request_record& record);

void add_record(load_report& report, const request_record& record);

// Whether the run found no wrong response, no duplicate or missing run, no call that ran
// although every send ended with "not run", no lost response and no unreadable counts.
bool has_passed(const load_report& report);

// Percentile by the nearest-rank method, p from 0 to 1; 0 without samples.
double percentile(std::vector<double> samples, double p);

std::string format_table(const load_report& report);
std::string format_json(const load_report& report);

} // namespace marigoldstep::load
