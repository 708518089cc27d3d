#pragma once

#include "marigoldstep/verdict.h"
#include "marigoldstep/wire.h"
#include "router/caller_server.h"

namespace marigoldstep::router {

// HTTP status for an outcome without a response from a backend server.
int http_status(const outcome& result);

// The outcome as a problem document (RFC 9457); without the request's id if that is
// empty.
inline constexpr const char* problem_media_type = "application/problem+json";
std::string make_problem(const outcome& result, const std::string& request_id);
// The headers of a problem document.
std::vector<io::http_field> make_problem_fields(const outcome& result);

// Ids sent to the caller as response headers.
struct response_ids {
  std::string request_id;
  std::string resume_token; // empty if the response cannot be resumed
};

// Writes one response to a caller's connection. All functions do nothing after the
// connection was lost, closed or released.
class caller_response {
public:
  explicit caller_response(caller_connection& connection) : connection_(&connection) {}

  // Writes the head of a chunked response.
  void begin(const wire::AttemptHeadT& head, const response_ids& ids);
  void write_chunk(byte_view data);
  // Writes the last chunk, by which the caller knows that the response is complete.
  void end();
  void write_complete(const wire::AttemptHeadT& head, byte_view body,
                      const response_ids& ids);
  // Writes an error as application/problem+json.
  void write_problem(const outcome& result, const std::string& request_id);
  // Closes the connection without the last chunk.
  void close_incomplete();

  // Must be called when the connection was lost.
  void clear_connection() { connection_ = nullptr; }
  // Makes the connection available for the next request.
  void release();
  [[nodiscard]] bool is_open() const { return connection_ != nullptr; }
  // Number of bytes in the socket's write buffer.
  [[nodiscard]] std::uint64_t queued_bytes() const;
  [[nodiscard]] caller_connection* connection() const { return connection_; }

private:
  caller_connection* connection_;
};

} // namespace marigoldstep::router
