#pragma once

#include "marigoldstep/change_feed.h"
#include "marigoldstep/dispatch.h"
#include "marigoldstep/evacuation.h"
#include "marigoldstep/io/frame_forwarder.h"
#include "marigoldstep/io/framed_connection.h"
#include "marigoldstep/io/link_messages.h"
#include "marigoldstep/routing.h"
#include "marigoldstep/server_directory.h"
#include "marigoldstep/wire.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace marigoldstep::io {

struct link_settings {
  std::string node_id;
  bool is_router = true;
  std::string own_host;   // not connected to; other routers forward frames to it
  std::uint16_t port = 0; // of control links, the same on every control VM
  std::string zone;
  std::vector<std::string> seeds; // hosts
  // Bandwidth for reads of the routing text that control redirects to this router; 0: it
  // answers none.
  std::uint32_t link_bytes_per_ms = 0;
};

// What control processes know of the version that began a stream.
struct stream_version {
  std::optional<std::string> version; // recorded for the stream
  // The only version that the service's servers have had within the window, as the leader
  // can prove.
  std::optional<std::string> sole;
};

// The stream to find, and the window within which it began.
struct stream_query {
  std::uint64_t stream = 0; // from stream_key()
  std::string service;
  milliseconds window{0};
};

// Connections to every control process: first to the seeds, then also to the members
// that the control group reports. Updates from all of them are merged, so losing some
// connections loses no information. A connection that times out is reopened. The
// routers on these links are gateways, which connect to backend servers directly.
class control_links : public QObject {
public:
  control_links(link_settings settings, QObject* parent);

  // A newer routing configuration as the operator sent it.
  std::function<void(std::uint64_t version, std::string text)> on_routing;
  std::function<void(const wire::ServerUpdateT&)> on_server_update;
  std::function<void(const wire::FleetLoadT&)> on_fleet_load;
  // The number of routers that the leader counts, and the interval at which it wants
  // load reports; 0 for none.
  std::function<void(std::uint32_t routers, milliseconds load_interval)> on_leader_status;
  // A leader that a quorum has confirmed has recorded so many departures of servers.
  std::function<void(std::uint64_t)> on_departure_number;
  // The hosts of the group's members changed.
  std::function<void(const std::set<std::string>&)> on_members;
  // Hashes of servers whose latest report to another control process changed nothing.
  std::function<void(const std::vector<std::uint32_t>&)> on_unchanged_reports;
  // Hashes of servers from send_unchanged_reports() that the control process does not
  // know.
  std::function<void(const std::vector<std::uint32_t>&)> on_unknown_servers;
  // The evacuated zones as a control process knows them, which may be out of date.
  std::function<void(const evacuated_zones&)> on_evacuations;
  // Number of the evacuated zones that this process applies.
  std::function<std::uint64_t()> evacuation_number;
  // Whether this router accepts reports from servers and reads of the routing text.
  std::function<bool()> takes_reports;
  // The routing version that this process has applied.
  std::function<std::uint64_t()> routing_version;

  // Starts connecting. A router also listens for frames that other routers forward;
  // returns an error when it cannot listen.
  std::error_code start();
  void set_seeds(std::vector<std::string> seeds);
  // Sets the hosts of the group's members, where this process knows them itself.
  void set_members(const std::set<std::string>& hosts);
  // Sends the load in flight at this router to the leader; dropped when there is none.
  void send_load(wire::RouterLoadT load);
  // Asks the leader which routing version a quorum confirms. Calls done with 0 when
  // there is no leader or no reply in time.
  void confirm_version(std::function<void(std::uint64_t)> done);
  // Forwards a compressed routing configuration to the leader. Calls done with true once
  // the leader has stored this version or a higher one; with false when that fails or no
  // reply comes in time. Returns false, without a call, when no leader is connected.
  bool forward_routing(std::uint64_t version, const bytes& packed_text,
                       std::function<void(bool)> done);
  // Forwards an order to evacuate a zone, or to end that, to the leader. Calls done with
  // the outcome, failed if no reply comes in time. Returns false, without a call, when no
  // leader is connected that understands it.
  bool forward_evacuation(const std::string& zone, bool evacuated,
                          std::function<void(wire::EvacuationOutcome)> done);
  // Forwards a server's report that changes something. Calls done with true once
  // every process that needs the change has it; with false when that fails or no
  // reply comes in time.
  void report(const announced_server& server, std::function<void(bool)> done);
  // Records at control which software version began a stream. Calls done with true once
  // one control process has it; with false when none keeps such records or no reply comes
  // in time. stream: from stream_key().
  void record_stream(std::uint64_t stream, const std::string& version, milliseconds keep,
                     std::function<void(bool)> done);
  // Asks every control process for the version that began a stream. Calls done once, with
  // the first version found, or without one when none knows it or replies in time.
  void find_stream(const stream_query& query, std::function<void(stream_version)> done);
  // Asks the leader to record a software version. Returns false if there is no leader, or
  // one of an older build, which records none.
  bool record_version(const std::string& service, const std::string& version);
  // Asks the leader to record departures of servers. Returns false if there is no leader.
  bool record_departures(const std::vector<announced_server>& servers);
  // Whether a connected leader is of an older build, which records no departures.
  [[nodiscard]] bool has_leader_without_departures() const;
  // Sends the hashes of servers whose report changed nothing. Returns false when no
  // control process is connected that knows a leader.
  bool send_unchanged_reports(const std::vector<std::uint32_t>& servers);
  // Acknowledges an applied version or evacuation without waiting for the next heartbeat.
  void acknowledge_version();

  // The routing configuration that this router has applied, compressed; empty before the
  // first one.
  [[nodiscard]] const bytes& packed_routing_text() const { return packed_text_; }
  [[nodiscard]] std::size_t open_links() const;
  // Whether a link to a process that leads the group is open.
  [[nodiscard]] bool has_leader_link() const;
  // Whether every connected control process had sent its servers at some time since the
  // start.
  [[nodiscard]] bool has_initial_servers() const { return has_initial_servers_; }
  // Whether a connected control process still receives the server's reports.
  [[nodiscard]] bool is_server_reporting(std::uint32_t server) const;

private:
  // State of one feed of a control process; kept across reconnects.
  struct feed_view {
    feed_position at;
    std::unordered_set<std::uint32_t> reporting; // servers not marked silent
  };
  // Feeds of one control process. The epoch of both changes when it restarts.
  struct origin_view {
    feed_view reported;
    feed_view repeated;
  };
  struct link {
    framed_connection* connection = nullptr;
    bool is_open = false;
    bool is_leader = false;
    bool has_leader = false;
    bool keeps_streams = false;
    std::uint32_t protocol = 0;
    milliseconds heartbeat{}; // interval that the other side requests
    time_point next_ack_at{};
    std::uint64_t version = 0;
    feed_position acked_reported; // in the last acknowledgement
    feed_position acked_repeated;
    time_point heard_at{};            // when the latest bytes were noticed
    std::uint64_t bytes_received = 0; // at that time
    time_point retry_at{};
    time_point opened_at{};
  };

  void tick();
  void update_targets();
  void connect_to(const std::string& host, link& it);
  void close_link(const std::string& host, std::string_view why);
  void handle_frame(const std::string& host, byte_view buf);
  void handle_forwarded(byte_view buf);
  void handle_update(const wire::ServerUpdateT& update);
  [[nodiscard]] bool have_all_sent_servers() const;
  template <typename Message> void forward_to_routers(Message& message);
  void handle_status(const std::string& host, const wire::GroupStatusT& status);
  void handle_routing(const wire::RoutingTextT& text);
  void handle_fleet_load(const wire::FleetLoadT& load);
  link* select_fetch_link(time_point now);
  link* select_report_link();
  link* find_leader_link();
  void fetch_newer();
  void send_ack(const std::string& host);
  void expire_confirmations(time_point now);
  void complete_forward(std::uint64_t token, bool settled);
  void expire_forwards(time_point now);
  void complete_order(std::uint64_t token, wire::EvacuationOutcome outcome);
  void expire_orders(time_point now);
  void handle_stream_found(const std::string& host, const wire::StreamFoundT& reply);
  void end_search(std::uint64_t token);
  void end_searches_at(const std::string& host);
  void expire_searches(time_point now);

  link_settings settings_;
  std::set<std::string> members_;
  std::map<std::string, link> links_;
  std::map<std::string, origin_view> origins_; // by host
  std::map<std::string, unsigned> failures_;   // connects in a row, by host
  std::optional<frame_forwarder> forwarder_;   // of a router
  QTimer timer_;
  time_point fetch_deadline_{};
  // The newest version that a leader confirmed by a quorum has named; older ones are
  // rejected.
  std::uint64_t confirmed_version_ = 0;
  bytes packed_text_; // of the applied version
  struct confirmation {
    time_point deadline{};
    std::function<void(std::uint64_t)> done;
  };
  std::map<std::uint64_t, confirmation> confirmations_; // by token
  // Term and number of the latest loads of the fleet.
  std::pair<std::uint64_t, std::uint64_t> fleet_load_position_;
  struct pending_forward {
    time_point deadline{};
    std::function<void(bool)> done;
  };
  std::map<std::uint64_t, pending_forward> forwards_; // by token
  struct pending_order {
    time_point deadline{};
    std::function<void(wire::EvacuationOutcome)> done;
  };
  std::map<std::uint64_t, pending_order> orders_; // by token
  struct stream_search {
    std::set<std::string> hosts; // that have not replied yet
    std::optional<std::string> sole;
    time_point deadline{};
    std::function<void(stream_version)> done;
  };
  std::map<std::uint64_t, stream_search> searches_; // by token
  std::uint64_t next_token_ = 1;
  time_point newer_known_since_{}; // when a process first offered a newer version
  bool has_initial_servers_ = false;
};

// Time without a byte after which a link is treated as lost.
milliseconds link_timeout(milliseconds heartbeat);

} // namespace marigoldstep::io
