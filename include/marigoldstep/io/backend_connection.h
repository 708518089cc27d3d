#pragma once

#include "marigoldstep/io/control_client.h"
#include "marigoldstep/io/deadline_timer.h"
#include "marigoldstep/io/http_parser.h"
#include "marigoldstep/peer_watch.h"
#include "marigoldstep/types.h"

#include <QObject>
#include <QTcpSocket>

#include <functional>
#include <string_view>
#include <utility>
#include <vector>

namespace marigoldstep::io {

// Why an exchange with a backend server ended without a complete response.
enum class exchange_failure {
  not_connected, // nothing was sent
  refused,       // nothing was sent: no process listens at the address
  withheld,      // nothing was sent: may_send() refused once the connection was open
  closed,        // the connection broke after the request was passed to it
  malformed,     // the response is not valid HTTP, or too many others precede it
};

std::string_view name(exchange_failure why);
// Whether the server certainly got nothing of the request because it has no connection.
bool is_unconnected(exchange_failure why);

namespace detail {
// Owns a file descriptor; -1 for none.
class file_descriptor {
public:
  explicit file_descriptor(int fd = -1) : fd_(fd) {}
  file_descriptor(file_descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  file_descriptor& operator=(file_descriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~file_descriptor();
  [[nodiscard]] int get() const { return fd_; }

private:
  int fd_;
};
} // namespace detail

// The client's side of one connection to a backend server; carries one request at
// a time. Callbacks may not delete the connection, but may release or abort it.
class backend_connection : public QObject {
public:
  backend_connection(endpoint target, milliseconds connect_timeout, QObject* parent);

  // Sends a request as soon as the connection is open. The callbacks below stay
  // until the exchange ended. is_head_request: the response has no body. body follows the
  // request; it is written as the server reads it, and has to stay valid until the
  // exchange has ended.
  void send(std::string request, bool is_head_request, std::string_view body = {});

  // Whether to close the connection soon after the server's machine stops acknowledging.
  // The server may leave a request unread meanwhile. Set before it is open.
  bool detects_lost_peer = true;

  // Asked before a request is written to a connection that was still being opened when
  // send() was called. Unset: always.
  std::function<bool()> may_send;
  std::function<void(const http_head&)> on_head;
  std::function<void(std::string)> on_body;
  std::function<void()> on_done;
  std::function<void(exchange_failure)> on_failed;

  // Discards the response whose head was just read: it belongs to another request.
  void skip_response() { skipping_ = true; }
  // Pauses or resumes reading, for backpressure from slow callers.
  void set_paused(bool paused);
  // Closes the connection at once; no callback follows.
  void abort();

  [[nodiscard]] const endpoint& target() const { return target_; }
  [[nodiscard]] bool is_open() const { return state_ == state::open; }
  // Bytes held for the server: what is queued for it, and what came from it.
  [[nodiscard]] std::size_t held_bytes() const;
  [[nodiscard]] bool is_first_exchange() const { return exchange_count_ <= 1; }
  // Whether another request may follow: the last response was complete, no bytes came
  // after it, and the whole request was written. Not after a HEAD request: a second
  // response to it has a length but no body, so its end would be found too late.
  [[nodiscard]] bool is_reusable() const;
  // Hashes of the request ids that the connection has carried. A late second response
  // to one of them would be taken for that to another request with the same id.
  void add_request(std::uint64_t id_hash) { request_ids_.push_back(id_hash); }
  [[nodiscard]] bool has_carried(std::uint64_t id_hash) const;

  // Closed, or received unexpected bytes, while idle; set by the pool.
  std::function<void()> on_idle_closed;

private:
  enum class state { connecting, open, closed };

  void handle_connected();
  void write(std::string_view text);
  // Writes the request and as much of the body as may be queued.
  void write_request();
  void write_body();
  // Looks for a lost machine while the server may leave a large body unread.
  void watch_peer();
  void read();
  void read_response();
  void handle_end();
  void fail(exchange_failure why);
  void end_exchange();
  void log_unexpected_bytes(std::string_view when, std::size_t n) const;
  // Forgets the rest of a request whose exchange has ended.
  void drop_unsent();
  void clear_callbacks();
  [[nodiscard]] bool was_closed_orderly() const;

  QTcpSocket* socket_;
  deadline_timer connect_timer_;
  deadline_timer watch_timer_;
  peer_watch watch_;
  bool is_watched_ = false;              // in place of the kernel's timeout
  detail::file_descriptor duplicate_fd_; // of the socket, for responses without a length
  endpoint target_;
  http_parser parser_;
  std::string request_;          // sent once connected
  std::string_view unsent_body_; // of the current request
  bool is_request_whole_ = true; // whether all of the last request was written
  std::string input_;
  state state_ = state::connecting;
  bool busy_ = false;
  bool is_head_request_ = false;
  bool head_reported_ = false;
  bool skipping_ = false;
  // Before the response to the current request.
  unsigned skipped_responses_ = 0;
  std::uint64_t skipped_bytes_ = 0;
  bool paused_ = false;
  bool keep_alive_ = false;
  bool is_writing_ = false;
  unsigned exchange_count_ = 0;
  std::vector<std::uint64_t> request_ids_;
};

} // namespace marigoldstep::io
