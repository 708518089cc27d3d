#include "gateway/gateway.h"

#include "gateway/relay.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/fleet_ports.h"
#include "marigoldstep/io/http_status.h"
#include "marigoldstep/io/logging.h"
#include "platform/messages.h"

#include <algorithm>

namespace marigoldstep::gateway {

namespace {

// Used until the leader sets an interval. Counts of in-flight requests reach the other
// routers within two intervals.
constexpr auto default_load_interval = milliseconds(200);
// Older counts of the other routers don't reflect the current load.
constexpr auto fleet_load_max_age = milliseconds(3000);
// Of reports about crashes while the leader wants no loads.
constexpr auto crash_report_interval = milliseconds(1000);
constexpr auto tick_interval = std::chrono::milliseconds(200);
// Servers report at most once a second.
constexpr auto liveness_interval = milliseconds(500);
// Servers without a report for this long are removed from the directory.
constexpr auto silent_retention = milliseconds(60'000);
// The load balancer detects the stop within two readiness checks of a second each.
constexpr auto idle_close_delay = milliseconds(3000);
// A process that has no configuration after this has probably no path to control.
constexpr auto startup_window = milliseconds(3000);
constexpr auto stop_interval = std::chrono::milliseconds(100);
// One part in this many of the stop time stays unused, so that the process exits
// before it is killed.
constexpr int stop_reserve_divisor = 16;
// After this the load balancer has detected the stop, and requests come only from
// callers with open connections or without another gateway.
constexpr auto stop_accept_window = milliseconds(2500);
// Minimum time between a request's timeout and the stop deadline.
constexpr auto stop_margin = milliseconds(300);
// A readiness check has no body.
constexpr std::uint64_t max_readiness_body_bytes = 16U << 10U;
constexpr std::size_t max_readiness_connections = 64;
// Of a request's body, queued for a server that reads slowly.
constexpr std::size_t max_queued_body_bytes = 256U << 10U;

// The default response, with the delay in the form that callers understand.
io::http_rejection make_rejection(errc code, std::optional<milliseconds> retry_after) {
  auto out = io::default_rejection(code);
  if (retry_after) {
    out.fields.push_back(platform::make_retry_after_field(*retry_after));
  }
  return out;
}

} // namespace

gateway::gateway(gateway_settings settings, prometheus::Registry& registry,
                 QObject* parent)
    : QObject(parent), pool(this), crashes(this), metrics(registry),
      settings_(std::move(settings)),
      links_({settings_.node_id, true, settings_.host,
              io::port_of(settings_.first_port, io::fleet_port::links), settings_.zone,
              io::hosts_of(settings_.seeds), settings_.link_bytes_per_ms},
             this),
      caller_listener_(this), readiness_listener_(this), report_receiver_(links_, this),
      routing_reader_(links_) {
  memory->set_limits(settings_.limits);
  caller_listener_.memory = readiness_listener_.memory = memory;
  report_receiver_.use_memory(memory);
  caller_listener_.make_rejection = make_rejection;
  readiness_listener_.limits.message.body_bytes = max_readiness_body_bytes;
  readiness_listener_.limits.max_connections = max_readiness_connections;
  retries.limits = settings_.retries;
  crashes.on_crash = [this](const announced_server& server, const auto& ended) {
    handle_crash(server, ended);
  };
  crashes.on_whole = [this](const ended_request& it) {
    record_completed(traits, it.traits, io::now());
  };
  links_.routing_version = [this] { return table_ ? table_->config.version : 0; };
  links_.on_routing = [this](std::uint64_t version, const std::string& text) {
    apply_routing(version, text);
  };
  links_.on_server_update = [this](const wire::ServerUpdateT& update) {
    apply_server_update(update);
  };
  links_.on_fleet_load = [this](const wire::FleetLoadT& load) { apply_fleet_load(load); };
  links_.on_leader_status = [this](std::uint32_t routers, milliseconds load_interval) {
    load_interval_ = load_interval;
    record_router_count(routers);
  };
  links_.on_evacuations = [this](const evacuated_zones& it) { apply_evacuations(it); };
  links_.evacuation_number = [this] { return dispatch.evacuations.number; };
  links_.on_unknown_servers = [this](const std::vector<std::uint32_t>& servers) {
    report_receiver_.forget_confirmed(servers);
  };
  report_receiver_.on_read = [this](io::http_connection& from) {
    routing_reader_.handle_read(from);
  };
  links_.takes_reports = [this] { return !stopping_; };
  caller_listener_.on_request = [this](io::http_connection& from,
                                       io::http_request request) {
    handle_request(from, std::move(request));
  };
  readiness_listener_.on_request = [this](io::http_connection& from,
                                          const io::http_request& request) {
    const auto status = !platform::is_readiness_check(request.head)
                            ? io::http_status::not_found
                        : is_ready() ? io::http_status::ok
                                     : io::http_status::unavailable;
    from.respond(status, {}, "");
  };
  connect(&tick_timer_, &QTimer::timeout, this, [this] { tick(); });
  connect(&stop_timer_, &QTimer::timeout, this, [this] { check_stop(); });
}

// Deletes the relays first, since their destructors use members of the gateway.
gateway::~gateway() {
  const auto open = children();
  for (auto* it : open) {
    if (dynamic_cast<relay*>(it) != nullptr) {
      delete it;
    }
  }
}

std::error_code gateway::start() {
  started_at_ = io::now();
  auto ec = caller_listener_.listen(settings_.listen.host, settings_.listen.port);
  if (!ec) {
    ec = readiness_listener_.listen(settings_.listen_ready.host,
                                    settings_.listen_ready.port);
  }
  if (!ec) {
    ec = report_receiver_.listen(
        settings_.host, io::port_of(settings_.first_port, io::fleet_port::reports));
  }
  if (!ec) {
    ec = links_.start();
  }
  if (!ec) {
    load_interval_ = default_load_interval;
    tick_timer_.start(tick_interval);
  }
  return ec;
}

void gateway::tick() {
  const auto now = io::now();
  if (now >= next_load_report_) {
    // The half tick compensates for timer jitter.
    const auto interval =
        load_interval_ > milliseconds(0) ? load_interval_ : crash_report_interval;
    next_load_report_ = now + interval - tick_interval / 2;
    send_load(true);
  } else if (traits.has_news) {
    send_load(false);
  }
  if (now >= next_liveness_update_) {
    next_liveness_update_ = now + liveness_interval;
    refresh_last_seen();
    remove_silent_servers();
    update_cold_servers();
  }
  if (has_fleet_load_ && now - fleet_load_received_at_ > fleet_load_max_age) {
    has_fleet_load_ = false;
    for (auto& [id, stats] : dispatch.stats) {
      stats.peer_load = {};
    }
    dispatch.popular_parts.clear();
    io::log_event(io::log_level::warning, "fleet_load_lost",
                  {{"age_ms", std::to_string((now - fleet_load_received_at_).count())}});
  }
  update_readiness();
}

// Control processes announce only silent servers, so every other server counts as seen
// now.
void gateway::refresh_last_seen() {
  const auto now = io::now();
  for (auto& [id, entry] : directory.entries) {
    if (links_.is_server_reporting(io::server_hash(id))) {
      entry.last_seen = now;
    }
    if (entry.server.state != announced_state::gone) {
      record_version(versions_, {entry.server.service, entry.server.version}, now);
    }
  }
  for (const auto& it : expired_versions(versions_, now)) {
    remove_version(versions_, it);
  }
}

void gateway::apply(const gateway_settings& settings) {
  for (const auto& it : changed_fixed_settings(settings_, settings)) {
    io::log_event(io::log_level::warning, "setting_needs_restart", {{"setting", it}});
  }
  settings_.seeds = settings.seeds;
  settings_.retries = settings.retries;
  settings_.dispatch = settings.dispatch;
  settings_.dispatch.routers = retries.routers;
  settings_.stop_time = settings.stop_time;
  settings_.limits = settings.limits;
  memory->set_limits(settings_.limits);
  retries.limits = settings.retries;
  links_.set_seeds(io::hosts_of(settings.seeds));
}

bool gateway::is_ready() const {
  return table_ && links_.has_initial_servers() && !stopping_;
}

bool gateway::may_start_request(milliseconds timeout) const {
  const auto now = io::now();
  const auto early =
      std::min(stop_accept_window, settings_.stop_time * 5 / stop_reserve_divisor);
  return !stopping_ || now - stop_started_at_ < early ||
         now + timeout + stop_margin < stop_deadline_;
}

bool gateway::is_starting() const {
  return !was_ready_ && !stopping_ && io::now() - started_at_ < startup_window;
}

void gateway::when_started(QObject* context, std::function<void()> ready) {
  startup_waiters_.emplace_back(context, std::move(ready));
}

void gateway::update_readiness() {
  if (is_ready() && !was_ready_) {
    was_ready_ = true;
    const auto waiters = std::move(startup_waiters_);
    for (const auto& [context, ready] : waiters) {
      if (!context.isNull()) {
        ready();
      }
    }
  }
  if (is_ready() != logged_ready_) {
    logged_ready_ = is_ready();
    io::log_event(io::log_level::info, logged_ready_ ? "ready" : "not_ready",
                  {{"routing", std::to_string(table_ ? table_->config.version : 0)},
                   {"servers", std::to_string(directory.entries.size())},
                   {"links", std::to_string(links_.open_links())}});
  }
  metrics.open_links.Set(static_cast<double>(links_.open_links()));
}

dispatch_choice gateway::choose_backend(const dispatch_request& request) {
  return marigoldstep::choose_backend(directory, dispatch, request, settings_.dispatch,
                                      io::now(), io::random_engine());
}

void gateway::record_request_limit(const announced_server& server,
                                   std::optional<double> per_second,
                                   const std::string& request_id) {
  auto& limit = dispatch.stats[server.id].limit;
  if (set_request_limit(limit, server.started, per_second, retries.routers,
                        io::random_engine()(), io::now())) {
    io::log_event(io::log_level::info, "server_limit_changed",
                  {{"request_id", request_id},
                   {"server", server.id},
                   {"started", std::to_string(server.started)},
                   {"per_second", std::to_string(limit.per_second)},
                   {"routers", std::to_string(retries.routers)}});
  }
}

std::size_t gateway::idle_connections(const std::string& service,
                                      const std::string& server) const {
  const auto* it = table_ ? find_service(*table_, service) : nullptr;
  return marigoldstep::idle_connections(it == nullptr ? 0 : it->max_connections,
                                        retries.routers, settings_.node_id, server);
}

void gateway::handle_request(io::http_connection& from, io::http_request request) {
  const auto needed = io::allocated_bytes(request.head) + request.body.capacity() +
                      std::min(request.body.size(), max_queued_body_bytes);
  if (!memory->make_room(needed)) {
    const auto retry_after = memory->retry_delay(needed);
    io::log_event(io::log_level::warning, "request_refused",
                  {{"reason", "memory"},
                   {"bytes", std::to_string(needed)},
                   {"used", std::to_string(memory->used())},
                   {"retry_after_ms", std::to_string(retry_after.count())}});
    const auto rejection = make_rejection(errc::memory_full, retry_after);
    from.respond(rejection.status, rejection.fields, rejection.body);
    return;
  }
  auto* it = new relay(*this, from, std::move(request));
  it->start();
}

void gateway::apply_routing(std::uint64_t version, const std::string& text) {
  std::string problem;
  auto config = platform::parse_routing_config(text, problem);
  problem = problem.empty() ? find_problem(config) : problem;
  if (!problem.empty() || config.version != version) {
    // Unexpected, since control validates a configuration before it stores it.
    io::log_event(io::log_level::error, "routing_refused",
                  {{"version", std::to_string(version)}, {"problem", problem}});
    return;
  }
  table_ = make_routing_table(std::move(config));
  const auto& limits = table_->config.limits;
  caller_listener_.limits.message = {static_cast<std::uint32_t>(limits.header_bytes),
                                     limits.body_bytes};
  caller_listener_.limits.header_timeout = limits.header_timeout;
  caller_listener_.limits.idle_timeout = limits.idle_timeout;
  memory->check_request_size(limits.body_bytes);
  metrics.routing_version.Set(static_cast<double>(version));
  io::log_event(io::log_level::info, "routing_applied",
                {{"version", std::to_string(version)},
                 {"routes", std::to_string(table_->config.routes.size())}});
  update_readiness();
}

void gateway::apply_server_update(const wire::ServerUpdateT& update) {
  const auto now = io::now();
  for (const auto& it : update.servers) {
    const auto server = io::from_wire(*it);
    if (it->silent && !links_.is_server_reporting(io::server_hash(it->id))) {
      lower_last_seen(directory, it->id, milliseconds(it->silent_ms), now);
    }
    if (apply_report(directory, server, milliseconds(it->silent_ms), now) !=
        directory_change::changed) {
      continue;
    }
    io::log_event(io::log_level::info, "server_changed",
                  {{"server", server.id},
                   {"service", server.service},
                   {"state", std::string(name(server.state))},
                   {"version", server.version},
                   {"started", std::to_string(server.started)},
                   {"sequence", std::to_string(server.sequence)}});
    const auto& known = directory.entries.at(server.id).server;
    record_version(versions_, {known.service, known.version}, now);
    if (server.state != announced_state::ready) {
      pool.close_idle({known.host, known.port});
    }
    limit_if_cold(directory.entries.at(server.id));
  }
  metrics.servers.Set(static_cast<double>(directory.entries.size()));
  update_readiness();
}

void gateway::remove_silent_servers() {
  for (const auto& id : remove_silent(directory, silent_retention, io::now())) {
    dispatch.stats.erase(id);
    io::log_event(io::log_level::info, "server_forgotten", {{"server", id}});
  }
  // An entry also disappears when another server reports from its address.
  std::erase_if(dispatch.stats, [&](const auto& it) {
    return it.second.local_load.requests == 0 && !directory.entries.contains(it.first);
  });
}

void gateway::record_router_count(std::uint32_t routers) {
  const auto now = io::now();
  // Uses the highest count in the window, since routers that left may have used their
  // part of the retry budget within it.
  router_counts_.emplace_back(now, routers);
  std::erase_if(router_counts_, [&](const auto& it) {
    return now - it.first > settings_.retries.window;
  });
  std::uint32_t max_routers = 0;
  for (const auto& [at, n] : router_counts_) {
    max_routers = std::max(max_routers, n);
  }
  set_routers(retries, max_routers);
  settings_.dispatch.routers = retries.routers;
}

void gateway::apply_fleet_load(const wire::FleetLoadT& fleet_load) {
  if (std::exchange(leader_term_, fleet_load.term) != fleet_load.term) {
    has_new_leader_ = true;
  }
  apply_quarantine(io::notice_from_wire(fleet_load));
  if (!fleet_load.loads) {
    return;
  }
  has_fleet_load_ = true;
  fleet_load_received_at_ = io::now();
  const auto digest = io::from_wire(fleet_load);
  for (const auto& [id, entry] : directory.entries) {
    const auto hash = io::server_hash(id);
    const auto fleet = find_load(digest, hash, service_hash(entry.server.service));
    const auto local = reported_loads_[hash];
    dispatch.stats[id].peer_load = {fleet.requests -
                                        std::min(fleet.requests, local.requests),
                                    fleet.tokens - std::min(fleet.tokens, local.tokens)};
  }
  dispatch.popular_parts = fleet_load.popular
                               ? io::part_shares_from_wire(*fleet_load.popular)
                               : std::map<part_key, double>();
}

// Returns false if nothing is in flight and nothing has changed.
bool gateway::add_loads(wire::RouterLoadT& message) {
  std::map<std::uint32_t, load_count> local_loads;
  for (const auto& [id, stats] : dispatch.stats) {
    if (stats.local_load.requests > 0) {
      local_loads[io::server_hash(id)] = stats.local_load;
    }
  }
  if (local_loads.empty() && reported_loads_.empty() && dispatch.part_requests.empty()) {
    return false;
  }
  message.loads = io::to_wire(local_loads);
  message.requests = io::to_wire(dispatch.part_requests);
  dispatch.part_requests.clear();
  reported_loads_ = std::move(local_loads);
  return true;
}

// with_loads: also the loads in flight, which are due less often in large fleets.
void gateway::send_load(bool with_loads) {
  if (!links_.has_leader_link()) {
    // The report would be lost. The demand is out of date by the next one.
    dispatch.part_requests.clear();
    has_new_leader_ = true;
    return;
  }
  if (std::exchange(has_new_leader_, false)) {
    repeat_crashes(traits);
  }
  const auto now = io::now();
  const auto report = take_report(traits, now);
  wire::RouterLoadT load;
  io::add_to_wire(load, report, now);
  const bool has_report = report != trait_report();
  const bool has_loads =
      with_loads && load_interval_ > milliseconds(0) && add_loads(load);
  if (has_report || has_loads) {
    links_.send_load(std::move(load));
  }
}

void gateway::stop(std::function<void()> done) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  on_stopped_ = std::move(done);
  stop_started_at_ = io::now();
  stop_deadline_ =
      stop_started_at_ + settings_.stop_time - settings_.stop_time / stop_reserve_divisor;
  caller_listener_.close_after_responses();
  report_receiver_.stop();
  update_readiness();
  stop_timer_.start(stop_interval);
}

void gateway::check_stop() {
  const auto now = io::now();
  if (!idle_closed_ && now - stop_started_at_ >= idle_close_delay) {
    idle_closed_ = true;
    caller_listener_.close_idle();
  }
  const bool nothing_left = idle_closed_ && caller_listener_.busy_connections() == 0 &&
                            caller_listener_.connections() == 0;
  if (nothing_left || now >= stop_deadline_) {
    stop_timer_.stop();
    on_stopped_();
  }
}

} // namespace marigoldstep::gateway
