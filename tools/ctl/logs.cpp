#include "ctl/logs.h"

#include "marigoldstep/io/program.h"
#include "marigoldstep/report.h"

#include <fstream>
#include <span>

namespace marigoldstep::ctl {

namespace {

struct log_files {
  std::vector<log_record> records;
  std::size_t skipped = 0; // lines that could not be parsed
  std::string problem;     // empty when every file was read
};

log_files read_logs(std::span<const std::string> paths) {
  log_files out;
  for (const auto& path : paths) {
    std::error_code ec;
    const auto text = io::read_file(path, ec);
    if (ec) {
      out.problem = path + ": cannot be read: " + ec.message();
      return out;
    }
    auto records = parse_log(text, out.skipped);
    out.records.insert(out.records.end(), std::make_move_iterator(records.begin()),
                       std::make_move_iterator(records.end()));
  }
  return out;
}

command_result usage_error(const char* text) {
  return {exit_usage, "", std::string("mstepctl: usage: mstepctl ") + text + "\n"};
}

// Closes the file before checking it, so that a write error on a full disk is reported.
bool write_file(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << text;
  file.close();
  return !file.fail();
}

std::string describe_skipped(const log_files& logs) {
  return logs.skipped == 0
             ? ""
             : std::to_string(logs.skipped) +
                   " lines could not be parsed as log records and were skipped\n";
}

} // namespace

command_result run_why(const ctl_options& options) {
  if (options.args.size() < 2) {
    return usage_error("why REQUEST_ID LOG...");
  }
  const auto logs = read_logs(std::span(options.args).subspan(1));
  if (!logs.problem.empty()) {
    return {exit_usage, "", logs.problem + "\n"};
  }
  const auto text = explain_request(logs.records, options.args.front());
  if (text.empty()) {
    return {exit_refused, "",
            "no log contains the request " + options.args.front() + "\n" +
                describe_skipped(logs)};
  }
  return {exit_done, text, describe_skipped(logs)};
}

command_result run_report(const ctl_options& options) {
  if (options.args.empty() || options.output.empty()) {
    return usage_error("report LOG... -o FILE");
  }
  const auto logs = read_logs(options.args);
  if (!logs.problem.empty()) {
    return {exit_usage, "", logs.problem + "\n"};
  }
  const auto data = build_report(logs.records, "marigoldstep report", {});
  if (!write_file(options.output, render_report(data))) {
    return {exit_refused, "", options.output + ": cannot be written\n"};
  }
  return {exit_done, "wrote " + options.output + "\n", describe_skipped(logs)};
}

} // namespace marigoldstep::ctl
