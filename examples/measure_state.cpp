// Measures the replicated state machine: memory and snapshot size per claim, and
// commands applied per second on one core.
#include "marigoldstep.h"

#include <chrono>
#include <fstream>
#include <iostream>

using namespace marigoldstep;

namespace {

constexpr unix_seconds start_time = 1'800'000'000;
constexpr int claim_count = 100'000;
constexpr int agent_count = 1'200;
constexpr int workspace_count = 25'000;

// Resident memory of this process in bytes.
std::size_t resident_bytes() {
  constexpr std::size_t page_bytes = 4096;
  std::ifstream in("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  in >> total >> resident;
  return resident * page_bytes;
}

bytes claim_command(wire::ClaimKind kind, int number, std::size_t response_size) {
  wire::ClaimRequestT request;
  request.kind = kind;
  request.workspace = "workspace-" + std::to_string(number % workspace_count);
  request.service = "booking-svc";
  const auto digits = std::to_string(1'000'000 + number);
  request.key = "01a3185c-5000-7cc3-98c4-dc0c0" + digits; // 2027-01-15 08:00 UTC
  request.body_hash = static_cast<std::uint64_t>(number);
  request.attempt_lo = static_cast<std::uint64_t>(number);
  request.holder = "agent-" + std::to_string(number % agent_count);
  request.holder_incarnation = 1;
  if (kind == wire::ClaimKind::complete) {
    request.answer = std::make_unique<wire::StoredAnswerT>();
    request.answer->content_type = "application/json";
    request.answer->body.resize(response_size);
    request.answer->complete = true;
  }
  return encode_command(wire::control_frame(std::move(request), 1), start_time);
}

// Applies one command per claim and prints the rate. Encoding is not measured.
void measure_commands(fleet_state& state, wire::ClaimKind kind,
                      wire::ClaimOutcome expected, std::size_t response_size) {
  std::vector<bytes> commands;
  commands.reserve(claim_count);
  for (int i = 0; i < claim_count; ++i) {
    commands.push_back(claim_command(kind, i, response_size));
  }
  int expected_replies = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (const auto& it : commands) {
    const auto reply = apply_command(state, it);
    expected_replies += reply.AsClaimReply()->outcome == expected ? 1 : 0;
  }
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
  std::cout << wire::EnumNameClaimKind(kind) << ": " << expected_replies << " of "
            << claim_count << " as expected, "
            << static_cast<long>(claim_count / elapsed.count()) << " applies/s\n";
}

void print_memory(const fleet_state& state, std::size_t base) {
  const auto n = static_cast<double>(state.claims.records.size());
  std::cout << "  resident " << static_cast<double>(resident_bytes() - base) / n
            << " B/claim, accounted "
            << static_cast<double>(state.claims.usage.total_bytes) / n << " B/claim\n";
}

void measure_snapshot(const fleet_state& state) {
  const auto begin = std::chrono::steady_clock::now();
  const auto snapshot = encode_snapshot(state);
  const std::chrono::duration<double, std::milli> elapsed =
      std::chrono::steady_clock::now() - begin;
  std::cout << "snapshot: " << snapshot.size() << " B, "
            << snapshot.size() / state.claims.records.size() << " B/claim, encoded in "
            << elapsed.count() << " ms\n";
}

} // namespace

int main() {
  fleet_state state;
  claim_command(wire::ClaimKind::claim, 0, 0);
  const auto base = resident_bytes();
  // The first claims are applied without keeping their commands, so that the resident
  // memory contains only the claim table.
  for (int i = 0; i < claim_count; ++i) {
    apply_command(state, claim_command(wire::ClaimKind::claim, i, 0));
  }
  print_memory(state, base);
  measure_commands(state, wire::ClaimKind::claim, wire::ClaimOutcome::granted, 0);
  measure_commands(state, wire::ClaimKind::complete, wire::ClaimOutcome::completed, 200);
  std::cout << "with answers of 200 B: accounted "
            << state.claims.usage.total_bytes / state.claims.records.size()
            << " B/claim\n";
  measure_commands(state, wire::ClaimKind::lookup, wire::ClaimOutcome::completed, 0);
  measure_snapshot(state);
}
