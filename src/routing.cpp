#include "marigoldstep/routing.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace marigoldstep {

namespace {

std::string to_lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : static_cast<char>(c);
  });
  return out;
}

// Removes the port, if any. Takes host names and IPv4 addresses only; an IPv6 literal
// keeps its brackets.
std::string_view without_port(std::string_view host) {
  const auto colon = host.rfind(':');
  const auto bracket = host.rfind(']');
  const bool has_port = colon != std::string_view::npos &&
                        (bracket == std::string_view::npos || colon > bracket);
  return has_port ? host.substr(0, colon) : host;
}

std::uint64_t total_weight(const route& entry) {
  return std::accumulate(
      entry.services.begin(), entry.services.end(), std::uint64_t{0},
      [](std::uint64_t sum, const auto& it) { return sum + it.weight; });
}

std::string find_problem(const route& entry, const std::set<std::string>& services) {
  const auto where = "route " + entry.name + ": ";
  if (entry.host.empty()) {
    return where + "has no host";
  }
  const auto& prefix = entry.path_prefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    return where + "the path prefix must begin and end with a slash";
  }
  if (entry.timeout <= milliseconds(0)) {
    return where + "the timeout must be positive";
  }
  if (entry.max_attempts == 0) {
    return where + "at least one attempt must be allowed";
  }
  for (const auto& it : entry.services) {
    if (!services.contains(it.service)) {
      return where + "unknown service " + it.service;
    }
  }
  return total_weight(entry) == 0 ? where + "the weights add up to 0" : std::string();
}

std::string find_service_problem(const routing_config& config,
                                 std::set<std::string>& names) {
  for (const auto& it : config.services) {
    if (it.name.empty() || !names.insert(it.name).second) {
      return "service names must be present and unique: " + it.name;
    }
  }
  return {};
}

std::string find_workspace_problem(const routing_config& config) {
  std::map<std::string, std::string> owners;
  for (const auto& it : config.workspaces) {
    for (const auto& key : it.keys) {
      const auto [owner, added] = owners.emplace(key, it.name);
      if (!added && owner->second != it.name) {
        return "workspaces " + owner->second + " and " + it.name + " share a key";
      }
    }
  }
  return {};
}

} // namespace

std::string_view name(route_kind kind) {
  switch (kind) {
  case route_kind::repeatable:
    return "repeatable";
  case route_kind::once:
    return "once";
  case route_kind::stream:
    return "stream";
  case route_kind::resumable_stream:
    return "resumable_stream";
  }
  return "once";
}

bool is_repeatable(route_kind kind) {
  return kind == route_kind::repeatable || kind == route_kind::resumable_stream;
}

bool is_stream(route_kind kind) {
  return kind == route_kind::stream || kind == route_kind::resumable_stream;
}

std::string find_problem(const routing_config& config) {
  std::set<std::string> services;
  if (auto problem = find_service_problem(config, services); !problem.empty()) {
    return problem;
  }
  std::set<std::pair<std::string, std::string>> host_prefixes;
  for (const auto& it : config.routes) {
    if (auto problem = find_problem(it, services); !problem.empty()) {
      return problem;
    }
    if (!host_prefixes.emplace(to_lower(it.host), it.path_prefix).second) {
      return "route " + it.name + ": another route has the same host and prefix";
    }
  }
  return find_workspace_problem(config);
}

std::shared_ptr<const routing_table> make_routing_table(routing_config config) {
  auto table = std::make_shared<routing_table>();
  table->config = std::move(config);
  const auto& parsed = table->config;
  for (std::size_t i = 0; i < parsed.routes.size(); ++i) {
    table->by_host[to_lower(parsed.routes[i].host)][parsed.routes[i].path_prefix] = i;
  }
  for (std::size_t i = 0; i < parsed.workspaces.size(); ++i) {
    for (const auto& key : parsed.workspaces[i].keys) {
      table->by_key[key] = i;
    }
  }
  for (std::size_t i = 0; i < parsed.services.size(); ++i) {
    table->by_service[parsed.services[i].name] = i;
  }
  return table;
}

const route* find_route(const routing_table& table, std::string_view host,
                        std::string_view target) {
  const auto routes = table.by_host.find(to_lower(without_port(host)));
  if (routes == table.by_host.end()) {
    return nullptr;
  }
  const auto path = target.substr(0, target.find('?'));
  for (auto end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto it = routes->second.find(std::string(path.substr(0, end + 1)));
    if (it != routes->second.end()) {
      return &table.config.routes[it->second];
    }
  }
  return nullptr;
}

const routed_workspace* find_workspace(const routing_table& table, std::string_view key) {
  const auto it = table.by_key.find(std::string(key));
  return it == table.by_key.end() ? nullptr : &table.config.workspaces[it->second];
}

const routed_service* find_service(const routing_table& table, std::string_view name) {
  const auto it = table.by_service.find(std::string(name));
  return it == table.by_service.end() ? nullptr : &table.config.services[it->second];
}

const std::string& pick_service(const route& entry, std::uint64_t random_value) {
  auto rest = random_value % std::max<std::uint64_t>(1, total_weight(entry));
  for (const auto& it : entry.services) {
    if (rest < it.weight) {
      return it.service;
    }
    rest -= it.weight;
  }
  return entry.services.back().service;
}

} // namespace marigoldstep
