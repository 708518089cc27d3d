#include "router/router.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

namespace marigoldstep::router {

namespace {

// Timer resolution for deadlines and backoff.
constexpr auto wakeup_interval = milliseconds(5);
// A body that is larger than allowed by up to this much is read, so that its rejection
// names the limit of the configuration.
constexpr std::uint64_t body_allowance_bytes = 64U << 10U;
// Older contacts are no evidence that a suspect server is alive.
constexpr auto contact_lifetime = milliseconds(1500);

std::shared_ptr<io::request_memory> make_memory(const router_settings& settings) {
  auto out = std::make_shared<io::request_memory>();
  out->set_limits(settings.process, settings.limits.max_buffered_bytes);
  return out;
}

bool is_alive(const membership_view& view, const std::string& node_id) {
  auto it = view.servers.find(node_id);
  return it != view.servers.end() && it->second.state != server_state::dead;
}

agent_address address_of(const server_info& server) {
  return {server.node_id, server.host, server.port};
}

void update_link(agent_link& link, const server_info& server) {
  link.set_address(address_of(server));
  // Neither the control group nor this router receives anything from the server. A new
  // connection shows whether its VM still runs, and running responses resume on it.
  if (server.state == server_state::suspect && link.is_silent(io::now())) {
    link.reconnect();
  }
}

} // namespace

router::router(const router_settings& settings, QObject* parent)
    : QObject(parent), settings_(settings),
      session_(settings.control, wire::NodeRole::router, settings.node_id, this),
      memory_(make_memory(settings)), admin_(this),
      callers_(settings.limits, memory_, this), metrics_(admin_.registry()) {
  admin_.use_memory(memory_);
  retry_budget_.refilled_at = io::now();
  summary_.started_at = io::now();
  callers_.on_request = [this](const io::http_request& request,
                               caller_connection& connection) {
    handle_request(request, connection);
  };
  session_.on_configuration = [this](const std::shared_ptr<const configuration>& config) {
    handle_configuration(config);
  };
  session_.on_ack = [this](const wire::HeartbeatAckT& ack) {
    newest_version_ = std::max(newest_version_, ack.accepted_version);
  };
  session_.on_membership = [this](const membership_view& view) {
    handle_membership(view);
  };
  session_.fill_heartbeat = [this](wire::HeartbeatT& body) {
    const auto limit = io::now() - contact_lifetime;
    std::erase_if(suspect_contacts_,
                  [limit](const auto& it) { return it.second < limit; });
    for (const auto& [node_id, at] : suspect_contacts_) {
      body.contacted.push_back(node_id);
    }
    body.leaving = stopping_;
  };
  admin_.is_ready = [this] { return is_ready(); };
  admin_.before_collect = [this] {
    metrics_.set_gauges({relays_.size(), callers_.connections(), client().bytes_sent(),
                         client().bytes_received(), session_.version()});
  };
  connect(&wakeup_timer_, &QTimer::timeout, this, [this] { run_wakeups(); });
}

std::error_code router::start() {
  if (auto ec = callers_.start(settings_.listen)) {
    return ec;
  }
  if (auto ec = admin_.start(settings_.admin.host, settings_.admin.port)) {
    return ec;
  }
  session_.start();
  wakeup_timer_.start(wakeup_interval);
  return {};
}

bool router::is_ready() const {
  return !stopping_ && session_.may_take_work();
}

void router::stop() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stop_deadline_ = io::now() + settings_.limits.stop_limit;
  callers_.stop_accepting();
  session_.send_heartbeat();
  io::log_event(io::log_level::info, "stopping",
                {{"running", std::to_string(relays_.size())}});
}

void router::finish_stop() {
  const bool out_of_time = io::now() >= stop_deadline_;
  if (!relays_.empty() && !out_of_time) {
    return;
  }
  const auto unfinished = relays_;
  for (const auto& [key, it] : unfinished) {
    it->abort();
  }
  wakeup_timer_.stop();
  io::log_event(io::log_level::info, "stopped",
                {{"abandoned", std::to_string(unfinished.size())}});
  if (on_stopped) {
    on_stopped();
  }
}

void router::run_wakeups() {
  removed_.clear();
  const auto now = io::now();
  while (!wakeups_.empty() && wakeups_.begin()->first <= now) {
    auto* next = wakeups_.begin()->second;
    wakeups_.erase(wakeups_.begin());
    next->on_wakeup(now);
  }
  log_summary_if_due(summary_, client().bytes_sent() + client().bytes_received(), now);
  if (stopping_) {
    finish_stop();
  }
}

void router::reschedule(relay& which, time_point before, time_point at) {
  wakeups_.erase({before, &which});
  wakeups_.emplace(at, &which);
}

void router::remove(relay& which) {
  wakeups_.erase({which.next_wakeup(), &which});
  auto node = relays_.extract(&which);
  if (!node.empty()) {
    removed_.push_back(std::move(node.mapped()));
  }
}

void router::handle_configuration(const std::shared_ptr<const configuration>& config) {
  callers_.set_max_body_bytes(config->limits.max_body_bytes + body_allowance_bytes);
  memory_->check_request_size(config->limits.max_body_bytes);
  newest_version_ = std::max(newest_version_, config->version);
  const auto running = relays_;
  for (const auto& [key, it] : running) {
    it->on_configuration();
  }
}

void router::handle_membership(const membership_view& view) {
  apply_membership(fleet_, view);
  // Copies the ids, because a reconnecting link may move a request to another server and
  // so insert into links_.
  std::vector<std::string> ids;
  for (const auto& [id, link] : links_) {
    ids.push_back(id);
  }
  for (const auto& id : ids) {
    auto& link = *links_.at(id);
    if (is_alive(view, id)) {
      update_link(link, view.servers.at(id));
    } else if (link.attempts() == 0) {
      links_.erase(id);
    } else {
      // The agent was silent for seconds and is dead or no longer a member. Its
      // connection may be open but lead to a VM that no longer exists.
      link.reconnect();
    }
  }
}

server_choice router::choose_server(const checked_request& request,
                                    std::span<const tried_server> tried) {
  const auto bias = session_.config()->limits.reuse_bias;
  return select_server(fleet_, request.service, request.placement, tried, bias,
                       io::now());
}

void router::log_choice(const std::string& request_id, unsigned attempt,
                        const server_choice& found) {
  const bool is_sent = found.server != nullptr && !found.all_refused_recently;
  const auto* kind = attempt == 0 ? "route" : "retry";
  io::log_decision({request_id, is_sent ? kind : "wait",
                    is_sent ? found.server->node_id : std::string(),
                    std::string(name(found.placement.reason)),
                    found.placement.passed_over});
}

void router::record_first_attempt() {
  marigoldstep::record_first_attempt(retry_budget_,
                                     session_.config()->limits.retry_budget_percent);
}

bool router::take_retry() {
  return marigoldstep::take_retry(retry_budget_, io::now());
}

agent_link& router::link(const server_info& server) {
  auto& slot = links_[server.node_id];
  if (!slot) {
    slot = std::make_unique<agent_link>(address_of(server), settings_.node_id, nullptr);
    slot->config_version = [this] { return session_.version(); };
    slot->on_frame = [this, id = server.node_id](const wire::DataFrameT& frame) {
      handle_agent_frame(id, frame);
    };
  }
  return *slot;
}

const server_info* router::find_member(std::string_view node_id) const {
  const auto& servers = session_.view().servers;
  auto it = servers.find(node_id);
  return it == servers.end() ? nullptr : &it->second;
}

agent_link* router::find_link(std::string_view node_id) {
  const auto* server = find_member(node_id);
  return server == nullptr ? nullptr : &link(*server);
}

void router::handle_agent_frame(const std::string& node_id,
                                const wire::DataFrameT& frame) {
  if (frame.config_version > newest_version_) {
    newest_version_ = frame.config_version;
    session_.record_version(frame.config_version);
  }
  const auto* server = find_member(node_id);
  if (server == nullptr) {
    return;
  }
  const auto now = io::now();
  if (server->state == server_state::suspect) {
    suspect_contacts_[node_id] = now;
  }
  if (frame.load) {
    record_load(fleet_, server->service, node_id, *frame.load, now);
  }
  if (const auto* notice = frame.body.AsServerNotice()) {
    record_draining(fleet_, server->service, node_id, notice->draining);
  }
}

} // namespace marigoldstep::router
