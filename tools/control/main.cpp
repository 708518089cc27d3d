#include "control/replica.h"
#include "control/service.h"
#include "control/settings.h"
#include "marigoldstep/io/admin_server.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/io/program.h"

#include <QCoreApplication>

#include <iostream>

using namespace marigoldstep;

namespace {

constexpr std::string_view program = "mstep-control";
// Time for queued replies to go out after SIGTERM.
constexpr auto stop_limit = duration(500);

int run(const control::control_settings& settings) {
  io::process_incarnation();
  io::start_logging(program, settings.advertise_peer.host, settings.log_level,
                    settings.log_file);
  control::replica group(settings, nullptr);
  std::error_code ec;
  group.start(ec);
  if (ec) {
    std::cerr << program << ": " << ec.message() << "\n";
    return io::exit_failed;
  }
  control::service service(group, nullptr);
  io::admin_server admin(nullptr);
  ec = service.listen(settings.listen);
  if (!ec) {
    ec = admin.start(QString::fromStdString(settings.admin.host), settings.admin.port);
  }
  if (ec) {
    std::cerr << program << ": cannot listen: " << ec.message() << "\n";
    return io::exit_failed;
  }
  io::log_event(io::log_level::info, "started",
                {{"port", std::to_string(service.port())},
                 {"admin_port", std::to_string(admin.port())}});
  io::on_stop_signal([&] {
    io::log_event(io::log_level::info, "stopping", {});
    service.stop();
    QTimer::singleShot(stop_limit, [] { QCoreApplication::quit(); });
  });
  return QCoreApplication::exec();
}

} // namespace

int main(int argc, char** argv) {
  const auto options = io::parse_program_options(
      argc, argv, program, "member of the control group of a marigoldstep fleet");
  if (options.done) {
    return options.exit_status;
  }
  control::control_settings settings;
  const bool valid = io::load_settings(options.config_path, [&](yaml_mapping& map) {
    settings = control::parse_control_settings(map);
  });
  if (!valid) {
    return io::exit_bad_usage;
  }
  if (options.check_only) {
    return io::exit_ok;
  }
  const QCoreApplication app(argc, argv);
  return run(settings);
}
