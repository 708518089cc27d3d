#pragma once

#include "load/request_driver.h"

#include <array>

namespace marigoldstep::load {

// Latencies of whole answers, in milliseconds.
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

// Everything a run found.
struct load_report {
  request_totals chats;
  request_totals calls;
  request_totals lookups;
  std::uint64_t chats_finished = 0; // every turn was sent
  std::uint64_t not_started = 0;    // requests left out by the time limit
  std::uint64_t unfinished = 0;     // still without an end when the run stopped
  std::uint64_t returning_prompt_tokens = 0;
  std::uint64_t returning_cached_tokens = 0;
  std::uint64_t rechecked = 0;
  std::uint64_t lost_responses = 0; // completed calls whose resend got no whole answer
  latency_samples fleet_chats;
  latency_samples direct_chats;
  latency_samples fleet_calls;
  std::vector<call_record> call_records;
  std::map<std::string, std::uint64_t> problem_codes;
  std::vector<std::string> failures; // what was wrong, the first few
  run_counts runs;
  run_findings findings;
  double seconds = 0;
};

// One line about a request for the list of faults.
std::string describe(const request_record& record);

void add_record(load_report& report, const request_record& record);

// Nothing wrong, doubled, lost or falsely "not run", and all counts readable.
bool has_passed(const load_report& report);

// Value below which the share p of the samples lies; 0 without samples.
double percentile(std::vector<double> samples, double p);

std::string format_table(const load_report& report);
std::string format_json(const load_report& report);

} // namespace marigoldstep::load
