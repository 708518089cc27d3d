// End of an attempt: by its claim, the backend server's response, a cancel or a timeout.
#include "agent/attempt_runner.h"
#include "agent/usage.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

#include <algorithm>

namespace marigoldstep::agent {

namespace {

constexpr std::size_t max_early_cancels = 4096;
// A start message that arrives after its cancel does so well within this time.
constexpr auto early_cancel_lifetime = milliseconds(30'000);

bool is_event_stream(const backend_head& head) {
  return std::any_of(head.headers.begin(), head.headers.end(), [](const auto& it) {
    return QByteArray::fromStdString(it.name).toLower() == "content-type" &&
           it.value.starts_with("text/event-stream");
  });
}

double seconds(milliseconds value) {
  return std::chrono::duration<double>(value).count();
}

} // namespace

void attempt_runner::end_attempt(attempt& it, const outcome& result,
                                 const std::string& detail) {
  if (is_active(it)) {
    --running_;
  }
  metrics_.count_end(result);
  const auto code = errc_from_number(static_cast<unsigned>(result.error.value()));
  io::log_event(io::log_level::info, "attempt_end",
                {{"request_id", it.start.request_id},
                 {"attempt", to_string(it.id)},
                 {"verdict", std::string(name(result.result))},
                 {"code", std::string(name(code))},
                 {"bytes", std::to_string(it.response.data.size())},
                 {"detail", detail}});
  store_.record_end(it, result, detail);
}

void attempt_runner::handle_claim(const attempt_id& id, claim_decision decision) {
  auto* it = store_.find(id);
  if (it == nullptr || it->state != attempt_state::claiming) {
    return;
  }
  if (decision.action == claim_action::run &&
      (it->abandoned || io::now() >= it->deadline)) {
    const auto code = it->abandoned ? errc::request_cancelled : errc::deadline_exceeded;
    release_and_end(*it, not_run(code), "ended before the call");
    return;
  }
  if (decision.action == claim_action::run) {
    call_backend(*it);
    return;
  }
  if (decision.action == claim_action::deliver) {
    deliver_stored_response(*it, *decision.stored_response);
  }
  end_attempt(*it, decision.result, "decided by the claim");
  dispatch();
}

void attempt_runner::deliver_stored_response(attempt& it,
                                             const wire::StoredAnswerT& stored) {
  it.head.status = stored.status;
  if (!stored.content_type.empty()) {
    wire::HeaderT header;
    header.name = "Content-Type";
    header.value = stored.content_type;
    it.head.headers.push_back(std::move(header));
  }
  it.has_head = true;
  it.response.data = stored.body;
  store_.send_head_and_data(it);
}

void attempt_runner::handle_data(const attempt_id& id, byte_view chunk) {
  auto* it = store_.find(id);
  if (append(it->response, chunk)) {
    store_.send_data(*it);
    return;
  }
  stop_call(*it);
  end_attempt(*it, may_have_run(errc::answer_too_large),
              "the answer is over max_answer_bytes");
  dispatch();
}

// The head alone proves a refusal, so the rest of the response isn't read.
void attempt_runner::handle_refusal(attempt& it, const backend_head& head) {
  stop_call(it);
  release_and_end(it, not_run(errc::server_refused, head.retry_after),
                  "refused with status " + std::to_string(head.status));
}

void attempt_runner::handle_call_end(const attempt_id& id, backend_result result,
                                     const std::string& detail) {
  auto* it = store_.find(id);
  stop_call(*it);
  if (result == backend_result::complete) {
    const auto service_time = io::now() - it->dispatched_at;
    metrics_.service_seconds.Observe(seconds(service_time));
    record_service_time(queue_, it->cost, service_time);
    handle_complete_response(*it);
    return;
  }
  if (result == backend_result::not_reached) {
    release_and_end(*it, not_run(errc::server_unreachable), detail);
    return;
  }
  end_attempt(*it, may_have_run(errc::answer_truncated), detail);
  dispatch();
}

void attempt_runner::handle_complete_response(attempt& it) {
  const auto usage = find_usage(it.response.data, is_event_stream(it.head));
  it.prompt_tokens = usage.prompt_tokens;
  it.cached_tokens = usage.cached_tokens;
  metrics_.prompt_tokens.Increment(usage.prompt_tokens);
  metrics_.cached_tokens.Increment(usage.cached_tokens);
  if (it.start.repeatable) {
    end_attempt(it, completed());
    dispatch();
    return;
  }
  it.state = attempt_state::completing;
  claims_.complete(it, [this, id = it.id](bool committed) {
    auto* known = store_.find(id);
    if (known == nullptr || known->state != attempt_state::completing) {
      return;
    }
    end_attempt(*known, committed ? completed() : may_have_run(errc::control_unavailable),
                committed ? "" : "the answer was not stored");
    dispatch();
  });
}

void attempt_runner::release_and_end(attempt& it, const outcome& result,
                                     const std::string& detail) {
  if (it.start.repeatable) {
    end_attempt(it, result, detail);
    dispatch();
    return;
  }
  // The end is sent after the release, because a resend that arrives before the release
  // would be refused as already running.
  it.state = attempt_state::completing;
  claims_.release(it, [this, id = it.id, result, detail] {
    if (auto* known = store_.find(id);
        known != nullptr && known->state == attempt_state::completing) {
      end_attempt(*known, result, detail);
      dispatch();
    }
  });
}

void attempt_runner::stop_call(attempt& it) {
  if (it.call != nullptr) {
    it.call->abort();
    it.call->deleteLater();
    it.call = nullptr;
  }
}

// A call that is not repeatable continues without its caller, so that its claim is
// settled and a resend gets the stored response.
void attempt_runner::detach_until_settled(attempt& it, errc reason) {
  it.abandoned = true;
  if (it.link == nullptr) {
    return;
  }
  const auto result =
      it.state == attempt_state::claiming ? not_run(reason) : may_have_run(reason);
  send_end(*it.link, it.id, result, std::string(message(reason)));
  store_.detach(it);
}

void attempt_runner::give_up(attempt& it, errc reason) {
  switch (it.state) {
  case attempt_state::queued:
    remove(queue_, it.id);
    end_attempt(it, not_run(reason));
    return;
  case attempt_state::calling:
    if (it.start.repeatable) {
      stop_call(it);
      end_attempt(it, may_have_run(reason));
      dispatch();
      return;
    }
    [[fallthrough]];
  case attempt_state::claiming:
  case attempt_state::completing:
    detach_until_settled(it, reason);
    return;
  case attempt_state::ended:
    return;
  }
}

void attempt_runner::cancel(const attempt_id& id, router_link& link) {
  auto* it = store_.find(id);
  if (it == nullptr) {
    cancel_unknown(id, link);
    return;
  }
  it->link = &link;
  if (it->state == attempt_state::ended && !it->end_sent) {
    send_end(link, id, may_have_run(errc::request_cancelled), "cancelled after its end");
  }
  give_up(*it, errc::request_cancelled);
  it = store_.find(id);
  if (it != nullptr && it->state == attempt_state::ended) {
    store_.erase(id);
  }
}

void attempt_runner::cancel_unknown(const attempt_id& id, router_link& link) {
  const auto held = std::erase_if(held_, [&id](const held_attempt& it) {
    return wire::from_wire(*it.start.attempt_id) == id;
  });
  if (early_cancels_.size() < max_early_cancels) {
    early_cancels_[id] = io::now() + early_cancel_lifetime;
  }
  if (held > 0) {
    send_end(link, id, not_run(errc::request_cancelled), "cancelled before admission");
    return;
  }
  send_end(link, id, may_have_run(errc::unknown_attempt), "the attempt is not known");
}

void attempt_runner::abort_all() {
  store_.for_each([this](attempt& it) {
    if (it.state == attempt_state::queued) {
      give_up(it, errc::server_draining);
    } else if (it.state != attempt_state::ended) {
      stop_call(it);
      end_attempt(it, may_have_run(errc::server_draining), "the drain limit is over");
    }
  });
}

} // namespace marigoldstep::agent
