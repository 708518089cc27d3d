#include "placement_bench.h"

#include "first_version.h"
#include "placement_model.h"

#include <cstdio>
#include <future>

namespace marigoldstep::bench {

namespace {

constexpr double reuse_loss_target_fraction = 0.03;
constexpr double traffic_target_bytes_per_s = 2048;
constexpr double decision_target_us = 5;
constexpr double moved_ratio_target = 1.2;
constexpr std::size_t measured_decisions = 20'000;
constexpr std::size_t sampled_chats = 4'000;
// Models that run concurrently; few, because the machine is shared.
constexpr std::size_t max_parallel_models = 4;

// least_loaded_lagging is skipped for more engines: all routers pick the same few least
// loaded ones for 2 s, and the retries of refused requests make the simulation too large.
constexpr std::uint32_t max_lagging_engines = 100;

constexpr std::array all_policies = {placement_policy::random,
                                     placement_policy::least_loaded_replies,
                                     placement_policy::least_loaded_lagging,
                                     placement_policy::rendezvous,
                                     placement_policy::first_version,
                                     placement_policy::current,
                                     placement_policy::full_knowledge};

std::vector<model_size> sizes() {
  model_size archive{"archive", 10, 3, 10, 4, 4, 1, milliseconds(3L * 3600 * 1000)};
  archive.response_tokens = 700; // long reconstructions
  archive.restarts = 6;
  archive.failures = 3;
  archive.flaps = 3;
  archive.reuse_bias = 0.9;
  model_size volta{"volta", 10, 3, 10, 3, 10, 1, milliseconds(2L * 3600 * 1000)};
  volta.restarts = 6;
  volta.failures = 3;
  volta.flaps = 3;
  volta.reuse_bias = 0.2;
  model_size large{"large", 1200, 340, 25'000, 7, 2000, 10, milliseconds(240'000)};
  large.restarts = 6; // 200 a day, times the time scale
  large.failures = 3;
  large.flaps = 10;
  return {archive, volta, large};
}

placement_key make_chat_key(const std::vector<double>& shares, const model_size& size,
                            std::size_t chat) {
  // Draws the workspace of the chat by its share of the traffic.
  const double unit =
      static_cast<double>(stable_hash("draw" + std::to_string(chat)) >> 11U) * 0x1.0p-53;
  double sum = 0;
  std::size_t workspace = 0;
  while (workspace + 1 < shares.size() && (sum += shares[workspace]) < unit) {
    ++workspace;
  }
  const auto spread = recommended_spread(shares[workspace], size.engines);
  return make_placement_key("workspace-" + std::to_string(workspace),
                            "chat-" + std::to_string(chat), spread);
}

candidate_list find_policy_candidates(placement_policy policy,
                                      const placement_table& table,
                                      const placement_key& key, std::size_t max_count) {
  return policy == placement_policy::current
             ? find_candidates(table, key, max_count)
             : first_version_candidates(table, key, max_count);
}

bool is_hashed(placement_policy policy) {
  return policy == placement_policy::rendezvous ||
         policy == placement_policy::first_version || policy == placement_policy::current;
}

// Chats whose preferred engine changed from one announced view to the next, and the
// minimum given by the share of the load that came or went with each change.
struct moved_chats {
  double moved = 0;
  double minimum = 0;
  [[nodiscard]] double ratio() const { return minimum > 0 ? moved / minimum : 0; }
};

double serving_weight(const placement_table& table, std::uint32_t index) {
  const auto& it = table.servers[index];
  return it.state == server_state::serving ? it.weight_milli : 0;
}

double minimum_moves(const placement_table& before, const placement_table& after,
                     std::span<const std::uint32_t> preferred_engines) {
  double total = 0;
  double gained = 0;
  double minimum = 0;
  for (std::uint32_t i = 0; i < after.servers.size(); ++i) {
    total += serving_weight(after, i);
    gained += std::max(0.0, serving_weight(after, i) - serving_weight(before, i));
  }
  for (const auto preferred_engine : preferred_engines) {
    minimum += serving_weight(after, preferred_engine) == 0 ? 1 : 0;
  }
  return minimum + gained / total * static_cast<double>(preferred_engines.size());
}

moved_chats measure_moved_chats(const model_size& size, const timeline& churn,
                                placement_policy policy) {
  const auto shares = workspace_shares(size.workspaces);
  std::vector<placement_key> keys;
  for (std::size_t i = 0; i < sampled_chats; ++i) {
    keys.push_back(make_chat_key(shares, size, i));
  }
  moved_chats out;
  std::vector<std::uint32_t> preferred_engines;
  std::shared_ptr<const placement_table> before;
  for (const auto& view : churn.views) {
    std::vector<std::uint32_t> current_engines;
    current_engines.reserve(keys.size());
    for (const auto& key : keys) {
      current_engines.push_back(
          find_policy_candidates(policy, *view.table, key, 1).index[0]);
    }
    if (before != nullptr) {
      out.minimum += minimum_moves(*before, *view.table, preferred_engines);
      for (std::size_t i = 0; i < preferred_engines.size(); ++i) {
        out.moved += preferred_engines[i] != current_engines[i] ? 1 : 0;
      }
    }
    preferred_engines = std::move(current_engines);
    before = view.table;
  }
  return out;
}

// CPU time of one decision in microseconds: finding the candidates and choosing one.
double measure_decision_us(const model_size& size, const timeline& churn,
                           placement_policy policy) {
  const auto shares = workspace_shares(size.workspaces);
  std::vector<placement_key> keys;
  for (std::size_t i = 0; i < 1000; ++i) {
    keys.push_back(make_chat_key(shares, size, i));
  }
  const auto& table = *churn.views.back().table;
  const std::vector<server_observation> observations(table.servers.size());
  std::uint64_t sum = 0;
  const auto start = std::clock();
  for (std::size_t i = 0; i < measured_decisions; ++i) {
    const auto found =
        find_policy_candidates(policy, table, keys[i % keys.size()], max_candidates);
    sum +=
        policy == placement_policy::current
            ? plan_attempts(found, observations, true, size.reuse_bias, {})
                  .steps[0]
                  .server
            : first_version_choice(found, observations, {}, size.reuse_bias, {}).server;
  }
  const auto elapsed_s = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
  // Uses the sum so that the loop is not optimized away.
  return sum == 0 ? 0 : elapsed_s * 1e6 / static_cast<double>(measured_decisions);
}

std::vector<model_result> run_models(const std::vector<model_size>& variants,
                                     const timeline& churn,
                                     const std::vector<placement_policy>& policies,
                                     std::uint64_t seed) {
  std::vector<model_result> out(policies.size());
  for (std::size_t from = 0; from < policies.size(); from += max_parallel_models) {
    std::vector<std::future<model_result>> running;
    const auto until = std::min(policies.size(), from + max_parallel_models);
    for (std::size_t i = from; i < until; ++i) {
      running.push_back(std::async(std::launch::async, run_model, std::cref(variants[i]),
                                   std::cref(churn), policies[i], seed));
    }
    for (std::size_t i = from; i < until; ++i) {
      out[i] = running[i - from].get();
    }
  }
  return out;
}

struct row {
  placement_policy policy = placement_policy::current;
  model_result result;
  double moved = 0;
  double decision_us = 0;
};

void print_row(const row& it, const timeline& churn) {
  const auto& r = it.result;
  std::printf("%-28s %6.1f%% %6.2f %6.2f %7.2f %6.2f %6.2f %8.4f %7.3f %8.4f %8.4f %6llu",
              std::string(name(it.policy)).c_str(), r.reuse * 100, r.skew_p50, r.skew_p99,
              r.skew_largest, r.bound_acknowledged, r.bound_true, r.refusals_per_request,
              r.conditions_per_request, r.unreachable_per_request, r.delayed_share,
              static_cast<unsigned long long>(r.abandoned));
  if (is_hashed(it.policy)) {
    std::printf(" %6.2f %9.0f %8.2f\n", it.moved, churn.router_traffic.max_bytes_per_s,
                1 / it.decision_us);
  } else {
    std::printf(" %6s %9.0f %8s\n", "-", churn.router_traffic.max_bytes_per_s, "-");
  }
}

void print_json(const row& it, const model_size& size, const timeline& churn) {
  const auto& r = it.result;
  std::printf(
      "{\"bench\":\"placement\",\"size\":\"%s\",\"policy\":\"%s\",\"reuse_bias\":%.2f,"
      "\"reuse\":%.4f,\"skew_p50\":%.3f,\"skew_p99\":%.3f,\"skew_largest\":%.3f,"
      "\"bound_acknowledged\":%.3f,\"bound_true\":%.3f,\"refusals\":%.5f,\"conditions\":%"
      ".5f,"
      "\"unreachable\":%.5f,\"delayed\":%.5f,\"abandoned\":%llu,\"moved\":%.3f,"
      "\"control_bytes_per_s\":%.0f,\"control_bytes_per_s_largest\":%.0f,"
      "\"decision_us\":%.3f}\n",
      size.name.c_str(), std::string(name(it.policy)).c_str(), size.reuse_bias, r.reuse,
      r.skew_p50, r.skew_p99, r.skew_largest, r.bound_acknowledged, r.bound_true,
      r.refusals_per_request, r.conditions_per_request, r.unreachable_per_request,
      r.delayed_share, static_cast<unsigned long long>(r.abandoned), it.moved,
      churn.router_traffic.mean_bytes_per_s, churn.router_traffic.max_bytes_per_s,
      it.decision_us);
}

void print_reuse_bias(const model_size& size, const model_result& r, bool json) {
  const char* format =
      json ? "{\"bench\":\"reuse_bias\",\"size\":\"%s\",\"reuse_bias\":%.2f,\"reuse\":%."
             "4f,"
             "\"skew_p99\":%.3f,\"skew_largest\":%.3f,\"conditions\":%.3f}\n"
           : "  %s reuse_bias %.2f: reuse %.4f, skew p99 %.3f, largest %.3f, unmet "
             "conditions %.3f\n";
  std::printf(format, size.name.c_str(), size.reuse_bias, r.reuse, r.skew_p99,
              r.skew_largest, r.conditions_per_request);
}

bool report_target(const char* label, double measured, double bound, bool met,
                   bool json) {
  if (!json) {
    std::printf("  target %-44s %8.3f  bound %8.3f  %s\n", label, measured, bound,
                met ? "met" : "MISSED");
  }
  return met;
}

bool check_targets(const std::vector<row>& rows, const timeline& churn, bool json) {
  const auto& current = rows[rows.size() - 2];
  const auto& full = rows.back();
  const double reuse_loss = 1 - current.result.reuse / full.result.reuse;
  bool targets_met = report_target("reuse loss against full knowledge", reuse_loss,
                                   reuse_loss_target_fraction,
                                   reuse_loss <= reuse_loss_target_fraction, json);
  targets_met = report_target("load at admission over the load limit",
                              current.result.bound_acknowledged, 1,
                              current.result.bound_acknowledged <= 1, json) &&
                targets_met;
  targets_met =
      report_target("control bytes/s, maximum over 10 s",
                    churn.router_traffic.max_bytes_per_s, traffic_target_bytes_per_s,
                    churn.router_traffic.max_bytes_per_s <= traffic_target_bytes_per_s,
                    json) &&
      targets_met;
  targets_met =
      report_target("microseconds per decision", current.decision_us, decision_target_us,
                    current.decision_us < decision_target_us, json) &&
      targets_met;
  return report_target("moved chats over the minimum", current.moved, moved_ratio_target,
                       current.moved < moved_ratio_target, json) &&
         targets_met;
}

bool run_size(const model_size& size, const bench_options& options) {
  const auto churn = make_timeline(size, options.seed);
  std::vector<placement_policy> policies(all_policies.begin(), all_policies.end());
  if (size.engines > max_lagging_engines) {
    std::erase(policies, placement_policy::least_loaded_lagging);
  }
  const auto results = run_models(std::vector<model_size>(policies.size(), size), churn,
                                  policies, options.seed);
  std::vector<row> rows;
  for (std::size_t i = 0; i < policies.size(); ++i) {
    row it{policies[i], results[i]};
    if (is_hashed(it.policy)) {
      it.moved = it.policy == placement_policy::first_version
                     ? rows.back().moved
                     : measure_moved_chats(size, churn, it.policy).ratio();
      it.decision_us = measure_decision_us(size, churn, it.policy);
    }
    rows.push_back(it);
  }
  if (!options.json) {
    std::printf(
        "\n%s: %u engines, %u routers, %u workspaces, %.0f requests/s for %.0f s, "
        "time scale %.0f, %u restarts, %u VM failures, %u flaps, reuse_bias %.1f, seed "
        "%llu\n",
        size.name.c_str(), size.engines, size.routers, size.workspaces,
        size.requests_per_s, size.simulated_time.count() / 1000.0, size.time_scale,
        size.restarts, size.failures, size.flaps, size.reuse_bias,
        static_cast<unsigned long long>(options.seed));
    std::printf("%-28s %7s %6s %6s %7s %6s %6s %8s %7s %8s %8s %6s %6s %9s %8s\n", "",
                "reuse", "skew50", "skew99", "largest", "bound", "true", "refused",
                "asked", "unreach", "delayed", "abandn", "moved", "B/s", "M dec/s");
  }
  const std::vector<double> biases{0, 0.25, 0.5, 0.75, 1};
  std::vector<model_size> variants(biases.size(), size);
  for (std::size_t i = 0; i < biases.size(); ++i) {
    variants[i].reuse_bias = biases[i];
  }
  const auto bias_results =
      run_models(variants, churn,
                 std::vector<placement_policy>(biases.size(), placement_policy::current),
                 options.seed);
  for (std::size_t i = 0; i < biases.size(); ++i) {
    print_reuse_bias(variants[i], bias_results[i], options.json);
  }
  for (const auto& it : rows) {
    options.json ? print_json(it, size, churn) : print_row(it, churn);
  }
  return check_targets(rows, churn, options.json);
}

} // namespace

bool run_placement_bench(const bench_options& options) {
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
  bool targets_met = true;
  for (const auto& size : sizes()) {
    if (!options.size.empty() && options.size != size.name) {
      continue;
    }
    targets_met = run_size(size, options) && targets_met;
  }
  return targets_met;
}

} // namespace marigoldstep::bench
