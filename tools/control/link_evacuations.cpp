// Orders of the operator to evacuate availability zones.
#include "control/link_service.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

#include <algorithm>

namespace marigoldstep::control {

namespace {

using wire::EvacuationOutcome;

// Operators wait a second for the response.
constexpr auto apply_timeout = milliseconds(700);
// Servers and gateways connect within this time after the start.
constexpr auto zone_discovery_time = milliseconds(10'000);

} // namespace

std::optional<bool> link_service::is_known_zone(const std::string& zone) const {
  if (!limits_.zones.empty()) {
    return limits_.zones.contains(zone);
  }
  const bool is_seen =
      group_.state().evacuated_zones.contains(zone) ||
      std::any_of(directory_.entries.begin(), directory_.entries.end(),
                  [&](const auto& it) { return it.second.server.zone == zone; }) ||
      std::any_of(subscribers_.begin(), subscribers_.end(),
                  [&](const auto& it) { return it.second.zone == zone; });
  if (is_seen) {
    return true;
  }
  return io::now() - started_at_ < zone_discovery_time ? std::nullopt
                                                       : std::optional(false);
}

void link_service::order_evacuation(const std::string& zone, bool evacuated,
                                    std::function<void(EvacuationOutcome)> done) {
  const auto finish = [zone, evacuated, done = std::move(done)](EvacuationOutcome it) {
    io::log_event(it == EvacuationOutcome::in_force ? io::log_level::info
                                                    : io::log_level::warning,
                  "evacuation_ordered",
                  {{"zone", zone},
                   {"evacuated", evacuated ? "true" : "false"},
                   {"outcome", std::string(wire::EnumNameEvacuationOutcome(it))}});
    done(it);
  };
  const auto known = is_known_zone(zone);
  if (!known || !*known) {
    finish(known ? EvacuationOutcome::unknown_zone : EvacuationOutcome::failed);
  } else if (group_.is_leader()) {
    store_evacuation(zone, evacuated, finish);
  } else if (!peers_.forward_evacuation(zone, evacuated, finish)) {
    finish(EvacuationOutcome::failed);
  }
}

// An order that changes nothing was resent; it is acknowledged as the first one.
void link_service::store_evacuation(const std::string& zone, bool evacuated,
                                    std::function<void(EvacuationOutcome)> done) {
  group_.confirm([this, zone, evacuated, done = std::move(done)](std::error_code ec) {
    if (ec || !group_.tolerates_losses()) {
      done(EvacuationOutcome::failed);
      return;
    }
    if (group_.state().evacuated_zones.contains(zone) == evacuated) {
      when_evacuation_applied(done);
      return;
    }
    wire::StoreEvacuationT request;
    request.zone = zone;
    request.evacuated = evacuated;
    group_.propose(
        encode_command(wire::control_frame(std::move(request), 0), io::wall_clock()),
        [this, done](std::error_code result, const auto& /*reply*/) {
          if (result) {
            done(EvacuationOutcome::failed);
          } else {
            when_evacuation_applied(done);
          }
        });
  });
}

void link_service::when_evacuation_applied(std::function<void(EvacuationOutcome)> done) {
  // A proposal completes before the replica announces the change of its state.
  handle_state_changed();
  acknowledgement_waiter it;
  it.evacuation_number = group_.state().evacuation_number;
  it.deadline = io::now() + apply_timeout;
  it.done = [done = std::move(done)](bool /*everywhere*/) {
    done(EvacuationOutcome::in_force);
  };
  waiting_.push_back(std::move(it));
  complete_waiting();
}

void link_service::handle_forwarded_evacuation(io::framed_connection* connection,
                                               const wire::ForwardEvacuationT& order) {
  const auto reply = [this, connection, token = order.token](EvacuationOutcome outcome) {
    if (subscribers_.contains(connection)) {
      wire::EvacuationSettledT message;
      message.token = token;
      message.outcome = outcome;
      connection->send(wire::encode_link(message));
    }
  };
  if (group_.is_leader()) {
    order_evacuation(order.zone, order.evacuated, reply);
  } else {
    reply(EvacuationOutcome::failed); // it would be forwarded without end
  }
}

std::string link_service::evacuations_json() const {
  std::string out = "[";
  for (const auto& [zone, since] : group_.state().evacuated_zones) {
    const auto waits =
        std::count_if(subscribers_.begin(), subscribers_.end(), [&](const auto& it) {
          return it.second.is_router &&
                 it.second.evacuation_number < group_.state().evacuation_number;
        });
    out += out.size() > 1 ? "," : "";
    out += R"({"zone":")" + zone + R"(","since":)" + std::to_string(since) +
           R"(,"gateways_waited_for":)" + std::to_string(waits) + "}";
  }
  return out + "]\n";
}

} // namespace marigoldstep::control
