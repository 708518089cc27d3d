#include "load/runner.h"

#include "marigoldstep/io/clock.h"

namespace marigoldstep::load {

namespace {

// Time for requests in progress to end after the run limit. Without this bound, resends
// after idle timeouts could continue for minutes.
constexpr auto end_grace_period = milliseconds(30'000);

// Interval between resends of completed calls. The load limit would refuse them if all
// were sent at once.
constexpr auto recheck_interval = milliseconds(20);

} // namespace

runner::runner(load_settings settings, QObject* parent)
    : QObject(parent),
      settings_(std::move(settings)), callers_{std::mt19937_64(settings_.seed), {}},
      run_limit_timer_([this] { stop_early(); }),
      grace_timer_([this] { stop_waiting(); }) {}

void runner::start() {
  started_ = std::chrono::steady_clock::now();
  run_limit_timer_.start(settings_.run_limit);
  grace_timer_.start(settings_.run_limit + end_grace_period);
  schedule_chats();
  schedule_services();
  check_load_end();
}

// Uses precise timers here and below: Qt fires coarse timers together at aligned times,
// which turned evenly distributed starts into bursts of requests.
void runner::schedule_chats() {
  for (std::uint32_t i = 0; i < settings_.chats; ++i) {
    remaining_requests_ += settings_.turns;
    QTimer::singleShot(
        draw_start(settings_, "chat", i), Qt::PreciseTimer, this, [this, i] {
          queue_turn(std::make_shared<planned_chat>(make_chat(settings_, i)));
        });
  }
}

void runner::schedule_services() {
  for (const auto& service : settings_.services) {
    remaining_requests_ += service.calls + service.lookups;
    for (std::uint32_t i = 0; i < service.calls; ++i) {
      QTimer::singleShot(draw_start(settings_, "call", i), Qt::PreciseTimer, this,
                         [this, &service, i] {
                           enqueue(make_call(settings_, service, i, io::wall_clock()),
                                   [this](const request_record& record) {
                                     if (record.end == request_end::whole) {
                                       completed_calls_.push_back(record.request);
                                     }
                                   });
                         });
    }
    for (std::uint32_t i = 0; i < service.lookups; ++i) {
      QTimer::singleShot(draw_start(settings_, "lookup", i), Qt::PreciseTimer, this,
                         [this, &service, i] {
                           enqueue(make_lookup(settings_, service, i),
                                   [](const request_record&) {});
                         });
    }
  }
}

void runner::queue_turn(std::shared_ptr<planned_chat> chat) {
  enqueue(chat->request,
          [this, chat](const request_record& record) { on_turn_end(chat, record); });
}

void runner::on_turn_end(const std::shared_ptr<planned_chat>& chat,
                         const request_record& record) {
  --chat->turns_left;
  if (chat->turns_left == 0) {
    ++report_.chats_finished;
    return;
  }
  if (record.end != request_end::whole) {
    // The next turn needs the complete response of this one.
    remaining_requests_ -= chat->turns_left;
    report_.not_started += chat->turns_left;
    return;
  }
  prepare_next_turn(*chat, settings_);
  QTimer::singleShot(draw_pause(*chat, settings_), Qt::PreciseTimer, this,
                     [this, chat] { queue_turn(chat); });
}

void runner::enqueue(planned_request request,
                     std::function<void(const request_record&)> on_end) {
  if (stopped_) {
    return;
  }
  queue_.push_back({std::move(request), std::move(on_end)});
  start_queued();
}

void runner::start_queued() {
  while (running_ < settings_.concurrency && !queue_.empty()) {
    auto next = std::move(queue_.front());
    queue_.pop_front();
    run_request(std::move(next.request), std::move(next.on_end));
  }
}

void runner::run_request(planned_request request,
                         std::function<void(const request_record&)> on_end) {
  ++running_;
  auto* driver = new request_driver(settings_, std::move(request), callers_, this);
  driver->on_done = [this, on_end = std::move(on_end)](request_record record) {
    if (phase_ != phase::load) {
      return; // the run has stopped waiting for this request
    }
    --running_;
    --remaining_requests_;
    add_record(report_, record);
    on_end(record);
    start_queued();
    check_load_end();
  };
  driver->start();
}

void runner::stop_early() {
  stopped_ = true;
  queue_.clear();
  check_load_end();
}

void runner::stop_waiting() {
  if (phase_ == phase::load) {
    report_.unfinished = running_;
    report_.not_started += remaining_requests_ - running_;
  }
  if (phase_ == phase::load || phase_ == phase::recheck) {
    read_run_counts();
  }
}

void runner::check_load_end() {
  const bool is_over = remaining_requests_ == 0 || stopped_;
  if (phase_ != phase::load || running_ > 0 || !is_over) {
    return;
  }
  report_.not_started += remaining_requests_;
  const auto elapsed = std::chrono::steady_clock::now() - started_;
  report_.seconds = std::chrono::duration<double>(elapsed).count();
  phase_ = phase::recheck;
  recheck_calls();
}

void runner::recheck_calls() {
  auto left = std::make_shared<std::size_t>(
      std::min<std::size_t>(settings_.rechecked_calls, completed_calls_.size()));
  if (*left == 0 || settings_.direct) {
    read_run_counts();
    return;
  }
  report_.rechecked = *left;
  for (std::size_t i = 0; i < report_.rechecked; ++i) {
    // The sample is evenly spaced over the run, so that it includes early responses.
    auto request = completed_calls_[i * completed_calls_.size() / *left];
    // A refusal does not mean that the stored response is lost; the call is resent.
    request.resend_not_run = true;
    auto* driver = new request_driver(settings_, request, callers_, this);
    driver->on_done = [this, left](const request_record& record) {
      if (record.end != request_end::whole) {
        ++report_.lost_responses;
        report_.failures.push_back("resent call, " + describe(record));
      }
      if (--*left == 0 && phase_ == phase::recheck) {
        read_run_counts();
      }
    };
    QTimer::singleShot(recheck_interval * i, Qt::PreciseTimer, driver,
                       [driver] { driver->start(); });
  }
}

void runner::read_run_counts() {
  phase_ = phase::read_counts;
  for (const auto& service : settings_.services) {
    for (const auto& target : service.runs) {
      ++reads_left_;
      http_request request;
      request.target = target;
      request.method = "GET";
      request.path = "/runs";
      auto* exchange = new http_exchange(request, settings_.idle_timeout, this);
      exchange->on_done = [this](const exchange_result& result) {
        add_run_counts(report_.runs, result);
        if (--reads_left_ == 0) {
          finish();
        }
      };
    }
  }
  if (reads_left_ == 0) {
    finish();
  }
}

void runner::finish() {
  if (std::exchange(phase_, phase::done) == phase::done) {
    return;
  }
  run_limit_timer_.stop();
  grace_timer_.stop();
  bool has_counts = false;
  for (const auto& it : settings_.services) {
    has_counts = has_counts || !it.runs.empty();
  }
  if (has_counts) {
    report_.findings = check_runs(report_.call_records, report_.runs);
  }
  on_done(report_);
}

} // namespace marigoldstep::load
