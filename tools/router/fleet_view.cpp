#include "router/fleet_view.h"

#include <algorithm>

namespace marigoldstep::router {

namespace {

service_view make_view(std::span<const server_info> servers, std::string_view service,
                       const service_view* before) {
  service_view out;
  out.table = make_placement_table(servers, service);
  const auto n = out.table.servers.size();
  out.observations.resize(n);
  out.breakers.resize(n);
  if (before == nullptr) {
    return out;
  }
  std::unordered_map<std::string_view, std::size_t> places;
  for (std::size_t i = 0; i < before->table.servers.size(); ++i) {
    places.emplace(before->table.servers[i].node_id, i);
  }
  for (std::size_t i = 0; i < n; ++i) {
    const auto& server = out.table.servers[i];
    auto it = places.find(server.node_id);
    if (it != places.end() &&
        before->table.servers[it->second].incarnation == server.incarnation) {
      out.observations[i] = before->observations[it->second];
      out.breakers[i] = before->breakers[it->second];
    }
  }
  return out;
}

bool is_tried(std::span<const tried_server> tried, std::string_view node_id) {
  return std::any_of(tried.begin(), tried.end(),
                     [node_id](const tried_server& it) { return it.node_id == node_id; });
}

// Puts the reason of each refusal in the place of "tried".
void name_refusals(std::vector<std::string>& passed_over,
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

void update(fleet_view& fleet, const membership_view& members) {
  std::map<std::string, std::vector<server_info>, std::less<>> by_service;
  for (const auto& [id, server] : members.servers) {
    by_service[server.service].push_back(server);
  }
  std::map<std::string, service_view, std::less<>> services;
  for (const auto& [service, servers] : by_service) {
    auto it = fleet.services.find(service);
    const auto* before = it == fleet.services.end() ? nullptr : &it->second;
    services.emplace(service, make_view(servers, service, before));
  }
  fleet.services = std::move(services);
}

server_choice choose(fleet_view& fleet, std::string_view service,
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
  out.made = choose_server(view.table, candidates, view.observations, tried_servers,
                           reuse_bias, now);
  name_refusals(out.made.passed_over, tried);
  if (out.made.reason != choice_reason::none) {
    out.server = &view.table.servers[out.made.server];
    out.all_refuse = out.made.reason == choice_reason::last_resort &&
                     now < view.observations[out.made.server].avoid_until;
  }
  return out;
}

server_place find_server(fleet_view& fleet, std::string_view service,
                         std::string_view node_id) {
  auto it = fleet.services.find(service);
  if (it == fleet.services.end()) {
    return {};
  }
  const auto& servers = it->second.table.servers;
  // The membership view is a map by node id, and the table keeps its order.
  auto at = std::lower_bound(
      servers.begin(), servers.end(), node_id,
      [](const server_info& it, std::string_view id) { return it.node_id < id; });
  if (at == servers.end() || at->node_id != node_id) {
    return {};
  }
  return {&it->second, static_cast<std::uint32_t>(at - servers.begin())};
}

void note_load(fleet_view& fleet, std::string_view service, std::string_view node_id,
               const wire::LoadFacts& load, time_point now) {
  const auto place = find_server(fleet, service, node_id);
  if (place.view == nullptr) {
    return;
  }
  auto& seen = place.view->observations[place.index];
  seen.running = load.running();
  seen.queued = load.queued();
  seen.limit = load.limit();
  seen.mean_milli = load.mean_milli();
  seen.observed_at = now;
}

void note_refusal(fleet_view& fleet, std::string_view service, std::string_view node_id,
                  time_point avoid_until) {
  const auto place = find_server(fleet, service, node_id);
  if (place.view != nullptr) {
    place.view->observations[place.index].avoid_until = avoid_until;
  }
}

void note_draining(fleet_view& fleet, std::string_view service, std::string_view node_id,
                   bool draining) {
  const auto place = find_server(fleet, service, node_id);
  if (place.view == nullptr) {
    return;
  }
  auto& state = place.view->table.servers[place.index].state;
  if (state == server_state::serving || state == server_state::draining) {
    state = draining ? server_state::draining : server_state::serving;
  }
}

void note_start(fleet_view& fleet, std::string_view service, std::string_view node_id,
                time_point now) {
  const auto place = find_server(fleet, service, node_id);
  if (place.view != nullptr) {
    marigoldstep::record_start(place.view->breakers[place.index], now);
  }
}

void note_result(fleet_view& fleet, std::string_view service, std::string_view node_id,
                 bool failed, time_point now) {
  const auto place = find_server(fleet, service, node_id);
  if (place.view == nullptr) {
    return;
  }
  auto& breaker = place.view->breakers[place.index];
  if (failed) {
    record_failure(breaker, now);
  } else {
    record_success(breaker);
  }
}

} // namespace marigoldstep::router
