// Versions of the routing configuration: changes, reads and acknowledgements.
#include "control/link_service.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

#include <algorithm>

namespace marigoldstep::control {

namespace {

// Operators wait a second for the response.
constexpr auto version_timeout = milliseconds(700);

} // namespace

void link_service::confirm_routing_version(io::framed_connection* connection,
                                           std::uint64_t token) {
  group_.confirm([this, connection, token](std::error_code ec) {
    if (!subscribers_.contains(connection)) {
      return;
    }
    wire::VersionConfirmedT reply;
    reply.token = token;
    reply.version = ec ? 0 : group_.state().routing_version;
    connection->send(wire::encode_link(reply));
  });
}

void link_service::handle_forwarded_routing(io::framed_connection* connection,
                                            wire::ForwardRoutingT& request) {
  const auto reply = [this, connection, token = request.token](bool settled) {
    if (subscribers_.contains(connection)) {
      wire::RoutingSettledT message;
      message.token = token;
      message.settled = settled;
      connection->send(wire::encode_link(message));
    }
  };
  if (!on_routing_forwarded) {
    reply(false);
    return;
  }
  on_routing_forwarded(request.version, std::move(request.packed_text), reply);
}

double link_service::send_time_ms(std::size_t bytes) const {
  return static_cast<double>(bytes) / limits_.link_bytes_per_ms;
}

std::string link_service::find_reader() {
  std::vector<std::string> hosts;
  for (const auto& [connection, it] : subscribers_) {
    if (!it.is_router && !it.host.empty() &&
        it.version >= group_.state().routing_version) {
      hosts.push_back(it.host);
    }
  }
  std::sort(hosts.begin(), hosts.end());
  return hosts.empty() ? std::string() : hosts[next_reader_++ % hosts.size()];
}

std::optional<io::endpoint> link_service::find_router_reader(std::size_t bytes,
                                                             milliseconds time) {
  const auto min_bytes_per_ms =
      static_cast<double>(bytes) / static_cast<double>(time.count());
  std::vector<std::string> hosts;
  for (const auto& [connection, it] : subscribers_) {
    if (it.is_router && it.takes_reports &&
        it.version >= group_.state().routing_version &&
        it.link_bytes_per_ms >= min_bytes_per_ms) {
      hosts.push_back(it.host);
    }
  }
  std::sort(hosts.begin(), hosts.end());
  if (hosts.empty()) {
    return std::nullopt;
  }
  return io::endpoint{hosts[next_reader_++ % hosts.size()], reports_port_};
}

void link_service::check_version(std::function<void(const version_check&)> done) {
  if (group_.is_leader()) {
    group_.confirm([done = std::move(done)](std::error_code ec) {
      done({ec, ec ? "no quorum confirmed this leader" : ""});
    });
    return;
  }
  const auto unavailable = make_error_code(errc::control_unavailable);
  if (!peers_.has_leader_link()) {
    done({unavailable, "no link to a leader"});
    return;
  }
  peers_.confirm_version(
      [this, unavailable, done = std::move(done)](std::uint64_t newest) {
        if (newest == 0) {
          done({unavailable, "the leader confirmed no version in time"});
        } else if (group_.state().routing_version < newest) {
          done({unavailable, "an older version is held"});
        } else {
          done({});
        }
      });
}

void link_service::when_version_applied(std::uint64_t version,
                                        acknowledged_callback done) {
  // A proposal completes before the replica announces the change of its state.
  handle_state_changed();
  acknowledgement_waiter it;
  it.version = version;
  it.deadline = version_stored_at_ + version_timeout;
  it.done = std::move(done);
  waiting_.push_back(std::move(it));
  complete_waiting();
}

bool link_service::is_acknowledged(const acknowledgement_waiter& it) const {
  for (auto* connection : it.receivers) {
    const auto to = subscribers_.find(connection);
    if (to != subscribers_.end() &&
        resume_number(reported_, to->second.reported.acked) < it.number) {
      return false;
    }
  }
  if (it.departure && !is_settled(*it.departure)) {
    return false;
  }
  return std::all_of(subscribers_.begin(), subscribers_.end(), [&](const auto& to) {
    return !to.second.is_router || (to.second.version >= it.version &&
                                    to.second.evacuation_number >= it.evacuation_number);
  });
}

// Whether a report of a server that is no longer ready waits for acknowledgements.
bool link_service::has_waiting_reports() const {
  return std::any_of(waiting_.begin(), waiting_.end(),
                     [](const auto& it) { return it.number > 0; });
}

void link_service::complete_waiting() {
  const auto now = io::now();
  std::vector<std::pair<acknowledged_callback, bool>> ended;
  std::erase_if(waiting_, [&](auto& it) {
    const bool acknowledged = is_acknowledged(it);
    if (acknowledged || now >= it.deadline) {
      ended.emplace_back(std::move(it.done), acknowledged);
      return true;
    }
    return false;
  });
  for (auto& [done, acknowledged] : ended) {
    done(acknowledged);
  }
}

void link_service::handle_state_changed() {
  connect_to_members();
  for (const auto& [service, versions] : group_.state().server_versions) {
    for (const auto& version : versions) {
      record_earlier_version(versions_, {service, version}, io::now());
    }
  }
  apply_departures();
  learn_earlier_departures();
  release_held_reports();
  const auto version = group_.state().routing_version;
  const auto evacuations = group_.state().evacuation_number;
  const bool is_new_version = version != observed_version_;
  const bool is_new_evacuation = evacuations != observed_evacuations_;
  observed_evacuations_ = evacuations;
  if (is_new_version) {
    observed_version_ = version;
    version_stored_at_ = io::now();
    io::log_event(io::log_level::info, "routing_stored",
                  {{"version", std::to_string(version)},
                   {"bytes", std::to_string(group_.state().routing_packed_text.size())}});
  }
  if (is_new_version || is_new_evacuation) {
    for (auto& [connection, it] : subscribers_) {
      if (!it.node_id.empty()) {
        send_status(connection);
      }
    }
  }
}

} // namespace marigoldstep::control
