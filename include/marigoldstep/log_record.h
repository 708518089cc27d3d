#pragma once

#include "marigoldstep/types.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldstep {

// Wall-clock milliseconds since 1970-01-01T00:00:00Z.
using unix_milliseconds = std::int64_t;

struct log_record_field {
  std::string key;
  std::string value;

  friend bool operator==(const log_record_field&, const log_record_field&) = default;
};

// One parsed log line of a program of the fleet.
struct log_record {
  unix_milliseconds time = 0;
  std::string level;
  std::string program;
  std::string node;
  std::string event;
  std::vector<log_record_field> fields;

  friend bool operator==(const log_record&, const log_record&) = default;
};

// Parses "time=... level=... program=... node=... event=... key=value ...".
// Empty for a line in another format, such as one truncated by a crash.
std::optional<log_record> parse_log_record(std::string_view line);

// Value of a field; empty if missing.
std::string_view field(const log_record& record, std::string_view key);
// Numeric value of a field; 0 if missing or not an integer.
std::int64_t number_field(const log_record& record, std::string_view key);

// Parses all lines of a log. Lines that can't be parsed are added to skipped.
std::vector<log_record> parse_log(std::string_view text, std::size_t& skipped);

// ISO 8601 in UTC, such as "2026-01-31T12:34:56.789Z".
std::string format_time(unix_milliseconds time);

// Formats the records about one request, ordered by time, one per line. Empty if no
// record has the request id.
std::string explain_request(std::span<const log_record> records,
                            std::string_view request_id);

} // namespace marigoldstep
