#include "marigoldstep/io/admin_server.h"

#include "marigoldstep/io/http_status.h"

#include <prometheus/text_serializer.h>

namespace marigoldstep::io {

namespace {

void respond_text(http_connection& to, unsigned status, const std::string& type,
                  std::string_view body) {
  to.respond(status, {{"Content-Type", type}}, body);
}

// Orders take a few hundred bytes; other requests have no body.
constexpr std::uint64_t max_body_bytes = 64U << 10U;
constexpr std::size_t max_connections = 64;

} // namespace

admin_server::admin_server(QObject* parent)
    : QObject(parent), listener_(this),
      registry_(std::make_shared<prometheus::Registry>()) {
  listener_.limits.message.body_bytes = max_body_bytes;
  listener_.limits.max_connections = max_connections;
  listener_.on_request = [this](http_connection& from, http_request request) {
    serve(from, std::move(request));
  };
}

void admin_server::use_memory(std::shared_ptr<request_memory> memory) {
  listener_.memory = std::move(memory);
  listener_.memory->register_metrics(*registry_);
}

std::error_code admin_server::start(const std::string& host, std::uint16_t port) {
  return listener_.listen(host, port);
}

std::string admin_server::metrics_text() {
  if (before_collect) {
    before_collect();
  }
  listener_.memory->update_metrics();
  const prometheus::TextSerializer serializer;
  return serializer.Serialize(registry_->Collect());
}

void admin_server::serve(http_connection& from, http_request request) {
  const auto path =
      std::string_view(request.head.target).substr(0, request.head.target.find('?'));
  if (request.head.method == "DELETE") {
    const bool is_deleted = on_delete && on_delete(path);
    from.respond(is_deleted ? http_status::ok : http_status::not_found, {}, "");
  } else if (request.head.method == "POST" && on_post) {
    on_post(from, path, std::move(request.body));
  } else {
    serve_get(from, path);
  }
}

void admin_server::serve_get(http_connection& from, std::string_view path) {
  if (path == "/metrics") {
    respond_text(from, http_status::ok, "text/plain; version=0.0.4", metrics_text());
  } else if (path == "/healthz") {
    respond_text(from, http_status::ok, "text/plain", "ok\n");
  } else if (path == "/readyz") {
    const bool ready = !is_ready || is_ready();
    respond_text(from, ready ? http_status::ok : http_status::unavailable, "text/plain",
                 ready ? "ready\n" : "not ready\n");
  } else if (const auto text = extra ? extra(path) : std::string(); !text.empty()) {
    respond_text(from, http_status::ok, "application/json", text);
  } else {
    from.respond(http_status::not_found, {}, "");
  }
}

} // namespace marigoldstep::io
