#pragma once

#include "load/report.h"

#include <deque>

namespace marigoldstep::load {

// Runs the load of the settings once: chats, calls and lookups up to the time
// limit, then the checks of completed calls and of the services' counts.
class runner : public QObject {
public:
  runner(load_settings settings, QObject* parent);

  std::function<void(const load_report&)> on_done;

  void start();
  // Starts no further requests; what runs gets its end.
  void stop_early();

private:
  void plan_chats();
  void plan_services();
  void enqueue(planned_request request, std::function<void(const request_record&)> then);
  void start_queued();
  void run_request(planned_request request,
                   std::function<void(const request_record&)> then);
  void queue_turn(std::shared_ptr<planned_chat> chat);
  void after_turn(const std::shared_ptr<planned_chat>& chat,
                  const request_record& record);
  void give_up();
  void check_end();
  void recheck_calls();
  void read_runs();
  void finish();

  enum class phase { load, recheck, reading, done };
  struct queued_request {
    planned_request request;
    std::function<void(const request_record&)> then;
  };

  load_settings settings_;
  caller_state callers_;
  load_report report_;
  phase phase_ = phase::load;
  std::deque<queued_request> queue_;
  std::vector<planned_request> completed_calls_;
  std::uint32_t running_ = 0;
  std::uint64_t expected_ = 0; // requests of the load phase still without an end
  bool closed_ = false;        // the time limit was reached
  std::uint32_t reads_left_ = 0;
  QTimer limit_;
  QTimer last_end_;
  std::chrono::steady_clock::time_point started_;
};

} // namespace marigoldstep::load
