#include "agent/agent.h"
#include "marigoldstep/io/program.h"

#include <QCoreApplication>

#include <iostream>

int main(int argc, char** argv) {
  using namespace marigoldstep;
  // Time for the last frames to routers to be written from the socket buffers.
  static constexpr auto flush_time = std::chrono::milliseconds(100);
  agent::agent_settings settings;
  const auto options = io::start_program(
      argc, argv, "mstep-agent",
      "runs beside a backend server; applies load limits, fair queueing, draining "
      "and at-most-once claims",
      [&](yaml_mapping& map) { settings = agent::parse_agent_settings(map); });
  if (options.done) {
    return options.exit_status;
  }
  QCoreApplication app(argc, argv);
  io::start_logging("mstep-agent", settings.node_id, settings.log_level,
                    settings.log_file);
  agent::agent node(settings, nullptr);
  node.on_drained = [] { QTimer::singleShot(flush_time, &QCoreApplication::quit); };
  if (const auto ec = node.start()) {
    std::cerr << "mstep-agent: cannot listen: " << ec.message() << "\n";
    return io::exit_failed;
  }
  io::on_stop_signal([&node] { node.drain(); });
  return QCoreApplication::exec();
}
