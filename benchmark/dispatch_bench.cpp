#include "dispatch_bench.h"

#include "marigoldstep/dispatch.h"

#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <string>

namespace marigoldstep::bench {

namespace {

// Target for one decision under load in a fleet of up to 1,200 servers.
constexpr double decision_target_us = 5;
constexpr int decision_count = 20'000;
constexpr std::uint64_t shared_prefixes = 2000; // distinct ones, of 10,000 tokens
constexpr int zones = 4;
// Requests in flight at each server, about half of its slots.
constexpr std::uint32_t peer_requests = 30;
constexpr std::uint32_t slots = 64;

const time_point start{milliseconds(100'000)};

server_directory make_directory(int servers) {
  server_directory out;
  for (int i = 0; i < servers; ++i) {
    announced_server it;
    it.id = "i-" + std::to_string(1'000'000'007ULL * static_cast<unsigned>(i + 1));
    it.started = 1;
    it.sequence = 1;
    it.service = "engines";
    it.zone = "zone-" + std::to_string(i % zones);
    it.host = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250);
    it.port = 8000;
    it.slots = slots;
    apply_report(out, it, milliseconds(0), start);
  }
  return out;
}

dispatch_request make_request(std::uint64_t number) {
  dispatch_request out;
  out.service = "engines";
  out.zone = "zone-0";
  out.batch = {slots, 300'000};
  out.prompt = {
      {1, 500}, {100 + number % shared_prefixes, 10'000}, {1'000'000 + number, 1300}};
  return out;
}

struct dispatch_cost {
  double microseconds = 0;
  double kilobytes = 0;
};

double allocated_bytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

dispatch_cost measure(int servers, std::uint64_t seed) {
  const auto before = allocated_bytes();
  const auto directory = make_directory(servers);
  dispatch_state state;
  for (const auto& [id, entry] : directory.entries) {
    state.stats[id].peer_load.requests = peer_requests;
  }
  const dispatch_limits limits;
  std::mt19937_64 random(seed);
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < decision_count; ++i) {
    const auto request = make_request(random());
    const auto choice = choose_backend(directory, state, request, limits, start, random);
    record_prompt_sent(state, request, choice.server->id, start);
  }
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
  return {elapsed.count() * 1e6 / decision_count, (allocated_bytes() - before) / 1e3};
}

} // namespace

bool run_dispatch_bench(const bench_options& options) {
  bool targets_met = true;
  for (const int servers : {43, 1200, 3000}) {
    const auto it = measure(servers, options.seed);
    // The target applies to fleets of up to 1,200 servers.
    const bool has_target = servers <= 1200;
    const bool within_target = it.microseconds < decision_target_us;
    targets_met = targets_met && (within_target || !has_target);
    if (options.json) {
      std::printf("{\"bench\":\"dispatch\",\"servers\":%d,\"decision_us\":%.3f,"
                  "\"kilobytes\":%.0f}\n",
                  servers, it.microseconds, it.kilobytes);
    } else {
      std::printf("dispatch, %4d servers: %8.2f us per decision, %8.0f kB%s\n", servers,
                  it.microseconds, it.kilobytes,
                  !has_target     ? ""
                  : within_target ? "  target 5 us met"
                                  : "  target 5 us MISSED");
    }
  }
  return targets_met;
}

} // namespace marigoldstep::bench
