#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldstep::io {

enum class log_level { debug, info, warning, error };

std::ostream& operator<<(std::ostream& out, log_level level);

// Path that stands for standard output.
inline constexpr const char* log_to_stdout = "-";

// Sets up Boost.Log: one line per record, on standard error when path is empty, on
// standard output for log_to_stdout, otherwise appended to the file at path. Records
// below level are ignored. Lines over max_lines_per_second, lines that a full disk
// rejects and lines that would block on a pipe are dropped; a log_lines_dropped event
// reports their number.
void start_logging(std::string_view program, std::string_view node_id, log_level level,
                   const std::string& path = {});

// Limits the volume under load; a busy gateway writes about 100 lines a second.
inline constexpr unsigned max_lines_per_second = 400;

log_level parse_log_level(std::string_view text);

// One key and value of a structured log line.
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
void log_decision(const decision& entry);

// Quotes and escapes a value as log_event does.
std::string format_log_value(std::string_view value);

} // namespace marigoldstep::io
