#include "gateway/report_receiver.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/http_status.h"
#include "marigoldstep/io/logging.h"
#include "platform/messages.h"

#include <QPointer>

namespace marigoldstep::gateway {

namespace {

// Servers report at most once a second.
constexpr auto liveness_interval = std::chrono::milliseconds(500);
// After a longer silence the next report of a server is forwarded in full again.
constexpr auto silent_retention = milliseconds(10'000);
// A report takes a few hundred bytes.
constexpr std::uint64_t max_body_bytes = 16U << 10U;
// With 300 VMs about 10 servers report to each router, and several times as many
// after the loss of other routers.
constexpr std::size_t max_connections = 100;

} // namespace

report_receiver::report_receiver(io::control_links& links, QObject* parent)
    : QObject(parent), links_(links), listener_(this) {
  listener_.limits.message.body_bytes = max_body_bytes;
  listener_.limits.max_connections = max_connections;
  listener_.on_request = [this](io::http_connection& from,
                                const io::http_request& request) {
    handle_request(from, request);
  };
  connect(&timer_, &QTimer::timeout, this, [this] { send_unchanged_reports(); });
}

std::error_code report_receiver::listen(const std::string& host, std::uint16_t port) {
  timer_.start(liveness_interval);
  return listener_.listen(host, port);
}

void report_receiver::stop() {
  listener_.stop_accepting();
  listener_.close_after_responses();
  listener_.close_idle();
}

void report_receiver::forget_confirmed(const std::vector<std::uint32_t>& servers) {
  const std::set<std::uint32_t> hashes(servers.begin(), servers.end());
  std::erase_if(confirmed_, [&](const auto& it) {
    return hashes.contains(io::server_hash(it.first));
  });
}

void report_receiver::handle_request(io::http_connection& from,
                                     const io::http_request& request) {
  using platform::control_operation;
  const auto call = platform::parse_control_request(request.head);
  if (call.operation == control_operation::heartbeat) {
    if (const auto server = platform::parse_heartbeat(call.server_id, request.body)) {
      handle_report(from, *server);
      return;
    }
    io::log_event(io::log_level::warning, "report_refused", {{"server", call.server_id}});
    from.respond(io::http_status::bad_request, {},
                 "the report describes no usable server\n");
  } else if (call.operation == control_operation::deregister) {
    handle_report(from, platform::parse_deregistration(call.server_id, request.body));
  } else if (call.operation == control_operation::read_routing && on_read) {
    on_read(from);
  } else {
    from.respond(io::http_status::not_found, {}, "no such call\n");
  }
}

void report_receiver::handle_report(io::http_connection& from,
                                    const announced_server& server) {
  const auto known = confirmed_.find(server.id);
  // Control has to know how long a server is cold.
  if (known != confirmed_.end() && !routing_differs(known->second.server, server) &&
      server.warmup_left == milliseconds(0) && links_.open_links() > 0) {
    known->second.last_seen = io::now();
    unchanged_.insert(server.id);
    from.respond(io::http_status::ok, {},
                 platform::make_heartbeat_response(std::nullopt));
    return;
  }
  confirmed_.erase(server.id);
  links_.report(server, [this, to = QPointer(&from), server](bool confirmed) {
    if (confirmed) {
      confirmed_[server.id] = {server, io::now()};
    }
    io::log_event(io::log_level::info, "report_handed_on",
                  {{"server", server.id},
                   {"state", std::string(name(server.state))},
                   {"sequence", std::to_string(server.sequence)},
                   {"settled", confirmed ? "true" : "false"}});
    if (to) {
      to->respond(confirmed ? io::http_status::ok : io::http_status::unavailable, {},
                  confirmed ? platform::make_heartbeat_response(std::nullopt)
                            : "not every router knows it yet\n");
    }
  });
}

void report_receiver::send_unchanged_reports() {
  const auto now = io::now();
  std::erase_if(confirmed_, [&](const auto& it) {
    return now - it.second.last_seen > silent_retention;
  });
  if (unchanged_.empty()) {
    return;
  }
  std::vector<std::uint32_t> hashes;
  for (const auto& id : unchanged_) {
    hashes.push_back(io::server_hash(id));
  }
  // Without a link the hashes are sent again at the next interval.
  if (links_.send_unchanged_reports(hashes)) {
    unchanged_.clear();
  }
}

} // namespace marigoldstep::gateway
