#include "agent/attempt_runner.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/request.h"

#include <algorithm>

namespace marigoldstep::agent {

namespace {

constexpr auto tick_interval = milliseconds(25);
// Maximum wait for a newer configuration, which takes one round trip to fetch.
constexpr auto hold_timeout = milliseconds(500);
constexpr std::size_t max_held_attempts = 64;
// Body bytes per cost unit, because prefill time grows with the length of the prompt.
constexpr std::size_t body_bytes_per_cost = 2048;
// Patient requests also generate longer responses.
constexpr std::uint32_t patient_cost_factor = 4;

std::uint32_t estimate_cost(const wire::StartAttemptT& start) {
  const auto units = 1 + start.body.size() / body_bytes_per_cost;
  const auto factor = start.priority == wire::Priority::patient ? patient_cost_factor : 1;
  return static_cast<std::uint32_t>(
      std::min<std::size_t>(units * factor, marigoldstep::max_cost));
}

queue_entry make_entry(const wire::StartAttemptT& start, time_point arrived_at) {
  queue_entry out;
  out.id = wire::from_wire(*start.attempt_id);
  out.workspace = start.workspace;
  out.lane = static_cast<priority>(start.priority);
  out.cost = estimate_cost(start);
  out.deadline = arrived_at + milliseconds(start.deadline_ms);
  return out;
}

backend_request make_call(attempt& it) {
  backend_request out;
  out.method = it.start.method;
  out.path = it.start.path;
  for (const auto& header : it.start.headers) {
    out.headers.push_back(*header);
  }
  wire::HeaderT priority_header;
  priority_header.name = "X-Priority";
  priority_header.value = std::to_string(static_cast<int>(it.start.priority));
  out.headers.push_back(std::move(priority_header));
  out.body = std::move(it.start.body);
  it.start.body = {};
  return out;
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(),
                                      [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool is_path(std::string_view text) {
  return text.starts_with('/') && std::none_of(text.begin(), text.end(), [](char c) {
           return static_cast<unsigned char>(c) <= ' ';
         });
}

double seconds(milliseconds value) {
  return std::chrono::duration<double>(value).count();
}

} // namespace

attempt_runner::attempt_runner(const agent_settings& settings, io::node_session& session,
                               agent_metrics& metrics, QObject* parent)
    : QObject(parent), settings_(settings), session_(session), metrics_(metrics),
      store_(this), claims_(session, settings.claim_timeout, this),
      backend_(settings.backend, settings.idle_timeout, this) {
  claims_.claim_seconds = &metrics.claim_seconds;
  store_.on_resume_expired = [this](attempt& it) { give_up(it, errc::attempt_expired); };
  connect(&timer_, &QTimer::timeout, this, [this] { tick(); });
  timer_.start(tick_interval);
}

std::uint32_t attempt_runner::running() const {
  return running_;
}

std::uint32_t attempt_runner::queued() const {
  return static_cast<std::uint32_t>(queue_.size);
}

std::uint32_t attempt_runner::limit() const {
  const auto config = session_.config();
  if (!config) {
    return 0;
  }
  auto limits = config->limits;
  // The bound relative to the mean is meant for model engines. A plain service has no
  // prefix cache that binds requests to a server, and its calls are too short for the
  // mean to follow a burst.
  if (settings_.models.empty()) {
    limits.load_floor = std::max(limits.load_floor, limits.engine_slots);
  }
  return current_limit(limits, means_, load(), io::now());
}

std::uint32_t attempt_runner::mean_milli() const {
  return effective_mean(means_, load(), io::now());
}

void attempt_runner::apply_configuration(const configuration& config) {
  queue_settings settings;
  settings.slots = config.limits.engine_slots;
  for (const auto& it : config.workspaces) {
    settings.weights[it.name] = it.weight;
  }
  configure(queue_, std::move(settings));
  store_.set_resume_window(config.limits.resume_window);
  record_version(config.version);
  retry_held();
  dispatch();
}

void attempt_runner::record_version(std::uint64_t version) {
  newest_version_ = std::max(newest_version_, version);
}

void attempt_runner::start_attempt(wire::StartAttemptT start,
                                   std::uint64_t sender_version, router_link& link) {
  const auto id = wire::from_wire(*start.attempt_id);
  if (auto* known = store_.find(id)) {
    store_.attach(*known, link, 0);
    return;
  }
  const bool is_held =
      std::any_of(held_.begin(), held_.end(), [&id](const held_attempt& it) {
        return wire::from_wire(*it.start.attempt_id) == id;
      });
  if (!is_held) {
    process_start(std::move(start), sender_version, link, io::now());
  }
}

bool attempt_runner::is_repeatable_here(const wire::StartAttemptT& start) const {
  const auto* service = find_service(*session_.config(), start.service);
  const auto path = std::string_view(start.path).substr(0, start.path.find('?'));
  return start.repeatable &&
         (service == nullptr || is_repeatable(*service, start.method, path));
}

errc attempt_runner::check_request(const wire::StartAttemptT& start) const {
  const auto& models = settings_.models;
  const bool has_model = start.model.empty() || std::find(models.begin(), models.end(),
                                                          start.model) != models.end();
  if (start.service != settings_.service) {
    return errc::unknown_service;
  }
  if (!has_model) {
    return errc::unknown_model;
  }
  if (start.body.size() > session_.config()->limits.max_body_bytes) {
    return errc::body_too_large;
  }
  if (!is_path(start.path) || !is_token(start.method)) {
    return errc::bad_request;
  }
  if (!is_repeatable_here(start) && start.idempotency_key.empty()) {
    return errc::missing_idempotency_key;
  }
  return errc::ok;
}

admission_decision attempt_runner::decide(const wire::StartAttemptT& start,
                                          std::uint64_t sender_version,
                                          time_point arrived_at) const {
  const auto now = io::now();
  const auto entry = make_entry(start, arrived_at);
  admission_request request;
  request.sender_version = sender_version;
  request.server_incarnation = start.server_incarnation;
  request.time_left = entry.deadline - now;
  admission_inputs inputs;
  inputs.may_take_work = session_.may_take_work();
  inputs.applied_version = session_.version();
  inputs.newest_version = newest_version_;
  inputs.own_incarnation = io::process_incarnation();
  inputs.draining = draining_;
  inputs.load = load();
  inputs.limit = limit();
  inputs.queue_full = is_full(queue_);
  inputs.meets_deadline = can_meet_deadline(queue_, entry, running_, now);
  inputs.slot_interval = slot_interval(queue_);
  return decide_admission(request, inputs);
}

void attempt_runner::process_start(wire::StartAttemptT start,
                                   std::uint64_t sender_version, router_link& link,
                                   time_point arrived_at) {
  const auto id = wire::from_wire(*start.attempt_id);
  if (early_cancels_.contains(id)) {
    refuse(start, not_run(errc::request_cancelled), link);
    return;
  }
  auto decision = decide(start, sender_version, arrived_at);
  if (load() + 1 >= limit() && on_limit_reached) {
    on_limit_reached();
  }
  if (decision.action == admission::hold) {
    hold({std::move(start), sender_version, &link, arrived_at});
    return;
  }
  if (decision.action == admission::admit) {
    const auto code = check_request(start);
    if (code == errc::ok) {
      admit(std::move(start), link, arrived_at);
      return;
    }
    decision.refusal = not_run(code);
  }
  refuse(start, decision.refusal, link);
}

void attempt_runner::refuse(const wire::StartAttemptT& start, const outcome& result,
                            router_link& link) {
  const auto code = errc_from_number(static_cast<unsigned>(result.error.value()));
  metrics_.count_refusal(result.error);
  io::log_decision({start.request_id,
                    "refuse",
                    session_.node_id(),
                    std::string(name(code)),
                    {"load:" + std::to_string(load()) + "/" + std::to_string(limit())}});
  send_end(link, wire::from_wire(*start.attempt_id), result, std::string(message(code)));
}

void attempt_runner::hold(held_attempt held) {
  if (held_.size() >= max_held_attempts) {
    refuse(held.start, not_run(errc::no_configuration, hold_timeout), *held.link);
    return;
  }
  io::log_decision(
      {held.start.request_id, "hold", session_.node_id(), "newer_configuration", {}});
  const auto version = held.sender_version;
  held_.push_back(std::move(held));
  record_version(version);
  session_.record_version(version);
}

void attempt_runner::retry_held() {
  auto held = std::move(held_);
  held_.clear();
  for (auto& it : held) {
    process_start(std::move(it.start), it.sender_version, *it.link, it.arrived_at);
  }
}

void attempt_runner::admit(wire::StartAttemptT start, router_link& link,
                           time_point arrived_at) {
  const auto entry = make_entry(start, arrived_at);
  auto added = std::make_unique<attempt>();
  added->id = entry.id;
  added->arrived_at = arrived_at;
  added->deadline = entry.deadline;
  added->cost = entry.cost;
  added->link = &link;
  added->response.max_bytes = session_.config()->limits.max_answer_bytes;
  start.repeatable = is_repeatable_here(start);
  if (!start.repeatable) {
    added->body_hash = hash_call(start.method, start.path, byte_view(start.body));
  }
  added->start = std::move(start);
  metrics_.admitted.Increment();
  io::log_decision({added->start.request_id,
                    "admit",
                    session_.node_id(),
                    "load:" + std::to_string(load() + 1) + "/" + std::to_string(limit()),
                    {}});
  store_.insert(std::move(added));
  push(queue_, entry);
  dispatch();
}

void attempt_runner::dispatch() {
  expire(io::now());
  while (running_ < queue_.settings.slots) {
    const auto entry = pop(queue_);
    if (!entry) {
      return;
    }
    if (auto* it = store_.find(entry->id)) {
      ++running_;
      begin_attempt(*it);
    }
  }
}

void attempt_runner::begin_attempt(attempt& it) {
  it.dispatched_at = io::now();
  metrics_.queue_seconds.Observe(seconds(it.dispatched_at - it.arrived_at));
  if (it.start.repeatable) {
    call_backend(it);
    return;
  }
  it.state = attempt_state::claiming;
  claims_.acquire(it, [this, id = it.id](claim_decision decision) {
    handle_claim(id, std::move(decision));
  });
}

void attempt_runner::call_backend(attempt& it) {
  it.state = attempt_state::calling;
  it.call = backend_.start(make_call(it));
  it.call->on_head = [this, id = it.id](const backend_head& head) {
    auto* known = store_.find(id);
    if (head.is_refusal) {
      handle_refusal(*known, head);
      return;
    }
    known->head = head;
    known->has_head = true;
    store_.send_head_and_data(*known);
  };
  it.call->on_data = [this, id = it.id](byte_view chunk) { handle_data(id, chunk); };
  it.call->on_end = [this, id = it.id](backend_result result, const std::string& detail) {
    handle_call_end(id, result, detail);
  };
}

void attempt_runner::tick() {
  const auto now = io::now();
  expire(now);
  store_.remove_expired(now);
  std::erase_if(early_cancels_, [now](const auto& it) { return it.second <= now; });
  auto held = std::move(held_);
  held_.clear();
  for (auto& it : held) {
    if (now - it.arrived_at < hold_timeout) {
      held_.push_back(std::move(it));
    } else {
      refuse(it.start, not_run(errc::no_configuration, hold_timeout), *it.link);
    }
  }
  std::vector<attempt*> late;
  store_.for_each([&late, now](attempt& it) {
    // A response that began before the deadline and has an attached router continues. The
    // idle timeout limits the time without data.
    const bool in_time = it.has_head && it.link != nullptr;
    if (is_active(it) && !it.abandoned && !in_time && it.deadline <= now) {
      late.push_back(&it);
    }
  });
  for (auto* it : late) {
    give_up(*it, errc::deadline_exceeded);
  }
  dispatch();
}

void attempt_runner::expire(time_point now) {
  for (const auto& entry : remove_expired(queue_, now)) {
    if (auto* it = store_.find(entry.id)) {
      end_attempt(*it, not_run(errc::deadline_exceeded), "the queue is too long");
    }
  }
}

void attempt_runner::resume(const attempt_id& id, std::uint64_t offset,
                            router_link& link) {
  if (auto* it = store_.find(id)) {
    store_.attach(*it, link, offset);
    return;
  }
  // The start message may not have arrived yet, or the response may have been dropped.
  send_end(link, id, may_have_run(errc::unknown_attempt), "the attempt is not known");
}

void attempt_runner::acknowledge(const attempt_id& id, std::uint64_t offset,
                                 const router_link& link) {
  if (auto* it = store_.find(id)) {
    store_.acknowledge(*it, link, offset);
  }
}

void attempt_runner::detach(const attempt_id& id, const router_link& link) {
  auto* it = store_.find(id);
  if (it != nullptr && it->link == &link) {
    store_.detach(*it);
  }
}

void attempt_runner::close_link(const router_link& link) {
  store_.detach_all(link);
  std::erase_if(held_, [&link](const held_attempt& it) { return it.link == &link; });
}

} // namespace marigoldstep::agent
