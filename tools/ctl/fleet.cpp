#include "ctl/fleet.h"

#include "ctl/files.h"
#include "ctl/status_text.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/operator_key.h"

#include <QEventLoop>

#include <charconv>

namespace marigoldstep::ctl {

namespace {

constexpr std::size_t change_id_digits = 16;
constexpr std::uint32_t default_history_count = 20;

// The reply to a request. Without a reply, failure is the result of the command.
template <typename Reply> struct request_result {
  std::unique_ptr<wire::ControlFrameT> frame;
  const Reply* reply = nullptr; // points into frame; null on failure
  command_result failure;
};

command_result usage_error(const std::string& text) {
  return {exit_usage, "", "mstepctl: " + text + "; see mstepctl --help\n"};
}

template <typename Body>
io::control_result wait_for_reply(const ctl_options& options, Body body) {
  io::control_client client(options.control, nullptr);
  io::control_result result;
  QEventLoop loop;
  client.request(std::move(body), options.timeout, [&](io::control_result received) {
    result = std::move(received);
    loop.quit();
  });
  loop.exec();
  return result;
}

// Sends a request and checks the type of its reply. retry_command is the command line
// that repeats a request safely; it is shown when the outcome is unknown and is empty for
// requests that change nothing.
template <typename Reply, typename Body>
request_result<Reply> send_request(const ctl_options& options, Body body,
                                   const std::string& retry_command = "") {
  request_result<Reply> out;
  if (options.control.empty()) {
    out.failure = usage_error("--control is required");
    return out;
  }
  auto result = wait_for_reply(options, std::move(body));
  if (result.error && (retry_command.empty() || !result.may_have_arrived)) {
    out.failure = {exit_refused, "",
                   "mstepctl: the control group did not answer; nothing was changed\n"};
    return out;
  }
  if (result.error) {
    out.failure = {
        exit_unknown, "",
        "mstepctl: no reply was received; the outcome is unknown. Run again:\n  " +
            retry_command + "\n"};
    return out;
  }
  out.frame = std::move(result.reply);
  out.reply = static_cast<const Reply*>(out.frame->body.value);
  if (out.frame->body.type != wire::ControlBodyUnionTraits<Reply>::enum_value) {
    out.reply = nullptr;
    out.failure = {exit_refused, "",
                   "mstepctl: the control group sent a reply of an unexpected type\n"};
  }
  return out;
}

command_result change_result(const ctl_options& options, const wire::ChangeReplyT& reply,
                             const std::string& change_id) {
  const bool refused = reply.outcome == wire::ChangeOutcome::refused;
  command_result out;
  out.status = refused ? exit_refused : exit_done;
  if (options.json) {
    out.out = json_line(to_json(reply, change_id));
  } else {
    (refused ? out.err : out.out) = change_text(reply, change_id);
  }
  return out;
}

command_result send_decision(const ctl_options& options, wire::ChangeKind kind) {
  if (options.args.size() != 1) {
    return usage_error(options.command + " takes one change id");
  }
  wire::ChangeRequestT body;
  body.kind = kind;
  body.change_id = options.args.front();
  body.author = options.author;
  body.operator_key = options.key;
  const auto outcome = send_request<wire::ChangeReplyT>(options, std::move(body),
                                                        "mstepctl " + options.command +
                                                            " " + options.args.front());
  return outcome.reply == nullptr
             ? outcome.failure
             : change_result(options, *outcome.reply, options.args.front());
}

// Fetches the accepted configuration. Unlike ChangeKind::show, this adds no entry to the
// replicated log.
request_result<wire::ConfigReplyT> fetch_accepted(const ctl_options& options) {
  return send_request<wire::ConfigReplyT>(options, wire::FetchConfigT{});
}

configuration parse(const std::string& text) {
  yaml_report report;
  return parse_configuration(text, 0, report);
}

std::vector<std::string> service_names(const configuration& config) {
  std::vector<std::string> out;
  for (const auto& it : config.pools) {
    out.push_back(it.name);
  }
  for (const auto& it : config.services) {
    out.push_back(it.name);
  }
  return out;
}

request_result<wire::ChangeReplyT> fetch_proposal(const ctl_options& options,
                                                  const std::string& change_id) {
  wire::ChangeRequestT body;
  body.kind = wire::ChangeKind::show;
  body.change_id = change_id;
  body.author = options.author;
  body.operator_key = options.key;
  return send_request<wire::ChangeReplyT>(options, std::move(body));
}

std::vector<server_info> list_live_servers(const wire::StatusReplyT& status) {
  std::vector<server_info> out;
  for (const auto& it : status.nodes) {
    if (it->role != wire::NodeRole::agent || it->state == wire::ServerState::dead) {
      continue;
    }
    server_info server;
    server.node_id = it->node_id;
    server.service = it->service;
    server.zone = it->zone;
    out.push_back(std::move(server));
  }
  return out;
}

bool parse_number(const std::string& text, std::uint64_t& value) {
  const auto* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, value);
  return ec == std::errc{} && rest == end;
}

command_result change_members(const ctl_options& options, wire::MemberRequestT body) {
  body.operator_key = options.key;
  // Member changes are idempotent, so that a retry needs no change id.
  std::string retry_command = "mstepctl members";
  for (const auto& it : options.args) {
    retry_command += " " + it;
  }
  const auto outcome =
      send_request<wire::MemberReplyT>(options, std::move(body), retry_command);
  if (outcome.reply == nullptr) {
    return outcome.failure;
  }
  if (outcome.reply->error_code != 0) {
    return {exit_refused, "", "refused: " + outcome.reply->message + "\n"};
  }
  return {exit_done, "done\n", ""};
}

} // namespace

command_result run_status(const ctl_options& options) {
  const auto outcome = send_request<wire::StatusReplyT>(options, wire::StatusRequestT{});
  if (outcome.reply == nullptr) {
    return outcome.failure;
  }
  const auto accepted = fetch_accepted(options);
  if (accepted.reply == nullptr) {
    return accepted.failure;
  }
  const auto services = service_names(parse(accepted.reply->text));
  const auto is_healthy = assess_health(*outcome.reply, services).violations.empty();
  return {is_healthy ? exit_done : exit_refused,
          options.json ? json_line(to_json(*outcome.reply, services))
                       : status_text(*outcome.reply, services),
          ""};
}

command_result run_propose(const ctl_options& options) {
  if (options.args.size() != 1) {
    return usage_error("propose takes one file");
  }
  const auto file = read_fleet_file(options.args.front());
  if (!file.problems.empty()) {
    return {exit_usage, "", file.problems};
  }
  wire::ChangeRequestT body;
  body.kind = wire::ChangeKind::propose;
  body.change_id =
      options.change_id.empty()
          ? "c-" + to_string(io::make_attempt_id()).substr(0, change_id_digits)
          : options.change_id;
  body.author = options.author;
  body.operator_key = options.key;
  body.text = file.configuration;
  if (options.base) {
    body.base_version = *options.base;
  } else {
    const auto accepted = fetch_accepted(options);
    if (accepted.reply == nullptr) {
      return accepted.failure;
    }
    body.base_version = accepted.reply->version;
  }
  const auto id = body.change_id;
  const auto retry_command = "mstepctl propose " + options.args.front() +
                             " --change-id " + id + " --base " +
                             std::to_string(body.base_version);
  const auto outcome =
      send_request<wire::ChangeReplyT>(options, std::move(body), retry_command);
  return outcome.reply == nullptr ? outcome.failure
                                  : change_result(options, *outcome.reply, id);
}

command_result run_approve(const ctl_options& options) {
  return send_decision(options, wire::ChangeKind::approve);
}

command_result run_stop(const ctl_options& options) {
  return send_decision(options, wire::ChangeKind::stop);
}

command_result run_diff(const ctl_options& options) {
  if (options.args.size() == 2) {
    return run_file_diff(options);
  }
  if (options.args.size() != 1) {
    return usage_error("diff takes one change id or two files");
  }
  const auto accepted = fetch_accepted(options);
  if (accepted.reply == nullptr) {
    return accepted.failure;
  }
  const auto proposed = fetch_proposal(options, options.args.front());
  if (proposed.reply == nullptr) {
    return proposed.failure;
  }
  if (proposed.reply->outcome == wire::ChangeOutcome::refused) {
    return change_result(options, *proposed.reply, options.args.front());
  }
  const auto status = send_request<wire::StatusReplyT>(options, wire::StatusRequestT{});
  if (status.reply == nullptr) {
    return status.failure;
  }
  const auto before = parse(accepted.reply->text);
  const auto after = parse(proposed.reply->text);
  const auto servers = list_live_servers(*status.reply);
  return {exit_done, describe_change(before, servers, after, servers), ""};
}

command_result run_history(const ctl_options& options) {
  std::uint64_t limit = default_history_count;
  if (options.args.size() > 1 ||
      (options.args.size() == 1 && !parse_number(options.args.front(), limit))) {
    return usage_error("history takes at most a number");
  }
  wire::HistoryRequestT body;
  body.limit = static_cast<std::uint32_t>(limit);
  const auto outcome = send_request<wire::HistoryReplyT>(options, body);
  if (outcome.reply == nullptr) {
    return outcome.failure;
  }
  return {exit_done,
          options.json ? json_line(to_json(*outcome.reply))
                       : history_text(*outcome.reply),
          ""};
}

command_result run_members(const ctl_options& options) {
  const auto& args = options.args;
  if (args.empty()) {
    const auto outcome =
        send_request<wire::StatusReplyT>(options, wire::StatusRequestT{});
    return outcome.reply == nullptr
               ? outcome.failure
               : command_result{exit_done, members_text(*outcome.reply), ""};
  }
  wire::MemberRequestT body;
  const bool has_id = args.size() >= 2 && parse_number(args[1], body.node_id);
  if (has_id && args[0] == "add" && args.size() == 3) {
    const auto address = io::parse_endpoint(args[2]);
    if (address.port == 0) {
      return usage_error("members add takes an address as host:port");
    }
    body.kind = wire::MemberKind::add_learner;
    body.host = address.host;
    body.port = address.port;
    return change_members(options, std::move(body));
  }
  if (has_id && args.size() == 2 && (args[0] == "promote" || args[0] == "remove")) {
    body.kind =
        args[0] == "promote" ? wire::MemberKind::promote : wire::MemberKind::remove;
    return change_members(options, std::move(body));
  }
  return usage_error("members takes add ID HOST:PORT, promote ID or remove ID");
}

command_result run_operators(const ctl_options& options) {
  const auto& args = options.args;
  const bool add = args.size() == 2 && args[0] == "add";
  const bool remove = args.size() == 2 && args[0] == "remove";
  if (!args.empty() && !add && !remove) {
    return usage_error("operators takes add NAME or remove NAME");
  }
  wire::OperatorRequestT body;
  body.author = options.author;
  body.operator_key = options.key;
  body.kind = add      ? wire::OperatorKind::add
              : remove ? wire::OperatorKind::remove
                       : wire::OperatorKind::list;
  body.name = args.empty() ? "" : args[1];
  std::string key;
  if (add) {
    key = io::make_operator_key();
    auto record = io::hash_operator_key(key);
    body.salt = std::move(record.salt);
    body.digest = std::move(record.digest);
  }
  const auto outcome = send_request<wire::OperatorReplyT>(
      options, std::move(body),
      args.empty() ? "" : "mstepctl operators " + args[0] + " " + args[1]);
  if (outcome.reply == nullptr) {
    return outcome.failure;
  }
  if (outcome.reply->error_code != 0) {
    return {exit_refused, "", "refused: " + outcome.reply->message + "\n"};
  }
  std::string out;
  for (const auto& it : outcome.reply->names) {
    out += it + "\n";
  }
  if (add) {
    out += "key of " + args[1] + ", shown only now: " + key + "\n";
  }
  return {exit_done, std::move(out), ""};
}

} // namespace marigoldstep::ctl
