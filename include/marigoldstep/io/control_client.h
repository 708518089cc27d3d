#pragma once

#include "marigoldstep/io/framed_connection.h"
#include "marigoldstep/wire.h"

#include <QTimer>

#include <map>
#include <vector>

namespace marigoldstep::io {

struct endpoint {
  std::string host;
  std::uint16_t port = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
  friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

// Parses "host:port". For malformed text the host is empty and the port 0.
endpoint parse_endpoint(std::string_view text);

// "host:port", as in log lines.
std::string to_string(const endpoint& address);

// Outcome of a request to the control group. may_have_arrived is false only when no
// byte of the request was written to a connection, so it certainly had no effect.
struct control_result {
  std::error_code error;
  bool may_have_arrived = false;
  std::unique_ptr<wire::ControlFrameT> reply;
};

// Keeps one connection to the control group: follows the leader named by
// NotLeader replies and tries the next endpoint when a connection fails.
// Requests without a reply in time fail with errc::control_unavailable.
class control_client : public QObject {
public:
  control_client(std::vector<endpoint> endpoints, QObject* parent);

  using callback = std::function<void(control_result)>;

  // Sends a request and calls done exactly once. Resends it after a redirect or a lost
  // connection until timeout, so every kind of request must be idempotent.
  template <typename Body> void request(Body body, milliseconds timeout, callback done) {
    const auto frame = wire::control_frame(std::move(body), next_correlation_);
    start(wire::encode(frame), timeout, std::move(done));
  }

  [[nodiscard]] std::uint64_t bytes_sent() const;
  [[nodiscard]] std::uint64_t bytes_received() const;

private:
  struct pending_request {
    bytes frame;
    time_point deadline;
    bool sent = false;
    bool may_have_arrived = false;
    callback done;
  };

  void start(bytes frame, milliseconds timeout, callback done);
  void connect_to(const endpoint& target);
  void close_connection();
  void connect_next();
  void handle_frame(byte_view buf);
  void handle_redirect(std::uint64_t correlation, const wire::NotLeaderT& hint);
  void send_pending();
  void expire();

  std::vector<endpoint> endpoints_;
  std::size_t next_endpoint_ = 0;
  framed_connection* connection_ = nullptr;
  QTimer timer_;
  time_point retry_at_{};
  std::uint64_t next_correlation_ = 1;
  std::map<std::uint64_t, pending_request> pending_;
  std::uint64_t closed_sent_ = 0;
  std::uint64_t closed_received_ = 0;
};

} // namespace marigoldstep::io
