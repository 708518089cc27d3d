#pragma once

#include "ctl/options.h"
#include "marigoldstep/questionnaire.h"

namespace marigoldstep::ctl {

// Contents of a file that mstepctl reads: a questionnaire or a configuration.
struct fleet_file {
  bool is_questionnaire = false;
  questionnaire answers;     // set only when is_questionnaire
  std::string configuration; // YAML text, generated from the answers or as read
  std::string problems;      // one line each; empty when the file is usable
};

// Reads and validates a file. A file with the key callers_wait is a questionnaire; any
// other file is a configuration.
fleet_file read_fleet_file(const std::string& path);

command_result run_init(const ctl_options& options);
command_result run_check(const ctl_options& options);
command_result run_generate(const ctl_options& options);
command_result run_explain(const ctl_options& options);
// Compares two files. The share of moved chats is estimated from the replicas that the
// questionnaires list.
command_result run_file_diff(const ctl_options& options);

// Describes a change, one line per difference, and estimates the share of chats that it
// moves to another server, which has no cached prefix for them.
std::string describe_change(const configuration& before,
                            std::span<const server_info> servers_before,
                            const configuration& after,
                            std::span<const server_info> servers_after);

// Prints each question to out and reads its answer as one line from in. Returns the
// questionnaire template with the answers filled in; an empty line keeps the example
// value.
std::string ask_questions(std::istream& in, std::ostream& out);

} // namespace marigoldstep::ctl
