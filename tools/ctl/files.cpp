#include "ctl/files.h"

#include "marigoldstep/configuration_diff.h"
#include "marigoldstep/io/program.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <iostream>

namespace marigoldstep::ctl {

namespace {

// A question of "init --ask". The answer replaces the example value that follows prefix
// in the template.
struct question {
  std::string_view text;
  std::string_view prefix; // text before the example value on its line
  std::string_view example;
};

constexpr std::array<question, 14> questions = {{
    {"Short name of the fleet", "fleet: ", "my-fleet"},
    {"Name of the region", "- name: ", "region-1"},
    {"Availability zones, separated by commas", "zones: [", "zone-a, zone-b, zone-c"},
    {"Slowest round trip between availability zones, in ms", "round_trip_ms: ", "3"},
    {"Name of the pool of model engines", "- name: ", "my-pool"},
    {"Model", "models: [", "my-model"},
    {"Replicas of the pool", "replicas: ", "10"},
    {"Chats that a replica runs at once", "chats_at_once: ", "16"},
    {"Do the engines refuse stale fencing tokens (true or false)",
     "checks_fencing_tokens: ", "false"},
    {"Name of the plain service", "- name: ", "my-service"},
    {"Call to it that must never run twice", "call: ", "POST /orders"},
    {"Name of the first workspace", "- name: ", "my-workspace"},
    {"How long short callers wait, in ms", "short_ms: ", "10000"},
    {"Which is worse: late_answers, rebuilt_caches or both", "what_hurts_more: ", "both"},
}};

constexpr std::size_t max_listed_workspaces = 5;

std::string join_problems(const yaml_report& report) {
  std::string out;
  for (const auto& it : report.problems) {
    out += to_string(it) + "\n";
  }
  return out;
}

command_result usage_error(const std::string& text) {
  return {exit_usage, "", "mstepctl: " + text + "; see mstepctl --help\n"};
}

command_result write_output(const std::string& path, const std::string& text) {
  if (path.empty()) {
    return {exit_done, text, ""};
  }
  std::ofstream out(path, std::ios::binary | std::ios::trunc);
  out << text;
  out.flush();
  if (!out) {
    return {exit_refused, "", "mstepctl: cannot write " + path + "\n"};
  }
  return {exit_done, "wrote " + path + "\n", ""};
}

void replace_all(std::string& text, const std::string& from, const std::string& to) {
  for (auto at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

// Assigns the VMs of the template to the operator's zones in round-robin order, because
// the template places them in its own example zones.
void replace_zones(std::string& text, const std::string& zones) {
  std::vector<std::string> names;
  std::string word;
  for (char c : zones + ",") {
    if (c == ',' && !word.empty()) {
      names.push_back(std::exchange(word, ""));
    } else if (c != ' ' && c != ',') {
      word += c;
    }
  }
  constexpr std::array<const char*, 3> examples = {"zone-a", "zone-b", "zone-c"};
  for (std::size_t i = 0; i < examples.size() && !names.empty(); ++i) {
    const auto from = std::string("zone: ") + examples.at(i) + "}";
    replace_all(text, from, "zone: " + names[i % names.size()] + "}");
  }
}

// One server for each replica that the questionnaire plans.
std::vector<server_info> planned_servers(const questionnaire& answers) {
  std::vector<server_info> out;
  for (const auto& pool : answers.pools) {
    for (std::uint32_t i = 1; i <= pool.replicas; ++i) {
      server_info server;
      server.node_id = pool.name + "-" + std::to_string(i);
      server.service = pool.name;
      server.models = pool.models;
      out.push_back(std::move(server));
    }
  }
  return out;
}

std::string percent(double share) {
  return std::to_string(std::lround(share * 100)) + "%";
}

configuration parse_checked(const std::string& text) {
  yaml_report report;
  return parse_configuration(text, 0, report);
}

} // namespace

fleet_file read_fleet_file(const std::string& path) {
  fleet_file out;
  yaml_report report{path, {}};
  std::error_code ec;
  const auto text = io::read_file(path, ec);
  if (ec) {
    out.problems = path + ": cannot be read: " + ec.message() + "\n";
    return out;
  }
  const auto top = parse_yaml(text, report);
  out.is_questionnaire = report.problems.empty() && has_key(top, "callers_wait");
  out.configuration = text;
  if (out.is_questionnaire) {
    out.answers = parse_questionnaire(text, report);
    if (report.problems.empty()) {
      out.configuration = generate_configuration(out.answers);
    }
  }
  if (report.problems.empty()) {
    parse_configuration(out.configuration, 0, report);
  }
  out.problems = join_problems(report);
  return out;
}

std::string ask_questions(std::istream& in, std::ostream& out) {
  std::string text(questionnaire_template());
  for (const auto& it : questions) {
    out << it.text << " [" << it.example << "]: " << std::flush;
    std::string answer;
    std::getline(in, answer);
    if (answer.empty()) {
      continue;
    }
    const std::string example(it.example);
    if (it.prefix == "zones: [") {
      replace_zones(text, answer);
    }
    // Example names start with "my-" and can occur more than once; all are replaced.
    if (example.starts_with("my-")) {
      replace_all(text, example, answer);
      continue;
    }
    const auto from = std::string(it.prefix) + example;
    const auto at = text.find(from);
    if (at != std::string::npos) {
      text.replace(at, from.size(), std::string(it.prefix) + answer);
    }
  }
  return text;
}

command_result run_init(const ctl_options& options) {
  if (options.args.size() > 1) {
    return usage_error("init takes at most one file");
  }
  const auto path = options.args.empty() ? options.output : options.args.front();
  if (!path.empty() && std::ifstream(path)) {
    return {exit_refused, "", "mstepctl: " + path + " already exists\n"};
  }
  const auto text = options.ask ? ask_questions(std::cin, std::cerr)
                                : std::string(questionnaire_template());
  auto result = write_output(path, text);
  yaml_report report{path.empty() ? "questionnaire" : path, {}};
  parse_questionnaire(text, report);
  result.err += join_problems(report);
  return result;
}

command_result run_check(const ctl_options& options) {
  if (options.args.size() != 1) {
    return usage_error("check takes one file");
  }
  const auto file = read_fleet_file(options.args.front());
  if (!file.problems.empty()) {
    return {exit_usage, "", file.problems};
  }
  return {exit_done,
          options.args.front() + ": " +
              (file.is_questionnaire ? "questionnaire" : "configuration") +
              " without problems\n",
          ""};
}

command_result run_generate(const ctl_options& options) {
  if (options.args.size() != 1) {
    return usage_error("generate takes one questionnaire");
  }
  const auto file = read_fleet_file(options.args.front());
  if (!file.problems.empty()) {
    return {exit_usage, "", file.problems};
  }
  return write_output(options.output, file.configuration);
}

command_result run_explain(const ctl_options& options) {
  if (options.args.size() != 2) {
    return usage_error("explain takes a questionnaire and a key");
  }
  const auto file = read_fleet_file(options.args[0]);
  if (!file.problems.empty() || !file.is_questionnaire) {
    return {exit_usage, "",
            file.problems.empty() ? options.args[0] + ": not a questionnaire\n"
                                  : file.problems};
  }
  auto text = explain(file.answers, options.args[1]);
  if (!text.empty()) {
    return {exit_done, std::move(text), ""};
  }
  std::string keys =
      "mstepctl: unknown setting " + options.args[1] + "; known settings:\n";
  for (const auto& it : derive_settings(file.answers)) {
    keys += "  " + setting_key(it) + "\n";
  }
  return {exit_usage, "", keys};
}

std::string describe_change(const configuration& before,
                            std::span<const server_info> servers_before,
                            const configuration& after,
                            std::span<const server_info> servers_after) {
  std::string out;
  for (const auto& it : describe_changes(before, after)) {
    out += it + "\n";
  }
  auto moved = estimate_moved_chats(before, servers_before, after, servers_after);
  if (out.empty() && moved.empty()) {
    return "nothing changes\n";
  }
  out += "chats likely to lose their cache: " + percent(mean_moved_share(before, moved)) +
         "\n";
  std::stable_sort(moved.begin(), moved.end(),
                   [](const auto& a, const auto& b) { return a.share > b.share; });
  for (std::size_t i = 0; i < moved.size() && i < max_listed_workspaces; ++i) {
    out += "  workspace " + moved[i].workspace + ": " + percent(moved[i].share) + "\n";
  }
  if (moved.size() > max_listed_workspaces) {
    out += "  and " + std::to_string(moved.size() - max_listed_workspaces) +
           " more workspaces with smaller shares\n";
  }
  return out;
}

command_result run_file_diff(const ctl_options& options) {
  const auto before = read_fleet_file(options.args[0]);
  const auto after = read_fleet_file(options.args[1]);
  if (!before.problems.empty() || !after.problems.empty()) {
    return {exit_usage, "", before.problems + after.problems};
  }
  const auto old_servers = planned_servers(before.answers);
  const auto new_servers = planned_servers(after.answers);
  return {exit_done,
          describe_change(parse_checked(before.configuration), old_servers,
                          parse_checked(after.configuration), new_servers),
          ""};
}

} // namespace marigoldstep::ctl
