#include "router/relay.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/http_status.h"
#include "marigoldstep/io/logging.h"
#include "router/router.h"

#include <algorithm>

namespace marigoldstep::router {

namespace {

// A response that is not streamed is buffered until it is complete, up to this size. A
// larger one is forwarded in chunks.
constexpr std::size_t max_buffered_response_bytes = 512U << 10U;
// A quarter of the agent's send window, so that acknowledgements move the window before
// it is full.
constexpr std::uint64_t acknowledge_step_bytes = 64U << 10U;
// A request waits for an available server for this fraction of its deadline: a quarter,
// or half for patient requests.
constexpr int short_wait_divisor = 4;
constexpr int patient_wait_divisor = 2;
constexpr auto default_retry_after = milliseconds(1000);
// Fetching a newer configuration takes one round trip to the control group. Requests are
// refused if it does not arrive within a second (20 waits of 50 ms).
constexpr auto version_wait_interval = milliseconds(50);
constexpr unsigned max_version_waits = 20;

// Whether an attempt ended because of a fault, not overload, of the backend server or its
// agent.
bool is_failure(const outcome& how) {
  constexpr std::array codes = {errc::agent_unreachable, errc::server_unreachable,
                                errc::server_failed, errc::answer_truncated,
                                errc::internal_error};
  return std::any_of(codes.begin(), codes.end(),
                     [&how](errc code) { return how.error == code; });
}

outcome to_outcome(const wire::AttemptEndT& end) {
  outcome out;
  out.result = static_cast<verdict>(end.verdict);
  if (end.verdict > wire::Verdict::may_have_run) {
    out.result = verdict::may_have_run;
  }
  if (end.error_code != 0) {
    out.error = make_error_code(errc_from_number(end.error_code));
  }
  out.retry_after = milliseconds(end.retry_after_ms);
  return out;
}

// Bytes that a start message occupies in memory.
std::size_t allocated_bytes(const wire::StartAttemptT& start) {
  auto n = start.body.capacity() + start.path.capacity();
  for (const auto& it : start.headers) {
    n += sizeof(it) + sizeof(*it) + it->name.capacity() + it->value.capacity();
  }
  return n;
}

std::unique_ptr<wire::AttemptId> wire_id(const attempt_id& id) {
  return std::make_unique<wire::AttemptId>(wire::to_wire(id));
}

} // namespace

// Sends a message about the current attempt if its start message was written.
template <typename Body> void relay::send_about_attempt(Body body) {
  if (link_ != nullptr && state_.start_written) {
    body.attempt_id = wire_id(state_.current);
    link_->send(std::move(body));
  }
}

relay::relay(router& owner, relay_job job, caller_response response)
    : owner_(owner), job_(std::move(job)), response_(response),
      start_bytes_(allocated_bytes(job_.start)), held_(owner.memory()) {
  state_.repeatable = job_.request.repeatable;
  deadline_ = job_.received_at + job_.request.deadline;
  last_progress_at_ = job_.received_at;
}

// Updates what this request holds: the request, its copy on the link to the agent until a
// response shows that it was read, and the response.
void relay::update_hold() {
  const std::size_t copies = link_ != nullptr && head_ == nullptr ? 2 : 1;
  const auto n = finished_ ? 0 : copies * start_bytes_ + buffered_.capacity();
  static_cast<void>(held_.set({hold_kind::running, n, 0, job_.received_at}));
}

void relay::begin() {
  update_hold();
  owner_.record_first_attempt();
  try_next_server();
}

void relay::begin_resume(const resume_token& token, std::uint64_t offset) {
  is_resume_ = true;
  server_id_ = token.agent;
  begin_attempt(state_, token.attempt);
  mark_start_written(state_);
  state_.next_offset = offset;
  acknowledged_ = offset;
  wait_until(deadline_);
  link_ = owner_.find_link(token.agent);
  if (link_ == nullptr) {
    apply(on_agent_loss(state_, errc::unknown_attempt));
    return;
  }
  link_->attach(state_.current, *this);
}

void relay::try_next_server() {
  const auto now = io::now();
  if (now >= deadline_) {
    apply(give_up(state_, not_run(errc::deadline_exceeded)));
    return;
  }
  if (owner_.newest_version_seen() > owner_.config_version() && may_wait_for_version()) {
    wait_for_version();
    return;
  }
  if (!owner_.may_take_work()) {
    apply(give_up(state_, not_run(errc::lease_expired, default_retry_after)));
    return;
  }
  auto found = owner_.choose_server(job_.request, tried_);
  owner_.log_choice(job_.request_id, state_.attempts, found);
  if (found.server == nullptr || found.all_refused_recently) {
    wait_for_server(last_refusal_.error ? last_refusal_.error
                                        : make_error_code(errc::no_server_available));
  } else if (state_.attempts > 0 && !is_free_retry_ && !owner_.take_retry()) {
    wait_for_server(errc::retry_budget_exhausted);
  } else {
    start_attempt(*found.server);
  }
}

bool relay::may_wait_for_version() const {
  return version_waits_ < max_version_waits;
}

// A newer configuration exists; the next attempt waits until it is applied here.
void relay::wait_for_version() {
  ++version_waits_;
  waits_for_version_ = true;
  wait_until(io::now() + version_wait_interval);
}

// Called when no attempt can be made now. Waiting causes no load, but the caller must get
// an error early enough to retry later or elsewhere.
void relay::wait_for_server(std::error_code why) {
  const bool is_patient = job_.request.priority == priority::patient;
  const auto divisor = is_patient ? patient_wait_divisor : short_wait_divisor;
  const auto now = io::now();
  const auto give_up_at = job_.received_at + job_.request.deadline / divisor;
  if (now >= give_up_at) {
    const auto hint = std::max(last_refusal_.retry_after, default_retry_after);
    apply(give_up(state_, {verdict::not_run, why, hint}));
    return;
  }
  tried_.clear();
  wait_until(
      std::min(now + backoff_delay(backoff_rounds_, io::random_engine()), give_up_at));
  ++backoff_rounds_;
}

void relay::start_attempt(const server_info& server) {
  if (state_.attempts > 0) {
    owner_.metrics().count_retry();
  }
  begin_attempt(state_, io::make_attempt_id());
  is_free_retry_ = false;
  waits_for_version_ = false;
  server_id_ = server.node_id;
  server_incarnation_ = server.incarnation;
  head_.reset();
  buffered_.clear();
  update_hold();
  acknowledged_ = 0;
  has_server_error_ = false;
  wait_until(deadline_);
  record_attempt_start(owner_.fleet(), job_.request.service, server_id_, io::now());
  link_ = &owner_.link(server);
  link_->attach(state_.current, *this);
}

void relay::on_link_ready(incarnation agent) {
  if (finished_) {
    return;
  }
  if (!state_.start_written) {
    agent_incarnation_ = agent;
    send_start();
  } else if (agent_incarnation_ != 0 && agent != agent_incarnation_) {
    detach_link();
    apply(on_agent_loss(state_, errc::agent_unreachable));
  } else {
    agent_incarnation_ = agent;
    send_resume();
  }
}

void relay::send_start() {
  const auto now = io::now();
  if (now >= deadline_) {
    detach_link();
    apply(give_up(state_, not_run(errc::deadline_exceeded)));
    return;
  }
  auto start = job_.start;
  start.attempt_id = wire_id(state_.current);
  start.deadline_ms = static_cast<std::uint32_t>((deadline_ - now).count());
  start.server_incarnation = server_incarnation_;
  if (link_->send(std::move(start))) {
    mark_start_written(state_);
    if (state_.attempts == 1) {
      owner_.metrics().observe_added_latency(std::chrono::steady_clock::now() -
                                             job_.latency_start);
    }
  }
}

void relay::send_resume() {
  wire::ResumeAttemptT body;
  body.offset = state_.next_offset;
  send_about_attempt(std::move(body));
  owner_.metrics().count_resume();
}

void relay::on_link_lost() {
  link_ = nullptr;
  record_attempt_result(owner_.fleet(), job_.request.service, server_id_, true,
                        io::now());
  apply(on_agent_loss(state_, errc::agent_unreachable));
}

void relay::on_replaced() {
  link_ = nullptr;
  apply(on_agent_loss(state_, errc::attempt_expired));
}

void relay::on_agent_frame(wire::DataFrameT& frame) {
  if (finished_) {
    return;
  }
  if (auto* body = frame.body.AsAttemptHead()) {
    if (accept_head(state_, wire::from_wire(*body->attempt_id))) {
      head_ = std::make_unique<wire::AttemptHeadT>(std::move(*body));
      constexpr int first_server_error = 500;
      has_server_error_ = head_->status >= first_server_error;
    }
  } else if (const auto* data = frame.body.AsAttemptData()) {
    handle_data(*data);
  } else if (const auto* end = frame.body.AsAttemptEnd()) {
    handle_end(*end);
  }
}

void relay::handle_data(const wire::AttemptDataT& data) {
  const auto id = wire::from_wire(*data.attempt_id);
  switch (accept_data(state_, id, data.offset, data.data.size())) {
  case data_check::accept:
    owner_.metrics().add_response_bytes(data.data.size());
    forward_data(data.data);
    break;
  case data_check::stale:
    owner_.metrics().count_stale_frame();
    break;
  case data_check::gap:
    owner_.metrics().count_stale_frame();
    send_resume();
    break;
  }
}

void relay::handle_end(const wire::AttemptEndT& end) {
  const auto how = to_outcome(end);
  if (is_resume_ && !state_.head_seen && how.result == verdict::completed) {
    owner_.metrics().count_stale_frame(); // for the request before this one
    return;
  }
  record_attempt_result(owner_.fleet(), job_.request.service, server_id_,
                        is_failure(how) || has_server_error_, io::now());
  if (is_resume_) {
    ensure_head();
  }
  if (how.error == errc::unknown_attempt && !is_resume_) {
    // The start message may still arrive from the connection that was lost.
    send_about_attempt(wire::CancelAttemptT());
  }
  const auto decision = on_attempt_end(state_, state_.current, {how, end.total_length});
  if (decision.action != relay_action::finish) {
    detach_link();
  }
  apply(decision);
}

wire::AttemptHeadT& relay::ensure_head() {
  // A resumed attempt may end before its head has arrived.
  if (head_ == nullptr) {
    constexpr int ok = 200;
    head_ = std::make_unique<wire::AttemptHeadT>();
    head_->status = ok;
    accept_head(state_, state_.current);
  }
  return *head_;
}

bool relay::may_buffer_response() const {
  constexpr int first_error_status = 400;
  const bool is_error = head_ != nullptr && head_->status >= first_error_status;
  const bool streams = is_resume_ || (job_.request.stream && !is_error);
  return !streams && buffered_.size() <= max_buffered_response_bytes &&
         !owner_.memory()->is_scarce();
}

bool relay::has_unproven_refusal() const {
  return head_ != nullptr && io::http_status::promises_not_run(head_->status);
}

void relay::forward_data(byte_view data) {
  if (has_unproven_refusal()) {
    acknowledge(acknowledge_step_bytes);
    return;
  }
  if (!state_.response_forwarded) {
    buffered_.append(as_text(data));
    update_hold();
    if (!may_buffer_response()) {
      begin_response();
    }
  } else {
    response_.write_chunk(data);
  }
  acknowledge(acknowledge_step_bytes);
}

void relay::begin_response() {
  const auto& head = ensure_head();
  if (!mark_response_forwarded(state_)) {
    return;
  }
  response_.begin(head, make_response_ids());
  response_.write_chunk(as_bytes(buffered_));
  // No other attempt can follow, so the request is no longer needed.
  buffered_ = {};
  job_.start = {};
  start_bytes_ = 0;
  head_.reset();
  tried_ = {};
  update_hold();
  last_progress_at_ = io::now();
  wait_until(last_progress_at_ + owner_.limits().caller_stall_timeout);
}

// Acknowledges the bytes written from the socket's buffer if they are at least step more
// than acknowledged before.
void relay::acknowledge(std::uint64_t step) {
  const auto queued = response_.queued_bytes();
  const auto delivered = state_.next_offset - std::min(queued, state_.next_offset);
  if (delivered < acknowledged_ + step) {
    return;
  }
  acknowledged_ = delivered;
  wire::AttemptAckT ack;
  ack.offset = delivered;
  send_about_attempt(std::move(ack));
}

response_ids relay::make_response_ids() const {
  return {job_.request_id, to_string(resume_token{server_id_, state_.current})};
}

// Leaves the attempt to a later resume if the caller has a resume token, which it gets
// with the head of the response.
void relay::abandon_attempt() {
  if (state_.response_forwarded || is_resume_) {
    send_about_attempt(wire::DetachAttemptT());
  } else {
    send_about_attempt(wire::CancelAttemptT());
  }
}

void relay::on_bytes_sent() {
  last_progress_at_ = io::now();
  acknowledge(acknowledge_step_bytes);
}

void relay::on_caller_disconnected() {
  response_.clear_connection();
  if (finished_) {
    return;
  }
  // A call that is not repeatable continues, because its response is stored under its
  // idempotency key.
  if (state_.repeatable) {
    abandon_attempt();
  } else {
    send_about_attempt(wire::DetachAttemptT());
  }
  state_.ended = true;
  const bool may_run = state_.start_written || state_.earlier_may_have_run;
  finish_request({may_run ? verdict::may_have_run : verdict::not_run, {}, {}},
                 "caller_gone");
}

void relay::wait_until(time_point when) {
  const auto until = state_.response_forwarded ? when : std::min(when, deadline_);
  owner_.reschedule(*this, next_wakeup_, until);
  next_wakeup_ = until;
}

void relay::detach_link() {
  if (link_ != nullptr) {
    link_->detach(state_.current);
    link_ = nullptr;
  }
}

void relay::on_wakeup(time_point now) {
  if (finished_) {
    return;
  }
  if (state_.response_forwarded) {
    const auto stall = owner_.limits().caller_stall_timeout;
    if (response_.queued_bytes() > 0 && now - last_progress_at_ >= stall) {
      send_about_attempt(wire::DetachAttemptT());
      close_caller(may_have_run(errc::deadline_exceeded));
      return;
    }
    wait_until(now + stall);
    return;
  }
  if (now >= deadline_) {
    abandon_attempt();
    detach_link();
    apply(give_up(state_, not_run(errc::deadline_exceeded)));
  } else if (link_ == nullptr && !state_.claim_requested) {
    try_next_server();
  } else {
    wait_until(deadline_);
  }
}

void relay::on_configuration() {
  if (!finished_ && waits_for_version_) {
    waits_for_version_ = false;
    try_next_server();
  }
}

} // namespace marigoldstep::router
