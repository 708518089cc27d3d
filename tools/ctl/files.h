#pragma once

#include "ctl/options.h"
#include "marigoldstep/questionnaire.h"

namespace marigoldstep::ctl {

// A questionnaire, or a configuration that somebody wrote by hand.
struct fleet_file {
  bool is_questionnaire = false;
  questionnaire answers;     // only with has_answers
  std::string configuration; // YAML text, generated from the answers or as read
  std::string problems;      // one line each; empty when the file is usable
};

// Reads a file and checks it. A file with the key callers_wait is a questionnaire.
fleet_file read_fleet_file(const std::string& path);

command_result run_init(const ctl_options& options);
command_result run_check(const ctl_options& options);
command_result run_generate(const ctl_options& options);
command_result run_explain(const ctl_options& options);
// Compares two files; counts moved chats from the replicas that they name.
command_result run_file_diff(const ctl_options& options);

// Sentences about a change, and how many chats are likely to lose their cache.
std::string describe_change(const configuration& before,
                            std::span<const server_info> servers_before,
                            const configuration& after,
                            std::span<const server_info> servers_after);

// The template with the operator's answers, read line by line from in. An empty
// line keeps the example's answer.
std::string ask_questions(std::istream& in, std::ostream& out);

} // namespace marigoldstep::ctl
