#include "gateway/gateway.h"
#include "gateway/settings.h"
#include "marigoldstep/io/admin_server.h"
#include "marigoldstep/io/fleet_ports.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/io/program.h"

#include <QCoreApplication>

#include <iostream>

using namespace marigoldstep;

namespace {

constexpr std::string_view program = "mstep-gateway";

int run(const std::string& path, const gateway::gateway_settings& settings) {
  io::start_logging(program, settings.node_id, settings.log_level, io::log_to_stdout);
  io::admin_server admin(nullptr);
  gateway::gateway gateway(settings, admin.registry(), nullptr);
  admin.use_memory(gateway.memory);
  admin.is_ready = [&] { return gateway.is_ready(); };
  auto ec = gateway.start();
  if (!ec) {
    ec = admin.start(settings.host,
                     io::port_of(settings.first_port, io::fleet_port::metrics));
  }
  if (ec) {
    std::cerr << program << ": cannot listen: " << ec.message() << "\n";
    return io::exit_failed;
  }
  io::log_event(
      io::log_level::info, "started",
      {{"listen", settings.listen.host + ":" + std::to_string(settings.listen.port)},
       {"zone", settings.zone}});
  io::on_reload(path, [&] {
    gateway::gateway_settings changed;
    if (io::reload_settings(path, [&](yaml_mapping& map) {
          changed = gateway::parse_gateway_settings(map);
        })) {
      gateway.apply(changed);
    }
  });
  io::on_stop_signal([&] {
    io::log_event(io::log_level::info, "stopping", {});
    gateway.stop([] {
      io::log_event(io::log_level::info, "stopped", {});
      QCoreApplication::quit();
    });
  });
  return QCoreApplication::exec();
}

} // namespace

int main(int argc, char** argv) {
  io::block_signals();
  gateway::gateway_settings settings;
  const auto options = io::start_program(
      argc, argv, program, "router of a marigoldstep fleet whose servers have no agents",
      [&](yaml_mapping& map) { settings = gateway::parse_gateway_settings(map); });
  if (options.done) {
    return options.exit_status;
  }
  const QCoreApplication app(argc, argv);
  return run(options.config_path, settings);
}
