#pragma once

#include "marigoldstep/io/admin_server.h"
#include "marigoldstep/io/node_session.h"
#include "router/fleet_view.h"
#include "router/metrics.h"
#include "router/relay.h"
#include "router/summary.h"

#include <set>

namespace marigoldstep::router {

// The router process. Accepts callers' requests, and owns the links to the agents, the
// relays of the requests in progress and the state that relays share.
class router : public QObject {
public:
  router(const router_settings& settings, QObject* parent);

  // Listens on the caller and admin ports and starts sending heartbeats.
  std::error_code start();
  // Stops accepting requests. on_stopped is called when no request is running any more,
  // or after router_limits::stop_limit.
  void stop();
  std::function<void()> on_stopped;

  [[nodiscard]] std::uint16_t port() const { return callers_.port(); }
  [[nodiscard]] std::uint16_t admin_port() const { return admin_.port(); }
  [[nodiscard]] bool is_ready() const;
  [[nodiscard]] std::size_t running() const { return relays_.size(); }

  // Shared state and operations for relays.
  [[nodiscard]] const router_limits& limits() const { return settings_.limits; }
  [[nodiscard]] fleet_view& fleet() { return fleet_; }
  [[nodiscard]] router_metrics& metrics() { return metrics_; }
  [[nodiscard]] summary_counts& summary() { return summary_; }
  [[nodiscard]] io::control_client& client() { return session_.client(); }
  [[nodiscard]] bool may_take_work() const { return session_.may_take_work(); }
  [[nodiscard]] std::uint64_t config_version() const { return session_.version(); }
  [[nodiscard]] std::uint64_t newest_version_seen() const { return newest_version_; }
  server_choice choose_server(const checked_request& request,
                              std::span<const tried_server> tried);
  static void log_choice(const std::string& request_id, unsigned attempt,
                         const server_choice& found);
  // Of the clients of all listeners of the process.
  [[nodiscard]] const std::shared_ptr<io::request_memory>& memory() const {
    return memory_;
  }
  void record_first_attempt();
  bool take_retry();
  // Returns the link to a server, and creates it if necessary.
  agent_link& link(const server_info& server);
  // Returns the link to a server, or null if it is not in the membership view.
  agent_link* find_link(std::string_view node_id);
  [[nodiscard]] const server_info* find_member(std::string_view node_id) const;
  // Moves the wakeup of a relay from before to at.
  void reschedule(relay& which, time_point before, time_point at);
  void remove(relay& which);

private:
  void handle_request(const io::http_request& request, caller_connection& connection);
  void handle_call(const io::http_request& request, caller_connection& connection,
                   std::string request_id);
  void handle_resume(const io::http_request& request, caller_connection& connection,
                     std::string request_id);
  void handle_cancel(const io::http_request& request, caller_connection& connection,
                     std::string request_id);
  void refuse(caller_connection& connection, const std::string& request_id,
              const outcome& result);
  std::shared_ptr<relay> add_relay(relay_job job, caller_connection& connection);
  void handle_configuration(const std::shared_ptr<const configuration>& config);
  void handle_membership(const membership_view& view);
  void handle_agent_frame(const std::string& node_id, const wire::DataFrameT& frame);
  void run_wakeups();
  void finish_stop();

  router_settings settings_;
  io::node_session session_;
  std::shared_ptr<io::request_memory> memory_;
  io::admin_server admin_;
  caller_server callers_;
  router_metrics metrics_;
  fleet_view fleet_;
  retry_budget retry_budget_;
  summary_counts summary_;
  std::unordered_map<std::string, std::unique_ptr<agent_link>> links_;
  std::unordered_map<relay*, std::shared_ptr<relay>> relays_;
  // Relays that removed themselves, destroyed at the next wakeup.
  std::vector<std::shared_ptr<relay>> removed_;
  std::set<std::pair<time_point, relay*>> wakeups_;
  std::map<std::string, time_point, std::less<>>
      suspect_contacts_; // suspect servers and when they last sent a frame
  QTimer wakeup_timer_;
  std::uint64_t newest_version_ = 0;
  bool stopping_ = false;
  time_point stop_deadline_{};
};

} // namespace marigoldstep::router
