#pragma once

#include "marigoldstep/request_trait.h"
#include "marigoldstep/server_directory.h"

#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace marigoldstep::gateway {

// A request whose connection to a server ended.
struct ended_request {
  request_traits traits;
  bool answering = false; // its response had begun
  bool is_whole = false;  // as far as known: the end of the connection ends the response
};

// Finds out whether a server has crashed. At first the end of its process looks like a
// reset, a broken response or, if the response ends with its connection, like a whole
// one. A new connection tells them apart: it is refused only if no process listens there.
// Without an answer nothing is concluded, since the server's VM may be cut off.
class crash_monitor : public QObject {
public:
  explicit crash_monitor(QObject* parent);

  // The server crashed while these requests ran there.
  std::function<void(const announced_server&, const std::vector<ended_request>&)>
      on_crash;
  // The response to the request was whole: the server is alive.
  std::function<void(const ended_request&)> on_whole;

  void record_end(const announced_server& server, ended_request request);
  // A request that ran at the server was cancelled. It counts if the server crashes
  // shortly afterwards.
  void record_cancelled(const announced_server& server, ended_request request);
  // A connection to the server was refused.
  void record_refused(const announced_server& server);

private:
  struct observed_server {
    announced_server server;
    std::vector<ended_request> ended;
    std::vector<std::pair<time_point, ended_request>> cancelled;
    std::unique_ptr<QTcpSocket> check; // null between checks
    time_point check_ends_at{};
    time_point next_check{};
    bool has_crashed = false;
    time_point used_at{};
  };

  observed_server& find(const announced_server& server);
  void start_check(observed_server& it);
  void handle_alive(const std::string& id);
  void handle_crash(observed_server& it);
  static void remove_outdated(observed_server& it);
  void end_check(observed_server& it);
  void tick();

  std::map<std::string, observed_server> servers_; // by id
  QTimer timer_;
};

} // namespace marigoldstep::gateway
