#pragma once

#include "marigoldstep/io/control_links.h"
#include "marigoldstep/io/http_connection.h"
#include "marigoldstep/server_directory.h"

#include <QObject>
#include <QTimer>

#include <set>

namespace marigoldstep::gateway {

// Receives the reports of backend servers on behalf of the control processes, whose
// links lack the bandwidth for reports of thousands of servers. A report that differs
// from the confirmed one is confirmed only after a control process has confirmed it;
// unchanged reports are passed to control as lists of server hashes.
class report_receiver : public QObject {
public:
  report_receiver(io::control_links& links, QObject* parent);

  // A read of the routing configuration arrived, which shares the port with the reports.
  std::function<void(io::http_connection&)> on_read;

  // Of the process; set it before listen().
  void use_memory(std::shared_ptr<io::request_memory> memory) {
    listener_.memory = std::move(memory);
  }
  std::error_code listen(const std::string& host, std::uint16_t port);
  // Stops accepting reports, so that servers report to control again.
  void stop();
  // Discards the confirmed reports of these servers, given by hash, so that their next
  // reports are forwarded in full.
  void forget_confirmed(const std::vector<std::uint32_t>& servers);

private:
  void handle_request(io::http_connection& from, const io::http_request& request);
  void handle_report(io::http_connection& from, const announced_server& server);
  void send_unchanged_reports();

  io::control_links& links_;
  io::http_listener listener_;
  QTimer timer_;
  // Last report that a control process confirmed, by server id.
  std::map<std::string, directory_entry> confirmed_;
  // Ids of servers that reported without a change since the last list was sent.
  std::set<std::string> unchanged_;
};

} // namespace marigoldstep::gateway
