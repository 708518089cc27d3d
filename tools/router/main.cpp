#include "marigoldstep/io/logging.h"
#include "marigoldstep/io/program.h"
#include "router/router.h"

#include <QCoreApplication>

#include <iostream>

using namespace marigoldstep;

int main(int argc, char** argv) {
  router::router_settings settings;
  const auto options = io::start_program(
      argc, argv, "mstep-router", "routes callers' requests to backend servers",
      [&](yaml_mapping& map) { settings = router::parse_settings(map); });
  if (options.done) {
    return options.exit_status;
  }
  const QCoreApplication app(argc, argv);
  io::start_logging("mstep-router", settings.node_id,
                    io::parse_log_level(settings.log_level), settings.log_file);
  router::router daemon(settings, nullptr);
  daemon.on_stopped = [] { QCoreApplication::quit(); };
  if (const auto ec = daemon.start()) {
    io::log_event(io::log_level::error, "start_failed", {{"error", ec.message()}});
    return io::exit_failed;
  }
  io::on_stop_signal([&daemon] { daemon.stop(); });
  io::log_event(io::log_level::info, "started",
                {{"port", std::to_string(daemon.port())},
                 {"admin_port", std::to_string(daemon.admin_port())}});
  return QCoreApplication::exec();
}
