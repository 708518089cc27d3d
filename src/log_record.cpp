#include "marigoldstep/log_record.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>

namespace marigoldstep {

namespace {

// Parses one key=value from the front of rest and unquotes the value. Returns false
// at the end of the line, or for a malformed pair, which then stays in rest.
bool take_pair(std::string_view& rest, log_record_field& out) {
  const auto start = rest.find_first_not_of(' ');
  if (start == std::string_view::npos) {
    return false;
  }
  rest.remove_prefix(start);
  const auto equals = rest.find('=');
  if (equals == std::string_view::npos || equals == 0) {
    return false;
  }
  out.key = std::string(rest.substr(0, equals));
  out.value.clear();
  rest.remove_prefix(equals + 1);
  if (!rest.starts_with('"')) {
    const auto n = std::min(rest.find(' '), rest.size());
    out.value = std::string(rest.substr(0, n));
    rest.remove_prefix(n);
    return true;
  }
  const auto value = rest;
  rest.remove_prefix(1);
  while (!rest.empty() && rest.front() != '"') {
    if (rest.front() == '\\' && rest.size() > 1) {
      rest.remove_prefix(1);
      out.value += rest.front() == 'n' ? '\n' : rest.front();
    } else {
      out.value += rest.front();
    }
    rest.remove_prefix(1);
  }
  if (rest.empty()) {
    rest = value; // no closing quote: the line was truncated
    return false;
  }
  rest.remove_prefix(1);
  return true;
}

std::optional<int> parse_digits(std::string_view text, std::size_t at,
                                std::size_t digits) {
  if (text.size() < at + digits) {
    return std::nullopt;
  }
  int value = 0;
  const auto* first = text.data() + at;
  auto [rest, ec] = std::from_chars(first, first + digits, value);
  return ec == std::errc{} && rest == first + digits ? std::optional(value)
                                                     : std::nullopt;
}

// Parses "YYYY-MM-DDThh:mm:ss.mmm". Ignores further digits and the time zone, which
// is always UTC.
std::optional<unix_milliseconds> parse_time(std::string_view text) {
  using namespace std::chrono;
  const auto y = parse_digits(text, 0, 4);
  const auto mon = parse_digits(text, 5, 2);
  const auto d = parse_digits(text, 8, 2);
  const auto h = parse_digits(text, 11, 2);
  const auto min = parse_digits(text, 14, 2);
  const auto s = parse_digits(text, 17, 2);
  const auto ms = parse_digits(text, 20, 3);
  if (!y || !mon || !d || !h || !min || !s) {
    return std::nullopt;
  }
  const year_month_day date{year{*y}, month{unsigned(*mon)}, day{unsigned(*d)}};
  if (!date.ok()) {
    return std::nullopt;
  }
  const auto time = sys_days(date) + hours(*h) + minutes(*min) + seconds(*s) +
                    milliseconds(ms.value_or(0));
  return time.time_since_epoch() / milliseconds(1);
}

// Sets the member of record that the key names, in whatever order the pairs come.
// Returns false for any other key.
bool set_fixed_member(log_record& record, const log_record_field& pair) {
  if (pair.key == "level") {
    record.level = pair.value;
  } else if (pair.key == "program") {
    record.program = pair.value;
  } else if (pair.key == "node") {
    record.node = pair.value;
  } else if (pair.key == "event") {
    record.event = pair.value;
  } else {
    return false;
  }
  return true;
}

std::string format_record(const log_record& record) {
  std::string out = format_time(record.time) + " " + record.program + " " + record.node +
                    ": " + record.event;
  for (const auto& it : record.fields) {
    if (it.key != "request_id" && !it.value.empty()) {
      out += " " + it.key + "=" + it.value;
    }
  }
  return out;
}

} // namespace

std::optional<log_record> parse_log_record(std::string_view line) {
  log_record out;
  log_record_field pair;
  std::string_view rest = line;
  if (!take_pair(rest, pair) || pair.key != "time") {
    return std::nullopt;
  }
  const auto time = parse_time(pair.value);
  if (!time) {
    return std::nullopt;
  }
  out.time = *time;
  while (take_pair(rest, pair)) {
    if (out.event.empty() && set_fixed_member(out, pair)) {
      continue;
    }
    out.fields.push_back(pair);
  }
  const bool fully_parsed = rest.find_first_not_of(" \r") == std::string_view::npos;
  return fully_parsed && !out.event.empty() ? std::optional(std::move(out))
                                            : std::nullopt;
}

std::string_view field(const log_record& record, std::string_view key) {
  auto it = std::find_if(record.fields.begin(), record.fields.end(),
                         [key](const log_record_field& pair) { return pair.key == key; });
  return it == record.fields.end() ? std::string_view() : std::string_view(it->value);
}

std::int64_t number_field(const log_record& record, std::string_view key) {
  const auto text = field(record, key);
  std::int64_t value = 0;
  auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  return ec == std::errc{} && rest == text.data() + text.size() ? value : 0;
}

std::vector<log_record> parse_log(std::string_view text, std::size_t& skipped) {
  std::vector<log_record> out;
  while (!text.empty()) {
    const auto n = std::min(text.find('\n'), text.size());
    const auto line = text.substr(0, n);
    text.remove_prefix(std::min(n + 1, text.size()));
    if (line.empty()) {
      continue;
    }
    if (auto record = parse_log_record(line)) {
      out.push_back(std::move(*record));
    } else {
      ++skipped;
    }
  }
  return out;
}

std::string format_time(unix_milliseconds time) {
  using namespace std::chrono;
  const sys_time<milliseconds> at{milliseconds(time)};
  const auto midnight = floor<days>(at);
  const year_month_day date(midnight);
  const hh_mm_ss clock(at - midnight);
  std::array<char, 40> buf{};
  std::snprintf(buf.data(), buf.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
                int(date.year()), unsigned(date.month()), unsigned(date.day()),
                int(clock.hours().count()), int(clock.minutes().count()),
                int(clock.seconds().count()), int(clock.subseconds().count()));
  return buf.data();
}

std::string explain_request(std::span<const log_record> records,
                            std::string_view request_id) {
  std::vector<const log_record*> found;
  for (const auto& it : records) {
    if (field(it, "request_id") == request_id) {
      found.push_back(&it);
    }
  }
  std::stable_sort(found.begin(), found.end(),
                   [](const auto* a, const auto* b) { return a->time < b->time; });
  std::string out;
  for (const auto* it : found) {
    out += format_record(*it) + "\n";
  }
  return out;
}

} // namespace marigoldstep
