#pragma once

#include "marigoldstep/io/control_client.h"
#include "marigoldstep/lease.h"
#include "marigoldstep/membership.h"

#include <memory>

namespace marigoldstep::io {

// A node's session with the control group: heartbeats, lease, the accepted
// configuration and, for routers, the membership view.
class node_session : public QObject {
public:
  node_session(std::vector<endpoint> control, wire::NodeRole role, std::string node_id,
               QObject* parent);

  // Adds the load and server entry of an agent, or the recent contacts of a router.
  std::function<void(wire::HeartbeatT&)> fill_heartbeat;
  // A newer accepted configuration was applied.
  std::function<void(std::shared_ptr<const configuration>)> on_configuration;
  // The membership view changed (routers).
  std::function<void(const membership_view&)> on_membership;
  // A heartbeat was acknowledged; carries the pool's mean load for agents.
  std::function<void(const wire::HeartbeatAckT&)> on_ack;

  // Starts the heartbeats. The callbacks must be set before.
  void start();
  // Sends a heartbeat at once, to announce an urgent change of state. Does nothing while
  // another one is pending.
  void send_heartbeat();
  // Records a version seen on a message from another node, and fetches it when newer.
  void record_version(std::uint64_t version);

  // Null until the first configuration was applied.
  [[nodiscard]] std::shared_ptr<const configuration> config() const { return config_; }
  [[nodiscard]] std::uint64_t version() const { return lease_.applied_version; }
  [[nodiscard]] bool may_take_work() const;
  [[nodiscard]] const membership_view& view() const { return view_; }
  [[nodiscard]] control_client& client() { return client_; }
  [[nodiscard]] const std::string& node_id() const { return node_id_; }

private:
  void handle_ack(const wire::HeartbeatAckT& ack, time_point sent_at);
  void handle_membership(const wire::HeartbeatAckT& ack);
  void fetch_configuration();
  void handle_configuration(const wire::ConfigReplyT& reply, time_point sent_at);

  control_client client_;
  QTimer timer_;
  wire::NodeRole role_;
  std::string node_id_;
  node_lease lease_;
  std::shared_ptr<const configuration> config_;
  membership_view view_;
  bool heartbeat_pending_ = false;
  bool fetch_pending_ = false;
};

server_info from_wire(const wire::ServerEntryT& entry);
wire::ServerEntryT to_wire(const server_info& info);

} // namespace marigoldstep::io
