#include "load/runner.h"

#include "marigoldstep/io/clock.h"

namespace marigoldstep::load {

namespace {

// Requests in progress at the time limit get this long for their ends; sends
// after the idle time limit could otherwise go on for minutes.
constexpr auto grace = duration(30'000);

// Between two completed calls that are asked again; all at once would be refused
// by the load limit.
constexpr auto recheck_interval = duration(20);

} // namespace

runner::runner(load_settings settings, QObject* parent)
    : QObject(parent),
      settings_(std::move(settings)), callers_{std::mt19937_64(settings_.seed), {}} {
  limit_.setSingleShot(true);
  last_end_.setSingleShot(true);
  connect(&limit_, &QTimer::timeout, this, [this] { stop_early(); });
  connect(&last_end_, &QTimer::timeout, this, [this] { give_up(); });
}

void runner::start() {
  started_ = std::chrono::steady_clock::now();
  limit_.start(settings_.run_limit);
  last_end_.start(settings_.run_limit + grace);
  plan_chats();
  plan_services();
  check_end();
}

// Precise timers here and below: Qt fires coarse ones together at aligned times,
// which made bursts of requests out of evenly drawn starts.
void runner::plan_chats() {
  for (std::uint32_t i = 0; i < settings_.chats; ++i) {
    expected_ += settings_.turns;
    QTimer::singleShot(
        draw_start(settings_, "chat", i), Qt::PreciseTimer, this, [this, i] {
          queue_turn(std::make_shared<planned_chat>(make_chat(settings_, i)));
        });
  }
}

void runner::plan_services() {
  for (const auto& service : settings_.services) {
    expected_ += service.calls + service.lookups;
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
          [this, chat](const request_record& record) { after_turn(chat, record); });
}

void runner::after_turn(const std::shared_ptr<planned_chat>& chat,
                        const request_record& record) {
  --chat->turns_left;
  if (chat->turns_left == 0) {
    ++report_.chats_finished;
    return;
  }
  if (record.end != request_end::whole) {
    // Without the answer the chat cannot go on.
    expected_ -= chat->turns_left;
    report_.not_started += chat->turns_left;
    return;
  }
  next_turn(*chat, settings_);
  QTimer::singleShot(draw_pause(*chat, settings_), Qt::PreciseTimer, this,
                     [this, chat] { queue_turn(chat); });
}

void runner::enqueue(planned_request request,
                     std::function<void(const request_record&)> then) {
  if (closed_) {
    return;
  }
  queue_.push_back({std::move(request), std::move(then)});
  start_queued();
}

void runner::start_queued() {
  while (running_ < settings_.concurrency && !queue_.empty()) {
    auto next = std::move(queue_.front());
    queue_.pop_front();
    run_request(std::move(next.request), std::move(next.then));
  }
}

void runner::run_request(planned_request request,
                         std::function<void(const request_record&)> then) {
  ++running_;
  auto* driver = new request_driver(settings_, std::move(request), callers_, this);
  driver->on_done = [this, then = std::move(then)](request_record record) {
    if (phase_ != phase::load) {
      return; // the run has ended without it
    }
    --running_;
    --expected_;
    add_record(report_, record);
    then(record);
    start_queued();
    check_end();
  };
  driver->start();
}

void runner::stop_early() {
  closed_ = true;
  queue_.clear();
  check_end();
}

void runner::give_up() {
  if (phase_ == phase::load) {
    report_.unfinished = running_;
    report_.not_started += expected_ - running_;
  }
  if (phase_ == phase::load || phase_ == phase::recheck) {
    read_runs();
  }
}

void runner::check_end() {
  const bool over = expected_ == 0 || closed_;
  if (phase_ != phase::load || running_ > 0 || !over) {
    return;
  }
  report_.not_started += expected_;
  const auto elapsed = std::chrono::steady_clock::now() - started_;
  report_.seconds = std::chrono::duration<double>(elapsed).count();
  phase_ = phase::recheck;
  recheck_calls();
}

void runner::recheck_calls() {
  auto left = std::make_shared<std::size_t>(
      std::min<std::size_t>(settings_.rechecked_calls, completed_calls_.size()));
  if (*left == 0 || settings_.direct) {
    read_runs();
    return;
  }
  report_.rechecked = *left;
  for (std::size_t i = 0; i < report_.rechecked; ++i) {
    // Evenly spaced over the run, so that early answers are among them.
    auto request = completed_calls_[i * completed_calls_.size() / *left];
    // A refusal does not lose the stored answer; the caller asks again.
    request.resend_not_run = true;
    auto* driver = new request_driver(settings_, request, callers_, this);
    driver->on_done = [this, left](const request_record& record) {
      if (record.end != request_end::whole) {
        ++report_.lost_responses;
        report_.faults.push_back("asked again, " + describe(record));
      }
      if (--*left == 0 && phase_ == phase::recheck) {
        read_runs();
      }
    };
    QTimer::singleShot(recheck_interval * i, Qt::PreciseTimer, driver,
                       [driver] { driver->start(); });
  }
}

void runner::read_runs() {
  phase_ = phase::reading;
  for (const auto& service : settings_.services) {
    for (const auto& target : service.runs) {
      ++reads_left_;
      http_request request;
      request.target = target;
      request.method = "GET";
      request.path = "/runs";
      auto* exchange = new http_exchange(request, settings_.idle_timeout, this);
      exchange->on_done = [this](const exchange_result& result) {
        add_runs(report_.runs, result);
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
  limit_.stop();
  last_end_.stop();
  bool counted = false;
  for (const auto& it : settings_.services) {
    counted = counted || !it.runs.empty();
  }
  if (counted) {
    report_.findings = compare_runs(report_.call_records, report_.runs);
  }
  on_done(report_);
}

} // namespace marigoldstep::load
