#include "agent/attempt_store.h"

#include "marigoldstep/io/clock.h"

#include <algorithm>
#include <vector>

namespace marigoldstep::agent {

namespace {

constexpr std::size_t max_chunk_bytes = 32U << 10U;
// Limit for responses above which delivered ones are no longer kept for resumes. Leaves
// memory for active responses within the 256 MB that an agent may use.
constexpr std::size_t max_retained_bytes = 64U << 20U;

template <typename Body> Body make_body(const attempt_id& id) {
  Body out;
  out.attempt_id = std::make_unique<wire::AttemptId>(wire::to_wire(id));
  return out;
}

void send_head(attempt& it) {
  auto body = make_body<wire::AttemptHeadT>(it.id);
  body.status = it.head.status;
  for (const auto& from : it.head.headers) {
    body.headers.push_back(std::make_unique<wire::HeaderT>(from));
  }
  send(*it.link, std::move(body));
}

wire::AttemptEndT make_end(const attempt_id& id, const outcome& result,
                           const std::string& detail) {
  auto body = make_body<wire::AttemptEndT>(id);
  body.verdict = static_cast<wire::Verdict>(result.result);
  body.error_code = static_cast<std::uint16_t>(result.error.value());
  body.detail = detail;
  body.retry_after_ms = static_cast<std::uint32_t>(result.retry_after.count());
  return body;
}

void send_recorded_end(attempt& it) {
  auto body = make_end(it.id, it.result, it.detail);
  body.total_length = it.response.data.size();
  body.prompt_tokens = it.prompt_tokens;
  body.cached_tokens = it.cached_tokens;
  it.end_sent = send(*it.link, std::move(body));
}

} // namespace

void send_end(router_link& link, const attempt_id& id, const outcome& result,
              const std::string& detail) {
  send(link, make_end(id, result, detail));
}

attempt& attempt_store::insert(std::unique_ptr<attempt> added) {
  const auto id = added->id;
  return *(attempts_[id] = std::move(added));
}

attempt* attempt_store::find(const attempt_id& id) {
  auto it = attempts_.find(id);
  return it == attempts_.end() ? nullptr : it->second.get();
}

void attempt_store::erase(const attempt_id& id) {
  attempts_.erase(id);
}

void attempt_store::attach(attempt& it, router_link& link, std::uint64_t offset) {
  if (!resume_from(it.response, offset)) {
    send_end(link, it.id, may_have_run(errc::bad_request),
             "the offset lies beyond the answer");
    return;
  }
  if (it.link != nullptr && it.link != &link) {
    send_end(*it.link, it.id, may_have_run(errc::attempt_expired),
             "another router continues the answer");
  }
  it.link = &link;
  it.end_sent = false;
  it.expires_at = {};
  send_head_and_data(it);
}

void attempt_store::send_head_and_data(attempt& it) {
  if (it.link != nullptr && it.has_head) {
    send_head(it);
  }
  send_data(it);
}

void attempt_store::acknowledge(attempt& it, const router_link& link,
                                std::uint64_t offset) {
  // A router may still acknowledge after another one has attached.
  if (it.link != &link || !marigoldstep::acknowledge(it.response, offset)) {
    return;
  }
  send_data(it);
  if (is_delivered(it)) {
    it.expires_at = io::now() + resume_window_;
  }
}

void attempt_store::detach(attempt& it) {
  it.link = nullptr;
  it.expires_at = io::now() + resume_window_;
}

void attempt_store::detach_all(const router_link& link) {
  for (auto& [id, it] : attempts_) {
    if (it->link == &link) {
      detach(*it);
    }
  }
}

void attempt_store::send_data(attempt& it) {
  if (it.link == nullptr) {
    return;
  }
  while (auto chunk = take_chunk(it.response, max_chunk_bytes)) {
    auto body = make_body<wire::AttemptDataT>(it.id);
    body.offset = chunk->offset;
    body.data.assign(chunk->data.begin(), chunk->data.end());
    send(*it.link, std::move(body));
  }
  const bool may_send_end =
      it.result.result != verdict::completed || all_sent(it.response);
  if (it.state == attempt_state::ended && !it.end_sent && may_send_end) {
    send_recorded_end(it);
    it.expires_at = io::now() + resume_window_;
  }
}

void attempt_store::record_end(attempt& it, const outcome& result,
                               const std::string& detail) {
  it.state = attempt_state::ended;
  it.result = result;
  it.detail = detail;
  it.start.body = {};
  it.response.data.shrink_to_fit();
  send_data(it);
  if (it.link == nullptr) {
    it.expires_at = io::now() + resume_window_;
  }
  evict_over_limit();
}

void attempt_store::remove_expired(time_point now) {
  std::vector<attempt_id> dropped;
  std::vector<attempt*> abandoned;
  for (auto& [id, it] : attempts_) {
    const bool waits = it->link == nullptr || it->end_sent;
    if (!waits || it->expires_at > now) {
      continue;
    }
    if (it->state == attempt_state::ended) {
      dropped.push_back(id);
    } else if (!it->abandoned) {
      abandoned.push_back(it.get());
    }
  }
  for (const auto& id : dropped) {
    attempts_.erase(id);
  }
  for (auto* it : abandoned) {
    it->abandoned = true;
    if (on_resume_expired) {
      on_resume_expired(*it);
    }
  }
}

std::size_t attempt_store::count_undelivered() const {
  return static_cast<std::size_t>(
      std::count_if(attempts_.begin(), attempts_.end(), [](const auto& entry) {
        return entry.second->state != attempt_state::ended ||
               !is_delivered(*entry.second);
      }));
}

std::size_t attempt_store::retained_bytes() const {
  std::size_t n = 0;
  for (const auto& [id, it] : attempts_) {
    n += it->response.data.capacity();
  }
  return n;
}

void attempt_store::for_each(const std::function<void(attempt&)>& visit) {
  std::vector<attempt_id> ids;
  ids.reserve(attempts_.size());
  for (const auto& [id, it] : attempts_) {
    ids.push_back(id);
  }
  for (const auto& id : ids) {
    if (auto* it = find(id)) {
      visit(*it);
    }
  }
}

// Drops delivered attempts, earliest expiry first, until the limit is met.
void attempt_store::evict_over_limit() {
  auto total = retained_bytes();
  while (total > max_retained_bytes) {
    const attempt* oldest = nullptr;
    for (const auto& [id, it] : attempts_) {
      const bool evictable = it->state == attempt_state::ended && is_delivered(*it);
      if (evictable && (oldest == nullptr || it->expires_at < oldest->expires_at)) {
        oldest = it.get();
      }
    }
    if (oldest == nullptr) {
      return;
    }
    total -= oldest->response.data.capacity();
    erase(attempt_id(oldest->id));
  }
}

} // namespace marigoldstep::agent
