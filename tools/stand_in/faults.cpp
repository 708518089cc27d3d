#include "stand_in/faults.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <limits>

namespace marigoldstep::stand_in {

namespace {

constexpr double max_slow_factor = 1000;
constexpr double max_fault_value = 1e9;

// Sets one field. Returns false for an unknown key or an invalid value.
bool set_number(fault_settings& out, const QString& key, double value) {
  const auto integer = static_cast<std::int64_t>(value);
  if (key == "stall_after_bytes") {
    out.stall_after_bytes = integer;
  } else if (key == "cut_after_bytes") {
    out.cut_after_bytes = integer;
  } else if (key == "length_error") {
    out.length_error = integer;
  } else if (key == "delay_ms") {
    out.delay = milliseconds(integer);
  } else if (key == "refuse_for_ms") {
    out.refuse_for = milliseconds(integer);
  } else if (key == "requests") {
    out.requests = integer;
  } else if (key == "slow_factor" && value > 0 && value <= max_slow_factor) {
    out.slow_factor = value;
  } else {
    return false;
  }
  return true;
}

bool set_field(fault_settings& out, const QString& key, const QJsonValue& value) {
  if (key == "fail" && value.isBool()) {
    out.fail = value.toBool();
    return true;
  }
  const auto number = value.toDouble();
  return value.isDouble() && std::abs(number) <= max_fault_value &&
         set_number(out, key, number);
}

} // namespace

std::optional<fault_settings> parse_faults(const QByteArray& body) {
  const auto document = QJsonDocument::fromJson(body);
  if (!document.isObject()) {
    return std::nullopt;
  }
  fault_settings out;
  const auto root = document.object();
  for (auto it = root.begin(); it != root.end(); ++it) {
    if (!set_field(out, it.key(), it.value())) {
      return std::nullopt;
    }
  }
  return out;
}

fault_settings consume_faults(fault_settings& current) {
  auto out = current;
  if (current.requests > 0 && --current.requests == 0) {
    const auto slow_factor = current.slow_factor;
    current = {};
    current.slow_factor = slow_factor;
  }
  return out;
}

std::int64_t sendable_bytes(const fault_settings& faults, std::int64_t sent,
                            std::int64_t size) {
  auto limit = std::numeric_limits<std::int64_t>::max();
  for (const auto it : {faults.stall_after_bytes, faults.cut_after_bytes}) {
    limit = it >= 0 ? std::min(limit, it) : limit;
  }
  return std::clamp<std::int64_t>(limit - sent, 0, size);
}

} // namespace marigoldstep::stand_in
