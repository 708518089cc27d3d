#pragma once

#include "marigoldstep/io/http_connection.h"

#include <prometheus/registry.h>

#include <functional>
#include <memory>

namespace marigoldstep::io {

// Serves /metrics, /healthz and /readyz on a port of its own, so that callers
// cannot reach them through the caller port.
class admin_server : public QObject {
public:
  explicit admin_server(QObject* parent);

  // Decides /readyz; unset means ready.
  std::function<bool()> is_ready;
  // Called before the metrics are collected, to update gauges.
  std::function<void()> before_collect;
  // Serves further GET paths of a daemon, such as a JSON status. Returns an empty
  // text for unknown paths.
  std::function<std::string(std::string_view path)> extra;
  // Handles DELETE of a path. Returns false for an unknown path.
  std::function<bool(std::string_view path)> on_delete;
  // Handles POST and responds to it; unset: no path takes it.
  std::function<void(http_connection& from, std::string_view path, std::string body)>
      on_post;

  // Shares the memory that clients of the process may use, and shows its metrics. Call it
  // before start().
  void use_memory(std::shared_ptr<request_memory> memory);
  // Listens on host:port; port 0 picks a free one.
  std::error_code start(const std::string& host, std::uint16_t port);
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  [[nodiscard]] prometheus::Registry& registry() { return *registry_; }

private:
  void serve(http_connection& from, http_request request);
  void serve_get(http_connection& from, std::string_view path);
  std::string metrics_text();

  http_listener listener_;
  std::shared_ptr<prometheus::Registry> registry_;
};

} // namespace marigoldstep::io
