#pragma once

#include "marigoldstep/io/control_client.h"
#include "marigoldstep/io/tls.h"

#include <optional>
#include <string>
#include <vector>

namespace marigoldstep::ctl {

// Exit statuses; --help documents them.
inline constexpr int exit_done = 0;
inline constexpr int exit_refused = 1;
inline constexpr int exit_usage = 2;
inline constexpr int exit_unknown = 3;

struct ctl_options {
  std::string command;
  std::vector<std::string> args;
  std::vector<io::endpoint> control;
  bool json = false;
  bool ask = false;
  std::string author;
  std::string key;
  std::string change_id;
  std::optional<std::uint64_t> base;
  std::string output;
  milliseconds timeout{10'000};
  io::tls_files tls;
};

// Output and exit status of a command.
struct command_result {
  int status = exit_done;
  std::string out;
  std::string err;
};

// Parses the command line. Returns a result when the program must exit without running
// a command: for --help, --version or a usage error.
std::optional<command_result> parse_options(int argc, const char* const* argv,
                                            ctl_options& options);

} // namespace marigoldstep::ctl
