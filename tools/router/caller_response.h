#pragma once

#include "marigoldstep/verdict.h"
#include "marigoldstep/wire.h"
#include "router/caller_server.h"

namespace marigoldstep::router {

// HTTP status for an outcome that is not an answer of a backend server.
int http_status(const outcome& result);

// What the caller reads beside the answer.
struct response_ids {
  std::string request_id;
  std::string resume_token; // empty: cannot be resumed
};

// Writes one answer to a caller's connection. Nothing is written after the
// caller has gone.
class caller_response {
public:
  caller_response(QHttpServerResponder responder, caller_connection& connection);

  // Starts an answer whose length is not known yet; chunks follow.
  void begin(const wire::AttemptHeadT& head, const response_ids& ids);
  void write_chunk(byte_view data);
  // The last chunk, the sign that the answer is whole.
  void end();
  // Writes an answer that is known to be whole. is_head: answers a HEAD request.
  void write_complete(const wire::AttemptHeadT& head, byte_view body, bool is_head,
                      const response_ids& ids);
  void write_problem(const outcome& result, const std::string& request_id);
  // Closes the connection without the sign of a whole answer.
  void close_incomplete();

  // Hands as much as possible to the operating system.
  void flush();
  // The connection has gone.
  void clear_connection() { connection_ = nullptr; }
  // Frees the connection for the next request.
  void release();
  [[nodiscard]] bool is_open() const { return connection_ != nullptr; }
  // Bytes that wait in the socket's buffer.
  [[nodiscard]] std::uint64_t queued_bytes() const;
  [[nodiscard]] caller_connection* connection() const { return connection_; }

private:
  void write_head(const wire::AttemptHeadT& head, const response_ids& ids);

  QHttpServerResponder responder_;
  caller_connection* connection_;
};

} // namespace marigoldstep::router
