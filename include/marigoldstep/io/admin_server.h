#pragma once

#include "marigoldstep/io/http_server.h"

#include <prometheus/registry.h>

#include <functional>
#include <memory>

namespace marigoldstep::io {

// Serves /metrics, /healthz and /readyz on a port of its own, so that callers
// cannot reach them through the caller port.
class admin_server : public http_server {
public:
  explicit admin_server(QObject* parent);

  // Decides /readyz; unset means ready.
  std::function<bool()> is_ready;
  // Called before the metrics are collected, to update gauges.
  std::function<void()> before_collect;
  // Serves further GET paths of a daemon, such as a JSON status. Returns an empty
  // text for unknown paths.
  std::function<QByteArray(const QString& path)> extra;
  // Handles DELETE of a path. Returns false for an unknown path.
  std::function<bool(const QString& path)> on_delete;

  [[nodiscard]] prometheus::Registry& registry() { return *registry_; }

private:
  void serve(const QHttpServerRequest& request, QTcpSocket* socket);
  QByteArray metrics_text();

  std::shared_ptr<prometheus::Registry> registry_;
};

} // namespace marigoldstep::io
