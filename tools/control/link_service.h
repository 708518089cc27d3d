#pragma once

#include "control/replica.h"
#include "marigoldstep/change_feed.h"
#include "marigoldstep/dispatch.h"
#include "marigoldstep/io/control_links.h"
#include "marigoldstep/io/framed_connection.h"
#include "marigoldstep/io/stream_store.h"
#include "marigoldstep/request_quarantine.h"
#include "marigoldstep/server_directory.h"
#include "marigoldstep/stream_origins.h"

#include <QTimer>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace marigoldstep::control {

// Whether this process holds the routing version that a quorum confirms as the newest.
struct version_check {
  std::error_code error;    // errc::not_leader on the leader, errc::control_unavailable
                            // elsewhere
  std::string_view problem; // for the log; empty without an error
};

struct link_limits {
  double link_bytes_per_ms = 0;       // bandwidth of this VM's network link; 0: no limit
  milliseconds silence_timeout{4000}; // a server without a report for longer is silent
  std::string stream_directory; // of the store of stream records; empty: in memory only
  std::set<std::string> zones;  // that may be evacuated; empty: those of known VMs
};

// Publishes the routing configuration, the announced backend servers and the load of
// the fleet to gateways, and the announced servers to the other control processes. Stores
// which software version began each stream that callers may resume. Here,
// router means a gateway; agents and the routers in front of them connect to service.h.
class link_service : public QObject {
public:
  link_service(replica& group, io::link_settings settings, const link_limits& limits,
               QObject* parent);

  std::error_code listen(const io::endpoint& address);
  std::error_code start();
  void stop();
  void set_seeds(std::vector<std::string> seeds);

  // Called with the hosts of the group's members, as received from other processes.
  std::function<void(const std::set<std::string>&)> on_members;

  // Called with true once every connected subscriber has acknowledged, or with false
  // after a timeout.
  using acknowledged_callback = std::function<void(bool)>;

  // Applies a report that a backend server sent to this process or to a router. Calls
  // done when every subscriber has acknowledged a server that is no longer ready and its
  // departure is recorded, and at once for all other reports.
  void handle_report(const announced_server& server, acknowledged_callback done);
  // Address for the next reports of a server that reported over HTTP: a router when
  // such reports exceed their part of this VM's link, and none otherwise.
  std::optional<io::endpoint> next_report_address(const announced_server& server);
  // Calls done when the version is in force at every connected gateway, or with false
  // some time after it was stored.
  void when_version_applied(std::uint64_t version, acknowledged_callback done);
  // Called for a compressed routing configuration that another control process forwards;
  // done takes whether this version or a higher one is stored.
  std::function<void(std::uint64_t version, bytes packed_text,
                     std::function<void(bool)> done)>
      on_routing_forwarded;
  // See control_links::forward_routing().
  bool forward_routing(std::uint64_t version, const bytes& packed_text,
                       std::function<void(bool)> done) {
    return peers_.forward_routing(version, packed_text, std::move(done));
  }
  // Time in which this VM's network link transmits so many bytes.
  [[nodiscard]] double send_time_ms(std::size_t bytes) const;
  // Host of another connected control process that holds the newest version known here;
  // empty if there is none. Takes turns among them.
  [[nodiscard]] std::string find_reader();
  // Address of a connected router that holds the newest version known here and whose link
  // transmits so many bytes within the time; none without such a router. Takes turns
  // among them.
  [[nodiscard]] std::optional<io::endpoint> find_router_reader(std::size_t bytes,
                                                               milliseconds time);
  // Evacuates a zone, or ends that. Calls done with in_force once the order is stored and
  // every connected gateway applies it, or some time after it was stored. Forwards the
  // order to the leader.
  void order_evacuation(const std::string& zone, bool evacuated,
                        std::function<void(wire::EvacuationOutcome)> done);
  // Evacuated zones as a JSON list.
  [[nodiscard]] std::string evacuations_json() const;
  // Calls done with the result once the leader has replied, or after a timeout.
  void check_version(std::function<void(const version_check&)> done);
  // Quarantined prompt parts as a JSON list. Only the leader has them.
  [[nodiscard]] std::string quarantine_json() const;
  // Lifts the quarantine of a prompt part, at all services, or of a whole request.
  // id_text: in hexadecimal. Returns false if none is quarantined here.
  bool lift_quarantined(std::string_view id_text);
  // To be called after each change of the replicated state or the leader.
  void handle_state_changed();

  [[nodiscard]] std::size_t subscribers() const { return subscribers_.size(); }

private:
  // Feeds of servers that report here, and of those received from other control
  // processes.
  enum class feed { reported, repeated };
  // Position of a subscriber in a feed.
  struct feed_progress {
    feed_position acked;
    bool has_sent = false;         // something was sent on this connection
    std::uint64_t sent_number = 0; // number of the latest change sent
    time_point resend_at{};        // when an unacknowledged message counts as lost
  };
  struct subscriber {
    std::string node_id; // empty until the Subscribe message
    std::string host;    // address for other routers and servers
    std::string zone;
    bool takes_reports = false;
    std::uint32_t link_bytes_per_ms = 0; // 0: answers no reads
    std::uint32_t protocol = 0;
    bool is_router = false;
    bool is_primary = false;   // this process sends it the repeated feed
    bool confirmed = false;    // a quorum confirmed this leader since the subscription
    bool confirming = false;   // that confirmation is pending
    std::uint64_t version = 0; // acknowledged
    std::uint64_t evacuation_number = 0; // acknowledged
    std::vector<std::string> sent_hosts; // members of the group
    feed_progress reported;
    feed_progress repeated;
    time_point heard_at{};                    // when the latest bytes were noticed
    std::uint64_t bytes_received = 0;         // at that time
    time_point next_status{};                 // when the next status is due
    std::map<std::uint32_t, load_count> load; // by server hash
  };
  // A callback that waits for acknowledgements.
  struct acknowledgement_waiter {
    std::set<io::framed_connection*> receivers; // that must acknowledge
    std::uint64_t number = 0;                   // change number in the reported feed
    std::uint64_t version = 0;
    std::uint64_t evacuation_number = 0;
    std::optional<announced_server> departure; // that must be recorded
    time_point deadline{};
    acknowledged_callback done;
  };
  // A departure to be recorded.
  struct pending_departure {
    announced_server server;
    time_point deadline{};
    time_point resend_at{};
  };

  // A report that can't be judged yet, or of a server whose version is not recorded yet.
  struct held_report {
    announced_server server;
    time_point deadline{};
    acknowledged_callback done;
  };

  void accept(io::framed_connection* connection);
  void open_streams();
  void announce(const announced_server& report, acknowledged_callback done);
  void confirm_departure(const announced_server& server, acknowledged_callback done);
  void request_departure(const announced_server& server);
  void handle_requested_departures(const wire::RecordDeparturesT& request);
  void record_departures();
  void propose_departures(const std::vector<announced_server>& servers);
  void apply_departures();
  void learn_earlier_departures();
  [[nodiscard]] bool may_announce(const announced_server& server) const;
  [[nodiscard]] bool is_settled(const announced_server& departure) const;
  void propose_version(const service_version& it, bool retired);
  // Returns false if no leader can record the version.
  bool request_version(const announced_server& server);
  void release_held_reports();
  void update_versions();
  [[nodiscard]] std::optional<std::string> prove_sole_version(const subscriber& to,
                                                              const std::string& service,
                                                              milliseconds window) const;
  [[nodiscard]] std::vector<stream_record> records_in_use() const;
  void handle_frame(io::framed_connection* connection, byte_view buf);
  void handle_subscribe(io::framed_connection* connection, const wire::SubscribeT& hello);
  void handle_load(io::framed_connection* connection, const wire::RouterLoadT& load);
  void refill_budgets(time_point now);
  void send_requested_texts();
  void confirm_routing_version(io::framed_connection* connection, std::uint64_t token);
  void handle_forwarded_routing(io::framed_connection* connection,
                                wire::ForwardRoutingT& request);
  void send_status(io::framed_connection* connection);
  [[nodiscard]] std::vector<std::string> member_hosts() const;
  void connect_to_members();
  [[nodiscard]] feed_progress& progress(subscriber& it, feed which) const;
  [[nodiscard]] bool receives(const subscriber& it, feed which) const;
  [[nodiscard]] change_feed& changes(feed which);
  void choose_primaries();
  void push_changes(feed which);
  void send_changes(feed which, std::vector<io::framed_connection*> receivers);
  void send_unchanged_reports();
  void update_silent_servers();
  void remove_silent_servers();
  void handle_peer_update(const wire::ServerUpdateT& update);
  void handle_unchanged_reports(io::framed_connection* connection,
                                const std::vector<std::uint32_t>& servers);
  void handle_peer_unchanged_reports(const std::vector<std::uint32_t>& servers);
  void handle_router_report(io::framed_connection* connection,
                            const wire::ReportServerT& report);
  void store_evacuation(const std::string& zone, bool evacuated,
                        std::function<void(wire::EvacuationOutcome)> done);
  void when_evacuation_applied(std::function<void(wire::EvacuationOutcome)> done);
  void handle_forwarded_evacuation(io::framed_connection* connection,
                                   const wire::ForwardEvacuationT& order);
  // Whether the zone may be evacuated; unset if this process can't tell yet.
  [[nodiscard]] std::optional<bool> is_known_zone(const std::string& zone) const;
  void handle_stream_record(io::framed_connection* connection,
                            const wire::RecordStreamT& record);
  void handle_stream_search(io::framed_connection* connection,
                            const wire::FindStreamT& search);
  void index_server(const std::string& id);
  // Sends a message to subscribers. Large messages go to some routers, which forward
  // them, to save bandwidth of this process's link. Returns the bytes sent.
  template <typename Message>
  std::size_t send_fan_out(Message message,
                           std::vector<io::framed_connection*> receivers);
  void confirm_subscribers();
  void choose_load_interval(std::size_t forwarders);
  [[nodiscard]] load_digest collect_loads() const;
  void send_fleet_load();
  void update_quarantine();
  // Hashes of the software versions of the servers that take requests, by service.
  [[nodiscard]] std::map<std::uint32_t, std::set<std::uint32_t>> ready_versions() const;
  [[nodiscard]] std::uint32_t router_count() const;
  void update_router_count();
  void complete_waiting();
  [[nodiscard]] bool has_waiting_reports() const;
  [[nodiscard]] milliseconds heartbeat_interval() const;
  [[nodiscard]] bool is_acknowledged(const acknowledgement_waiter& it) const;
  void drop_subscriber(io::framed_connection* connection, std::string_view reason);
  void tick();

  replica& group_;
  io::framed_listener listener_;
  io::control_links peers_;
  QTimer timer_;
  std::string own_host_;
  std::uint16_t reports_port_; // port for reports and reads on routers
  link_limits limits_;
  server_directory directory_;
  stream_origins origins_;
  io::stream_store stream_store_;
  version_history versions_;
  std::vector<held_report> held_reports_;
  // Versions that this leader proposes, so that each is proposed once at a time.
  std::set<service_version> proposed_versions_;
  // Until when servers may have been announced before their version was recorded.
  time_point versions_unproven_until_{};
  std::map<std::string, pending_departure> pending_departures_; // by server id
  bool is_recording_departures_ = false;  // as the leader, which awaits the commit
  std::uint64_t observed_departures_ = 0; // number
  std::optional<std::uint64_t> leader_departures_; // number, as a quorum confirmed
  bool knows_earlier_departures_ = false;
  bool is_learning_departures_ = false; // as the leader, which awaits the quorum
  std::map<io::framed_connection*, subscriber> subscribers_;
  change_feed reported_;
  change_feed repeated_;
  std::set<std::string> silent_servers_; // ids announced as silent
  std::set<std::string> unchanged_;      // ids that reported here without a change
  std::unordered_map<std::uint32_t, std::string> ids_by_hash_;
  std::deque<time_point> direct_reports_; // times of reports over HTTP within a second
  std::vector<acknowledgement_waiter> waiting_;
  // Subscribers that requested the text.
  std::vector<io::framed_connection*> text_requests_;
  double text_budget_ = 0; // in bytes, as is change_budget_
  double change_budget_ = 0;
  time_point budgets_refilled_at_{};
  std::map<std::string, time_point> routers_; // time of the last frame by node id
  time_point next_count_record_{};
  std::uint64_t observed_version_ = 0;
  std::uint64_t observed_evacuations_ = 0; // number
  time_point started_at_{};
  std::size_t next_reader_; // starts at random, so that processes choose different ones
  time_point version_stored_at_{}; // when this process learned of observed_version_
  time_point next_primary_choice_{};
  std::uint64_t fleet_load_number_ = 0;
  part_demand part_demand_;
  request_quarantine quarantine_; // of the leader
  std::uint64_t quarantine_term_ = 0;
  milliseconds load_interval_{}; // 0: routers don't report loads
  time_point next_liveness_update_{};
  time_point next_removal_{};
  time_point next_load_update_{}; // of loads or of a changed quarantine
  time_point next_load_digest_{}; // of loads
  time_point next_notice_{};      // of an unchanged quarantine
  quarantine_notice sent_notice_;
};

} // namespace marigoldstep::control
