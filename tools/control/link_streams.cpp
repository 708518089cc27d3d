// The software versions that began streams, recorded by gateways, and those that servers
// have had.
#include "control/link_service.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

namespace marigoldstep::control {

namespace {

// Limits how long a record can take memory.
constexpr auto max_keep_time = milliseconds(3'600'000);

} // namespace

void link_service::open_streams() {
  if (limits_.stream_directory.empty()) {
    return;
  }
  const auto now = io::now();
  for (const auto& it : stream_store_.open(limits_.stream_directory)) {
    record_origin(origins_, it.stream, it.version, now + it.keep, now);
  }
}

std::vector<stream_record> link_service::records_in_use() const {
  const auto now = io::now();
  std::vector<stream_record> out;
  out.reserve(origins_.by_stream.size());
  for (const auto& [stream, it] : origins_.by_stream) {
    if (it.version && it.keep_until > now) {
      out.push_back({stream, *it.version, it.keep_until - now});
    }
  }
  return out;
}

// The record is confirmed once it outlives this process. Memory alone serves where there
// is no store.
void link_service::handle_stream_record(io::framed_connection* connection,
                                        const wire::RecordStreamT& record) {
  const auto now = io::now();
  const auto keep = std::min(milliseconds(record.keep_ms), max_keep_time);
  record_origin(origins_, record.stream, record.version, now + keep, now);
  const auto confirm = [this, connection, token = record.token] {
    if (subscribers_.contains(connection)) {
      wire::StreamRecordedT reply;
      reply.token = token;
      connection->send(wire::encode_link(reply));
    }
  };
  if (limits_.stream_directory.empty()) {
    confirm();
  } else {
    stream_store_.store({record.stream, record.version, keep}, confirm);
  }
}

void link_service::handle_stream_search(io::framed_connection* connection,
                                        const wire::FindStreamT& search) {
  const auto version = find_origin(origins_, search.stream, io::now());
  wire::StreamFoundT reply;
  reply.token = search.token;
  reply.found = version.has_value();
  reply.version = version.value_or("");
  if (!version) {
    const auto sole = prove_sole_version(subscribers_.at(connection), search.service,
                                         milliseconds(search.window_ms));
    reply.has_sole = sole.has_value();
    reply.sole = sole.value_or("");
  }
  connection->send(wire::encode_link(std::move(reply)));
}

// The leader that a quorum has confirmed knows every version whose servers were
// announced, also those of before its start, which count as known until then.
std::optional<std::string> link_service::prove_sole_version(const subscriber& to,
                                                            const std::string& service,
                                                            milliseconds window) const {
  const auto since = io::now() - window;
  if (!group_.is_leader() || !to.confirmed || since < versions_unproven_until_) {
    return std::nullopt;
  }
  return sole_version(versions_, service, since);
}

void link_service::propose_version(const service_version& it, bool retired) {
  if (!group_.is_leader() || !proposed_versions_.insert(it).second) {
    return;
  }
  wire::StoreVersionT request;
  request.service = it.service;
  request.version = it.version;
  request.retired = retired;
  group_.propose(
      encode_command(wire::control_frame(std::move(request), 0), io::wall_clock()),
      [this, it, retired](std::error_code ec, const auto& /*reply*/) {
        proposed_versions_.erase(it);
        io::log_event(ec ? io::log_level::warning : io::log_level::info,
                      "version_recorded",
                      {{"service", it.service},
                       {"version", it.version},
                       {"retired", retired ? "true" : "false"},
                       {"result", ec ? ec.message() : "committed"}});
      });
}

bool link_service::request_version(const announced_server& server) {
  if (group_.is_leader()) {
    propose_version({server.service, server.version}, false);
    return true;
  }
  return peers_.record_version(server.service, server.version);
}

void link_service::release_held_reports() {
  const auto now = io::now();
  std::vector<held_report> ended;
  std::erase_if(held_reports_, [&](auto& it) {
    if (may_announce(it.server) || now >= it.deadline) {
      ended.push_back(std::move(it));
      return true;
    }
    return false;
  });
  for (auto& it : ended) {
    if (may_announce(it.server)) {
      announce(it.server, std::move(it.done));
      continue;
    }
    io::log_event(io::log_level::warning, "report_held_too_long",
                  {{"server", it.server.id}, {"version", it.server.version}});
    it.done(false);
  }
}

// Keeps the history of versions. Control processes of an older build announce servers
// before their version is recorded.
void link_service::update_versions() {
  const auto now = io::now();
  for (const auto& [id, entry] : directory_.entries) {
    const service_version it{entry.server.service, entry.server.version};
    if (entry.server.state == announced_state::gone) {
      continue;
    }
    record_version(versions_, it, now);
    if (!has_version(group_.state(), it.service, it.version)) {
      propose_version(it, false);
    }
  }
  for (const auto& it : expired_versions(versions_, now)) {
    if (has_version(group_.state(), it.service, it.version)) {
      propose_version(it, true);
    } else {
      remove_version(versions_, it);
    }
  }
  for (const auto& [connection, it] : subscribers_) {
    if (!it.node_id.empty() && !it.is_router &&
        it.protocol < wire::recording_link_protocol) {
      versions_unproven_until_ = now;
    }
  }
}

} // namespace marigoldstep::control
