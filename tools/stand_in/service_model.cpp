#include "stand_in/service_model.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace marigoldstep::stand_in {

std::uint64_t body_hash(const service_call& call) {
  return stable_hash(call.path + '\x1f' + call.body.toStdString());
}

QByteArray run_call(service_runs& runs, const service_call& call) {
  if (call.method != "GET" && call.method != "HEAD") {
    ++runs.total;
    ++runs.by_body[body_hash(call)];
    if (!call.key.empty()) {
      ++runs.by_key[call.key];
    }
  }
  return render_service_response(call);
}

QByteArray render_runs(const service_runs& runs, const std::string& key) {
  QJsonObject keys;
  QJsonObject bodies;
  for (const auto& [it, n] : runs.by_key) {
    if (key.empty() || key == it) {
      keys[QString::fromStdString(it)] = qint64(n);
    }
  }
  for (const auto& [it, n] : runs.by_body) {
    if (key.empty()) {
      bodies[QString::number(it, 16)] = qint64(n);
    }
  }
  const QJsonObject root{
      {"total", qint64(runs.total)}, {"keys", keys}, {"bodies", bodies}};
  return QJsonDocument(root).toJson(QJsonDocument::Compact);
}

} // namespace marigoldstep::stand_in
