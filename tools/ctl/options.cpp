#include "ctl/options.h"

#include <popt.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <memory>

namespace marigoldstep::ctl {

namespace {

constexpr int max_timeout_ms = 600'000;
constexpr long long no_base = -1;

constexpr std::string_view help_text =
    R"(mstepctl: configures and inspects a marigoldstep fleet

Usage: mstepctl COMMAND [ARGUMENT...] [OPTION...]

Questionnaire, without the fleet:
  init [FILE]            write a commented questionnaire; --ask asks on the terminal
  check FILE             check a questionnaire or a configuration
  generate FILE          generate the configuration from a questionnaire
  explain FILE KEY       say which answer a setting comes from
  diff OLD NEW           compare two questionnaires

Fleet, with --control:
  status                 whether every promise is held, and what needs the operator
  propose FILE           propose a questionnaire or a configuration; prints its id
  diff ID                what a pending change alters for callers
  approve ID             put a pending change in force
  stop ID                withdraw a pending change, or revert the accepted one
  history [COUNT]        the last changes
  members                the members of the control group
  members add ID HOST:PORT | promote ID | remove ID
  operators              who may send changes; everybody while there are none
  operators add NAME     prints a new key for NAME
  operators remove NAME

Logs, without the fleet:
  why REQUEST_ID LOG...  the decisions about one request
  report LOG... -o FILE  one HTML page for the time the logs cover

Exit status:
  0  done
  1  refused, not reached and nothing sent, or (status) a promise not held now
  2  usage, or a problem in a file
  3  the outcome is unknown: run the same command with the same change id again

)";

struct raw_options {
  char* control = nullptr;
  char* author = nullptr;
  char* key = nullptr;
  char* change_id = nullptr;
  char* output = nullptr;
  char* certificate = nullptr;
  char* private_key = nullptr;
  char* authority = nullptr;
  long long base = no_base;
  int timeout_ms = 10'000;
  int json = 0;
  int ask = 0;
  int help = 0;
  int version = 0;
};

// Copies a string that popt allocated and frees the original; null gives "".
std::string take_ownership(char* text) {
  std::string out = text == nullptr ? "" : text;
  std::free(text); // NOLINT(cppcoreguidelines-no-malloc): popt allocates with malloc
  return out;
}

std::string from_environment(const char* variable) {
  const char* value = std::getenv(variable);
  return value == nullptr ? "" : value;
}

command_result usage_error(const std::string& text) {
  return {exit_usage, "", "mstepctl: " + text + "; see mstepctl --help\n"};
}

// Parses "host:port,host:port". Returns false when an entry is malformed.
bool parse_endpoints(const std::string& text, std::vector<io::endpoint>& out) {
  std::size_t at = 0;
  while (at < text.size()) {
    const auto comma = std::min(text.find(',', at), text.size());
    out.push_back(io::parse_endpoint(text.substr(at, comma - at)));
    if (out.back().port == 0) {
      return false;
    }
    at = comma + 1;
  }
  return true;
}

std::optional<command_result> convert_options(raw_options& raw, ctl_options& options) {
  options.json = raw.json != 0;
  options.ask = raw.ask != 0;
  options.author = take_ownership(raw.author);
  options.key = take_ownership(raw.key);
  options.change_id = take_ownership(raw.change_id);
  options.output = take_ownership(raw.output);
  options.tls = {take_ownership(raw.certificate), take_ownership(raw.private_key),
                 take_ownership(raw.authority)};
  auto control = take_ownership(raw.control);
  if (options.author.empty()) {
    options.author = from_environment("USER");
  }
  if (options.key.empty()) {
    options.key = from_environment("MSTEPCTL_KEY");
  }
  if (control.empty()) {
    control = from_environment("MSTEPCTL_CONTROL");
  }
  if (!parse_endpoints(control, options.control)) {
    return usage_error("--control must be a list of host:port");
  }
  if (raw.timeout_ms < 1 || raw.timeout_ms > max_timeout_ms) {
    return usage_error("--timeout-ms must be from 1 to 600000");
  }
  options.timeout = milliseconds(raw.timeout_ms);
  if (raw.base < no_base) {
    return usage_error("--base must not be negative");
  }
  if (raw.base != no_base) {
    options.base = static_cast<std::uint64_t>(raw.base);
  }
  return std::nullopt;
}

void read_arguments(poptContext context, ctl_options& options) {
  while (const char* it = poptGetArg(context)) {
    if (options.command.empty()) {
      options.command = it;
    } else {
      options.args.emplace_back(it);
    }
  }
}

} // namespace

std::optional<command_result> parse_options(int argc, const char* const* argv,
                                            ctl_options& options) {
  raw_options raw;
  const std::array<poptOption, 15> table = {{
      {"control", 0, POPT_ARG_STRING, &raw.control, 0,
       "control processes (or environment MSTEPCTL_CONTROL)", "HOST:PORT,..."},
      {"author", 0, POPT_ARG_STRING, &raw.author, 0, "your name (default: $USER)",
       "NAME"},
      {"key", 0, POPT_ARG_STRING, &raw.key, 0,
       "operator key (better: environment MSTEPCTL_KEY)", "KEY"},
      {"change-id", 0, POPT_ARG_STRING, &raw.change_id, 0,
       "id of the change, to send a proposal again", "ID"},
      {"base", 0, POPT_ARG_LONGLONG, &raw.base, 0,
       "version that the proposal changes (default: the accepted one)", "VERSION"},
      {"output", 'o', POPT_ARG_STRING, &raw.output, 0, "write to a file", "FILE"},
      {"json", 0, POPT_ARG_NONE, &raw.json, 0, "print JSON", nullptr},
      {"ask", 0, POPT_ARG_NONE, &raw.ask, 0, "init: ask on the terminal", nullptr},
      {"timeout-ms", 0, POPT_ARG_INT, &raw.timeout_ms, 0, "time to wait for the fleet",
       "MS"},
      {"tls-certificate", 0, POPT_ARG_STRING, &raw.certificate, 0, "PEM file", "FILE"},
      {"tls-key", 0, POPT_ARG_STRING, &raw.private_key, 0, "PEM file", "FILE"},
      {"tls-authority", 0, POPT_ARG_STRING, &raw.authority, 0, "PEM file", "FILE"},
      {"version", 0, POPT_ARG_NONE, &raw.version, 0, "print the version", nullptr},
      {"help", 'h', POPT_ARG_NONE, &raw.help, 0, "print this help", nullptr},
      POPT_TABLEEND,
  }};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      // Older popt versions declare argv as non-const but do not modify it.
      // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast)
      poptGetContext("mstepctl", argc, const_cast<const char**>(argv), table.data(), 0),
      &poptFreeContext);
  const int rc = poptGetNextOpt(context.get());
  if (rc < -1) {
    return usage_error(std::string(poptBadOption(context.get(), 0)) + ": " +
                       poptStrerror(rc));
  }
  read_arguments(context.get(), options);
  if (raw.help != 0) {
    std::fwrite(help_text.data(), 1, help_text.size(), stdout);
    poptPrintHelp(context.get(), stdout, 0);
    return command_result{};
  }
  if (raw.version != 0) {
    return command_result{exit_done, "mstepctl " MARIGOLDSTEP_VERSION "\n", ""};
  }
  if (auto result = convert_options(raw, options)) {
    return result;
  }
  if (options.command.empty()) {
    return usage_error("a command is required");
  }
  return std::nullopt;
}

} // namespace marigoldstep::ctl
