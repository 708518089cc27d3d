// Requests of a control link that wait for a reply.
#include "marigoldstep/io/control_links.h"

#include "marigoldstep/io/clock.h"

#include <algorithm>

namespace marigoldstep::io {

namespace {

constexpr auto confirm_timeout = milliseconds(500);
// A server waits 1 s for the confirmation of its report, a control process waits 0.8 s.
constexpr auto report_timeout = milliseconds(900);
// Longer than a commit and the wait for gateways take over a busy link: an early failure
// makes the operator send the whole text again.
constexpr auto forward_timeout = milliseconds(2500);
// A commit and the wait for gateways; operators wait a second.
constexpr auto order_timeout = milliseconds(950);

} // namespace

// Two may claim to lead: a deposed leader whose connection fell silent never says that it
// no longer leads.
control_links::link* control_links::find_leader_link() {
  link* latest = nullptr;
  for (auto& [host, it] : links_) {
    if (it.is_open && it.is_leader &&
        (latest == nullptr || it.heard_at > latest->heard_at)) {
      latest = &it;
    }
  }
  return latest;
}

void control_links::send_load(wire::RouterLoadT load) {
  if (auto* to = find_leader_link()) {
    to->connection->send(wire::encode_link(std::move(load)));
  }
}

void control_links::confirm_version(std::function<void(std::uint64_t)> done) {
  auto* to = find_leader_link();
  if (to == nullptr) {
    done(0);
    return;
  }
  wire::ConfirmVersionT request;
  request.token = next_token_++;
  confirmations_[request.token] = {io::now() + confirm_timeout, std::move(done)};
  to->connection->send(wire::encode_link(request));
}

bool control_links::forward_routing(std::uint64_t version, const bytes& packed_text,
                                    std::function<void(bool)> done) {
  auto* to = find_leader_link();
  if (to == nullptr) {
    return false;
  }
  wire::ForwardRoutingT message;
  message.token = next_token_++;
  message.version = version;
  message.packed_text = packed_text;
  forwards_[message.token] = {io::now() + forward_timeout, std::move(done)};
  to->connection->send(wire::encode_link(std::move(message)));
  return true;
}

bool control_links::forward_evacuation(
    const std::string& zone, bool evacuated,
    std::function<void(wire::EvacuationOutcome)> done) {
  auto* to = find_leader_link();
  if (to == nullptr || to->protocol < wire::recording_link_protocol) {
    return false;
  }
  wire::ForwardEvacuationT message;
  message.token = next_token_++;
  message.zone = zone;
  message.evacuated = evacuated;
  orders_[message.token] = {io::now() + order_timeout, std::move(done)};
  to->connection->send(wire::encode_link(std::move(message)));
  return true;
}

void control_links::complete_order(std::uint64_t token, wire::EvacuationOutcome outcome) {
  const auto it = orders_.find(token);
  if (it != orders_.end()) {
    const auto done = std::move(it->second.done);
    orders_.erase(it);
    done(outcome);
  }
}

void control_links::expire_orders(time_point now) {
  std::vector<std::uint64_t> late;
  for (const auto& [token, it] : orders_) {
    if (now >= it.deadline) {
      late.push_back(token);
    }
  }
  for (const auto token : late) {
    complete_order(token, wire::EvacuationOutcome::failed);
  }
}

void control_links::expire_confirmations(time_point now) {
  std::vector<std::function<void(std::uint64_t)>> ended;
  std::erase_if(confirmations_, [&](auto& it) {
    if (now < it.second.deadline) {
      return false;
    }
    ended.push_back(std::move(it.second.done));
    return true;
  });
  for (const auto& done : ended) {
    done(0);
  }
}

// Each router ranks the control processes by its own hash, which spreads the reports
// over them.
control_links::link* control_links::select_report_link() {
  link* best = nullptr;
  std::uint64_t best_score = 0;
  for (auto& [host, it] : links_) {
    const auto score = stable_hash(host + settings_.node_id);
    if (it.is_open && it.has_leader && (best == nullptr || score > best_score)) {
      best = &it;
      best_score = score;
    }
  }
  return best;
}

void control_links::report(const announced_server& server,
                           std::function<void(bool)> done) {
  auto* to = select_report_link();
  if (to == nullptr) {
    done(false);
    return;
  }
  const auto now = io::now();
  wire::ReportServerT message;
  message.token = next_token_++;
  message.server = std::make_unique<wire::AnnouncedServerT>(
      to_wire(directory_entry{.server = server, .last_seen = now}, now));
  forwards_[message.token] = {now + report_timeout, std::move(done)};
  to->connection->send(wire::encode_link(std::move(message)));
}

bool control_links::record_departures(const std::vector<announced_server>& servers) {
  auto* to = find_leader_link();
  if (to == nullptr) {
    return false;
  }
  const auto now = io::now();
  wire::RecordDeparturesT message;
  for (const auto& it : servers) {
    message.servers.push_back(std::make_unique<wire::AnnouncedServerT>(
        to_wire(directory_entry{.server = it, .last_seen = now}, now)));
  }
  to->connection->send(wire::encode_link(std::move(message)));
  return true;
}

bool control_links::has_leader_without_departures() const {
  const auto leads = [](const auto& it) {
    return it.second.is_open && it.second.is_leader;
  };
  return std::any_of(links_.begin(), links_.end(), leads) &&
         std::none_of(links_.begin(), links_.end(), [&](const auto& it) {
           return leads(it) && it.second.protocol >= wire::departures_link_protocol;
         });
}

void control_links::complete_forward(std::uint64_t token, bool settled) {
  const auto it = forwards_.find(token);
  if (it != forwards_.end()) {
    const auto done = std::move(it->second.done);
    forwards_.erase(it);
    done(settled);
  }
}

void control_links::expire_forwards(time_point now) {
  std::vector<std::uint64_t> late;
  for (const auto& [token, it] : forwards_) {
    if (now >= it.deadline) {
      late.push_back(token);
    }
  }
  for (const auto token : late) {
    complete_forward(token, false);
  }
}

bool control_links::send_unchanged_reports(const std::vector<std::uint32_t>& servers) {
  auto* to = select_report_link();
  if (to == nullptr) {
    return false;
  }
  wire::ServersHeardT message;
  message.servers = servers;
  to->connection->send(wire::encode_link(std::move(message)));
  return true;
}

} // namespace marigoldstep::io
