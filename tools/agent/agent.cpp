#include "agent/agent.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/http_status.h"
#include "marigoldstep/io/logging.h"

#include <cmath>
#include <utility>

namespace marigoldstep::agent {

namespace {

constexpr auto acknowledgement_interval = std::chrono::milliseconds(250);
constexpr auto drain_check_interval = milliseconds(20);
// Minimum time between two heartbeats while the load bound is reached. The limit of a
// busy pool can grow only once per heartbeat, so the regular 500 ms would slow its
// growth. A heartbeat and its acknowledgement take 448 bytes, so four per second stay
// within 2 KB/s.
constexpr auto load_bound_heartbeat_interval = milliseconds(250);
// The plots of the report page are drawn from these log events.
constexpr auto summary_interval = milliseconds(5000);
constexpr double milli_per_unit = 1000.0;

// Whether the fields that the handlers use are present and in range.
bool is_valid(const wire::StartAttemptT& body) {
  return body.attempt_id != nullptr && body.priority <= wire::Priority::patient;
}

} // namespace

agent::agent(agent_settings settings, QObject* parent)
    : QObject(parent), settings_(std::move(settings)), admin_(this),
      metrics_(admin_.registry()),
      session_(settings_.control, wire::NodeRole::agent, settings_.node_id, this),
      runner_(settings_, session_, metrics_, this),
      order_backend_(settings_.backend, settings_.idle_timeout, this),
      orders_(order_backend_, this), listener_(this) {
  set_up_session();
  set_up_admin();
  listener_.on_connection = [this](io::framed_connection* it) { add_link(it); };
  runner_.on_limit_reached = [this] { request_mean(); };
  mean_timer_.setSingleShot(true);
  connect(&mean_timer_, &QTimer::timeout, this, [this] { session_.send_heartbeat(); });
  connect(&summary_timer_, &QTimer::timeout, this, [this] { log_summary(); });
  connect(&acknowledgement_timer_, &QTimer::timeout, this,
          [this] { acknowledge_bytes(); });
  connect(&drain_timer_, &QTimer::timeout, this, [this] { check_drained(); });
}

agent::~agent() {
  for (auto& [connection, link] : links_) {
    connection->on_closed = nullptr;
    connection->on_frame = nullptr;
  }
}

void agent::set_up_session() {
  session_.fill_heartbeat = [this](wire::HeartbeatT& body) { fill_heartbeat(body); };
  session_.on_ack = [this](const wire::HeartbeatAckT& ack) { handle_ack(ack); };
  session_.on_configuration = [this](const std::shared_ptr<const configuration>& config) {
    runner_.apply_configuration(*config);
  };
  orders_.server_checks_fencing = [this] {
    const auto config = session_.config();
    if (!config || settings_.models.empty()) {
      return false;
    }
    const auto* pool = find_pool(*config, settings_.models.front());
    return pool != nullptr && pool->checks_fencing;
  };
}

void agent::set_up_admin() {
  admin_.is_ready = [this] { return session_.may_take_work() && !draining_; };
  admin_.before_collect = [this] {
    metrics_.running.Set(runner_.running());
    metrics_.queued.Set(runner_.queued());
    metrics_.limit.Set(runner_.limit());
    metrics_.mean.Set(runner_.mean_milli() / milli_per_unit);
    metrics_.retained_bytes.Set(static_cast<double>(runner_.store().retained_bytes()));
  };
  admin_.on_post = [this](io::http_connection& from, std::string_view path,
                          std::string body) { serve_post(from, path, std::move(body)); };
}

void agent::serve_post(io::http_connection& from, std::string_view path,
                       std::string body) {
  if (path == "/drain") {
    from.respond(io::http_status::accepted, {{"Content-Type", "application/json"}},
                 R"({"draining":true})");
    drain();
  } else if (path == "/orders") {
    orders_.submit(QByteArray::fromStdString(body), from);
  } else {
    from.respond(io::http_status::not_found, {}, "");
  }
}

std::error_code agent::start() {
  const auto host = QString::fromStdString(settings_.listen.host);
  if (auto ec = listener_.listen(host, settings_.listen.port)) {
    return ec;
  }
  if (auto ec = admin_.start(settings_.admin.host, settings_.admin.port)) {
    return ec;
  }
  if (settings_.advertise.port == 0) {
    settings_.advertise = {settings_.listen.host, listener_.port()};
  }
  session_.start();
  summary_timer_.start(summary_interval);
  acknowledgement_timer_.start(acknowledgement_interval);
  io::log_event(io::log_level::info, "listening",
                {{"port", std::to_string(port())},
                 {"admin_port", std::to_string(admin_port())},
                 {"incarnation", std::to_string(io::process_incarnation())}});
  return {};
}

void agent::fill_heartbeat(wire::HeartbeatT& body) {
  server_info info;
  info.node_id = settings_.node_id;
  info.incarnation = io::process_incarnation();
  info.service = settings_.service;
  info.models = settings_.models;
  info.zone = settings_.zone;
  info.host = settings_.advertise.host;
  info.port = settings_.advertise.port;
  info.state = draining_ ? server_state::draining : server_state::serving;
  body.server = std::make_unique<wire::ServerEntryT>(io::to_wire(info));
  body.load = runner_.load();
  const auto config = session_.config();
  body.capacity = config ? config->limits.engine_slots : 0;
  body.leaving = draining_;
  leaving_announced_ = draining_;
  sent_report_.own_load = body.load;
  sent_report_.sent_at = io::now();
}

void agent::request_mean() {
  if (!mean_timer_.isActive()) {
    const auto due = sent_report_.sent_at + load_bound_heartbeat_interval;
    mean_timer_.start(std::max(due - io::now(), milliseconds(0)));
  }
}

void agent::handle_ack(const wire::HeartbeatAckT& ack) {
  sent_report_.mean_milli = ack.pool_mean_milli;
  sent_report_.servers = ack.pool_servers;
  runner_.record_mean(sent_report_);
  runner_.record_version(ack.accepted_version);
  // Draining began after this heartbeat was sent.
  if (draining_ && !leaving_announced_) {
    session_.send_heartbeat();
  }
}

frame_metadata agent::make_frame_metadata() const {
  frame_metadata out;
  out.config_version = session_.version();
  out.running = runner_.running();
  out.queued = runner_.queued();
  out.limit = runner_.limit();
  out.mean_milli = runner_.mean_milli();
  return out;
}

void agent::log_summary() {
  const double prompt = metrics_.prompt_tokens.Value();
  const double cached = metrics_.cached_tokens.Value();
  const auto rounded = [](double n) { return std::to_string(std::llround(n)); };
  io::log_event(io::log_level::info, "agent_summary",
                {{"service", settings_.service},
                 {"load", std::to_string(runner_.load())},
                 {"limit", std::to_string(runner_.limit())},
                 {"mean_milli", std::to_string(runner_.mean_milli())},
                 {"prompt_tokens", rounded(prompt - logged_prompt_tokens_)},
                 {"cached_tokens", rounded(cached - logged_cached_tokens_)}});
  logged_prompt_tokens_ = prompt;
  logged_cached_tokens_ = cached;
}

void agent::add_link(io::framed_connection* connection) {
  auto added = std::make_unique<router_link>();
  auto* link = added.get();
  link->connection = connection;
  link->make_metadata = [this] { return make_frame_metadata(); };
  links_[connection] = std::move(added);
  connection->on_frame = [this, link](byte_view buf) { handle_frame(*link, buf); };
  connection->on_closed = [this, link](std::error_code) { drop_link(link); };
  send_hello(*link);
  if (draining_) {
    wire::ServerNoticeT notice;
    notice.draining = true;
    send(*link, notice);
  }
}

void agent::send_hello(router_link& link) {
  wire::HelloT hello;
  hello.node_id = settings_.node_id;
  hello.incarnation = io::process_incarnation();
  hello.protocol = wire::data_protocol;
  send(link, std::move(hello));
}

// Bytes count rather than frames, since a large request takes long over a slow link.
// Responses in progress acknowledge as well.
void agent::acknowledge_bytes() {
  for (auto& [connection, link] : links_) {
    const auto received = connection->bytes_received();
    const bool is_due = received != std::exchange(link->bytes_received, received) &&
                        connection->bytes_sent() == link->bytes_sent;
    if (is_due && link->takes_acknowledgements) {
      send_hello(*link);
    }
    link->bytes_sent = connection->bytes_sent();
  }
}

void agent::drop_link(router_link* link) {
  runner_.close_link(*link);
  auto* connection = link->connection;
  connection->on_frame = nullptr;
  connection->on_closed = nullptr;
  connection->close();
  connection->deleteLater();
  links_.erase(connection);
}

// A router has one connection, and opens another only after it has given the earlier one
// up, whose end may never arrive here.
void agent::drop_replaced_links(const router_link& by) {
  std::vector<router_link*> replaced;
  for (const auto& [connection, it] : links_) {
    if (it.get() != &by && !by.node_id.empty() && it->node_id == by.node_id &&
        it->router_incarnation <= by.router_incarnation) {
      replaced.push_back(it.get());
    }
  }
  for (auto* it : replaced) {
    io::log_event(io::log_level::info, "router_link_replaced", {{"router", by.node_id}});
    drop_link(it);
  }
}

void agent::handle_frame(router_link& link, byte_view buf) {
  std::error_code ec;
  auto frame = wire::decode_data(buf, ec);
  if (!frame) {
    io::log_event(io::log_level::warning, "malformed_frame", {{"router", link.node_id}});
    // Dropped from the event loop, because the calling code still uses the link. By then
    // the peer may have closed the connection, which destroys the link.
    auto* connection = link.connection;
    connection->on_frame = nullptr;
    const auto drop = [this, connection] {
      if (const auto it = links_.find(connection); it != links_.end()) {
        drop_link(it->second.get());
      }
    };
    QMetaObject::invokeMethod(connection, drop, Qt::QueuedConnection);
    return;
  }
  handle_body(link, *frame);
}

void agent::handle_body(router_link& link, wire::DataFrameT& frame) {
  if (auto* hello = frame.body.AsHello()) {
    link.node_id = hello->node_id;
    link.router_incarnation = hello->incarnation;
    link.takes_acknowledgements = hello->protocol >= wire::acknowledging_data_protocol;
    drop_replaced_links(link);
  } else if (auto* start = frame.body.AsStartAttempt()) {
    if (is_valid(*start)) {
      runner_.start_attempt(std::move(*start), frame.config_version, link);
    }
  } else if (const auto* ack = frame.body.AsAttemptAck(); ack && ack->attempt_id) {
    runner_.acknowledge(wire::from_wire(*ack->attempt_id), ack->offset, link);
  } else if (const auto* body = frame.body.AsResumeAttempt(); body && body->attempt_id) {
    runner_.resume(wire::from_wire(*body->attempt_id), body->offset, link);
  } else if (const auto* body = frame.body.AsDetachAttempt(); body && body->attempt_id) {
    runner_.detach(wire::from_wire(*body->attempt_id), link);
  } else if (const auto* body = frame.body.AsCancelAttempt(); body && body->attempt_id) {
    runner_.cancel(wire::from_wire(*body->attempt_id), link);
  }
}

void agent::drain() {
  if (draining_) {
    return;
  }
  draining_ = true;
  runner_.start_draining();
  const auto config = session_.config();
  const auto limit = config ? config->limits.drain_limit : limit_settings{}.drain_limit;
  drain_deadline_ = io::now() + limit;
  io::log_event(io::log_level::info, "drain_started",
                {{"load", std::to_string(runner_.load())},
                 {"limit_ms", std::to_string(limit.count())}});
  session_.send_heartbeat();
  for (auto& [connection, link] : links_) {
    wire::ServerNoticeT notice;
    notice.draining = true;
    send(*link, notice);
  }
  drain_timer_.start(drain_check_interval);
}

void agent::check_drained() {
  const bool over = io::now() >= drain_deadline_;
  if (over) {
    runner_.abort_all();
  }
  // A heartbeat must have announced the drain first, because routers without a link to
  // this agent learn of it from the control group.
  const bool finished = runner_.store().count_undelivered() == 0 && leaving_announced_;
  if (!finished && !over) {
    return;
  }
  drain_timer_.stop();
  io::log_event(io::log_level::info, "drain_finished",
                {{"complete", finished ? "true" : "false"}});
  for (auto& [connection, link] : links_) {
    connection->close();
  }
  if (on_drained) {
    on_drained();
  }
}

} // namespace marigoldstep::agent
