#include "load/request_driver.h"

#include <algorithm>

namespace marigoldstep::load {

namespace {

constexpr auto longest_hint = duration(2000);

// About the interval of a load balancer's health checks.
constexpr auto refused_time = std::chrono::seconds(1);

std::string target_name(const io::endpoint& it) {
  return it.host + ":" + std::to_string(it.port);
}

std::vector<io::endpoint> find_targets(const load_settings& settings,
                                       const planned_request& request) {
  if (!request.direct) {
    return settings.targets;
  }
  for (const auto& it : settings.services) {
    if (it.name == request.service) {
      return it.direct_targets;
    }
  }
  return settings.direct_targets;
}

} // namespace

request_driver::request_driver(const load_settings& settings, planned_request request,
                               caller_state& callers, QObject* parent)
    : QObject(parent), settings_(settings), callers_(callers),
      targets_(find_targets(settings, request)), sends_left_(settings.resend.sends) {
  record_.request = std::move(request);
}

void request_driver::start() {
  started_ = std::chrono::steady_clock::now();
  // Without a router a chat stays with one engine, where its prefix is cached.
  next_target_ =
      record_.request.direct ? stable_hash(record_.request.chat_id) : callers_.random();
  if (targets_.empty()) {
    finish();
    return;
  }
  if (refused_lately(target())) {
    next_target();
  }
  send();
}

double request_driver::elapsed_ms() const {
  const auto elapsed = std::chrono::steady_clock::now() - started_;
  return std::chrono::duration<double, std::milli>(elapsed).count();
}

io::endpoint request_driver::target() const {
  return targets_[next_target_ % targets_.size()];
}

bool request_driver::refused_lately(const io::endpoint& it) const {
  const auto found = callers_.refused_at.find(target_name(it));
  return found != callers_.refused_at.end() &&
         std::chrono::steady_clock::now() - found->second < refused_time;
}

void request_driver::next_target() {
  ++next_target_;
  for (std::size_t i = 1; i < targets_.size() && refused_lately(target()); ++i) {
    ++next_target_;
  }
}

http_request request_driver::make_request() {
  const auto& it = record_.request;
  http_request out;
  out.target = target();
  out.headers = {
      {"X-Marigoldstep-Workspace", QByteArray::fromStdString(it.workspace)},
      {"X-Marigoldstep-Priority", it.urgency == priority::patient ? "patient" : "short"},
  };
  if (it.kind == request_kind::chat_turn) {
    out.method = "POST";
    out.path = "/v1/chat/completions";
    out.headers.push_back({"X-Marigoldstep-Chat", QByteArray::fromStdString(it.chat_id)});
  } else {
    out.method = QByteArray::fromStdString(it.call.method);
    const auto prefix = it.direct ? std::string() : "/services/" + it.service;
    out.path = QByteArray::fromStdString(prefix + it.call.path);
  }
  if (!it.call.key.empty()) {
    out.headers.push_back({"Idempotency-Key", QByteArray::fromStdString(it.call.key)});
  }
  if (!it.body.isEmpty()) {
    out.headers.push_back({"Content-Type", "application/json"});
    out.body = it.body;
  }
  return out;
}

void request_driver::run_exchange(http_request request,
                                  std::function<void(exchange_result)> done) {
  auto* exchange = new http_exchange(std::move(request), settings_.idle_timeout, this);
  exchange->on_first_byte = [this] {
    record_.first_byte_ms =
        record_.first_byte_ms > 0 ? record_.first_byte_ms : elapsed_ms();
  };
  exchange->on_done = std::move(done);
}

void request_driver::send() {
  --sends_left_;
  ++record_.sends;
  record_.first_byte_ms = 0;
  run_exchange(make_request(),
               [this](exchange_result result) { after_send(std::move(result)); });
}

void request_driver::after_send(exchange_result result) {
  merged_ = std::move(result);
  if (!merged_.sent) {
    callers_.refused_at[target_name(target())] = std::chrono::steady_clock::now();
  }
  const auto problem = parse_problem(merged_);
  record_.code = problem ? problem->code : std::string();
  const bool not_run = judge(record_.request, merged_) == request_end::not_run;
  record_.every_send_not_run = record_.every_send_not_run && not_run;
  go_on();
}

void request_driver::resume() {
  --sends_left_;
  ++record_.resumes;
  http_request request;
  request.target = target();
  request.method = "GET";
  request.path = "/v1/attempts/" + merged_.resume_token +
                 "?offset=" + QByteArray::number(merged_.body.size());
  run_exchange(std::move(request),
               [this](exchange_result result) { after_resume(std::move(result)); });
}

void request_driver::after_resume(exchange_result result) {
  const bool continues = result.status == 200 || result.status == 206;
  if (continues) {
    merged_.body += result.body;
    merged_.complete = result.complete;
  } else if (result.status != 0) {
    merged_.resume_token.clear(); // the answer is no longer kept
  }
  go_on();
}

void request_driver::go_on() {
  const auto action = decide(record_.request, merged_, sends_left_);
  if (action == next_action::finish) {
    finish();
    return;
  }
  next_target();
  const auto hint = std::min(merged_.retry_after, longest_hint);
  // Jitter of half the pause keeps callers that failed together apart.
  const auto jitter = duration(static_cast<std::int64_t>(
      callers_.random() %
      static_cast<std::uint64_t>(settings_.resend.pause.count() + 1)));
  const auto pause = std::max(hint, settings_.resend.pause / 2 + jitter);
  QTimer::singleShot(pause, Qt::PreciseTimer, this, [this, action] {
    action == next_action::resume ? resume() : send();
  });
}

void request_driver::finish() {
  record_.end = judge(record_.request, merged_);
  record_.total_ms = elapsed_ms();
  record_.usage = stand_in::find_usage(merged_.body);
  deleteLater();
  on_done(std::move(record_));
}

} // namespace marigoldstep::load
