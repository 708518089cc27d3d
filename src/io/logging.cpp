#include "marigoldstep/io/logging.h"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <iostream>
#include <mutex>
#include <ostream>

namespace marigoldstep::io {

namespace detail {
std::string_view name(log_level level) {
  switch (level) {
  case log_level::debug:
    return "debug";
  case log_level::info:
    return "info";
  case log_level::warning:
    return "warning";
  case log_level::error:
    return "error";
  }
  return "error";
}
} // namespace detail

// Found by argument-dependent lookup when Boost.Log formats the level.
std::ostream& operator<<(std::ostream& out, log_level level) {
  return out << detail::name(level);
}

namespace {

namespace log = boost::log;
namespace expr = boost::log::expressions;

using logger = log::sources::severity_logger<log_level>;

logger& default_logger() {
  static logger instance;
  return instance;
}

log_level minimum_level = log_level::info;

// Lines written in the current second, and those left out.
struct line_count {
  std::chrono::steady_clock::time_point began{};
  unsigned written = 0;
  unsigned dropped = 0;
};

// Warnings and errors have a reserve of the same size: they explain the rest.
bool may_write(log_level level) {
  static std::mutex mutex;
  static line_count count;
  const std::lock_guard lock(mutex);
  const auto now = std::chrono::steady_clock::now();
  if (now - count.began >= std::chrono::seconds(1)) {
    if (count.dropped > 0) {
      BOOST_LOG_SEV(default_logger(), log_level::warning)
          << "event=log_lines_dropped count=" << count.dropped;
    }
    count = {now, 0, 0};
  }
  const auto limit =
      level < log_level::warning ? max_lines_per_second : 2 * max_lines_per_second;
  if (count.written >= limit) {
    ++count.dropped;
    return false;
  }
  ++count.written;
  return true;
}

bool needs_quotes(std::string_view value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
           return c <= ' ' || c == '"' || c == '\\' || c == 0x7f;
         });
}

} // namespace

std::string format_log_value(std::string_view value) {
  if (!needs_quotes(value)) {
    return std::string(value);
  }
  std::string out = "\"";
  for (const unsigned char c : value) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += static_cast<char>(c);
    } else if (c == '\n') {
      out += "\\n";
    } else if (c < ' ' || c == 0x7f) {
      out += '?';
    } else {
      out += static_cast<char>(c);
    }
  }
  return out + "\"";
}

log_level parse_log_level(std::string_view text) {
  for (auto level : {log_level::debug, log_level::info, log_level::warning}) {
    if (text == detail::name(level)) {
      return level;
    }
  }
  return log_level::error;
}

void start_logging(std::string_view program, std::string_view node_id, log_level level,
                   const std::string& path) {
  minimum_level = level;
  // UTC, so that the lines of VMs in different places can be put in order.
  log::core::get()->add_global_attribute("TimeStamp", log::attributes::utc_clock());
  const auto format = expr::stream << "time="
                                   << expr::format_date_time<boost::posix_time::ptime>(
                                          "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                                   << " level=" << expr::attr<log_level>("Severity")
                                   << " program=" << std::string(program)
                                   << " node=" << format_log_value(node_id) << " "
                                   << expr::smessage;
  if (path.empty() || path == log_to_stdout) {
    log::add_console_log(path.empty() ? std::clog : std::cout,
                         log::keywords::format = format,
                         log::keywords::auto_flush = true);
    return;
  }
  log::add_file_log(log::keywords::file_name = path,
                    log::keywords::open_mode = std::ios_base::app,
                    log::keywords::format = format, log::keywords::auto_flush = true);
}

void log_event(log_level level, std::string_view event,
               const std::vector<log_field>& fields) {
  if (level < minimum_level || !may_write(level)) {
    return;
  }
  std::string line = "event=" + format_log_value(event);
  for (const auto& it : fields) {
    line += ' ';
    line += it.key;
    line += '=';
    line += format_log_value(it.value);
  }
  BOOST_LOG_SEV(default_logger(), level) << line;
}

void log_decision(const decision& made) {
  std::string passed;
  for (const auto& it : made.passed_over) {
    passed += (passed.empty() ? "" : ",") + it;
  }
  log_event(log_level::info, "decision",
            {{"request_id", made.request_id},
             {"kind", made.kind},
             {"chosen", made.chosen},
             {"reason", made.reason},
             {"passed_over", passed}});
}

} // namespace marigoldstep::io
