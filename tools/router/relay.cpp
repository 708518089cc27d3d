#include "router/relay.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"
#include "router/router.h"

#include <algorithm>

namespace marigoldstep::router {

namespace {

// An answer that is not streamed is held until it is known to be whole, up to
// this size; a larger one is passed on in chunks.
constexpr std::size_t longest_held_answer = 512U << 10U;
// A quarter of the agent's send window, so that acknowledgements open it before
// it is used up.
constexpr std::uint64_t acknowledge_every = 64U << 10U;
// How often all candidates are asked again. Patient requests tolerate waiting.
constexpr unsigned short_rounds = 3;
constexpr unsigned patient_rounds = 8;
constexpr auto default_avoid_time = duration(100);
constexpr auto default_retry_after = duration(1000);
constexpr auto cancel_timeout = duration(1000);
// Fetching a newer configuration takes one round trip to the control group.
constexpr auto stale_retry_delay = duration(50);
constexpr unsigned most_stale_refusals = 20;

// Refusals that another backend server would repeat.
bool is_final(std::error_code error) {
  constexpr std::array codes = {errc::bad_request,
                                errc::body_too_large,
                                errc::unknown_workspace,
                                errc::unknown_model,
                                errc::unknown_service,
                                errc::missing_idempotency_key,
                                errc::bad_idempotency_key,
                                errc::idempotency_key_expired,
                                errc::idempotency_key_reused,
                                errc::idempotency_key_in_future,
                                errc::request_cancelled,
                                errc::already_running,
                                errc::deadline_exceeded,
                                errc::answer_too_large,
                                errc::message_too_large};
  return std::any_of(codes.begin(), codes.end(),
                     [error](errc code) { return error == code; });
}

// Ends that say that the backend server or its agent is broken, not busy.
bool is_failure(const outcome& how) {
  constexpr std::array codes = {errc::agent_unreachable, errc::server_unreachable,
                                errc::server_failed,     errc::answer_truncated,
                                errc::wrong_incarnation, errc::internal_error};
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
  out.retry_after = duration(end.retry_after_ms);
  return out;
}

std::unique_ptr<wire::AttemptId> wire_id(const attempt_id& id) {
  return std::make_unique<wire::AttemptId>(wire::to_wire(id));
}

} // namespace

relay::relay(router& owner, relay_job job, caller_answer answer)
    : owner_(owner), job_(std::move(job)), answer_(std::move(answer)) {
  state_.repeatable = job_.request.repeatable;
  deadline_ = job_.received_at + job_.request.deadline;
  drained_at_ = job_.received_at;
}

void relay::begin() {
  owner_.note_first_attempt();
  try_next();
}

void relay::begin_resume(const resume_token& token, std::uint64_t offset) {
  resume_only_ = true;
  server_id_ = token.agent;
  begin_attempt(state_, token.attempt);
  note_start_written(state_);
  state_.next_offset = offset;
  acknowledged_ = offset;
  wait_until(deadline_);
  link_ = owner_.find_link(token.agent);
  if (link_ == nullptr) {
    apply(after_agent_loss(state_, errc::unknown_attempt));
    return;
  }
  link_->attach(state_.current, *this);
}

void relay::try_next() {
  const auto now = io::now();
  wanted_version_ = 0;
  if (now >= deadline_) {
    apply(give_up(state_, not_run(errc::deadline_exceeded)));
    return;
  }
  if (!owner_.may_take_work()) {
    apply(give_up(state_, not_run(errc::lease_expired, default_retry_after)));
    return;
  }
  auto found = owner_.choose_server(job_.request, tried_);
  owner_.log_choice(job_.request_id, state_.attempts, found);
  if (found.server == nullptr) {
    handle_no_server();
    return;
  }
  start_attempt(*found.server);
}

void relay::handle_no_server() {
  const auto limit =
      job_.request.priority == priority::patient ? patient_rounds : short_rounds;
  if (rounds_ >= limit) {
    const auto error = last_refusal_.error ? last_refusal_.error
                                           : make_error_code(errc::no_server_available);
    const auto hint = std::max(last_refusal_.retry_after, default_retry_after);
    apply(give_up(state_, {verdict::not_run, error, hint}));
    return;
  }
  tried_.clear();
  wait_until(io::now() + backoff_delay(rounds_, io::random_engine()));
  ++rounds_;
}

void relay::start_attempt(const server_info& server) {
  begin_attempt(state_, io::make_attempt_id());
  server_id_ = server.node_id;
  server_incarnation_ = server.incarnation;
  head_.reset();
  held_.clear();
  acknowledged_ = 0;
  failed_status_ = false;
  wait_until(deadline_);
  note_start(owner_.fleet(), job_.request.service, server_id_, io::now());
  link_ = &owner_.link(server);
  link_->attach(state_.current, *this);
}

void relay::on_link_ready(incarnation agent) {
  if (finished_) {
    return;
  }
  if (!state_.start_written) {
    agent_ = agent;
    send_start();
  } else if (agent_ != 0 && agent != agent_) {
    leave_link();
    apply(after_agent_loss(state_, errc::agent_unreachable));
  } else {
    agent_ = agent;
    send_resume();
  }
}

void relay::send_start() {
  const auto now = io::now();
  if (now >= deadline_) {
    leave_link();
    apply(give_up(state_, not_run(errc::deadline_exceeded)));
    return;
  }
  auto start = job_.start;
  start.attempt_id = wire_id(state_.current);
  start.deadline_ms = static_cast<std::uint32_t>((deadline_ - now).count());
  start.server_incarnation = server_incarnation_;
  if (link_->send(std::move(start))) {
    note_start_written(state_);
    if (state_.attempts == 1) {
      owner_.metrics().observe_added_latency(now - job_.received_at);
    }
  }
}

void relay::send_resume() {
  wire::ResumeAttemptT body;
  body.attempt_id = wire_id(state_.current);
  body.offset = state_.next_offset;
  link_->send(std::move(body));
  owner_.metrics().count_resume();
}

void relay::on_link_lost() {
  link_ = nullptr;
  note_result(owner_.fleet(), job_.request.service, server_id_, true, io::now());
  apply(after_agent_loss(state_, errc::agent_unreachable));
}

void relay::on_agent_frame(wire::DataFrameT& frame) {
  if (finished_) {
    return;
  }
  if (auto* body = frame.body.AsAttemptHead()) {
    if (accept_head(state_, wire::from_wire(*body->attempt_id))) {
      head_ = std::make_unique<wire::AttemptHeadT>(std::move(*body));
      constexpr int first_server_error = 500;
      failed_status_ = head_->status >= first_server_error;
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
    owner_.metrics().add_answer_bytes(data.data.size());
    pass_on(data.data);
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
  leave_link();
  note_result(owner_.fleet(), job_.request.service, server_id_,
              is_failure(how) || failed_status_, io::now());
  if (resume_only_) {
    ensure_head();
  }
  apply(after_end(state_, state_.current, {how, end.total_length}));
}

wire::AttemptHeadT& relay::ensure_head() {
  // An agent may leave the head out of a resumed answer.
  if (head_ == nullptr) {
    constexpr int ok = 200;
    head_ = std::make_unique<wire::AttemptHeadT>();
    head_->status = ok;
    accept_head(state_, state_.current);
  }
  return *head_;
}

bool relay::holds_answer() const {
  constexpr int first_error_status = 400;
  const bool is_error = head_ != nullptr && head_->status >= first_error_status;
  const bool streams = resume_only_ || (job_.request.stream && !is_error);
  return !streams && held_.size() <= longest_held_answer;
}

void relay::pass_on(byte_view data) {
  if (!state_.passed_on) {
    held_.append(as_text(data));
    if (head_ == nullptr && !resume_only_) {
      return; // without acknowledgements the agent's window bounds what is held
    }
    if (!holds_answer()) {
      begin_answer();
    }
  } else {
    answer_.write_chunk(data);
  }
  acknowledge();
}

void relay::begin_answer() {
  const auto& head = ensure_head();
  if (!note_passed_on(state_)) {
    return;
  }
  answer_.begin(head, labels());
  answer_.write_chunk(as_bytes(held_));
  // No other attempt can follow, so the memory of the request is given back.
  held_ = {};
  job_.start = {};
  head_.reset();
  tried_ = {};
  drained_at_ = io::now();
  wait_until(drained_at_ + owner_.limits().caller_stall_timeout);
}

void relay::acknowledge() {
  const auto queued = answer_.queued_bytes();
  const auto delivered = state_.next_offset - std::min(queued, state_.next_offset);
  if (link_ == nullptr || delivered < acknowledged_ + acknowledge_every) {
    return;
  }
  acknowledged_ = delivered;
  wire::AttemptAckT ack;
  ack.attempt_id = wire_id(state_.current);
  ack.offset = delivered;
  link_->send(std::move(ack));
}

answer_labels relay::labels() const {
  return {job_.request_id, to_string(resume_token{server_id_, state_.current})};
}

void relay::on_caller_drained() {
  drained_at_ = io::now();
  acknowledge();
}

void relay::on_caller_gone() {
  answer_.forget();
  if (finished_) {
    return;
  }
  // Without the head the caller has no resume token, so nobody will ask for a
  // repeatable answer. A call that may not be repeated goes on: its answer is
  // stored under its key.
  if (link_ != nullptr && state_.start_written) {
    if (state_.passed_on || !state_.repeatable) {
      wire::DetachAttemptT body;
      body.attempt_id = wire_id(state_.current);
      link_->send(std::move(body));
    } else {
      wire::CancelAttemptT body;
      body.attempt_id = wire_id(state_.current);
      link_->send(std::move(body));
    }
  }
  leave_link();
  state_.ended = true;
  done(name(verdict::may_have_run), "caller_gone");
}

void relay::wait_until(time_point when) {
  const auto until = state_.passed_on ? when : std::min(when, deadline_);
  owner_.reschedule(*this, wake_at_, until);
  wake_at_ = until;
}

void relay::leave_link() {
  if (link_ != nullptr) {
    link_->detach(state_.current);
    link_ = nullptr;
  }
}

void relay::wake(time_point now) {
  if (finished_) {
    return;
  }
  if (state_.passed_on) {
    const auto stall = owner_.limits().caller_stall_timeout;
    if (answer_.queued_bytes() > 0 && now - drained_at_ >= stall) {
      if (link_ != nullptr) {
        wire::DetachAttemptT body;
        body.attempt_id = wire_id(state_.current);
        link_->send(std::move(body));
      }
      cut_off(may_have_run(errc::deadline_exceeded));
      return;
    }
    wait_until(now + stall);
    return;
  }
  if (now >= deadline_) {
    if (link_ != nullptr && state_.start_written) {
      wire::CancelAttemptT body;
      body.attempt_id = wire_id(state_.current);
      link_->send(std::move(body));
    }
    leave_link();
    apply(give_up(state_, not_run(errc::deadline_exceeded)));
  } else if (link_ == nullptr && !state_.cancel_asked) {
    try_next();
  } else {
    wait_until(deadline_);
  }
}

void relay::on_configuration() {
  if (!finished_ && wanted_version_ != 0 && owner_.config_version() >= wanted_version_) {
    try_next();
  }
}

void relay::apply(const relay_decision& decision) {
  switch (decision.action) {
  case relay_action::ignore:
  case relay_action::resume:
    break;
  case relay_action::finish:
    finish();
    break;
  case relay_action::retry:
    handle_retry(decision.result);
    break;
  case relay_action::ask_cancel:
    ask_cancel(decision.result);
    break;
  case relay_action::answer_error:
    answer_error(decision.result);
    break;
  case relay_action::cut_off:
    cut_off(decision.result);
    break;
  }
}

void relay::handle_retry(const outcome& why) {
  const auto now = io::now();
  if (resume_only_ || is_final(why.error)) {
    apply(give_up(state_, why));
    return;
  }
  if (why.error == errc::stale_configuration && stale_refusals_ < most_stale_refusals) {
    // The refusal says nothing about the server, and it cost no work.
    ++stale_refusals_;
    wanted_version_ = owner_.newest_version_seen();
    wait_until(now + stale_retry_delay);
    return;
  }
  last_refusal_ = why;
  tried_.push_back(server_id_);
  if (why.result == verdict::not_run) {
    const auto avoid = why.retry_after.count() > 0 ? why.retry_after : default_avoid_time;
    note_refusal(owner_.fleet(), job_.request.service, server_id_, now + avoid);
  }
  if (!owner_.take_retry()) {
    apply(give_up(state_, not_run(errc::retry_budget_exhausted, default_retry_after)));
    return;
  }
  owner_.metrics().count_retry();
  try_next();
}

void relay::finish() {
  if (state_.passed_on) {
    answer_.end();
  } else {
    const bool is_head = job_.start.method == "HEAD";
    answer_.write_whole(ensure_head(), as_bytes(held_), is_head, {job_.request_id, {}});
  }
  answer_.release();
  done(name(verdict::completed), "ok");
}

void relay::answer_error(const outcome& result) {
  answer_.write_problem(result, job_.request_id);
  answer_.release();
  done(name(result.result),
       name(errc_from_number(static_cast<unsigned>(result.error.value()))));
}

void relay::cut_off(const outcome& result) {
  answer_.cut_off();
  done(name(result.result),
       name(errc_from_number(static_cast<unsigned>(result.error.value()))));
}

void relay::ask_cancel(const outcome& why) {
  wire::ClaimRequestT body;
  body.kind = wire::ClaimKind::cancel;
  body.workspace = job_.request.workspace;
  body.service = job_.request.service;
  body.key = job_.request.idempotency_key;
  body.body_hash = stable_hash(byte_view(job_.start.body));
  body.attempt_hi = state_.current.hi;
  body.attempt_lo = state_.current.lo;
  owner_.client().request(
      std::move(body), cancel_timeout,
      [weak = weak_from_this(), why](const io::control_result& result) {
        auto self = weak.lock();
        if (self && !self->finished_) {
          self->handle_cancel_reply(result, why);
        }
      });
}

void relay::handle_cancel_reply(const io::control_result& result, const outcome& why) {
  auto* reply = result.reply ? result.reply->body.AsClaimReply() : nullptr;
  auto what = cancel_result::undecided;
  if (reply != nullptr && reply->outcome == wire::ClaimOutcome::cancelled) {
    what = cancel_result::cancelled;
  } else if (reply != nullptr && reply->outcome == wire::ClaimOutcome::completed &&
             reply->answer != nullptr && reply->answer->complete) {
    what = cancel_result::completed_whole;
    head_ = std::make_unique<wire::AttemptHeadT>();
    head_->status = reply->answer->status;
    head_->headers.push_back(std::make_unique<wire::HeaderT>());
    head_->headers.back()->name = "Content-Type";
    head_->headers.back()->value = reply->answer->content_type;
    held_ = std::string(as_text(reply->answer->body));
  }
  apply(after_cancel(state_, what, why));
}

void relay::abandon() {
  if (finished_) {
    return;
  }
  leave_link();
  state_.repeatable = true; // no time is left to ask for a cancel
  apply(give_up(state_, not_run(errc::server_draining)));
}

void relay::done(std::string_view verdict, std::string_view code) {
  finished_ = true;
  leave_link();
  owner_.metrics().count_request(verdict, code);
  io::log_event(io::log_level::info, "request_done",
                {{"request_id", job_.request_id},
                 {"verdict", std::string(verdict)},
                 {"code", std::string(code)},
                 {"server", server_id_},
                 {"attempts", std::to_string(state_.attempts)},
                 {"bytes", std::to_string(state_.next_offset)}});
  owner_.remove(*this);
}

} // namespace marigoldstep::router
