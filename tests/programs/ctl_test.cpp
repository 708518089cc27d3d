#include "ctl/files.h"
#include "ctl/fleet.h"
#include "ctl/status_text.h"
#include "marigoldstep/configuration_diff.h"
#include "marigoldstep/fleet_state.h"
#include "marigoldstep/io/framed_connection.h"
#include "marigoldstep/io/operator_key.h"

#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QTemporaryDir>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace marigoldstep;
using namespace marigoldstep::ctl;

namespace {

// A control process without a log. It can apply requests without sending the reply.
struct fake_control {
  io::framed_listener listener{nullptr};
  fleet_state state;
  wire::StatusReplyT status;
  int replies_to_drop = 0;

  fake_control() {
    REQUIRE_FALSE(listener.listen("127.0.0.1", 0));
    listener.on_connection = [this](io::framed_connection* connection) {
      connection->on_frame = [this, connection](byte_view buf) {
        std::error_code ec;
        const auto frame = wire::decode_control(buf, ec);
        wire::ControlFrameT reply;
        reply.correlation = frame->correlation;
        if (!is_authorized(*frame)) {
          reject(*frame, reply);
        } else if (frame->body.AsStatusRequest() != nullptr) {
          reply.body.Set(wire::StatusReplyT(status));
        } else if (frame->body.AsFetchConfig() != nullptr) {
          wire::ConfigReplyT accepted;
          accepted.version = state.accepted_version;
          accepted.text = state.accepted_text;
          reply.body.Set(std::move(accepted));
        } else {
          reply.body = apply_command(state, encode_command(*frame, 1'800'000'000));
        }
        if (replies_to_drop > 0) {
          --replies_to_drop;
        } else {
          connection->send(wire::encode(reply));
        }
      };
    };
  }
  [[nodiscard]] bool is_authorized(const wire::ControlFrameT& frame) const {
    if (const auto* change = frame.body.AsChangeRequest()) {
      return io::authorize(state.operators, change->author, change->operator_key);
    }
    const auto* request = frame.body.AsOperatorRequest();
    return request == nullptr ||
           io::authorize(state.operators, request->author, request->operator_key);
  }
  static void reject(const wire::ControlFrameT& frame, wire::ControlFrameT& reply) {
    const auto code = static_cast<std::uint16_t>(errc::not_authorized);
    if (frame.body.AsChangeRequest() != nullptr) {
      wire::ChangeReplyT body;
      body.outcome = wire::ChangeOutcome::refused;
      body.error_code = code;
      reply.body.Set(std::move(body));
    } else {
      wire::OperatorReplyT body;
      body.error_code = code;
      reply.body.Set(std::move(body));
    }
  }
  [[nodiscard]] ctl_options options(std::string command,
                                    std::vector<std::string> args) const {
    ctl_options out;
    out.command = std::move(command);
    out.args = std::move(args);
    out.control = {{"127.0.0.1", listener.port()}};
    out.author = "ana";
    out.timeout = milliseconds(5'000);
    return out;
  }
};

const QCoreApplication& application() {
  static int argc = 1;
  static char name[] = "ctl_test";
  static char* argv[] = {name, nullptr};
  static const QCoreApplication app(argc, argv);
  return app;
}

std::string example(const std::string& name) {
  return std::string(MARIGOLDSTEP_SOURCE_DIR) + "/examples/" + name;
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

void add_node(wire::StatusReplyT& status, const std::string& id,
              const std::string& service, std::uint64_t version) {
  wire::NodeStatusT node;
  node.node_id = id;
  node.role = service.empty() ? wire::NodeRole::router : wire::NodeRole::agent;
  node.service = service;
  node.config_version = version;
  status.nodes.push_back(std::make_unique<wire::NodeStatusT>(node));
}

void add_voter(wire::StatusReplyT& status, std::uint64_t id, std::uint32_t silent_ms) {
  wire::VoterStatusT voter;
  voter.node_id = id;
  voter.host = "10.0.0." + std::to_string(id);
  voter.port = 7000;
  voter.silent_ms = silent_ms;
  status.voters.push_back(std::make_unique<wire::VoterStatusT>(voter));
}

} // namespace

// Guards against a lost reply that leaves the operator without a safe way to retry, and
// against a resend that creates a second change.
TEST_CASE("a proposal whose reply was lost can be resent under its change id") {
  application();
  fake_control control;
  control.replies_to_drop = 1000;
  auto options = control.options("propose", {example("volta.yaml")});
  options.timeout = milliseconds(200);
  options.base = 0;
  const auto result = run_propose(options);
  CHECK(result.status == exit_unknown);
  REQUIRE(control.state.changes.size() == 1);
  const auto id = control.state.changes.front().change_id;
  CHECK(contains(result.err, "--change-id " + id + " --base 0"));

  control.replies_to_drop = 0;
  options.timeout = milliseconds(5'000);
  options.change_id = id;
  CHECK(run_propose(options).status == exit_done);
  CHECK(control.state.changes.size() == 1);
  CHECK(contains(run_approve(control.options("approve", {id})).out, "as version 1"));
}

// Guards against an operator approving a change without seeing its effect, and against
// a conflicting change that is refused without a reason.
TEST_CASE(
    "a change can be compared, approved and stopped, and a conflicting one is refused") {
  application();
  fake_control control;
  for (int i = 1; i <= 10; ++i) {
    add_node(control.status, "replica-" + std::to_string(i), "mstep-pool", 1);
  }
  const auto propose = [&control](const std::string& file, const std::string& id) {
    auto options = control.options("propose", {file});
    options.change_id = id;
    return run_propose(options);
  };
  REQUIRE(propose(example("archive.yaml"), "first").status == exit_done);
  REQUIRE(run_approve(control.options("approve", {"first"})).status == exit_done);

  const QTemporaryDir dir;
  const auto path = dir.filePath("changed.yaml").toStdString();
  std::ifstream in(example("archive.yaml"));
  std::ostringstream buf;
  buf << in.rdbuf();
  auto text = buf.str();
  text.replace(text.find("share: 3\n    size: large"), 24, "share: 3\n    size: small");
  std::ofstream(path) << text;
  REQUIRE(propose(path, "second").status == exit_done);
  REQUIRE(propose(path, "third").status == exit_done);
  const auto diff = run_diff(control.options("diff", {"second"}));
  CHECK(contains(diff.out, "workspace reconstruction: its share changes from 12 to 3"));

  CHECK(run_approve(control.options("approve", {"second"})).status == exit_done);
  const auto conflict = run_approve(control.options("approve", {"third"}));
  CHECK(conflict.status == exit_refused);
  CHECK(contains(conflict.err, "change second by ana was accepted first as version 2"));
  CHECK(contains(run_stop(control.options("stop", {"second"})).out, "version is 3"));
}

// Guards against changes without a valid key, against keys that can be read from the
// stored state, and against changes that no key or any key permits.
TEST_CASE("once operators exist, only their keys are accepted") {
  application();
  fake_control control;
  const auto added = run_operators(control.options("operators", {"add", "ana"}));
  REQUIRE(added.status == exit_done);
  const auto key = added.out.substr(added.out.size() - 65, 64);
  CHECK_FALSE(contains(std::string(as_text(encode_snapshot(control.state))), key));
  std::error_code ec;
  control.state = decode_snapshot(encode_snapshot(control.state), ec);

  auto options = control.options("propose", {example("volta.yaml")});
  CHECK(run_propose(options).status == exit_refused);
  options.key = std::string(64, '0');
  CHECK(run_propose(options).status == exit_refused);
  options.key = key;
  options.author = "ben";
  CHECK(run_propose(options).status == exit_refused);
  options.author = "ana";
  CHECK(run_propose(options).status == exit_done);

  auto remove = control.options("operators", {"remove", "ana"});
  CHECK(run_operators(remove).status == exit_refused);
  remove.key = key;
  CHECK(contains(run_operators(remove).err, "the last operator cannot be removed"));
}

// Guards against a status that hides a violation or does not fit the screen.
TEST_CASE("the status lists violations and operator tasks and fits the screen") {
  wire::StatusReplyT status;
  status.leader = 1;
  status.accepted_version = 4;
  status.in_force = true;
  add_node(status, "router-1", "", 4);
  add_node(status, "replica-1", "mstep-pool", 4);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    add_voter(status, id, 100);
  }
  const std::vector<std::string> pool = {"mstep-pool"};
  CHECK(assess_health(status, pool).violations.empty());
  CHECK(contains(status_text(status, pool), "nothing needs you"));
  CHECK(assess_health(status, {"absent"}).violations.front() ==
        "absent has no serving server");

  status.in_force = false;
  status.nodes[1]->config_version = 3;
  status.nodes[1]->state = wire::ServerState::suspect;
  status.voters[1]->silent_ms = 60'000;
  for (int i = 0; i < 20; ++i) {
    wire::ChangeRecordT change;
    change.change_id = "c-" + std::to_string(i);
    change.author = std::string(80, 'a');
    status.pending.push_back(std::make_unique<wire::ChangeRecordT>(change));
    add_node(status, "other-" + std::to_string(i), "pool-" + std::to_string(i), 4);
  }
  const auto health = assess_health(status, pool);
  CHECK(health.violations.size() == 2);
  CHECK(contains(health.operator_tasks.front(), "voter 2 at 10.0.0.2 silent for 60 s"));
  const auto text = status_text(status, pool);
  CHECK(std::count(text.begin(), text.end(), '\n') <= 24);
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    CHECK(line.size() <= 100);
  }
  CHECK(contains(json_line(to_json(status, pool)), "\"promises_held\":false"));
}

// Guards against an interview that leaves example values in the questionnaire.
TEST_CASE("the answers entered on the terminal form a valid questionnaire") {
  std::istringstream in("crew-fleet\nnorth\nn1, n2\n\nengines\nsmall-model\n6\n8\n\n"
                        "bookings\nPOST /book\ncrew\n4000\nlate_answers\n");
  std::ostringstream out;
  yaml_report report{"q", {}};
  const auto text = ask_questions(in, out);
  const auto answers = parse_questionnaire(text, report);
  for (const auto& it : report.problems) {
    FAIL_CHECK(to_string(it));
  }
  CHECK(answers.fleet == "crew-fleet");
  CHECK(answers.pools.front().replicas == 6);
  CHECK(answers.never_repeat.front() == call_answer{"bookings", "POST", "/book"});
  CHECK(answers.control_vms[2].zone == "n1");
  CHECK_FALSE(contains(text, "my-"));
}

// Guards against a wrong estimate of lost caches: adding a replica to ten should move
// about one chat in eleven, and changing a deadline of callers none.
TEST_CASE("the estimate of moved chats follows the replicas, not the callers' settings") {
  configuration config;
  config.pools = {{"pool", {"m"}, false}};
  config.workspaces.resize(1);
  config.workspaces.front().name = "w";
  config.workspaces.front().models = {"m"};
  std::vector<server_info> servers(11);
  for (std::size_t i = 0; i < servers.size(); ++i) {
    servers[i].node_id = "replica-" + std::to_string(i);
    servers[i].service = "pool";
  }
  const std::span<const server_info> all(servers);
  auto later = config;
  later.workspaces.front().short_deadline = milliseconds(1);
  CHECK(estimate_moved_chats(config, all, later, all).empty());
  const auto moved = estimate_moved_chats(config, all.first(10), config, all);
  CHECK(mean_moved_share(config, moved) == Approx(1.0 / 11).margin(0.03));
  later.workspaces.clear();
  CHECK(mean_moved_share(config, estimate_moved_chats(config, all, later, all)) == 1.0);
}
