// Requests of the service to the replica, and the formation and repair of the group.
#include "control/replica.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/io/program.h"

#include <algorithm>

namespace marigoldstep::control {

namespace {

// Time for members to acknowledge the heartbeat round that a member change needs.
constexpr auto member_change_timeout = milliseconds(1000);
constexpr auto repair_interval = milliseconds(150);

wire::ControlFrameT bootstrap_change(wire::ChangeKind kind, const std::string& text) {
  wire::ChangeRequestT body;
  body.kind = kind;
  body.change_id = "bootstrap";
  body.author = "bootstrap";
  body.base_version = 0;
  body.text = text;
  return wire::control_frame(std::move(body), 0);
}

} // namespace

std::vector<bytes> bootstrap_commands(const std::string& text, unix_seconds time) {
  return {encode_command(bootstrap_change(wire::ChangeKind::propose, text), time),
          encode_command(bootstrap_change(wire::ChangeKind::approve, ""), time)};
}

void replica::propose(bytes command, propose_callback done) {
  if (!is_leader()) {
    done(make_error_code(errc::not_leader), {});
    return;
  }
  queue_.push_back({std::move(command), std::move(done)});
  if (queue_.size() == 1) {
    // Batches the commands of one event loop iteration into one write and sync.
    QMetaObject::invokeMethod(
        this, [this] { flush_commands(); }, Qt::QueuedConnection);
  }
}

void replica::flush_commands() {
  auto queue = std::move(queue_);
  queue_.clear();
  std::vector<bytes> commands;
  commands.reserve(queue.size());
  for (auto& it : queue) {
    commands.push_back(std::move(it.command));
  }
  raft_output out;
  if (out_of_service_) {
    out.error = make_error_code(errc::not_leader);
  } else {
    out = marigoldstep::propose(*node_, std::move(commands), io::now());
  }
  if (out.error) {
    for (auto& it : queue) {
      it.done(out.error, {});
    }
    return;
  }
  auto index = out.proposed_index;
  for (auto& it : queue) {
    waiting_[index++] = {node_->state.term, std::move(it.done)};
  }
  process(std::move(out));
}

void replica::confirm(confirm_callback done) {
  if (!is_leader()) {
    done(make_error_code(errc::not_leader));
    return;
  }
  const auto token = next_token_++;
  reads_[token] = std::move(done);
  process(read_index(*node_, token, io::now()));
}

void replica::change_member(member_change change, const group_member& member,
                            member_callback done) {
  if (!is_leader()) {
    done(make_error_code(errc::not_leader), "this process does not lead the group");
    return;
  }
  process(begin_heartbeat_round(*node_, io::now()));
  member_changes_.push_back(
      {change, member, node_->round, io::now() + member_change_timeout, std::move(done)});
}

void replica::propose_member_changes() {
  auto changes = std::move(member_changes_);
  member_changes_.clear();
  for (auto& it : changes) {
    const auto now = io::now();
    auto out = propose_member(*node_, it.change, it.member, it.round, now);
    if (out.error == errc::unsafe_member_change && now < it.deadline) {
      member_changes_.push_back(std::move(it));
      continue;
    }
    io::log_event(out.error ? io::log_level::warning : io::log_level::info,
                  "member_change",
                  {{"member", std::to_string(it.member.id)},
                   {"result", out.error ? out.detail : "started"}});
    if (out.error) {
      it.done(out.error, out.detail);
      continue;
    }
    waiting_[out.proposed_index] = {
        node_->state.term,
        [done = it.done](std::error_code ec, const wire::ControlBodyUnion&) {
          done(ec, ec ? "the leader changed meanwhile; look at the status" : "");
        }};
    process(std::move(out));
  }
}

bool replica::is_ready() const {
  return node_ && !out_of_service_ && node_->identity.group != 0 && node_->leader != 0;
}

io::endpoint replica::leader() const {
  if (!node_ || out_of_service_ || node_->leader == 0) {
    return {};
  }
  if (node_->leader == node_->identity.id) {
    return settings_.advertise;
  }
  const auto* info = network_.find(node_->leader);
  return info == nullptr ? io::endpoint() : info->client;
}

void replica::handle_peer(const peer_info& info) {
  if (node_ && info.id == node_->identity.id && info.peer != settings_.advertise_peer) {
    io::log_event(io::log_level::error, "identity_used_twice",
                  {{"other", info.peer.host + ":" + std::to_string(info.peer.port)}});
    return;
  }
  const group_member member{info.id, info.peer.host, info.peer.port, false};
  std::erase_if(repair_.announced, [&](const auto& it) {
    return it.first != info.id && it.second.member.host == member.host &&
           it.second.member.port == member.port;
  });
  repair_.announced[info.id] = {member, io::now()};
}

void replica::set_seeds(std::vector<io::endpoint> seeds) {
  settings_.peers = std::move(seeds);
  std::erase(settings_.peers, settings_.advertise_peer);
  if (node_ && !out_of_service_) {
    update_targets();
  }
}

void replica::set_member_hosts(const std::set<std::string>& hosts) {
  member_hosts_ = hosts;
  if (node_ && !out_of_service_) {
    update_targets();
  }
}

std::size_t replica::required_voters() const {
  return settings_.repair ? marigoldstep::required_voters(*settings_.repair) : 1;
}

// Makes one change at a time, at an interval in which heartbeats show its effect.
void replica::repair_group() {
  const auto now = io::now();
  if (!settings_.repair || !is_leader() || now < next_repair_ ||
      !member_changes_.empty()) {
    return;
  }
  const auto step = next_repair_step(*node_, repair_, *settings_.repair, now);
  if (!step) {
    return;
  }
  next_repair_ = now + repair_interval;
  io::log_event(io::log_level::info, "group_repair",
                {{"member", std::to_string(step->member.id)},
                 {"host", step->member.host},
                 {"reason", std::string(step->reason)}});
  change_member(step->change, step->member,
                [](std::error_code /*ec*/, const std::string& /*detail*/) {
                  // propose_member_changes() logs the result; the next step depends
                  // on the members at that time.
                });
}

// The process with the lowest address forms the group after every initial peer has
// reported that it belongs to none. So a process that lost its disk never forms a
// second group; it waits until the first one adds it.
void replica::try_to_form_group() {
  if (node_->identity.group != 0 || synced_id_ == 0 || !settings_.may_form_group) {
    return;
  }
  group_members list = {{node_->identity.id, settings_.advertise_peer.host,
                         settings_.advertise_peer.port, false}};
  for (const auto& it : settings_.peers) {
    const auto* info = network_.find(it);
    if (info == nullptr || info->has_group || it < settings_.advertise_peer) {
      return;
    }
    list.push_back({info->id, it.host, it.port, false});
  }
  const auto group = std::max<std::uint64_t>(1, io::make_attempt_id().hi);
  io::log_event(
      io::log_level::info, "group_formed",
      {{"group", std::to_string(group)}, {"members", std::to_string(list.size())}});
  process(form_group(*node_, group, list, io::now()));
  update_targets();
}

bool replica::has_commands() const {
  const auto& entries = node_->log.entries;
  return node_->log.snapshot.last_index > 0 ||
         std::any_of(entries.begin(), entries.end(),
                     [](const auto& it) { return it.kind == entry_kind::normal; });
}

void replica::bootstrap() {
  if (bootstrapped_ || !is_leader() || node_->commit_index == 0) {
    return;
  }
  bootstrapped_ = true;
  if (settings_.bootstrap_configuration.empty() || has_commands()) {
    return;
  }
  std::error_code ec;
  const auto text = io::read_file(settings_.bootstrap_configuration, ec);
  if (ec) {
    io::log_event(io::log_level::error, "bootstrap_failed",
                  {{"file", settings_.bootstrap_configuration}, {"error", ec.message()}});
    return;
  }
  for (auto& it : bootstrap_commands(text, io::wall_clock())) {
    propose(std::move(it),
            [](std::error_code result, const wire::ControlBodyUnion& body) {
              const auto* reply = body.AsChangeReply();
              io::log_event(io::log_level::info, "bootstrap",
                            {{"error", result ? result.message() : "none"},
                             {"version", reply ? std::to_string(reply->version) : ""},
                             {"message", reply ? reply->message : ""}});
            });
  }
}

} // namespace marigoldstep::control
