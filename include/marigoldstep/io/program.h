#pragma once

#include "marigoldstep/yaml_reader.h"

#include <functional>
#include <string>

namespace marigoldstep::io {

// Exit statuses shared by all programs.
inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_bad_usage = 2; // command line or settings

// What the common command line options of a daemon say.
struct program_options {
  std::string config_path;
  bool check_only = false;
  bool done = false; // --help or --version was served
  int exit_status = exit_ok;
};

// Parses --help, --version, --config FILE and --check-config with popt. On a
// usage error prints it to standard error and sets done and exit_bad_usage.
program_options parse_program_options(int argc, const char* const* argv,
                                      std::string_view program, std::string_view summary);

// Reads a whole file. On failure sets ec and returns an empty text.
std::string read_file(const std::string& path, std::error_code& ec);

// Reads the settings file through parse, takes the "tls" mapping that all
// programs share (see tls.h), and prints every problem to standard
// error as "file:line: key: text". Returns false when there was any.
bool load_settings(const std::string& path,
                   const std::function<void(yaml_mapping&)>& parse);

// How every daemon begins: parse_program_options(), and the settings through parse.
// With done set the process ends with exit_status: after a usage error, with
// settings that can't be used, or when --check-config asked for no more.
program_options start_program(int argc, const char* const* argv, std::string_view program,
                              std::string_view summary,
                              const std::function<void(yaml_mapping&)>& parse);

// Reads changed settings and logs whether they can be used.
bool reload_settings(const std::string& path,
                     const std::function<void(yaml_mapping&)>& parse);

// Keeps SIGTERM, SIGINT and SIGHUP waiting until handlers for them are installed,
// so that none ends the process while it starts. To be called first in main().
void block_signals();

// Calls stop once on SIGTERM or SIGINT, from the event loop.
void on_stop_signal(std::function<void()> stop);

// Calls reload from the event loop on SIGHUP, and when the file at path changed
// without a signal; it is looked at every second.
void on_reload(const std::string& path, std::function<void()> reload);

} // namespace marigoldstep::io
