#pragma once

#include "marigoldstep/io/control_links.h"
#include "marigoldstep/io/http_connection.h"
#include "marigoldstep/server_directory.h"

#include <QObject>
#include <QTimer>

#include <set>

namespace marigoldstep::gateway {

// Takes reports of backend servers in place of control processes, whose links are
// too thin for those of thousands. A report that changes something is confirmed
// only once a control process has confirmed it; of the others, control hears in
// lists.
class report_receiver : public QObject {
public:
  report_receiver(io::control_links& links, QObject* parent);

  std::error_code listen(const std::string& host, std::uint16_t port);
  // Takes no more reports, so that servers go back to control.
  void stop();
  // The next report of these servers, given by hash, is handed on in full.
  void forget_confirmed(const std::vector<std::uint32_t>& servers);

private:
  void handle_request(io::http_connection& from, const io::http_request& request);
  void handle_report(io::http_connection& from, const announced_server& server);
  void send_unchanged_reports();

  io::control_links& links_;
  io::http_listener listener_;
  QTimer timer_;
  // Reports that a control process has confirmed through this one, by server.
  std::map<std::string, directory_entry> confirmed_;
  std::set<std::string> unchanged_;
};

} // namespace marigoldstep::gateway
