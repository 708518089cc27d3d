#pragma once

#include "marigoldstep/error.h"
#include "marigoldstep/io/http_parser.h"
#include "marigoldstep/io/request_memory.h"
#include "marigoldstep/types.h"

#include <QObject>
#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <limits>
#include <memory>
#include <set>
#include <unordered_set>

namespace marigoldstep::io {

struct http_request {
  http_head head;
  std::string body; // without any transfer coding
};

// Limits for the clients of one listener.
struct http_server_limits {
  http_limits message{16U << 10U, 4U << 20U};
  // From the first byte of a request to the end of its head, and then for every 16 kB of
  // its body.
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{15'000}; // between requests
  // Of this listener; those of all listeners are limited by request_memory.
  std::size_t max_connections = std::numeric_limits<std::size_t>::max();
  // Whether a request may follow before the response to the one before it. If not, the
  // connection closes after that response and the later request isn't read.
  bool allows_pipelining = true;
};

// Response to a request that can't be read.
struct http_rejection {
  unsigned status = 0;
  std::vector<http_field> fields;
  std::string body;
};

// The Retry-After header, which has whole seconds (RFC 9110, section 10.2.3). Rounded up,
// since clients would come back too early otherwise.
http_field make_retry_after_field(milliseconds delay);

// The response that names the error in plain text.
http_rejection default_rejection(errc code);

// The server's side of one connection. Reads one request at a time, and the next only
// after the response was written. Deletes itself after on_closed.
class http_connection : public QObject {
public:
  http_connection(QTcpSocket* socket, const http_server_limits& limits,
                  std::shared_ptr<request_memory> memory, QObject* parent);

  std::function<void(http_connection&, http_request)> on_request;
  // Either side closed the connection; a response in progress cannot be finished.
  std::function<void()> on_closed;
  // The connection was closed and is going to be deleted.
  std::function<void()> on_gone;
  // Makes the response to a request that can't be read in full; unset: its text is the
  // error's name. retry_after is set for errc::memory_full.
  std::function<http_rejection(errc, std::optional<milliseconds> retry_after)>
      make_rejection;
  // Some queued output was passed to the operating system.
  std::function<void()> on_drained;

  // Writes a complete response.
  void respond(unsigned status, const std::vector<http_field>& fields,
               std::string_view body);
  // Begins a response whose body follows in pieces. Without a length it is chunked or,
  // for an HTTP/1.0 client, ends with the connection.
  void begin(unsigned status, const std::vector<http_field>& fields,
             std::optional<std::uint64_t> length);
  void write_body(std::string_view piece);
  void finish();
  // Closes the connection at once, so that the client sees a begun response as
  // truncated. Response bytes are still sent as far as the kernel's buffer takes them.
  void abort();
  // Makes the next response close the connection.
  void close_after_response() { close_after_ = true; }
  void close_if_idle();
  // Applies the timeouts; must be called several times a second.
  void tick(time_point now);

  [[nodiscard]] bool is_responding() const { return phase_ == phase::responding; }
  [[nodiscard]] bool has_begun() const { return begun_; }
  // Whether the client has closed its end, also if the event loop has yet to report it.
  [[nodiscard]] bool has_client_left() const;
  [[nodiscard]] std::size_t queued_bytes() const;
  // Identifies what the connection holds in the memory of the process's clients.
  [[nodiscard]] std::uint64_t hold_id() const { return held_.id(); }

private:
  enum class phase { idle, reading, responding, lingering, closed };

  void read();
  // Reads what has arrived while the event loop was busy, so that no timeout ends a
  // connection whose client has sent in time.
  void read_arrived();
  [[nodiscard]] bool is_timed_out(time_point now) const;
  void read_request();
  void handle_request();
  void record_progress(std::size_t n);
  void send_continue();
  void reject(std::error_code ec);
  // Releases what was read of a request that won't be handled.
  void drop_request();
  void give_way(reclaim_reason why);
  void discard_read_ahead();
  void update_hold();
  [[nodiscard]] memory_hold current_hold() const;
  void end_response();
  void linger();
  void handle_closed();
  void flush();
  void append_body(std::string_view piece);
  void write_head(unsigned status, const std::vector<http_field>& fields);

  QTcpSocket* socket_;
  const http_server_limits& limits_;
  held_memory held_;
  http_parser parser_;
  std::string input_;
  std::string body_;
  std::size_t head_bytes_ = 0; // of the request being read
  phase phase_ = phase::idle;
  time_point phase_since_; // or, while a body arrives, of its latest 16 kB
  bool has_head_ = false;
  std::size_t bytes_since_ = 0; // of the body since then
  // The beginning of the request, or the end of the response before it.
  time_point held_since_;
  bool has_served_ = false;    // a request
  bool is_discarding_ = false; // what follows the request in progress
  bool is_refused_ = false;    // the last request, for want of memory
  bool begun_ = false;
  bool chunked_ = false;
  bool ends_with_connection_ = false; // the body of the response in progress
  unsigned version_ = http_1_1;       // of the request in progress
  bool has_no_body_ = false;          // of the response in progress
  bool close_after_ = false;
  bool continue_sent_ = false;
  bool is_flushing_ = false;
  bool is_lost_ = false; // the client's end was found closed while flushing
};

// Accepts connections and passes their requests to on_request.
class http_listener : public QObject {
public:
  explicit http_listener(QObject* parent);

  http_server_limits limits;
  // Shared by all listeners of the process; set it before listen().
  std::shared_ptr<request_memory> memory = std::make_shared<request_memory>();
  std::function<void(http_connection&, http_request)> on_request;
  // See http_connection.
  std::function<http_rejection(errc, std::optional<milliseconds> retry_after)>
      make_rejection;

  std::error_code listen(const std::string& host, std::uint16_t port);
  [[nodiscard]] std::uint16_t port() const;
  void stop_accepting();
  // Makes every response from now on close its connection.
  void close_after_responses();
  void close_idle();
  [[nodiscard]] std::size_t connections() const { return open_.size(); }
  // Connections with a response in progress.
  [[nodiscard]] std::size_t busy_connections() const;

private:
  void accept();
  void limit_receive_buffer();
  void log_limit_reached();
  void tick();

  QTcpServer server_;
  std::set<http_connection*> open_;
  std::unordered_set<std::uint64_t> hold_ids_; // of open_
  time_point limit_logged_at_{};
  bool closing_ = false;
};

} // namespace marigoldstep::io
