#pragma once

#include "load/report.h"
#include "marigoldstep/io/deadline_timer.h"

#include <deque>

namespace marigoldstep::load {

// Runs the configured load once: sends chats, calls and lookups until the time limit,
// then resends a sample of the completed calls and reads the services' run counts.
class runner : public QObject {
public:
  runner(load_settings settings, QObject* parent);

  std::function<void(const load_report&)> on_done;

  void start();
  // Starts no further requests; requests in progress continue to their end.
  void stop_early();

private:
  void schedule_chats();
  void schedule_services();
  void enqueue(planned_request request,
               std::function<void(const request_record&)> on_end);
  void start_queued();
  void run_request(planned_request request,
                   std::function<void(const request_record&)> on_end);
  void queue_turn(std::shared_ptr<planned_chat> chat);
  void on_turn_end(const std::shared_ptr<planned_chat>& chat,
                   const request_record& record);
  void stop_waiting();
  void check_load_end();
  void recheck_calls();
  void read_run_counts();
  void finish();

  enum class phase { load, recheck, read_counts, done };
  struct queued_request {
    planned_request request;
    std::function<void(const request_record&)> on_end;
  };

  load_settings settings_;
  shared_caller_state callers_;
  load_report report_;
  phase phase_ = phase::load;
  std::deque<queued_request> queue_;
  std::vector<planned_request> completed_calls_;
  std::uint32_t running_ = 0;
  // Requests of the load phase that have not ended yet.
  std::uint64_t remaining_requests_ = 0;
  bool stopped_ = false; // no further requests are started
  std::uint32_t reads_left_ = 0;
  io::deadline_timer run_limit_timer_;
  io::deadline_timer grace_timer_;
  std::chrono::steady_clock::time_point started_;
};

} // namespace marigoldstep::load
