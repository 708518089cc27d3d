#include "load/request_driver.h"

#include <algorithm>

namespace marigoldstep::load {

namespace {

constexpr auto max_retry_after = milliseconds(2000);

// Typical interval of a load balancer's health checks.
constexpr auto refused_target_pause = std::chrono::seconds(1);

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
                               shared_caller_state& callers, QObject* parent)
    : QObject(parent), settings_(settings), callers_(callers),
      targets_(find_targets(settings, request)), sends_left_(settings.resend.max_sends) {
  record_.request = std::move(request);
}

void request_driver::start() {
  started_ = std::chrono::steady_clock::now();
  // Without a router, a chat always uses the same engine, where its prefix is cached.
  target_index_ =
      record_.request.direct ? stable_hash(record_.request.chat_id) : callers_.random();
  if (targets_.empty()) {
    finish();
    return;
  }
  if (was_recently_refused(target())) {
    select_next_target();
  }
  send();
}

double request_driver::elapsed_ms() const {
  const auto elapsed = std::chrono::steady_clock::now() - started_;
  return std::chrono::duration<double, std::milli>(elapsed).count();
}

io::endpoint request_driver::target() const {
  return targets_[target_index_ % targets_.size()];
}

bool request_driver::was_recently_refused(const io::endpoint& it) const {
  const auto found = callers_.refused_at.find(target_name(it));
  return found != callers_.refused_at.end() &&
         std::chrono::steady_clock::now() - found->second < refused_target_pause;
}

void request_driver::select_next_target() {
  ++target_index_;
  for (std::size_t i = 1; i < targets_.size() && was_recently_refused(target()); ++i) {
    ++target_index_;
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
               [this](exchange_result result) { on_send_done(std::move(result)); });
}

void request_driver::on_send_done(exchange_result result) {
  merged_result_ = std::move(result);
  if (!merged_result_.sent) {
    callers_.refused_at[target_name(target())] = std::chrono::steady_clock::now();
  }
  const auto problem = parse_problem(merged_result_);
  record_.code = problem ? problem->code : std::string();
  const bool not_run =
      classify_result(record_.request, merged_result_) == request_end::not_run;
  record_.every_send_not_run = record_.every_send_not_run && not_run;
  continue_request();
}

void request_driver::resume() {
  --sends_left_;
  ++record_.resumes;
  http_request request;
  request.target = target();
  request.method = "GET";
  request.path = "/v1/attempts/" + merged_result_.resume_token +
                 "?offset=" + QByteArray::number(merged_result_.body.size());
  run_exchange(std::move(request),
               [this](exchange_result result) { on_resume_done(std::move(result)); });
}

void request_driver::on_resume_done(exchange_result result) {
  const bool continues = result.status == 200 || result.status == 206;
  if (continues) {
    merged_result_.body += result.body;
    merged_result_.complete = result.complete;
  } else if (result.status != 0) {
    merged_result_.resume_token.clear(); // the response is no longer kept
  }
  continue_request();
}

void request_driver::continue_request() {
  const auto action = choose_next_action(record_.request, merged_result_, sends_left_);
  if (action == next_action::finish) {
    finish();
    return;
  }
  select_next_target();
  const auto retry_after = std::min(merged_result_.retry_after, max_retry_after);
  // Jitter of plus or minus half the pause keeps callers that failed together from
  // retrying together.
  const auto jitter = milliseconds(static_cast<std::int64_t>(
      callers_.random() %
      static_cast<std::uint64_t>(settings_.resend.pause.count() + 1)));
  const auto pause = std::max(retry_after, settings_.resend.pause / 2 + jitter);
  QTimer::singleShot(pause, Qt::PreciseTimer, this, [this, action] {
    action == next_action::resume ? resume() : send();
  });
}

void request_driver::finish() {
  record_.end = classify_result(record_.request, merged_result_);
  record_.total_ms = elapsed_ms();
  record_.usage = stand_in::find_usage(merged_result_.body);
  deleteLater();
  on_done(std::move(record_));
}

} // namespace marigoldstep::load
