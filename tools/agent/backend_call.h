#pragma once

#include "agent/stream_end.h"
#include "marigoldstep/io/control_client.h"
#include "marigoldstep/wire.h"

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QTimer>

#include <functional>
#include <memory>
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
};

enum class backend_result {
  complete,    // the complete response was received
  not_reached, // no connection was made, so the call did not run
  truncated,   // the connection closed early, or the length does not match
  timed_out,   // no data for the idle timeout
};

// Call in progress. on_end is called exactly once unless abort() is called before. The
// owner must destroy it with deleteLater(), because callbacks run within a signal of the
// network reply.
class backend_call : public QObject {
public:
  backend_call(std::shared_ptr<QNetworkAccessManager> manager, QNetworkReply* reply,
               bool has_body, milliseconds idle_timeout, QObject* parent);
  ~backend_call() override;
  backend_call(const backend_call&) = delete;
  backend_call& operator=(const backend_call&) = delete;

  std::function<void(const backend_head&)> on_head;
  std::function<void(byte_view)> on_data;
  std::function<void(backend_result, const std::string& detail)> on_end;

  // Closes the connection to the backend server. No callback is called afterwards.
  void abort();

private:
  void read_head();
  void read_data();
  void finish();
  void end(backend_result result, const std::string& detail);
  [[nodiscard]] bool has_delimited_body() const;
  [[nodiscard]] bool is_complete() const;
  [[nodiscard]] bool connection_failed_before_send() const;

  std::shared_ptr<QNetworkAccessManager> manager_;
  QNetworkReply* reply_;
  QTimer idle_timer_;
  bool expects_body_;
  bool has_head_ = false;
  bool ended_ = false;
  int connect_attempts_ = 0;
  bool request_sent_ = false;
  bool is_event_stream_ = false;
  std::uint64_t received_bytes_ = 0;
  stream_end stream_end_;
};

// Makes calls to one backend server, each on its own connection.
class backend_client : public QObject {
public:
  backend_client(io::endpoint backend, milliseconds idle_timeout, QObject* parent);

  // The callbacks of the returned call must be set before control returns to the event
  // loop. The client is its QObject parent.
  backend_call* start(const backend_request& request);

private:
  void renew_manager();

  io::endpoint backend_;
  milliseconds idle_timeout_;
  std::shared_ptr<QNetworkAccessManager> manager_;
  std::uint64_t calls_ = 0;
};

} // namespace marigoldstep::agent
