#include "marigoldstep/io/program.h"

#include "marigoldstep/io/tls.h"

#include <QCoreApplication>
#include <QSocketNotifier>

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

namespace marigoldstep::io {

namespace {

// Write end of the pair through which the signal handler wakes the event loop.
int signal_write_fd = -1;

void handle_stop_signal(int /*signal*/) {
  const int saved = errno;
  const char byte = 1;
  [[maybe_unused]] const auto n = ::write(signal_write_fd, &byte, 1);
  errno = saved;
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
      // popt's older signature takes a non-const array that it does not change.
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
  // An empty file sets failbit on buf; only a failure of the source counts.
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
      finish(map);
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

void on_stop_signal(std::function<void()> stop) {
  std::array<int, 2> fds{};
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, fds.data()) != 0) {
    return;
  }
  signal_write_fd = fds[0];
  auto* notifier =
      new QSocketNotifier(fds[1], QSocketNotifier::Read, QCoreApplication::instance());
  QObject::connect(notifier, &QSocketNotifier::activated, notifier,
                   [notifier, stop = std::move(stop)] {
                     notifier->setEnabled(false);
                     stop();
                   });
  struct sigaction action {};
  action.sa_handler =
      handle_stop_signal; // NOLINT(cppcoreguidelines-pro-type-union-access)
  sigemptyset(&action.sa_mask);
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
}

} // namespace marigoldstep::io
