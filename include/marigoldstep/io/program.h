#pragma once

#include "marigoldstep/yaml_reader.h"

#include <functional>
#include <string>

namespace marigoldstep::io {

// Exit statuses of all programs.
inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_bad_usage = 2; // command line or settings

// Values of the command line options common to all daemons.
struct program_options {
  std::string config_path;
  bool check_only = false;
  bool done = false; // the process should exit with exit_status
  int exit_status = exit_ok;
};

// Parses --help, --version, --config FILE and --check-config with popt. Prints a usage
// error to standard error and sets done and exit_bad_usage.
program_options parse_program_options(int argc, const char* const* argv,
                                      std::string_view program, std::string_view summary);

// Reads a whole file. On failure sets ec and returns an empty text.
std::string read_file(const std::string& path, std::error_code& ec);

// Reads the settings file through parse, applies the "tls" mapping that all programs
// share (see tls.h), and prints every problem to standard error as
// "file:line: key: text". Returns false when there was any.
bool load_settings(const std::string& path,
                   const std::function<void(yaml_mapping&)>& parse);

// Startup common to all daemons: parses the command line and loads the settings through
// parse. Sets done when the process should exit with exit_status: after --help or
// --version, a usage error or invalid settings, or for --check-config.
program_options start_program(int argc, const char* const* argv, std::string_view program,
                              std::string_view summary,
                              const std::function<void(yaml_mapping&)>& parse);

// Loads changed settings and logs whether they are valid.
bool reload_settings(const std::string& path,
                     const std::function<void(yaml_mapping&)>& parse);

// Blocks SIGTERM, SIGINT and SIGHUP until handlers for them are installed, so that none
// terminates the process during startup. Call it first in main().
void block_signals();

// Calls stop once on SIGTERM or SIGINT, from the event loop.
void on_stop_signal(std::function<void()> stop);

// Calls reload from the event loop on SIGHUP, and when the file at path changed, which
// is checked every second.
void on_reload(const std::string& path, std::function<void()> reload);

} // namespace marigoldstep::io
