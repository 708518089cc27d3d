#include "control/metrics.h"
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
  io::start_logging(program,
                    settings.advertise_peer.host + ":" +
                        std::to_string(settings.advertise_peer.port),
                    settings.log_level, settings.log_file);
  std::error_code ec = io::use_tls(settings.tls);
  if (ec) {
    std::cerr << program << ": the TLS files cannot be used\n";
    return io::exit_failed;
  }
  control::replica group(settings, nullptr);
  control::service service(group, settings.operators, nullptr);
  io::admin_server admin(nullptr);
  ec = service.listen(settings.listen);
  if (!ec) {
    ec = admin.start(QString::fromStdString(settings.admin.host), settings.admin.port);
  }
  if (ec) {
    std::cerr << program << ": cannot listen: " << ec.message() << "\n";
    return io::exit_failed;
  }
  auto client = settings.advertise;
  client.port = client.port == 0 ? service.port() : client.port;
  control::metrics metrics(admin, group, service);
  std::string detail;
  group.start(client, ec, detail);
  if (ec) {
    std::cerr << program << ": " << ec.message() << ": " << detail << "\n";
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
  const int status = QCoreApplication::exec();
  group.stop();
  return status;
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
