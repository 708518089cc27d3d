#include "router/caller_server.h"

#include "router/caller_response.h"

namespace marigoldstep::router {

namespace {

constexpr std::uint32_t max_header_bytes = 64U << 10U;
constexpr std::uint64_t default_max_body_bytes = 2U << 20U;

// The outcome of a request that can't be read.
outcome rejection_outcome(errc code) {
  if (code == errc::message_too_large) {
    return not_run(errc::body_too_large); // callers know one code for both
  }
  return not_run(code == errc::malformed_message ? errc::bad_request : code);
}

io::http_rejection make_rejection(errc code, std::optional<milliseconds> retry_after) {
  auto result = rejection_outcome(code);
  result.retry_after = retry_after.value_or(result.retry_after);
  return {static_cast<unsigned>(http_status(result)), make_problem_fields(result),
          make_problem(result, "")};
}

} // namespace

caller_server::caller_server(const router_limits& limits,
                             std::shared_ptr<io::request_memory> memory, QObject* parent)
    : QObject(parent), listener_(this) {
  listener_.memory = std::move(memory);
  listener_.limits.message = {max_header_bytes, default_max_body_bytes};
  listener_.limits.header_timeout = limits.caller_idle_timeout;
  listener_.limits.idle_timeout = limits.caller_idle_timeout;
  listener_.limits.max_connections = limits.max_connections;
  listener_.limits.allows_pipelining = false;
  listener_.make_rejection = make_rejection;
  listener_.on_request = [this](io::http_connection& from, const io::http_request& it) {
    handle_request(from, it);
  };
}

caller_server::~caller_server() {
  // The connections are closed with the listener, after their handlers were destroyed.
  for (const auto& [http, connection] : connections_) {
    http->on_closed = nullptr;
    http->on_drained = nullptr;
  }
}

std::error_code caller_server::start(const io::endpoint& listen) {
  return listener_.listen(listen.host, listen.port);
}

caller_connection& caller_server::find_or_add(io::http_connection& from) {
  auto& slot = connections_[&from];
  if (slot) {
    return *slot;
  }
  slot = std::make_unique<caller_connection>();
  slot->http = &from;
  from.on_drained = [it = slot.get()] {
    if (it->handler != nullptr) {
      it->handler->on_bytes_sent();
    }
  };
  from.on_closed = [this, http = &from] {
    const auto node = connections_.extract(http);
    if (!node.empty() && node.mapped()->handler != nullptr) {
      node.mapped()->handler->on_caller_disconnected();
    }
  };
  return *slot;
}

void caller_server::handle_request(io::http_connection& from,
                                   const io::http_request& request) {
  on_request(request, find_or_add(from));
}

} // namespace marigoldstep::router
