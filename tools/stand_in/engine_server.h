#pragma once

#include "stand_in/orders.h"
#include "stand_in/stand_in_server.h"

#include <QTimer>

#include <map>
#include <random>

namespace marigoldstep::stand_in {

// Serves a simulated model engine over HTTP.
class engine_server : public stand_in_server {
public:
  engine_server(const stand_in_settings& settings, QObject* parent);

  [[nodiscard]] const engine_model& model() const { return model_; }

private:
  struct active_response {
    chat_request request;
    response_writer* writer = nullptr;
    std::vector<QByteArray> events; // for streamed responses; rendered at the start
    std::size_t events_sent = 0;
    bool started = false;
  };
  struct load_sample {
    time_point at{};
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
  };

  void handle(const http_call& call, response_writer* writer);
  void complete_chat(const http_call& call, response_writer* writer);
  void advance_model();
  void send_progress(const engine_progress& progress);
  void start_response(active_response& it, const engine_progress& progress);
  void cancel_response(std::uint64_t id);
  void sample_load();
  QByteArray load_json();
  QByteArray events_json(std::uint64_t after);
  void export_prefix(const http_call& call, response_writer* writer);
  void import_prefix(const http_call& call, response_writer* writer);
  void handle_order(const http_call& call, response_writer* writer);

  stand_in_settings settings_;
  engine_model model_;
  engine_order_state order_state_;
  std::map<std::uint64_t, active_response> active_;
  std::uint64_t next_id_ = 1;
  std::deque<load_sample> samples_;
  QTimer timer_;
};

} // namespace marigoldstep::stand_in
