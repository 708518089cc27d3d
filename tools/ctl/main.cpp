#include "ctl/files.h"
#include "ctl/fleet.h"
#include "ctl/logs.h"

#include <QCoreApplication>

#include <array>
#include <iostream>

namespace {

using namespace marigoldstep::ctl;

struct command_entry {
  std::string_view name;
  command_result (*run)(const ctl_options&);
};

constexpr std::array<command_entry, 14> commands = {{
    {"init", run_init},
    {"check", run_check},
    {"generate", run_generate},
    {"explain", run_explain},
    {"status", run_status},
    {"propose", run_propose},
    {"diff", run_diff},
    {"approve", run_approve},
    {"stop", run_stop},
    {"history", run_history},
    {"members", run_members},
    {"operators", run_operators},
    {"why", run_why},
    {"report", run_report},
}};

command_result run(const ctl_options& options) {
  if (marigoldstep::io::use_tls(options.tls)) {
    return {exit_usage, "", "mstepctl: the TLS files cannot be used\n"};
  }
  for (const auto& it : commands) {
    if (it.name == options.command) {
      return it.run(options);
    }
  }
  return {exit_usage, "",
          "mstepctl: unknown command " + options.command + "; see mstepctl --help\n"};
}

} // namespace

int main(int argc, char** argv) {
  const QCoreApplication app(argc, argv);
  ctl_options options;
  const auto early_result = parse_options(argc, argv, options);
  const auto result = early_result ? *early_result : run(options);
  std::cout << result.out << std::flush;
  std::cerr << result.err << std::flush;
  return result.status;
}
