// Uses the coordination library in a program without the daemons: placement, the load
// limit and claims. Prints the decisions.
#include "marigoldstep.h"

#include <iostream>

using namespace marigoldstep;

namespace {

constexpr const char* example_text = R"(
fleet: example
pools:
  - {name: engines, models: [assistant]}
services:
  - {name: bookings, rules: [{method: POST, path: /bookings, repeatable: false}]}
workspaces:
  - {name: crew, models: [assistant]}
)";
constexpr unix_seconds current_time = 1'800'000'000;
constexpr int replica_count = 5;
constexpr std::size_t candidate_count = 3;

std::vector<server_info> make_servers() {
  std::vector<server_info> out;
  for (int i = 1; i <= replica_count; ++i) {
    server_info server;
    server.node_id = "engine-" + std::to_string(i);
    server.service = "engines";
    server.models = {"assistant"};
    out.push_back(server);
  }
  return out;
}

// Places a returning chat while its preferred server is idle and when it is at its limit.
void place_chat(const configuration& config) {
  const auto* workspace = find_workspace(config, "crew");
  const auto table = make_placement_table(make_servers(), "engines");
  const auto key = make_placement_key("crew", "chat-17", workspace->spread);
  const auto candidates = find_candidates(table, key, candidate_count);
  std::vector<server_observation> observations(table.servers.size());
  const auto limit = load_limit(config.limits, 8'000);
  std::cout << "load limit: " << limit << " attempts per server at a mean load of 8\n";
  for (const std::uint32_t running : {0U, limit}) {
    observations[candidates.index[0]] = {.running = running, .limit = limit};
    const auto choice = choose_server(table, candidates, observations, {},
                                      config.limits.reuse_bias, time_point{});
    std::cout << "chat-17 goes to " << table.servers[choice.server].node_id << " ("
              << name(choice.reason) << ")";
    for (const auto& it : choice.passed_over) {
      std::cout << ", passed over " << it;
    }
    std::cout << "\n";
  }
}

wire::ClaimReplyT send_claim(fleet_state& state, wire::ClaimKind kind,
                             std::uint64_t attempt) {
  wire::ClaimRequestT request;
  request.kind = kind;
  request.workspace = "crew";
  request.service = "bookings";
  request.key = std::to_string(current_time) + "-kettle-42";
  request.body_hash = stable_hash("{\"kettle\": 42}");
  request.attempt_lo = attempt;
  request.holder = "agent-1";
  request.holder_incarnation = 1;
  const auto entry =
      encode_command(wire::control_frame(std::move(request), attempt), current_time);
  return *apply_command(state, entry).AsClaimReply();
}

// Sends a booking twice; the claim lets only one attempt run.
void book_twice(const configuration& config) {
  const auto* service = find_service(config, "bookings");
  std::cout << "POST /bookings is "
            << (is_repeatable(*service, "POST", "/bookings") ? "" : "not ")
            << "repeatable\n";
  fleet_state state;
  for (const std::uint64_t attempt : {1U, 2U}) {
    const auto reply = send_claim(state, wire::ClaimKind::claim, attempt);
    std::cout << "attempt " << attempt << ": "
              << wire::EnumNameClaimOutcome(reply.outcome) << "\n";
  }
  send_claim(state, wire::ClaimKind::complete, 1);
  const auto resend = send_claim(state, wire::ClaimKind::claim, 3);
  std::cout << "resend after completion: " << wire::EnumNameClaimOutcome(resend.outcome)
            << "\n";
}

} // namespace

int main() {
  yaml_report report{"example", {}};
  const auto config = parse_configuration(example_text, 1, report);
  for (const auto& it : report.problems) {
    std::cerr << to_string(it) << "\n";
  }
  if (!report.problems.empty()) {
    return 1;
  }
  place_chat(config);
  book_twice(config);
  return 0;
}
