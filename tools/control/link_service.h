#pragma once

#include "control/replica.h"
#include "marigoldstep/dispatch.h"
#include "marigoldstep/io/control_links.h"
#include "marigoldstep/io/framed_connection.h"
#include "marigoldstep/server_directory.h"

#include <QTimer>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace marigoldstep::control {

// Keeps gateways and the other control processes informed: of the routing
// configuration, the announced backend servers and the load of the fleet.
class link_service : public QObject {
public:
  // link_bytes_per_ms is what this VM's network link carries; 0 for no limit.
  link_service(replica& group, io::link_settings settings, double link_bytes_per_ms,
               QObject* parent);

  std::error_code listen(const io::endpoint& address);
  void start();
  void stop();
  void set_seeds(std::vector<std::string> seeds);

  // The hosts of the group's members, as other processes tell them.
  std::function<void(const std::set<std::string>&)> on_members;

  // Called with true once every subscriber that is connected has acknowledged, or
  // with false after the time given.
  using settled_callback = std::function<void(bool)>;

  // A backend server reported to this process. Calls done when the report is
  // everywhere, at once unless it changed something that matters.
  void handle_report(const announced_server& server, settled_callback done);
  // Waits until the version is in force at every connected gateway.
  void when_version_applied(std::uint64_t version, settled_callback done);
  // Calls done once this process holds what a quorum confirms as the newest routing
  // version, or with errc::control_unavailable.
  void when_state_is_newest(std::function<void(std::error_code)> done);
  // The replicated state has a newer routing configuration, or another leader.
  void handle_state_changed();

  [[nodiscard]] std::size_t subscribers() const { return subscribers_.size(); }

private:
  struct subscriber {
    std::string node_id; // empty until it subscribed
    bool is_router = false;
    bool confirmed = false;
    bool confirming = false;
    std::uint64_t version = 0; // acknowledged
    std::uint64_t sent_number = 0;
    std::uint64_t acked_number = 0;
    time_point heard_at{};
    std::map<std::uint32_t, load_count> load; // by server hash
  };
  // Somebody who waits for acknowledgements.
  struct waiting {
    std::map<io::framed_connection*, std::uint64_t> updates; // number to acknowledge
    std::uint64_t version = 0;
    time_point until{};
    settled_callback done;
  };

  void accept(io::framed_connection* connection);
  void handle_frame(io::framed_connection* connection, byte_view buf);
  void handle_subscribe(io::framed_connection* connection, const wire::SubscribeT& hello);
  void handle_load(io::framed_connection* connection, const wire::RouterLoadT& load);
  void send_routing(io::framed_connection* connection);
  void send_due_texts(time_point now);
  void answer_version(io::framed_connection* connection, std::uint64_t token);
  void send_status(io::framed_connection* connection);
  void send_update(io::framed_connection* connection, subscriber& to,
                   wire::ServerUpdateT update);
  void push_changes();
  void handle_peer_update(const wire::ServerUpdateT& update);
  void confirm_subscribers();
  void send_fleet_load();
  void check_waiting();
  [[nodiscard]] bool is_settled(const waiting& it) const;
  void drop(io::framed_connection* connection, std::string_view why);
  void tick();

  replica& group_;
  io::framed_listener listener_;
  io::control_links peers_;
  QTimer timer_;
  server_directory directory_;
  std::map<io::framed_connection*, subscriber> subscribers_;
  std::set<std::string> changed_;      // ids to send to everybody
  std::set<std::string> changed_peer_; // learned from another control process
  std::set<std::string> heard_;        // reported here without a change
  std::vector<waiting> waiting_;
  std::vector<io::framed_connection*> texts_due_; // subscribers that asked for a text
  double link_bytes_per_ms_;
  double text_budget_ = 0; // bytes that may be sent now
  time_point budget_at_{};
  std::map<std::string, time_point> routers_; // by node id, when last heard
  std::uint64_t seen_version_ = 0;
  time_point status_at_{};
  time_point heard_at_{};
  time_point load_at_{};
};

} // namespace marigoldstep::control
