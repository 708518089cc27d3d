#pragma once

#include "marigoldstep/wire.h"

#include <QJsonObject>

#include <string>
#include <vector>

namespace marigoldstep::ctl {

// The state of the fleet as the operator sees it.
struct fleet_health {
  std::vector<std::string> violations;     // guarantees that do not hold now
  std::vector<std::string> operator_tasks; // actions for the operator, most urgent first
};

// services lists the pools and plain services of the accepted configuration.
fleet_health assess_health(const wire::StatusReplyT& status,
                           const std::vector<std::string>& services);

// Formats the status for one screen: at most 24 lines of 100 characters.
std::string status_text(const wire::StatusReplyT& status,
                        const std::vector<std::string>& services);
std::string history_text(const wire::HistoryReplyT& history);
std::string members_text(const wire::StatusReplyT& status);
std::string change_text(const wire::ChangeReplyT& reply, const std::string& change_id);

QJsonObject to_json(const wire::StatusReplyT& status,
                    const std::vector<std::string>& services);
QJsonObject to_json(const wire::HistoryReplyT& history);
QJsonObject to_json(const wire::ChangeReplyT& reply, const std::string& change_id);

// Compact JSON followed by a newline.
std::string json_line(const QJsonObject& object);

} // namespace marigoldstep::ctl
