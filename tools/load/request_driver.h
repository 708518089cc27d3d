#pragma once

#include "load/http_exchange.h"

#include <random>

namespace marigoldstep::load {

// Outcome of one request over all its sends.
struct request_record {
  planned_request request;
  request_end end = request_end::may_have_run;
  bool every_send_not_run = true;
  std::uint32_t sends = 0;
  std::uint32_t resumes = 0;
  double first_byte_ms = 0; // from the first send
  double total_ms = 0;
  std::string code; // of the last problem response
  std::optional<stand_in::token_usage> usage;
};

// State shared by all requests of a run.
struct shared_caller_state {
  std::mt19937_64 random;
  // Time of the last refused connection by target, as "host:port". Callers reach routers
  // through a load balancer, which stops using such a router for a while.
  std::map<std::string, std::chrono::steady_clock::time_point> refused_at;
};

// Sends one request until it has an end, as a caller would: resumes cut responses and
// resends requests without a response, each time through another target.
class request_driver : public QObject {
public:
  request_driver(const load_settings& settings, planned_request request,
                 shared_caller_state& callers, QObject* parent);

  // Called once; the object deletes itself afterwards.
  std::function<void(request_record)> on_done;

  void start();

private:
  void send();
  void resume();
  void run_exchange(http_request request, std::function<void(exchange_result)> done);
  void on_send_done(exchange_result result);
  void on_resume_done(exchange_result result);
  void continue_request();
  void finish();
  void select_next_target();
  [[nodiscard]] io::endpoint target() const;
  [[nodiscard]] bool was_recently_refused(const io::endpoint& it) const;
  http_request make_request();
  [[nodiscard]] double elapsed_ms() const;

  const load_settings& settings_;
  shared_caller_state& callers_;
  request_record record_;
  std::vector<io::endpoint> targets_;
  std::size_t target_index_ = 0;
  std::uint32_t sends_left_ = 0;
  exchange_result merged_result_; // response since the last send, with all resumed parts
  std::chrono::steady_clock::time_point started_;
};

} // namespace marigoldstep::load
