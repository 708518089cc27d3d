#include "control/api.h"
#include "control/link_service.h"
#include "control/metrics.h"
#include "control/replica.h"
#include "control/service.h"
#include "control/settings.h"
#include "marigoldstep/io/admin_server.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/fleet_ports.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/io/program.h"

#include <QCoreApplication>

#include <iostream>
#include <memory>

using namespace marigoldstep;

namespace {

constexpr std::string_view program = "mstep-control";
// Of the store of stream records, in the data directory.
constexpr std::string_view stream_directory = "/streams";
// Time to send queued replies after SIGTERM.
constexpr auto reply_drain_time = milliseconds(500);

// Link service and HTTP API, which serve gateways, backend servers and operators.
struct direct_services {
  direct_services(control::replica& group, const control::control_settings& settings)
      : links(group,
              {settings.node_id, false, settings.advertise_peer.host, settings.links.port,
               settings.zone, io::hosts_of(settings.peers)},
              {settings.link_bytes_per_ms, settings.report_silence_timeout,
               settings.data_dir + std::string(stream_directory), settings.zones},
              nullptr),
        api(group, links, nullptr) {
    group.on_changed = [this] { links.handle_state_changed(); };
    links.on_members = [&group](const std::set<std::string>& hosts) {
      group.set_member_hosts(hosts);
    };
  }

  std::error_code start(const control::control_settings& settings) {
    auto ec = links.listen(settings.links);
    if (!ec) {
      ec = api.listen(settings.api);
    }
    return ec ? ec : links.start();
  }

  control::link_service links;
  control::api api;
};

// Applies changed seeds when the settings are reloaded.
void watch_settings(const std::string& path, control::replica& group,
                    direct_services& services) {
  io::on_reload(path, [&group, &services, path] {
    control::control_settings changed;
    if (io::reload_settings(path, [&](yaml_mapping& map) {
          changed = control::parse_control_settings(map);
        })) {
      group.set_seeds(changed.peers);
      services.links.set_seeds(io::hosts_of(changed.peers));
    }
  });
}

// Shows evacuated zones, and shows and lifts the quarantine of prompt parts and requests,
// that at the leader only.
void serve_operator_pages(io::admin_server& admin, control::link_service& links) {
  static constexpr std::string_view list_path = "/quarantine";
  static constexpr std::string_view entry_prefix = "/quarantine/";
  static constexpr std::string_view evacuations_path = "/evacuations";
  admin.extra = [&links](std::string_view path) {
    return path == list_path          ? links.quarantine_json()
           : path == evacuations_path ? links.evacuations_json()
                                      : std::string();
  };
  admin.on_delete = [&links](std::string_view path) {
    return path.starts_with(entry_prefix) &&
           links.lift_quarantined(path.substr(entry_prefix.size()));
  };
}

int run(const std::string& path, const control::control_settings& settings) {
  io::process_incarnation();
  io::start_logging(program, settings.node_id, settings.log_level, settings.log_file);
  std::error_code ec = io::use_tls(settings.tls);
  if (ec) {
    std::cerr << program << ": the TLS files cannot be used\n";
    return io::exit_failed;
  }
  control::replica group(settings, nullptr);
  control::service service(group, settings.operators, nullptr);
  io::admin_server admin(nullptr);
  const auto memory = std::make_shared<io::request_memory>();
  memory->set_limits(settings.limits);
  admin.use_memory(memory);
  ec = service.listen(settings.listen);
  if (!ec) {
    ec = admin.start(settings.admin.host, settings.admin.port);
  }
  if (ec) {
    std::cerr << program << ": cannot listen: " << ec.message() << "\n";
    return io::exit_failed;
  }
  auto client = settings.advertise;
  client.port = client.port == 0 ? service.port() : client.port;
  control::control_metrics metrics(admin, group, service);
  std::string detail;
  group.start(client, ec, detail);
  if (ec) {
    std::cerr << program << ": " << ec.message() << ": " << detail << "\n";
    return io::exit_failed;
  }
  std::unique_ptr<direct_services> direct;
  if (settings.api.port != 0) {
    direct = std::make_unique<direct_services>(group, settings);
    direct->api.use_memory(memory);
    ec = direct->start(settings);
    if (ec) {
      std::cerr << program << ": cannot listen: " << ec.message() << "\n";
      return io::exit_failed;
    }
    watch_settings(path, group, *direct);
    serve_operator_pages(admin, direct->links);
  }
  io::log_event(io::log_level::info, "started",
                {{"port", std::to_string(service.port())},
                 {"admin_port", std::to_string(admin.port())}});
  io::on_stop_signal([&] {
    io::log_event(io::log_level::info, "stopping", {});
    service.stop();
    if (direct) {
      direct->api.stop();
    }
    QTimer::singleShot(reply_drain_time, [] { QCoreApplication::quit(); });
  });
  const int status = QCoreApplication::exec();
  group.stop();
  return status;
}

} // namespace

int main(int argc, char** argv) {
  io::block_signals();
  control::control_settings settings;
  const auto options = io::start_program(
      argc, argv, program, "member of the control group of a marigoldstep fleet",
      [&](yaml_mapping& map) { settings = control::parse_control_settings(map); });
  if (options.done) {
    return options.exit_status;
  }
  const QCoreApplication app(argc, argv);
  return run(options.config_path, settings);
}
