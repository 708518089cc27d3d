// Departures of backend servers, recorded in the replicated state before they are
// confirmed.
#include "control/link_service.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

namespace marigoldstep::control {

namespace {

// Servers wait a second for the confirmation.
constexpr auto record_timeout = milliseconds(800);
// A commit takes a few round trips between control processes.
constexpr auto resend_interval = milliseconds(250);
// In one command. Departures that come while a command is being committed share the next.
constexpr std::size_t max_batch = 256;

} // namespace

// A leader of an older build records none, so that departures are confirmed as that build
// confirms them.
bool link_service::is_settled(const announced_server& departure) const {
  return is_recorded(group_.state().departures, departure) ||
         (!group_.is_leader() && peers_.has_leader_without_departures());
}

void link_service::request_departure(const announced_server& server) {
  if (is_recorded(group_.state().departures, server)) {
    return;
  }
  const bool is_first = pending_departures_.empty();
  pending_departures_[server.id] = {server, io::now() + record_timeout, {}};
  if (is_first) {
    // Departures that arrive in one pass of the event loop are recorded together.
    QMetaObject::invokeMethod(
        this, [this] { record_departures(); }, Qt::QueuedConnection);
  }
}

void link_service::handle_requested_departures(const wire::RecordDeparturesT& request) {
  for (const auto& it : request.servers) {
    const auto server = io::from_wire(*it);
    if (server.id.empty() || server.state == announced_state::ready) {
      io::log_event(io::log_level::warning, "departure_ignored", {{"server", server.id}});
    } else {
      request_departure(server);
    }
  }
}

void link_service::record_departures() {
  const auto now = io::now();
  std::erase_if(pending_departures_, [&](const auto& it) {
    const bool is_late = now >= it.second.deadline;
    const bool is_done = is_settled(it.second.server);
    if (is_late && !is_done) {
      io::log_event(io::log_level::warning, "departure_not_recorded",
                    {{"server", it.first}});
    }
    return is_late || is_done;
  });
  if (is_recording_departures_) {
    return;
  }
  std::vector<announced_server> batch;
  for (const auto& [id, it] : pending_departures_) {
    if (now >= it.resend_at && batch.size() < max_batch) {
      batch.push_back(it.server);
    }
  }
  if (batch.empty()) {
    return;
  }
  if (group_.is_leader()) {
    propose_departures(batch);
  } else if (peers_.record_departures(batch)) {
    for (const auto& it : batch) {
      pending_departures_.at(it.id).resend_at = now + resend_interval;
    }
  }
}

void link_service::propose_departures(const std::vector<announced_server>& servers) {
  wire::StoreDeparturesT request;
  for (const auto& it : servers) {
    request.departures.push_back(to_wire(it));
  }
  is_recording_departures_ = true;
  group_.propose(
      encode_command(wire::control_frame(std::move(request), 0), io::wall_clock()),
      [this, n = servers.size(), since = io::now()](std::error_code ec, const auto&) {
        is_recording_departures_ = false;
        io::log_event(ec ? io::log_level::warning : io::log_level::info,
                      "departures_recorded",
                      {{"servers", std::to_string(n)},
                       {"result", ec ? ec.message() : "committed"},
                       {"ms", std::to_string((io::now() - since).count())}});
        // A proposal completes before the replica announces the change of its state.
        handle_state_changed();
        if (!ec) {
          record_departures();
        }
      });
}

// Also tells subscribers of a server that departed while this process was cut off.
void link_service::apply_departures() {
  const auto& table = group_.state().departures;
  if (table.number == observed_departures_) {
    return;
  }
  if (table.number < observed_departures_) {
    observed_departures_ = 0; // another group, which was formed after a loss of all disks
  }
  const auto now = io::now();
  for (const auto& it : departures_after(table, observed_departures_)) {
    const bool is_known = directory_.entries.contains(it.server.id);
    const auto change = apply_report(directory_, it.server, milliseconds(0), now);
    if (change == directory_change::changed) {
      index_server(it.server.id);
      if (is_known) {
        record_change(repeated_, it.server.id);
      }
      io::log_event(io::log_level::info, "departure_learned",
                    {{"server", it.server.id},
                     {"state", std::string(name(it.server.state))},
                     {"started", std::to_string(it.server.started)}});
    }
  }
  observed_departures_ = table.number;
  push_changes(feed::repeated);
  complete_waiting();
}

void link_service::learn_earlier_departures() {
  if (knows_earlier_departures_) {
    return;
  }
  const auto finish = [this] {
    apply_departures();
    knows_earlier_departures_ = true;
    io::log_event(io::log_level::info, "reports_accepted",
                  {{"departures", std::to_string(group_.state().departures.number)}});
    auto held = std::exchange(held_reports_, {});
    for (auto& it : held) {
      handle_report(it.server, std::move(it.done));
    }
  };
  if (!group_.is_leader()) {
    if (leader_departures_ && group_.state().departures.number >= *leader_departures_) {
      finish();
    }
  } else if (!is_learning_departures_) {
    is_learning_departures_ = true;
    group_.confirm([this, finish](std::error_code ec) {
      is_learning_departures_ = false;
      if (!ec && !knows_earlier_departures_) {
        finish();
      }
    });
  }
}

} // namespace marigoldstep::control
