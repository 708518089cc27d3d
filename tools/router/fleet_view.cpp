#include "router/fleet_view.h"

#include <algorithm>

namespace marigoldstep::router {

namespace {

service_view make_view(std::span<const server_info> servers, std::string_view service,
                       const service_view* previous) {
  service_view out;
  out.table = make_placement_table(servers, service);
  const auto n = out.table.servers.size();
  out.observations.resize(n);
  out.breakers.resize(n);
  if (previous == nullptr) {
    return out;
  }
  std::unordered_map<std::string_view, std::size_t> index_by_id;
  for (std::size_t i = 0; i < previous->table.servers.size(); ++i) {
    index_by_id.emplace(previous->table.servers[i].node_id, i);
  }
  for (std::size_t i = 0; i < n; ++i) {
    const auto& server = out.table.servers[i];
    auto it = index_by_id.find(server.node_id);
    if (it != index_by_id.end() &&
        previous->table.servers[it->second].incarnation == server.incarnation) {
      out.observations[i] = previous->observations[it->second];
      out.breakers[i] = previous->breakers[it->second];
    }
  }
  return out;
}

bool is_tried(std::span<const tried_server> tried, std::string_view node_id) {
  return std::any_of(tried.begin(), tried.end(),
                     [node_id](const tried_server& it) { return it.node_id == node_id; });
}

// Replaces "tried" by the error code with which the server refused or failed.
void set_refusal_codes(std::vector<std::string>& passed_over,
                       std::span<const tried_server> tried) {
  for (auto& text : passed_over) {
    for (const auto& it : tried) {
      if (text == it.node_id + ":tried") {
        text = it.node_id + ":" + std::string(name(it.code));
        break;
      }
    }
  }
}

} // namespace

void apply_membership(fleet_view& fleet, const membership_view& members) {
  std::map<std::string, std::vector<server_info>, std::less<>> by_service;
  for (const auto& [id, server] : members.servers) {
    by_service[server.service].push_back(server);
  }
  std::map<std::string, service_view, std::less<>> services;
  for (const auto& [service, servers] : by_service) {
    auto it = fleet.services.find(service);
    const auto* previous = it == fleet.services.end() ? nullptr : &it->second;
    services.emplace(service, make_view(servers, service, previous));
  }
  fleet.services = std::move(services);
}

server_choice select_server(fleet_view& fleet, std::string_view service,
                            const placement_key& key, std::span<const tried_server> tried,
                            double reuse_bias, time_point now) {
  server_choice out;
  auto it = fleet.services.find(service);
  if (it == fleet.services.end()) {
    return out;
  }
  auto& view = it->second;
  const auto candidates = find_candidates(view.table, key, max_candidates);
  std::vector<std::uint32_t> tried_servers;
  for (std::size_t i = 0; i < candidates.count; ++i) {
    const auto server = candidates.index[i];
    view.observations[server].circuit_open = !allows(view.breakers[server], now);
    if (is_tried(tried, view.table.servers[server].node_id)) {
      tried_servers.push_back(server);
    }
  }
  out.placement = choose_server(view.table, candidates, view.observations, tried_servers,
                                reuse_bias, now);
  set_refusal_codes(out.placement.passed_over, tried);
  if (out.placement.reason != choice_reason::none) {
    out.server = &view.table.servers[out.placement.server];
    out.all_refused_recently = out.placement.reason == choice_reason::last_resort &&
                               now < view.observations[out.placement.server].avoid_until;
  }
  return out;
}

server_ref find_server(fleet_view& fleet, std::string_view service,
                       std::string_view node_id) {
  auto it = fleet.services.find(service);
  if (it == fleet.services.end()) {
    return {};
  }
  const auto& servers = it->second.table.servers;
  // The membership view is a map ordered by node id, and the table keeps this order.
  auto at = std::lower_bound(
      servers.begin(), servers.end(), node_id,
      [](const server_info& it, std::string_view id) { return it.node_id < id; });
  if (at == servers.end() || at->node_id != node_id) {
    return {};
  }
  return {&it->second, static_cast<std::uint32_t>(at - servers.begin())};
}

void record_load(fleet_view& fleet, std::string_view service, std::string_view node_id,
                 const wire::LoadFacts& load, time_point now) {
  const auto ref = find_server(fleet, service, node_id);
  if (ref.view == nullptr) {
    return;
  }
  auto& seen = ref.view->observations[ref.index];
  seen.running = load.running();
  seen.queued = load.queued();
  seen.limit = load.limit();
  seen.mean_milli = load.mean_milli();
  seen.observed_at = now;
}

void record_refusal(fleet_view& fleet, std::string_view service, std::string_view node_id,
                    time_point avoid_until) {
  const auto ref = find_server(fleet, service, node_id);
  if (ref.view != nullptr) {
    ref.view->observations[ref.index].avoid_until = avoid_until;
  }
}

void record_draining(fleet_view& fleet, std::string_view service,
                     std::string_view node_id, bool draining) {
  const auto ref = find_server(fleet, service, node_id);
  if (ref.view == nullptr) {
    return;
  }
  auto& state = ref.view->table.servers[ref.index].state;
  if (state == server_state::serving || state == server_state::draining) {
    state = draining ? server_state::draining : server_state::serving;
  }
}

void record_attempt_start(fleet_view& fleet, std::string_view service,
                          std::string_view node_id, time_point now) {
  const auto ref = find_server(fleet, service, node_id);
  if (ref.view != nullptr) {
    marigoldstep::record_start(ref.view->breakers[ref.index], now);
  }
}

void record_attempt_result(fleet_view& fleet, std::string_view service,
                           std::string_view node_id, bool failed, time_point now) {
  const auto ref = find_server(fleet, service, node_id);
  if (ref.view == nullptr) {
    return;
  }
  auto& breaker = ref.view->breakers[ref.index];
  if (failed) {
    record_failure(breaker, now);
  } else {
    record_success(breaker);
  }
}

} // namespace marigoldstep::router
