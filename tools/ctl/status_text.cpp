#include "ctl/status_text.h"

#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <map>

namespace marigoldstep::ctl {

namespace {

using wire::ServerState;

// A lease lasts 2 s; a voter that is silent for longer keeps no promise.
constexpr std::uint32_t silent_limit_ms = 2000;
constexpr std::size_t max_listed = 4;
constexpr std::size_t max_pools = 5;
constexpr std::size_t required_voters = 3;
constexpr std::size_t max_line = 100;

std::string plural(std::size_t n, const std::string& word) {
  return std::to_string(n) + " " + word + (n == 1 ? "" : "s");
}

std::string seconds(std::uint32_t ms) {
  constexpr std::uint32_t ms_per_second = 1000;
  return std::to_string(ms / ms_per_second) + " s";
}

std::string clip(const std::string& line) {
  return line.size() <= max_line ? line : line.substr(0, max_line - 3) + "...";
}

std::string time_text(std::uint64_t time_s) {
  return QDateTime::fromSecsSinceEpoch(static_cast<qint64>(time_s), Qt::UTC)
      .toString("yyyy-MM-dd hh:mm:ss")
      .toStdString();
}

struct voter_counts {
  std::size_t voters = 0;
  std::size_t in_contact = 0;
  std::size_t learners = 0;
};

voter_counts count_voters(const wire::StatusReplyT& status) {
  voter_counts out;
  for (const auto& it : status.voters) {
    out.learners += it->learner ? 1 : 0;
    out.voters += it->learner ? 0 : 1;
    const bool heard = it->node_id == status.leader || it->silent_ms < silent_limit_ms;
    out.in_contact += !it->learner && heard ? 1 : 0;
  }
  return out;
}

struct pool_counts {
  std::size_t serving = 0;
  std::size_t draining = 0;
  std::size_t silent = 0;
  std::uint64_t load = 0;
};

std::map<std::string, pool_counts> count_pools(const wire::StatusReplyT& status,
                                               const std::vector<std::string>& services) {
  std::map<std::string, pool_counts> out;
  for (const auto& it : services) {
    out[it] = {};
  }
  for (const auto& it : status.nodes) {
    if (it->role != wire::NodeRole::agent) {
      continue;
    }
    auto& pool = out[it->service];
    pool.serving += it->state == ServerState::serving ? 1 : 0;
    pool.draining += it->state == ServerState::draining ? 1 : 0;
    pool.silent +=
        it->state == ServerState::suspect || it->state == ServerState::dead ? 1 : 0;
    pool.load += it->load;
  }
  return out;
}

std::size_t count_behind(const wire::StatusReplyT& status) {
  return static_cast<std::size_t>(
      std::count_if(status.nodes.begin(), status.nodes.end(), [&status](const auto& it) {
        return it->silent_ms < silent_limit_ms &&
               it->config_version < status.accepted_version;
      }));
}

void judge_configuration(const wire::StatusReplyT& status, fleet_health& out) {
  if (status.accepted_version == 0) {
    out.broken.emplace_back("no configuration is accepted; nothing is served");
    out.to_do.emplace_back("propose a first configuration: mstepctl propose FILE");
  } else if (!status.in_force) {
    out.broken.push_back("version " + std::to_string(status.accepted_version) +
                         " is not in force on every node yet (" +
                         plural(count_behind(status), "node") + " behind)");
  }
}

void judge_voters(const wire::StatusReplyT& status, fleet_health& out) {
  const auto n = count_voters(status);
  if (n.voters == 0) {
    return; // this control process doesn't list its group
  }
  if (n.in_contact <= n.voters / 2) {
    out.broken.emplace_back("most voters are silent; nothing new can be decided");
  }
  for (const auto& it : status.voters) {
    if (!it->learner && it->node_id != status.leader &&
        it->silent_ms >= silent_limit_ms) {
      out.to_do.push_back("voter " + std::to_string(it->node_id) + " at " + it->host +
                          " silent for " + seconds(it->silent_ms) +
                          "; restart it or replace it with mstepctl members");
    }
    if (it->learner) {
      out.to_do.push_back("learner " + std::to_string(it->node_id) +
                          " waits: mstepctl members promote " +
                          std::to_string(it->node_id));
    }
  }
  if (n.voters < required_voters) {
    out.to_do.push_back(plural(n.voters, "voter") +
                        " cannot lose one; add control VMs up to 3");
  }
}

void judge_routers(const wire::StatusReplyT& status, fleet_health& out) {
  const bool any =
      std::any_of(status.nodes.begin(), status.nodes.end(), [](const auto& it) {
        return it->role == wire::NodeRole::router && it->silent_ms < silent_limit_ms;
      });
  if (!any && status.accepted_version != 0) {
    out.broken.emplace_back("no router is heard; callers are not served");
  }
}

void judge_pools(const wire::StatusReplyT& status,
                 const std::vector<std::string>& services, fleet_health& out) {
  for (const auto& [name, it] : count_pools(status, services)) {
    if (it.serving == 0) {
      out.broken.push_back(name + " has no serving server");
    }
    if (it.silent > 0) {
      out.to_do.push_back(name + ": " + plural(it.silent, "silent server") +
                          "; look at its VM");
    }
  }
}

void judge_pending(const wire::StatusReplyT& status, fleet_health& out) {
  for (const auto& it : status.pending) {
    const bool stale = it->base_version != status.accepted_version;
    out.to_do.push_back("change " + it->change_id + " by " + it->author +
                        (stale ? " has an old base version: mstepctl stop "
                               : " waits: mstepctl diff, approve or stop ") +
                        it->change_id);
  }
}

std::string configuration_line(const wire::StatusReplyT& status) {
  auto out = "configuration   version " + std::to_string(status.accepted_version);
  if (status.in_force) {
    return out + ", in force on all " + plural(status.nodes.size(), "node") + " after " +
           std::to_string(status.in_force_after_ms) + " ms";
  }
  return out + ", not in force on " + plural(count_behind(status), "node");
}

std::string leader_line(const wire::StatusReplyT& status) {
  const auto n = count_voters(status);
  auto out = "leader          " + std::to_string(status.leader);
  for (const auto& it : status.voters) {
    if (it->node_id == status.leader) {
      out += " at " + it->host + ":" + std::to_string(it->port);
    }
  }
  out += ", term " + std::to_string(status.term);
  if (n.voters > 0) {
    out += ", " + std::to_string(n.in_contact) + " of " + plural(n.voters, "voter") +
           " in contact";
  }
  return out;
}

void append_list(std::string& out, const std::vector<std::string>& lines) {
  for (std::size_t i = 0; i < lines.size() && i < max_listed; ++i) {
    out += clip("  - " + lines[i]) + "\n";
  }
  if (lines.size() > max_listed) {
    out += "  and " + std::to_string(lines.size() - max_listed) + " more (--json)\n";
  }
}

std::string outcome_name(wire::ChangeOutcome outcome) {
  return wire::EnumNameChangeOutcome(outcome);
}

QString text(const std::string& value) {
  return QString::fromStdString(value);
}

qint64 number(std::uint64_t value) {
  return static_cast<qint64>(value);
}

QJsonArray to_json(const std::vector<std::string>& list) {
  QJsonArray out;
  for (const auto& it : list) {
    out.append(text(it));
  }
  return out;
}

QJsonObject to_json(const wire::ChangeRecordT& it) {
  return {{"change_id", text(it.change_id)},           {"author", text(it.author)},
          {"base_version", number(it.base_version)},   {"version", number(it.version)},
          {"outcome", text(outcome_name(it.outcome))}, {"time", number(it.time_s)}};
}

template <typename Record>
QJsonArray to_json(const std::vector<std::unique_ptr<Record>>& list) {
  QJsonArray out;
  for (const auto& it : list) {
    out.append(to_json(*it));
  }
  return out;
}

} // namespace

fleet_health judge(const wire::StatusReplyT& status,
                   const std::vector<std::string>& services) {
  fleet_health out;
  judge_configuration(status, out);
  judge_voters(status, out);
  judge_routers(status, out);
  judge_pools(status, services, out);
  judge_pending(status, out);
  return out;
}

std::string status_text(const wire::StatusReplyT& status,
                        const std::vector<std::string>& services) {
  const auto health = judge(status, services);
  std::string out = "promises        ";
  out += health.broken.empty() ? "all held\n" : "NOT all held:\n";
  append_list(out, health.broken);
  out += clip(leader_line(status)) + "\n" + clip(configuration_line(status)) + "\n";
  std::size_t listed = 0;
  const auto pools = count_pools(status, services);
  for (const auto& [name, it] : pools) {
    if (++listed > max_pools) {
      out += "  and " + std::to_string(pools.size() - max_pools) + " more (--json)\n";
      break;
    }
    out += clip("  " + name + ": " + std::to_string(it.serving) + " serving, " +
                std::to_string(it.draining) + " draining, " + std::to_string(it.silent) +
                " silent, load " + std::to_string(it.load)) +
           "\n";
  }
  out += "claims kept     " + std::to_string(status.claims) + "\n";
  out += health.to_do.empty() ? "nothing needs you\n" : "needs you:\n";
  append_list(out, health.to_do);
  return out;
}

std::string history_text(const wire::HistoryReplyT& history) {
  std::string out;
  for (const auto& it : history.changes) {
    out += time_text(it->time_s) + "  " + it->change_id + " by " + it->author +
           " on version " + std::to_string(it->base_version) + ": " +
           outcome_name(it->outcome);
    out += it->version == 0 ? "\n" : " as version " + std::to_string(it->version) + "\n";
  }
  return out.empty() ? "no changes yet\n" : out;
}

std::string members_text(const wire::StatusReplyT& status) {
  std::string out;
  for (const auto& it : status.voters) {
    out += std::to_string(it->node_id) + "  " + it->host + ":" +
           std::to_string(it->port) + "  " + (it->learner ? "learner" : "voter");
    out += it->node_id == status.leader
               ? ", leader\n"
               : ", silent for " + std::to_string(it->silent_ms) + " ms\n";
  }
  return out.empty() ? "the control process does not list its members\n" : out;
}

std::string change_text(const wire::ChangeReplyT& reply, const std::string& change_id) {
  switch (reply.outcome) {
  case wire::ChangeOutcome::pending:
    return "change " + change_id + " is pending\n";
  case wire::ChangeOutcome::accepted:
    return "change " + change_id + " is accepted as version " +
           std::to_string(reply.version) + "\n";
  case wire::ChangeOutcome::stopped:
    return "change " + change_id + " is stopped; the accepted version is " +
           std::to_string(reply.version) + "\n";
  case wire::ChangeOutcome::refused:
    break;
  }
  return "change " + change_id + " is refused: " + reply.message + "\n";
}

QJsonObject to_json(const wire::StatusReplyT& status,
                    const std::vector<std::string>& services) {
  const auto health = judge(status, services);
  QJsonArray nodes;
  for (const auto& it : status.nodes) {
    nodes.append(QJsonObject{{"node_id", text(it->node_id)},
                             {"role", wire::EnumNameNodeRole(it->role)},
                             {"zone", text(it->zone)},
                             {"service", text(it->service)},
                             {"state", wire::EnumNameServerState(it->state)},
                             {"config_version", number(it->config_version)},
                             {"load", number(it->load)},
                             {"silent_ms", number(it->silent_ms)}});
  }
  QJsonArray voters;
  for (const auto& it : status.voters) {
    // 64-bit ids don't fit a JSON number.
    voters.append(QJsonObject{{"node_id", text(std::to_string(it->node_id))},
                              {"host", text(it->host)},
                              {"port", it->port},
                              {"learner", it->learner},
                              {"match_index", number(it->match_index)},
                              {"silent_ms", number(it->silent_ms)}});
  }
  return {{"promises_held", health.broken.empty()},
          {"broken", to_json(health.broken)},
          {"to_do", to_json(health.to_do)},
          {"leader", text(std::to_string(status.leader))},
          {"term", number(status.term)},
          {"commit_index", number(status.commit_index)},
          {"accepted_version", number(status.accepted_version)},
          {"in_force", status.in_force},
          {"in_force_after_ms", number(status.in_force_after_ms)},
          {"claims", number(status.claims)},
          {"nodes", nodes},
          {"voters", voters},
          {"pending", to_json(status.pending)}};
}

QJsonObject to_json(const wire::HistoryReplyT& history) {
  return {{"changes", to_json(history.changes)}};
}

QJsonObject to_json(const wire::ChangeReplyT& reply, const std::string& change_id) {
  return {{"change_id", text(change_id)},
          {"outcome", text(outcome_name(reply.outcome))},
          {"version", number(reply.version)},
          {"code", text(std::string(name(errc_from_number(reply.error_code))))},
          {"message", text(reply.message)},
          {"winner_change_id", text(reply.winner_change_id)},
          {"winner_author", text(reply.winner_author)}};
}

std::string json_line(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString() + "\n";
}

} // namespace marigoldstep::ctl
