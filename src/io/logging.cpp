#include "marigoldstep/io/logging.h"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <mutex>
#include <ostream>
#include <poll.h>
#include <unistd.h>

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

// Lines written and dropped in the current second.
struct rate_window {
  std::chrono::steady_clock::time_point began{};
  unsigned written = 0;
  unsigned dropped = 0;
};

// Lines that failed to be written since the last log_lines_dropped event.
std::atomic<unsigned> unwritten_lines = 0;

// Writes lines to a file descriptor without blocking on a slow reader. A C++ stream
// would stay in its error state after the first failure, such as a full disk.
class line_sink
    : public log::sinks::basic_formatted_sink_backend<char,
                                                      log::sinks::synchronized_feeding> {
public:
  explicit line_sink(int fd) : fd_(fd) {}

  void consume(const log::record_view& /*record*/, const std::string& text) {
    const auto line = text + "\n";
    pollfd ready{fd_, POLLOUT, 0};
    const bool has_room = ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
    if (!has_room ||
        ::write(fd_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
      ++unwritten_lines;
    }
  }

private:
  int fd_;
};

constexpr mode_t log_file_mode = 0644;

int open_log(const std::string& path) {
  if (path.empty()) {
    return STDERR_FILENO;
  }
  if (path == log_to_stdout) {
    return STDOUT_FILENO;
  }
  const int fd =
      ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, log_file_mode);
  if (fd < 0) {
    std::perror(path.c_str());
    return STDERR_FILENO;
  }
  return fd;
}

// Applies max_lines_per_second. Warnings and errors may use twice the limit, so
// that other lines cannot crowd out those that explain them.
bool is_within_rate_limit(log_level level) {
  static std::mutex mutex;
  static rate_window window;
  const std::lock_guard lock(mutex);
  const auto now = std::chrono::steady_clock::now();
  if (now - window.began >= std::chrono::seconds(1)) {
    const auto lost_count = window.dropped + unwritten_lines.exchange(0);
    if (lost_count > 0) {
      BOOST_LOG_SEV(default_logger(), log_level::warning)
          << "event=log_lines_dropped count=" << lost_count;
    }
    window = {now, 0, 0};
  }
  const auto limit =
      level < log_level::warning ? max_lines_per_second : 2 * max_lines_per_second;
  if (window.written >= limit) {
    ++window.dropped;
    return false;
  }
  ++window.written;
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
  // UTC, so that lines from VMs in different time zones can be merged in order.
  log::core::get()->add_global_attribute("TimeStamp", log::attributes::utc_clock());
  const auto format = expr::stream << "time="
                                   << expr::format_date_time<boost::posix_time::ptime>(
                                          "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                                   << " level=" << expr::attr<log_level>("Severity")
                                   << " program=" << std::string(program)
                                   << " node=" << format_log_value(node_id) << " "
                                   << expr::smessage;
  const auto sink = boost::make_shared<log::sinks::synchronous_sink<line_sink>>(
      boost::make_shared<line_sink>(open_log(path)));
  sink->set_formatter(format);
  log::core::get()->add_sink(sink);
}

void log_event(log_level level, std::string_view event,
               const std::vector<log_field>& fields) {
  if (level < minimum_level || !is_within_rate_limit(level)) {
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

void log_decision(const decision& entry) {
  std::string passed;
  for (const auto& it : entry.passed_over) {
    passed += (passed.empty() ? "" : ",") + it;
  }
  log_event(log_level::info, "decision",
            {{"request_id", entry.request_id},
             {"kind", entry.kind},
             {"chosen", entry.chosen},
             {"reason", entry.reason},
             {"passed_over", passed}});
}

} // namespace marigoldstep::io
