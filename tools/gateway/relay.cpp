#include "gateway/relay.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/http_status.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/io/request_fingerprint.h"
#include "platform/messages.h"

#include <algorithm>

namespace marigoldstep::gateway {

namespace {

// Lets a response that the backend server sends at the deadline arrive first.
constexpr auto deadline_slack = milliseconds(100);
// Responses up to this size are buffered before they are forwarded, so that another
// attempt can replace a truncated one.
constexpr std::size_t max_buffered_response_bytes = 256U << 10U;
// An error response over this size counts as broken, since it is passed on in one piece.
constexpr std::size_t max_error_body_bytes = 1U << 20U;
// Reading from the backend server pauses while more than this is queued for a caller
// that reads slowly.
constexpr std::size_t pause_above_bytes = 256U << 10U;
constexpr std::size_t resume_below_bytes = 64U << 10U;
// After a restart of the fleet the first configuration arrives about a second later.
// The jitter spreads the retries of the callers.
constexpr auto startup_retry_delay = milliseconds(900);
constexpr std::uint64_t startup_retry_jitter_ms = 300;
// A gateway that has just started is ready after some hundred milliseconds. A request
// that waits for that is often served in time; one that is refused seldom is.
constexpr auto max_startup_wait = milliseconds(600);
// Short, since the retry goes to another gateway.
constexpr auto stopping_retry_delay = milliseconds(20);

// Whether the response's body consists of events. Servers may omit the media type.
bool has_events(const io::http_head& head) {
  constexpr std::string_view media_type = "text/event-stream";
  const auto* value = io::find_field(head, "Content-Type");
  return value == nullptr ||
         io::equal_ignoring_case(std::string_view(*value).substr(0, media_type.size()),
                                 media_type);
}

} // namespace

relay::relay(gateway& owner, io::http_connection& caller, io::http_request request)
    : QObject(&owner), owner_(owner), caller_(&caller), request_(std::move(request)),
      request_bytes_(request_.body.capacity() + io::allocated_bytes(request_.head)),
      held_(owner.memory), table_(owner.table()),
      deadline_timer_([this] { handle_timeout(); }), started_at_(io::now()) {
  update_hold();
  caller.on_closed = [this] { handle_caller_disconnect(); };
  caller.on_drained = [this] { handle_drained(); };
}

relay::~relay() {
  if (has_caller()) {
    caller_->on_closed = nullptr;
    caller_->on_drained = nullptr;
    caller_.clear();
  }
  release_attempt(false);
}

// A server may be running the request, so that what it holds is not taken back.
void relay::update_hold() {
  auto n = request_bytes_ + held_events_.capacity();
  if (attempt_) {
    n += attempt_->body.capacity() + attempt_->events.partial.capacity() +
         attempt_->connection->held_bytes();
  }
  static_cast<void>(held_.set({hold_kind::running, n, 0, started_at_}));
}

milliseconds relay::time_left() const {
  return state_.deadline - io::now();
}

void relay::start() {
  call_ = platform::parse_request_head(request_.head);
  if (!owner_.is_starting()) {
    begin();
    return;
  }
  waits_for_gateway_ = true;
  deadline_timer_.start(
      std::min(max_startup_wait, call_.deadline.value_or(max_startup_wait) / 2));
  owner_.when_started(this, [this] {
    if (waits_for_gateway_ && !done_) {
      waits_for_gateway_ = false;
      table_ = owner_.table();
      begin();
    }
  });
}

void relay::refuse_without_configuration() {
  const auto jitter = stable_hash(call_.request_id, 1) % startup_retry_jitter_ms;
  respond_not_run("no configuration yet", startup_retry_delay + milliseconds(jitter));
}

void relay::begin() {
  if (!table_) {
    refuse_without_configuration();
    return;
  }
  if (!resolve_target()) {
    return;
  }
  if (!owner_.may_start_request(route_->timeout)) {
    respond_not_run("stopping", stopping_retry_delay);
    return;
  }
  state_.kind = route_->kind;
  state_.max_attempts = route_->max_attempts;
  const auto allowed =
      std::min(call_.deadline.value_or(route_->timeout), route_->timeout);
  state_.deadline = started_at_ + allowed;
  last_event_ = call_.last_event;
  deadline_timer_.start(state_.deadline + deadline_slack);
  record_request(owner_.retries, service_, started_at_);
  if (resumes_stream()) {
    find_version();
  } else {
    send_attempt();
  }
}

// Finds route, workspace and service. Responds with an error and returns false when
// one is missing or the request has no id.
bool relay::resolve_target() {
  const auto* host = io::find_field(request_.head, "host");
  route_ = find_route(*table_, host == nullptr ? "" : *host, request_.head.target);
  if (route_ == nullptr) {
    respond(io::http_status::not_found, "no such route", std::nullopt);
    return false;
  }
  priority_ = route_->priority;
  if (!route_->is_public && table_->config.requires_keys) {
    const auto* workspace = find_workspace(*table_, call_.key);
    if (workspace == nullptr) {
      respond(io::http_status::unauthorized, "unknown key", std::nullopt);
      return false;
    }
    workspace_ = workspace->name;
    priority_ = workspace->priority >= 0 ? workspace->priority : *priority_;
  }
  if (call_.request_id.empty()) {
    respond(io::http_status::bad_request, "a request id is required", std::nullopt);
    return false;
  }
  // A stream goes on at the service where it began.
  const auto& first_id =
      call_.resumed_request.empty() ? call_.request_id : call_.resumed_request;
  service_ = pick_service(*route_, stable_hash(first_id));
  fingerprint_ = io::fingerprint({request_.head.method, route_->host,
                                  request_.head.target, workspace_, request_.body});
  traits_ = make_traits(service_hash(service_),
                        route_->has_prompts ? call_.prompt : std::vector<prompt_part>(),
                        fingerprint_);
  return true;
}

dispatch_request relay::make_dispatch_request() const {
  dispatch_request request;
  request.service = service_;
  request.zone = owner_.settings().zone;
  request.prompt = route_->has_prompts ? call_.prompt : std::vector<prompt_part>();
  request.tried = tried_servers_;
  request.version = version_;
  if (const auto* service = find_service(*table_, service_)) {
    request.batch = service->batch;
    request.max_connections = service->max_connections;
  }
  return request;
}

bool relay::has_candidate() const {
  return !is_quarantined(owner_.traits, traits_) &&
         owner_.choose_backend(make_dispatch_request()).server != nullptr;
}

void relay::send_attempt() {
  // A busy router may read a request, and end an attempt, long after the caller has left.
  if (has_caller() && caller_->has_client_left()) {
    abandon();
    return;
  }
  const auto request = make_dispatch_request();
  if (const auto trait = owner_.refuse_quarantined(traits_)) {
    refuse_quarantined(*trait);
    return;
  }
  const auto choice = owner_.choose_backend(request);
  if (choice.server == nullptr) {
    if (state_.response_started) {
      abort_response("no backend server can resume the response");
      return;
    }
    const auto retry =
        refusal_delay(choice, time_left(), stable_hash(call_.request_id, 1));
    if (state_.may_have_run) {
      apply_step(relay_step::answer_unknown, attempt_end::not_connected, {});
    } else {
      respond_not_run(name(choice.reason), retry);
    }
    return;
  }
  send_to(*choice.server, choice, request);
}

void relay::send_to(const announced_server& server, const dispatch_choice& choice,
                    const dispatch_request& request) {
  attempt it;
  it.server = server;
  it.tokens = std::uint64_t{call_.prompt_tokens} + call_.max_response_tokens;
  io::log_decision(
      {call_.request_id,
       "route",
       server.id,
       std::string(name(choice.reason)),
       {"load:" + std::to_string(choice.load),
        "candidates:" + std::to_string(choice.candidates),
        "routing:" + std::to_string(table_->config.version),
        "version:" + (server.version.empty() ? std::string("unknown") : server.version),
        "copy_from:" +
            (choice.copy_from == nullptr ? std::string("none") : choice.copy_from->id),
        "prompt:" + to_string(request.prompt), "request:" + hex_id(fingerprint_),
        "resume_after:" + (last_event_ ? std::to_string(*last_event_) : "none"),
        "resumes:" + (call_.resumed_request.empty() ? std::string("none")
                                                    : call_.resumed_request)}});
  platform::attempt_fields added;
  added.server_id = server.id;
  added.workspace = workspace_;
  added.time_left = std::max(milliseconds(1), time_left());
  if (route_->has_prompts) {
    added.priority = priority_;
    record_prompt_sent(owner_.dispatch, request, server.id, io::now());
  }
  if (choice.copy_from != nullptr) {
    added.copy_from =
        choice.copy_from->host + ":" + std::to_string(choice.copy_from->port);
  }
  it.events.last_event = last_event_;
  if (state_.response_started) {
    added.last_event = last_event_;
  }
  it.connection = open_connection({server.host, server.port});
  it.connection->may_send = [this] {
    return may_send_to(owner_.dispatch, attempt_->server, io::now()) &&
           !(has_caller() && caller_->has_client_left());
  };
  it.connection->on_head = [this](const io::http_head& head) { handle_head(head); };
  it.connection->on_body = [this](std::string piece) { handle_body(std::move(piece)); };
  it.connection->on_done = [this] { handle_done(); };
  it.connection->on_failed = [this](io::exchange_failure why) { handle_failure(why); };
  tried_servers_.push_back(server.id);
  record_sent(owner_.dispatch, server.id, it.tokens);
  use_limits(owner_.dispatch, server, io::now());
  auto* connection = it.connection;
  attempt_ = std::move(it);
  connection->send(
      platform::make_backend_request(request_.head, request_.body.size(), added),
      request_.head.method == "HEAD", request_.body);
  update_hold();
}

// A new connection for a HEAD request, since the second response to an earlier request
// would be taken to end with its head, and where an earlier attempt used the address,
// since a second response to it would bear this request's id.
io::backend_connection* relay::open_connection(const io::endpoint& target) {
  const bool was_tried = std::find(tried_addresses_.begin(), tried_addresses_.end(),
                                   target) != tried_addresses_.end();
  tried_addresses_.push_back(target);
  return was_tried || request_.head.method == "HEAD"
             ? owner_.pool.open(target, call_.request_id)
             : owner_.pool.acquire(target, call_.request_id);
}

bool relay::is_forwardable_response() const {
  const auto& it = *attempt_;
  return it.head.status >= io::http_status::ok &&
         it.head.status < io::http_status::redirect && it.metadata.is_signed &&
         io::find_field(it.head, "Content-Encoding") == nullptr;
}

void relay::handle_head(const io::http_head& head) {
  auto& it = *attempt_;
  const auto metadata = platform::parse_response_head(head);
  if (!metadata.request_id.empty() && metadata.request_id != call_.request_id) {
    io::log_event(io::log_level::warning, "foreign_answer_skipped",
                  {{"request_id", call_.request_id},
                   {"server", it.server.id},
                   {"other", metadata.request_id}});
    it.connection->skip_response();
    return;
  }
  if (metadata.request_id.empty()) {
    io::log_event(
        io::log_level::warning, "response_without_id",
        {{"request_id", call_.request_id},
         {"server", it.server.id},
         {"status", std::to_string(head.status)},
         {"signed", metadata.is_signed ? "true" : "false"},
         {"not_run", metadata.not_run ? "true" : "false"},
         {"first_exchange", it.connection->is_first_exchange() ? "true" : "false"}});
    end_attempt(attempt_end::broken);
    return;
  }
  it.metadata = metadata;
  it.head = head;
  it.has_head = true;
  if (metadata.load) {
    record_reported_load(owner_.dispatch, it.server.id, *metadata.load, io::now());
  }
  it.is_stream = is_stream(route_->kind) && has_events(head);
  it.is_forwarding = is_forwardable_response() && it.is_stream;
  record_notice(metadata);
}

// The notice is valid for the incarnation to which the request was sent.
void relay::record_notice(const response_metadata& metadata) {
  const auto& server = attempt_->server;
  auto& notice = owner_.dispatch.stats[server.id].notice;
  if (!metadata.problem.empty()) {
    io::log_event(io::log_level::warning, "response_field_ignored",
                  {{"request_id", call_.request_id},
                   {"server", server.id},
                   {"problem", metadata.problem}});
  }
  if (metadata.leaving && record_leaving(notice, server.started)) {
    owner_.pool.close_idle({server.host, server.port});
    io::log_event(io::log_level::info, "server_leaving",
                  {{"request_id", call_.request_id},
                   {"server", server.id},
                   {"started", std::to_string(server.started)}});
  }
  if (metadata.backoff &&
      record_backoff(notice, server.started, *metadata.backoff, io::now())) {
    io::log_event(io::log_level::info, "server_backoff",
                  {{"request_id", call_.request_id},
                   {"server", server.id},
                   {"started", std::to_string(server.started)},
                   {"ms", std::to_string(metadata.backoff->count())}});
  }
  // Another server at the address says nothing about this one.
  if (!metadata.wrong_server) {
    owner_.record_request_limit(server, metadata.request_limit, call_.request_id);
  }
  if (!metadata.not_run && !metadata.backoff) {
    record_accepted(notice, server.started, io::now());
  }
}

void relay::handle_body(std::string piece) {
  auto& it = *attempt_;
  if (it.is_forwarding) {
    forward_body(piece);
    if (attempt_ && is_too_long(attempt_->events)) {
      io::log_event(io::log_level::warning, "event_too_long",
                    {{"request_id", call_.request_id}, {"server", attempt_->server.id}});
      end_attempt(attempt_end::broken);
    }
    return;
  }
  if (state_.response_started || !has_caller()) {
    return; // the body of another kind of response can't continue it
  }
  it.body += piece;
  update_hold();
  if (it.body.size() <= max_buffered_response_bytes) {
    return;
  }
  if (is_forwardable_response()) {
    it.is_forwarding = true;
    const auto buffered = std::move(it.body);
    it.body.clear();
    forward_body(buffered);
    return;
  }
  end_large_response();
}

// Ends an attempt whose large response is not forwarded, unless it may still be passed
// on.
void relay::end_large_response() {
  const auto end = classify_response();
  const auto n = attempt_->body.size();
  if (end == attempt_end::failed && n <= max_error_body_bytes) {
    return;
  }
  io::log_event(io::log_level::warning, "response_too_large",
                {{"request_id", call_.request_id},
                 {"server", attempt_->server.id},
                 {"status", std::to_string(attempt_->head.status)},
                 {"bytes", std::to_string(n)}});
  end_attempt(end == attempt_end::failed ? attempt_end::broken : end);
}

void relay::forward_body(std::string_view piece) {
  if (!has_caller()) {
    return;
  }
  auto& it = *attempt_;
  std::string out(piece);
  bool is_continuable = false;
  if (it.is_stream) {
    auto events = split_events(it.events, piece);
    // A stream that another server may continue is forwarded in whole events.
    if (route_->kind == route_kind::resumable_stream) {
      out = std::move(events);
      is_continuable = it.events.is_resumable;
    } else if (is_too_long(it.events)) {
      drop_partial(it.events);
    }
  }
  it.received_bytes += piece.size();
  it.forwarded_bytes += out.size();
  if (out.empty()) {
    return;
  }
  last_event_ = it.events.last_event;
  state_.is_continuable = is_continuable;
  if (route_->kind == route_kind::resumable_stream &&
      origin_record_ != origin_record::settled) {
    held_events_ += out;
    if (origin_record_ == origin_record::none) {
      record_origin();
    }
    if (held_events_.size() > pause_above_bytes) {
      it.connection->set_paused(true);
    }
    return;
  }
  begin_response();
  caller_->write_body(out);
  if (caller_->queued_bytes() > pause_above_bytes) {
    it.connection->set_paused(true);
  }
}

void relay::begin_response() {
  if (state_.response_started) {
    return;
  }
  state_.response_started = true;
  owner_.metrics.first_byte_seconds.Observe(
      std::chrono::duration<double>(io::now() - started_at_).count());
  const auto length = attempt_->is_stream ? std::nullopt : attempt_->head.length;
  caller_->begin(attempt_->head.status, platform::make_response_fields(attempt_->head),
                 length);
}

void relay::handle_drained() {
  if (attempt_ && has_caller() && caller_->queued_bytes() < resume_below_bytes) {
    attempt_->connection->set_paused(false);
  }
}

} // namespace marigoldstep::gateway
