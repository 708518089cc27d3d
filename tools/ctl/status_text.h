#pragma once

#include "marigoldstep/wire.h"

#include <QJsonObject>

#include <string>
#include <vector>

namespace marigoldstep::ctl {

// What a status means for the operator.
struct fleet_health {
  std::vector<std::string> violations;     // promises that are not held now
  std::vector<std::string> operator_tasks; // what needs the operator, most urgent first
};

// services are the pools and plain services that the accepted configuration names.
fleet_health assess_health(const wire::StatusReplyT& status,
                           const std::vector<std::string>& services);

// One screen: at most 24 lines of 100 characters.
std::string status_text(const wire::StatusReplyT& status,
                        const std::vector<std::string>& services);
std::string history_text(const wire::HistoryReplyT& history);
std::string members_text(const wire::StatusReplyT& status);
std::string change_text(const wire::ChangeReplyT& reply, const std::string& change_id);

QJsonObject to_json(const wire::StatusReplyT& status,
                    const std::vector<std::string>& services);
QJsonObject to_json(const wire::HistoryReplyT& history);
QJsonObject to_json(const wire::ChangeReplyT& reply, const std::string& change_id);

// Compact JSON with a line end.
std::string json_line(const QJsonObject& object);

} // namespace marigoldstep::ctl
