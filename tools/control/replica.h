#pragma once

#include "control/peers.h"
#include "control/settings.h"
#include "marigoldstep/fleet_state.h"
#include "marigoldstep/group_repair.h"
#include "marigoldstep/io/raft_storage.h"
#include "marigoldstep/raft.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <memory>
#include <optional>

namespace marigoldstep::control {

// This process's copy of the replicated fleet state. Runs the Raft implementation of
// raft.h, which does no I/O, over files and connections.
class replica : public QObject {
public:
  replica(control_settings settings, QObject* parent);

  // Called with the reply of the committed command. After an error the command may
  // still be committed, unless it is errc::not_leader or errc::rate_limited.
  using propose_callback = std::function<void(std::error_code, wire::ControlBodyUnion)>;
  using confirm_callback = std::function<void(std::error_code)>;
  // detail is a message for the operator.
  using member_callback = std::function<void(std::error_code, const std::string& detail)>;

  // Called with the duration of each write and sync, in seconds.
  std::function<void(double)> on_sync_time;

  // Called after log entries or a snapshot were applied, and after a change of the role,
  // the term or the leader.
  std::function<void()> on_changed;

  // Recovers the log and starts Raft; client is the address for nodes and operators.
  // On failure sets ec and detail.
  void start(const io::endpoint& client, std::error_code& ec, std::string& detail);
  void stop();

  void propose(bytes command, propose_callback done);
  // Calls done when a quorum has confirmed after this call that this process leads;
  // state() then contains every command committed before the call. Fails with
  // errc::not_leader.
  void confirm(confirm_callback done);
  void change_member(member_change change, const group_member& member,
                     member_callback done);

  [[nodiscard]] bool is_leader() const {
    return node_ && !out_of_service_ && node_->role == raft_role::leader;
  }
  // Addresses of processes to contact while this one belongs to no group.
  void set_seeds(std::vector<io::endpoint> seeds);
  // Hosts of the group's members, learned over the links, also while this process is
  // not a member. All of them have the same port for members.
  void set_member_hosts(const std::set<std::string>& hosts);
  // Voters that the group needs to tolerate the losses given in the settings.
  [[nodiscard]] std::size_t required_voters() const;

  // Whether a committed change survives the losses that the group must tolerate.
  [[nodiscard]] bool tolerates_losses() const;

  // Logs a warning with what this process knows of its group, and with its links.
  void log_status(std::string_view event, std::string_view problem) const;
  // Whether this process belongs to a group with a known leader.
  [[nodiscard]] bool is_ready() const;
  [[nodiscard]] std::uint64_t term() const { return node_ ? node_->state.term : 0; }
  // Address of the leader for nodes; port 0 when unknown.
  [[nodiscard]] io::endpoint leader() const;
  [[nodiscard]] const fleet_state& state() const { return state_; }
  [[nodiscard]] const raft_node* node() const { return node_ ? &*node_ : nullptr; }
  [[nodiscard]] bool out_of_service() const { return out_of_service_; }
  [[nodiscard]] io::raft_storage& log() { return *log_; }
  [[nodiscard]] const peer_network& network() const { return network_; }

private:
  struct queued_command {
    bytes command;
    propose_callback done;
  };
  struct waiting_command {
    term_number term = 0;
    propose_callback done;
  };
  struct unsynced_message {
    std::uint64_t sync_id = 0;
    raft_message message;
  };

  // A member change that waits for a heartbeat round begun after its request.
  struct pending_member_change {
    member_change change = member_change::add_learner;
    group_member member;
    std::uint64_t round = 0;
    time_point deadline{};
    member_callback done;
  };

  void propose_member_changes();
  void prepare_node(recovered_log recovered);
  void tick();
  void process(raft_output out);
  void handle_role_change();
  void flush_commands();
  void apply(const std::vector<log_entry>& entries);
  void install(const raft_snapshot& snapshot);
  void complete_reads(const std::vector<read_result>& reads);
  void fail_waiting_commands();
  void send(const raft_message& message);
  void release_messages(std::uint64_t sync_id);
  void handle_synced(std::uint64_t sync_id);
  void handle_peer(const peer_info& info);
  void update_targets();
  void try_to_form_group();
  void bootstrap();
  void repair_group();
  void log_missing_leader();
  void go_out_of_service(const std::string& detail);
  std::unique_ptr<io::raft_storage> make_log();
  void return_to_service();
  [[nodiscard]] io::endpoint address_of(member_id id) const;
  [[nodiscard]] bool has_commands() const;

  control_settings settings_;
  std::optional<raft_node> node_;
  std::unique_ptr<io::raft_storage> log_;
  peer_network network_;
  fleet_state state_;
  QTimer timer_;
  bool out_of_service_ = false;
  bool bootstrapped_ = false;
  raft_role observed_role_ = raft_role::follower;
  term_number observed_term_ = 0;
  member_id observed_leader_ = 0;
  log_index observed_members_index_ = 0;
  std::uint64_t synced_id_ = 0;
  std::vector<unsynced_message> unsynced_messages_;
  std::vector<queued_command> queue_;
  std::map<log_index, waiting_command> waiting_;
  std::map<std::uint64_t, confirm_callback> reads_;
  std::vector<pending_member_change> member_changes_;
  std::uint64_t next_token_ = 1;
  repair_view repair_;
  time_point next_repair_{};
  time_point without_leader_since_{};  // unset while a leader is known
  std::set<std::string> member_hosts_; // as received over the links
  time_point next_storage_retry_{};    // when the storage is tried again after a failure
};

// Commands that propose and approve a text as configuration version 1.
std::vector<bytes> bootstrap_commands(const std::string& text, unix_seconds time);

} // namespace marigoldstep::control
