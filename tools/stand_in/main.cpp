#include "marigoldstep/io/program.h"
#include "stand_in/engine_server.h"
#include "stand_in/service_server.h"

#include <QCoreApplication>

#include <iostream>

using namespace marigoldstep;

namespace {

stand_in::stand_in_server* make_server(const stand_in::stand_in_settings& settings,
                                       QObject* parent) {
  if (settings.mode == stand_in::stand_in_mode::engine) {
    return new stand_in::engine_server(settings, parent);
  }
  return new stand_in::service_server(settings, parent);
}

} // namespace

int main(int argc, char** argv) {
  stand_in::stand_in_settings settings;
  const auto options = io::start_program(
      argc, argv, "mstep-stand-in", "stands in for a model engine or a plain service",
      [&](yaml_mapping& map) { settings = stand_in::parse_stand_in_settings(map); });
  if (options.done) {
    return options.exit_status;
  }
  QCoreApplication app(argc, argv);
  io::start_logging("mstep-stand-in", settings.node_id, settings.log_level,
                    settings.log_file);
  auto* server = make_server(settings, &app);
  if (const auto ec = server->start()) {
    std::cerr << "mstep-stand-in: cannot listen: " << ec.message() << "\n";
    return io::exit_failed;
  }
  io::log_event(io::log_level::info, "listening",
                {{"port", std::to_string(server->port())}});
  io::on_stop_signal([] { QCoreApplication::quit(); });
  return QCoreApplication::exec();
}
