#pragma once

#include "gateway/crash_monitor.h"
#include "gateway/metrics.h"
#include "gateway/report_receiver.h"
#include "gateway/routing_reader.h"
#include "gateway/settings.h"
#include "marigoldstep/dispatch.h"
#include "marigoldstep/io/backend_pool.h"
#include "marigoldstep/io/control_links.h"
#include "marigoldstep/io/http_connection.h"
#include "marigoldstep/retry_share.h"
#include "marigoldstep/routing.h"
#include "marigoldstep/stream_origins.h"
#include "marigoldstep/trait_history.h"

#include <QObject>
#include <QPointer>
#include <QTimer>

#include <memory>

namespace marigoldstep::gateway {

// State shared by the relays of one process: the routing table in force, the server
// directory, the load in flight, and the links to control.
class gateway : public QObject {
public:
  gateway(gateway_settings settings, prometheus::Registry& registry, QObject* parent);
  ~gateway() override;

  // Listens for callers, readiness checks, reports and reads, and connects to control.
  std::error_code start();
  // Fails readiness checks, keeps serving requests, and calls done when no caller
  // connection is left or stop_time minus its reserve has passed.
  void stop(std::function<void()> done);
  // Applies the settings that can change at run time and logs the names of the others
  // that differ. Cuts off no request, and keeps the connections to control processes
  // that are still seeds or members of the group.
  void apply(const gateway_settings& settings);

  [[nodiscard]] const gateway_settings& settings() const { return settings_; }
  [[nodiscard]] const std::shared_ptr<const routing_table>& table() const {
    return table_;
  }
  [[nodiscard]] bool is_ready() const;
  // Whether the process has started so recently that it is probably ready soon.
  [[nodiscard]] bool is_starting() const;
  // Calls ready when the gateway is ready for the first time, unless context is deleted
  // before.
  void when_started(QObject* context, std::function<void()> ready);
  // Whether to accept a request with this timeout. While the process stops, accepts
  // only requests that arrive early or whose timeout ends before the stop deadline.
  [[nodiscard]] bool may_start_request(milliseconds timeout) const;

  dispatch_choice choose_backend(const dispatch_request& request);
  // The quarantined trait of a request; unset if the request may be sent.
  std::optional<request_trait> refuse_quarantined(const request_traits& traits);
  // Records which version began the stream of a request, here and at control. Calls done
  // once control has it, or when it can't be recorded there.
  void record_stream(const std::string& service, const std::string& request_id,
                     const std::string& version, milliseconds keep,
                     std::function<void(bool)> done);
  // Calls done with the version that began the stream of a request: as recorded here or
  // at control, or the only one that the service's servers have had since the stream may
  // have begun. Without a version if neither is known. request_id: empty if the caller
  // doesn't name the request. window: how long a stream may be resumed.
  void find_stream(const std::string& service, const std::string& request_id,
                   milliseconds window,
                   std::function<void(std::optional<std::string>)> done);
  // Records the limit that a response of the server named; unset if it named none.
  void record_request_limit(const announced_server& server,
                            std::optional<double> per_second,
                            const std::string& request_id);
  // Number of idle connections to keep to a server of the service.
  [[nodiscard]] std::size_t idle_connections(const std::string& service,
                                             const std::string& server) const;
  // Of the clients of all listeners of the process.
  const std::shared_ptr<io::request_memory> memory =
      std::make_shared<io::request_memory>();
  server_directory directory;
  dispatch_state dispatch;
  retry_share retries;
  trait_history traits; // of requests that crashed servers
  io::backend_pool pool;
  crash_monitor crashes;
  gateway_metrics metrics;

private:
  void handle_request(io::http_connection& from, io::http_request request);
  void apply_routing(std::uint64_t version, const std::string& text);
  void apply_server_update(const wire::ServerUpdateT& update);
  void record_router_count(std::uint32_t routers);
  void apply_fleet_load(const wire::FleetLoadT& fleet_load);
  void handle_crash(const announced_server& server,
                    const std::vector<ended_request>& ended);
  void apply_quarantine(const quarantine_notice& notice);
  void apply_evacuations(const evacuated_zones& newer);
  // Limits what is sent to a server while it is cold.
  void limit_if_cold(const directory_entry& entry);
  void update_cold_servers();
  void tick();
  void send_load(bool with_loads);
  bool add_loads(wire::RouterLoadT& message);
  void refresh_last_seen();
  void remove_silent_servers();
  void update_readiness();
  void check_stop();

  gateway_settings settings_;
  std::shared_ptr<const routing_table> table_;
  io::control_links links_;
  io::http_listener caller_listener_;
  io::http_listener readiness_listener_;
  report_receiver report_receiver_;
  routing_reader routing_reader_;
  QTimer tick_timer_;
  QTimer stop_timer_;
  // By server hash: as last sent to the leader.
  std::map<std::uint32_t, load_count> reported_loads_;
  milliseconds load_interval_{}; // set by the leader; 0: loads are not reported
  time_point next_load_report_{};
  time_point next_liveness_update_{};
  time_point fleet_load_received_at_{};
  bool has_fleet_load_ = false;
  std::uint64_t leader_term_ = 0; // of the latest notice
  bool has_new_leader_ = false;   // that may lack reports sent before
  std::vector<std::pair<time_point, std::uint32_t>> router_counts_;
  stream_origins origins_; // of streams that began here
  version_history versions_;
  std::function<void()> on_stopped_;
  time_point stop_deadline_{};
  time_point stop_started_at_{};
  bool stopping_ = false;
  bool idle_closed_ = false;
  bool logged_ready_ = false;
  bool was_ready_ = false; // since the start
  time_point started_at_{};
  std::vector<std::pair<QPointer<QObject>, std::function<void()>>> startup_waiters_;
};

} // namespace marigoldstep::gateway
