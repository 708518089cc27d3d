#pragma once

#include "control/settings.h"
#include "marigoldstep/fleet_state.h"

#include <QObject>

#include <functional>

namespace marigoldstep::control {

// This process's copy of the replicated fleet state.
class replica : public QObject {
public:
  replica(control_settings settings, QObject* parent);

  // Called with the reply of the committed command. With an error the command's
  // fate is unknown, unless it is errc::not_leader.
  using propose_callback = std::function<void(std::error_code, wire::ControlBodyUnion)>;
  using confirm_callback = std::function<void(std::error_code)>;

  // Starts the group's protocol. On a storage problem sets ec.
  void start(std::error_code& ec);
  void propose(bytes command, propose_callback done);
  // Calls done when a quorum has confirmed, after this call, that this process
  // leads; state() then holds every earlier committed command.
  void confirm(confirm_callback done);

  [[nodiscard]] bool is_leader() const { return true; }
  [[nodiscard]] std::uint64_t term() const { return 1; }
  [[nodiscard]] std::uint64_t commit_index() const { return commit_index_; }
  // Where nodes reach the leader; port 0 when unknown.
  [[nodiscard]] io::endpoint leader() const { return settings_.advertise; }
  [[nodiscard]] const fleet_state& state() const { return state_; }

private:
  void bootstrap();

  control_settings settings_;
  fleet_state state_;
  std::uint64_t commit_index_ = 0;
};

// Log entries that make a text the accepted version 1.
std::vector<bytes> bootstrap_commands(const std::string& text, unix_seconds time);

} // namespace marigoldstep::control
