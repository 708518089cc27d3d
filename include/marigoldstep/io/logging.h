#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldstep::io {

enum class log_level { debug, info, warning, error };

std::ostream& operator<<(std::ostream& out, log_level level);

// As a path: standard output.
inline constexpr const char* log_to_stdout = "-";

// Sets up Boost.Log: one line a record on standard error, on standard output, or
// appended to path when it is not empty. Lines below level are dropped, and so is
// what exceeds max_lines_per_second, what a full disk refuses, and what a reader of
// a pipe doesn't take at once; a line says how many were.
void start_logging(std::string_view program, std::string_view node_id, log_level level,
                   const std::string& path = {});

// Bounds the volume under load: a busy gateway writes about 100 lines a second.
inline constexpr unsigned max_lines_per_second = 400;

log_level parse_log_level(std::string_view text);

// One key and its value in a structured line.
struct log_field {
  std::string_view key;
  std::string value;
};

// Writes "time=... level=... program=... node=... event=EVENT key=value ...".
// Values with spaces, quotes or control characters are quoted and escaped.
void log_event(log_level level, std::string_view event,
               const std::vector<log_field>& fields);

// One routing or placement decision. passed_over lists candidates that were not
// chosen, each as "server:reason".
struct decision {
  std::string request_id;
  std::string kind; // "route", "retry", "admit", "refuse", "queue", ...
  std::string chosen;
  std::string reason;
  std::vector<std::string> passed_over;
};
void log_decision(const decision& made);

// The quoted form of a value as log_event writes it.
std::string format_log_value(std::string_view value);

} // namespace marigoldstep::io
