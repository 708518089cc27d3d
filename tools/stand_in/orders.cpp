#include "stand_in/orders.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace marigoldstep::stand_in {

namespace {

bool apply(engine_order_state& state, const engine_order& order) {
  if (order.kind == "load_model") {
    state.models.insert(order.argument);
  } else if (order.kind == "load_adapter") {
    state.adapters.insert(order.argument);
  } else if (order.kind == "set_version") {
    state.version = order.argument;
  } else if (order.kind == "set_role") {
    state.role = order.argument;
  } else {
    return false;
  }
  return true;
}

QJsonArray to_json(const std::set<std::string>& names) {
  QJsonArray out;
  for (const auto& it : names) {
    out.append(QString::fromStdString(it));
  }
  return out;
}

} // namespace

order_result apply_order(engine_order_state& state, const QByteArray& body) {
  const auto document = QJsonDocument::fromJson(body);
  const auto root = document.object();
  if (!root["fencing"].isDouble() || !root["kind"].isString()) {
    return order_result::malformed;
  }
  engine_order order;
  order.kind = root["kind"].toString().toStdString();
  order.argument = root["argument"].toString().toStdString();
  order.fencing = static_cast<std::uint64_t>(root["fencing"].toInteger());
  if (state.checks_fencing && order.fencing < state.highest_fencing) {
    return order_result::stale_fencing;
  }
  if (!apply(state, order)) {
    return order_result::malformed;
  }
  state.highest_fencing = std::max(state.highest_fencing, order.fencing);
  state.applied.push_back(std::move(order));
  return order_result::applied;
}

QByteArray render_orders(const engine_order_state& state) {
  QJsonArray applied;
  for (const auto& it : state.applied) {
    applied.append(QJsonObject{{"kind", QString::fromStdString(it.kind)},
                               {"argument", QString::fromStdString(it.argument)},
                               {"fencing", qint64(it.fencing)}});
  }
  const QJsonObject root{{"models", to_json(state.models)},
                         {"adapters", to_json(state.adapters)},
                         {"version", QString::fromStdString(state.version)},
                         {"role", QString::fromStdString(state.role)},
                         {"highest_fencing", qint64(state.highest_fencing)},
                         {"applied", applied}};
  return QJsonDocument(root).toJson(QJsonDocument::Compact);
}

} // namespace marigoldstep::stand_in
