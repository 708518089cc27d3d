#include "control/api.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/http_status.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/io/text_compression.h"
#include "platform/messages.h"

namespace marigoldstep::control {

namespace {

// A quarter of the interval between heartbeats of a link.
constexpr double max_leader_read_ms = 100;
// Operators wait a second for the whole response; the rest is for connecting and for the
// confirmation of the version.
constexpr auto max_read_time = milliseconds(850);

// A configuration of hundreds of routes takes a few hundred kilobytes.
constexpr std::uint64_t max_body_bytes = 8U << 20U;

void respond_json(const QPointer<io::http_connection>& to, unsigned status,
                  std::string_view body) {
  if (to) {
    to->respond(status, {{"Content-Type", "application/json"}}, body);
  }
}

void respond_error(const QPointer<io::http_connection>& to, unsigned status,
                   const std::string& problem) {
  if (to) {
    to->respond(status, {{"Content-Type", "text/plain"}}, problem + "\n");
  }
}

void respond_stored(const QPointer<io::http_connection>& to, const std::string& problem) {
  if (problem.empty()) {
    respond_json(to, io::http_status::ok, "{}");
  } else {
    respond_error(to, io::http_status::unavailable, problem);
  }
}

} // namespace

api::api(replica& group, link_service& links, QObject* parent)
    : QObject(parent), group_(group), links_(links), listener_(this) {
  listener_.limits.message.body_bytes = max_body_bytes;
  listener_.on_request = [this](io::http_connection& from,
                                const io::http_request& request) {
    handle_request(from, request);
  };
  links_.on_routing_forwarded = [this](std::uint64_t version, bytes packed_text,
                                       const std::function<void(bool)>& done) {
    store(version, std::move(packed_text),
          [done](const std::string& problem) { done(problem.empty()); });
  };
}

void api::use_memory(std::shared_ptr<io::request_memory> memory) {
  memory->check_request_size(max_body_bytes);
  listener_.memory = std::move(memory);
}

std::error_code api::listen(const io::endpoint& address) {
  const auto ec = listener_.listen(address.host, address.port);
  port_ = listener_.port();
  return ec;
}

void api::stop() {
  listener_.close_after_responses();
  listener_.close_idle();
  listener_.stop_accepting();
}

void api::handle_request(io::http_connection& from, const io::http_request& request) {
  using platform::control_operation;
  const connection to(&from);
  const auto call = platform::parse_control_request(request.head);
  switch (call.operation) {
  case control_operation::heartbeat:
    if (const auto server = platform::parse_heartbeat(call.server_id, request.body)) {
      handle_report(to, *server);
    } else {
      io::log_event(io::log_level::warning, "report_refused",
                    {{"server", call.server_id}});
      respond_error(to, io::http_status::bad_request,
                    "the report describes no usable server");
    }
    return;
  case control_operation::deregister:
    handle_report(to, platform::parse_deregistration(call.server_id, request.body));
    return;
  case control_operation::store_routing:
    handle_store(to, request);
    return;
  case control_operation::read_routing:
    handle_read(to, request.head.target);
    return;
  case control_operation::start_evacuation:
    handle_evacuation(to, call.zone, true);
    return;
  case control_operation::end_evacuation:
    handle_evacuation(to, call.zone, false);
    return;
  case control_operation::unknown:
    respond_error(to, io::http_status::not_found, "no such call");
    return;
  }
}

// Refuses reports without a leader: this process may be partitioned from the routers,
// so a report that it confirms might not reach them.
void api::handle_report(const connection& from, const announced_server& server) {
  if (!group_.is_ready()) {
    respond_error(from, io::http_status::unavailable, "this process follows no leader");
    return;
  }
  links_.handle_report(server, [this, from, server](bool acknowledged) {
    if (acknowledged) {
      respond_json(from, io::http_status::ok,
                   platform::make_heartbeat_response(links_.next_report_address(server)));
      return;
    }
    io::log_event(
        io::log_level::warning, "report_not_confirmed",
        {{"server", server.id},
         {"reason",
          "a router did not acknowledge, or the group did not record, in time"}});
    respond_error(from, io::http_status::unavailable, "not every router knows it yet");
  });
}

void api::handle_evacuation(const connection& from, const std::string& zone,
                            bool evacuated) {
  links_.order_evacuation(zone, evacuated, [from, zone](wire::EvacuationOutcome outcome) {
    switch (outcome) {
    case wire::EvacuationOutcome::in_force:
      respond_json(from, io::http_status::ok, "{}");
      return;
    case wire::EvacuationOutcome::unknown_zone:
      respond_error(from, io::http_status::not_found,
                    "there is no availability zone '" + zone + "'");
      return;
    case wire::EvacuationOutcome::failed:
      respond_error(from, io::http_status::unavailable, "the order was not stored");
      return;
    }
  });
}

void api::redirect(const connection& from, const std::string& target) {
  const auto leader = group_.leader();
  if (leader.host.empty() || group_.is_leader()) {
    respond_error(from, io::http_status::unavailable, "no leader");
    return;
  }
  redirect_to(from, {leader.host, port_}, target);
}

void api::redirect_to(const connection& from, const io::endpoint& to,
                      const std::string& target) {
  if (from) {
    from->respond(
        io::http_status::temporary_redirect,
        {{"Location", "http://" + to.host + ":" + std::to_string(to.port) + target}}, "");
  }
}

void api::handle_store(const connection& from, const io::http_request& request) {
  std::string problem;
  const auto config = platform::parse_routing_config(request.body, problem);
  problem = problem.empty() ? find_problem(config) : problem;
  if (!problem.empty()) {
    io::log_event(io::log_level::warning, "routing_refused", {{"problem", problem}});
    respond_error(from, io::http_status::bad_request, problem);
    return;
  }
  io::log_event(io::log_level::info, "routing_received",
                {{"version", std::to_string(config.version)},
                 {"bytes", std::to_string(request.body.size())},
                 {"leads", group_.is_leader() ? "true" : "false"}});
  auto packed_text = io::compress_text(request.body);
  if (group_.is_leader()) {
    store(config.version, std::move(packed_text),
          [from](const std::string& reason) { respond_stored(from, reason); });
  } else if (!forward(from, config.version, packed_text)) {
    redirect(from, request.head.target);
  }
}

// A redirect would make the operator send the whole text again, over the leader's link.
bool api::forward(const connection& from, std::uint64_t version,
                  const bytes& packed_text) {
  return links_.forward_routing(version, packed_text, [from, version](bool settled) {
    io::log_event(
        settled ? io::log_level::info : io::log_level::warning, "routing_forwarded",
        {{"version", std::to_string(version)}, {"settled", settled ? "true" : "false"}});
    respond_stored(from, settled ? "" : "the leader did not store it in time");
  });
}

void api::store(std::uint64_t version, bytes packed_text, store_callback done) {
  group_.confirm([this, version, packed_text = std::move(packed_text),
                  done = std::move(done)](std::error_code ec) {
    if (ec || !group_.tolerates_losses()) {
      const auto reason = ec ? ec.message() : "too few voters";
      io::log_event(io::log_level::warning, "routing_not_stored",
                    {{"version", std::to_string(version)},
                     {"voters", std::to_string(voter_count(members(*group_.node())))},
                     {"reason", reason}});
      done(reason);
      return;
    }
    if (version <= group_.state().routing_version) {
      io::log_event(io::log_level::info, "routing_not_newer",
                    {{"version", std::to_string(version)},
                     {"stored", std::to_string(group_.state().routing_version)}});
      complete_when_applied(group_.state().routing_version, done);
      return;
    }
    wire::StoreRoutingT request;
    request.version = version;
    request.packed_text = packed_text;
    auto command =
        encode_command(wire::control_frame(std::move(request), 0), io::wall_clock());
    group_.propose(std::move(command),
                   [this, version, done](std::error_code result, const auto& /*reply*/) {
                     io::log_event(io::log_level::info, "routing_proposed",
                                   {{"version", std::to_string(version)},
                                    {"result", result ? result.message() : "committed"}});
                     if (result) {
                       done(result.message());
                     } else {
                       complete_when_applied(version, done);
                     }
                   });
  });
}

// Waits until the connected routers apply the version or the wait times out, so that a
// lost router does not block the response.
void api::complete_when_applied(std::uint64_t version, store_callback done) {
  links_.when_version_applied(
      version, [version, done = std::move(done)](bool acknowledged) {
        io::log_event(io::log_level::info, "routing_acknowledged",
                      {{"version", std::to_string(version)},
                       {"in_force_everywhere", acknowledged ? "true" : "false"}});
        done("");
      });
}

// Redirects a read that would take too long here: to a router when this process's link
// can't transmit the text while the operator waits, otherwise from the leader to a
// follower, since the group's heartbeats, commits and confirmations pass over the
// leader's link.
bool api::redirect_read(const connection& from, const std::string& target) {
  const auto version = group_.state().routing_version;
  const auto size = io::decompressed_size(group_.state().routing_packed_text);
  const auto send_time = links_.send_time_ms(size);
  std::optional<io::endpoint> to;
  if (version != 0 && send_time > static_cast<double>(max_read_time.count())) {
    to = links_.find_router_reader(size, max_read_time);
  }
  if (!to && version != 0 && group_.is_leader() && send_time > max_leader_read_ms) {
    const auto host = links_.find_reader();
    to = host.empty() ? std::nullopt : std::optional(io::endpoint{host, port_});
  }
  if (!to) {
    return false;
  }
  io::log_event(io::log_level::info, "routing_read",
                {{"version", std::to_string(version)},
                 {"bytes", std::to_string(size)},
                 {"leads", group_.is_leader() ? "true" : "false"},
                 {"result", "redirected to " + to->host}});
  redirect_to(from, *to, target);
  return true;
}

void api::handle_read(const connection& from, const std::string& target) {
  if (redirect_read(from, target)) {
    return;
  }
  links_.check_version([this, from](const version_check& check) {
    const bool is_empty = !check.error && group_.state().routing_version == 0;
    io::log_event(io::log_level::info, "routing_read",
                  {{"version", std::to_string(group_.state().routing_version)},
                   {"leads", group_.is_leader() ? "true" : "false"},
                   {"connected", from ? "true" : "false"},
                   {"result", check.error ? check.error.message() : "newest"}});
    if (check.error || is_empty) {
      group_.log_status("routing_read_refused",
                        is_empty ? "nothing is stored" : check.problem);
      respond_error(from, io::http_status::unavailable,
                    is_empty ? "none stored yet" : check.error.message());
    } else {
      respond_json(from, io::http_status::ok,
                   io::decompress_text(group_.state().routing_packed_text));
    }
  });
}

} // namespace marigoldstep::control
