#pragma once

#include "agent/stream_end.h"
#include "marigoldstep/io/backend_connection.h"
#include "marigoldstep/io/deadline_timer.h"
#include "marigoldstep/wire.h"

#include <functional>
#include <string>
#include <vector>

namespace marigoldstep::agent {

// HTTP request to the backend server.
struct backend_request {
  std::string method;
  std::string path; // including the query
  std::vector<wire::HeaderT> headers;
  bytes body;
};

// Status and headers of a response.
struct backend_head {
  std::uint16_t status = 0;
  std::vector<wire::HeaderT> headers; // without hop-by-hop headers
  // The server states that it did not run the request, and for how long it wants none.
  bool is_refusal = false;
  milliseconds retry_after{0};
};

enum class backend_result {
  complete,    // the complete response was received
  not_reached, // no connection was made, so the call did not run
  truncated,   // the connection closed early, or the length does not match
  timed_out,   // no data for the idle timeout
};

// Call in progress, on a connection of its own. on_end is called exactly once unless
// abort() is called before. The owner must destroy it with deleteLater(), because
// callbacks run within a signal of the connection.
class backend_call : public QObject {
public:
  backend_call(const io::endpoint& backend, const backend_request& request,
               milliseconds idle_timeout, QObject* parent);
  backend_call(const backend_call&) = delete;
  backend_call& operator=(const backend_call&) = delete;

  std::function<void(const backend_head&)> on_head;
  std::function<void(byte_view)> on_data;
  std::function<void(backend_result, const std::string& detail)> on_end;

  // Closes the connection to the backend server. No callback is called afterwards.
  void abort();

private:
  void handle_head(const io::http_head& from);
  void handle_body(std::string_view piece);
  void handle_done();
  void handle_failure(io::exchange_failure why);
  void end(backend_result result, const std::string& detail);

  io::backend_connection* connection_;
  milliseconds idle_timeout_;
  io::deadline_timer idle_timer_;
  bool ended_ = false;
  bool has_no_body_;
  bool is_delimited_ = false; // the response's framing tells where its body ends
  bool is_event_stream_ = false;
  stream_end stream_end_;
};

// Makes calls to one backend server.
class backend_client : public QObject {
public:
  backend_client(io::endpoint backend, milliseconds idle_timeout, QObject* parent);

  // The callbacks of the returned call must be set before control returns to the event
  // loop. The client is its QObject parent.
  backend_call* start(const backend_request& request);

private:
  io::endpoint backend_;
  milliseconds idle_timeout_;
};

} // namespace marigoldstep::agent
