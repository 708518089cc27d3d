#include "marigoldstep/io/program.h"

#include "marigoldstep/io/logging.h"
#include "marigoldstep/io/request_memory.h"
#include "marigoldstep/io/tls.h"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <QTimer>

#include <popt.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace marigoldstep::io {

namespace {

// Write ends of the socket pairs through which signal handlers notify the event loop.
int stop_write_fd = -1;
int reload_write_fd = -1;

void notify(int fd) {
  const int saved = errno;
  const char byte = 1;
  [[maybe_unused]] const auto n = ::write(fd, &byte, 1);
  errno = saved;
}

void handle_stop_signal(int /*signal*/) {
  notify(stop_write_fd);
}

void handle_reload_signal(int /*signal*/) {
  notify(reload_write_fd);
}

// Creates a socket pair whose read end calls handler from the event loop. Returns the
// write end, or -1 on failure.
int notify_in_event_loop(std::function<void()> handler) {
  std::array<int, 2> fds{};
  constexpr int type = SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK;
  if (::socketpair(AF_UNIX, type, 0, fds.data()) != 0) {
    return -1;
  }
  auto* notifier =
      new QSocketNotifier(fds[1], QSocketNotifier::Read, QCoreApplication::instance());
  QObject::connect(notifier, &QSocketNotifier::activated, notifier,
                   [fd = fds[1], handler = std::move(handler)] {
                     std::array<char, 64> buf{};
                     [[maybe_unused]] const auto n = ::read(fd, buf.data(), buf.size());
                     handler();
                   });
  return fds[0];
}

void install_signal_handler(int signal, void (*handler)(int)) {
  struct sigaction action {};
  action.sa_handler = handler; // NOLINT(cppcoreguidelines-pro-type-union-access)
  sigemptyset(&action.sa_mask);
  sigaction(signal, &action, nullptr);
  sigset_t unblocked;
  sigemptyset(&unblocked);
  sigaddset(&unblocked, signal);
  pthread_sigmask(SIG_UNBLOCK, &unblocked, nullptr);
}

void usage_error(program_options& options, std::string_view program,
                 const std::string& text) {
  std::cerr << program << ": " << text << "\n";
  options.done = true;
  options.exit_status = exit_bad_usage;
}

} // namespace

program_options parse_program_options(int argc, const char* const* argv,
                                      std::string_view program,
                                      std::string_view summary) {
  program_options options;
  char* config = nullptr;
  int check = 0;
  int version = 0;
  int help = 0;
  const std::array<poptOption, 5> table = {{
      {"config", 'c', POPT_ARG_STRING, &config, 0, "settings file (YAML)", "FILE"},
      {"check-config", 0, POPT_ARG_NONE, &check, 0, "check the settings file and exit",
       nullptr},
      {"version", 0, POPT_ARG_NONE, &version, 0, "print the version and exit", nullptr},
      {"help", 'h', POPT_ARG_NONE, &help, 0, "print this help and exit", nullptr},
      POPT_TABLEEND,
  }};
  std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      // Older versions of popt declare this array non-const but do not modify it.
      // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast)
      poptGetContext(program.data(), argc, const_cast<const char**>(argv), table.data(),
                     0),
      &poptFreeContext);
  const int rc = poptGetNextOpt(context.get());
  if (rc < -1) {
    usage_error(options, program,
                std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(rc));
    return options;
  }
  if (help != 0) {
    std::cout << program << ": " << summary << "\n";
    poptPrintHelp(context.get(), stdout, 0);
    options.done = true;
    return options;
  }
  if (version != 0) {
    std::cout << program << " " << MARIGOLDSTEP_VERSION << "\n";
    options.done = true;
    return options;
  }
  if (poptPeekArg(context.get()) != nullptr) {
    usage_error(options, program,
                std::string("unexpected argument ") + poptPeekArg(context.get()));
    return options;
  }
  if (config == nullptr) {
    usage_error(options, program, "--config FILE is required");
    return options;
  }
  options.config_path = config;
  options.check_only = check != 0;
  std::free(config); // NOLINT(cppcoreguidelines-no-malloc): popt allocates with malloc
  return options;
}

std::string read_file(const std::string& path, std::error_code& ec) {
  ec.clear();
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    ec = std::error_code(errno, std::generic_category());
    return {};
  }
  std::ostringstream buf;
  buf << in.rdbuf();
  // An empty file sets failbit on buf, so only errors of the source are checked.
  if (in.bad()) {
    ec = std::make_error_code(std::errc::io_error);
    return {};
  }
  return buf.str();
}

bool load_settings(const std::string& path,
                   const std::function<void(yaml_mapping&)>& parse) {
  yaml_report report{path, {}};
  std::error_code ec;
  const auto text = read_file(path, ec);
  if (ec) {
    add_problem(report, 0, "", "cannot be read: " + ec.message());
  } else {
    auto map = parse_yaml(text, report);
    if (report.problems.empty()) {
      parse(map);
      const auto tls = parse_tls(map);
      report_unknown_keys(map);
      if (use_tls(tls)) {
        add_problem(map, "tls", "certificate, key or authority cannot be used");
      }
    }
  }
  for (const auto& it : report.problems) {
    std::cerr << to_string(it) << "\n";
  }
  return report.problems.empty();
}

program_options start_program(int argc, const char* const* argv, std::string_view program,
                              std::string_view summary,
                              const std::function<void(yaml_mapping&)>& parse) {
  auto options = parse_program_options(argc, argv, program, summary);
  if (options.done) {
    return options;
  }
  limit_retained_memory();
  // Qt's own event loop polls the same sockets, with less bookkeeping for each.
  qputenv("QT_NO_GLIB", "1");
  const bool valid = load_settings(options.config_path, parse);
  options.done = !valid || options.check_only;
  options.exit_status = valid ? exit_ok : exit_bad_usage;
  return options;
}

bool reload_settings(const std::string& path,
                     const std::function<void(yaml_mapping&)>& parse) {
  const bool valid = load_settings(path, parse);
  log_event(valid ? log_level::info : log_level::error, "settings_reloaded",
            {{"valid", valid ? "true" : "false"}});
  return valid;
}

void block_signals() {
  sigset_t blocked;
  sigemptyset(&blocked);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&blocked, signal);
  }
  pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
}

void on_stop_signal(std::function<void()> stop) {
  stop_write_fd =
      notify_in_event_loop([stop = std::move(stop), called = false]() mutable {
        if (!std::exchange(called, true)) {
          stop();
        }
      });
  install_signal_handler(SIGTERM, handle_stop_signal);
  install_signal_handler(SIGINT, handle_stop_signal);
}

void on_reload(const std::string& path, std::function<void()> reload) {
  constexpr auto interval = std::chrono::seconds(1);
  std::error_code ec;
  auto last_text = std::make_shared<std::string>(read_file(path, ec));
  auto shared_reload = std::make_shared<std::function<void()>>(std::move(reload));
  reload_write_fd = notify_in_event_loop([path, last_text, shared_reload] {
    std::error_code problem;
    *last_text = read_file(path, problem);
    (*shared_reload)();
  });
  install_signal_handler(SIGHUP, handle_reload_signal);
  auto* timer = new QTimer(QCoreApplication::instance());
  QObject::connect(timer, &QTimer::timeout, timer, [path, last_text, shared_reload] {
    std::error_code problem;
    auto text = read_file(path, problem);
    if (!problem && text != *last_text) {
      *last_text = std::move(text);
      (*shared_reload)();
    }
  });
  timer->start(interval);
}

} // namespace marigoldstep::io
